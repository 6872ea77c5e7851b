#include "Record.h"

#include <algorithm>

namespace dragonfly::review {

namespace {

std::string jobOf(const std::string &Task) {
  return Task.substr(0, Task.find('.'));
}

} // namespace

void RunJudge::began(const std::string &Task, const RunOn &Run) {
  ++Started_;
  Jobs_[jobOf(Task)] = Clock::now();
  std::map<RunOn, TimePoint> &Runs = Running_[Task];
  std::string Others;
  for (const auto &[Other, Since] : Runs)
    Others += " " + Other.Worker_ + "#" + std::to_string(Other.Run_);
  Runs[Run] = Clock::now();
  Lines_.write("run " + Task + " #" + std::to_string(Run.Run_) + " begins on " +
               Run.Worker_ +
               (Others.empty() ? "" : " WHILE IT RUNS AS" + Others));
  if (!Others.empty())
    ++Overlaps_;
  if (Noted_.contains(Task)) {
    ++StartsAfterDone_;
    Lines_.write("run " + Task + " BEGINS AFTER ITS END WAS TAKEN NOTE OF");
  }
}

void RunJudge::ended(const std::string &Task, const RunOn &Run,
                     const std::string &How) {
  const auto It = Running_.find(Task);
  if (It == Running_.end())
    return;
  const TimePoint Now = Clock::now();
  if (How == "done")
    Done_.insert(Task);
  const auto Own = It->second.find(Run);
  if (Own == It->second.end())
    return;
  for (const auto &[Other, Since] : It->second)
    if (Other != Run)
      Longest_ = std::max(Longest_, Now - std::max(Since, Own->second));
  It->second.erase(Own);
  if (It->second.empty())
    Running_.erase(It);
  Lines_.write("run " + Task + " #" + std::to_string(Run.Run_) + " ends on " +
               Run.Worker_ + ": " + How);
}

Duration RunJudge::longestOverlap() {
  const TimePoint Now = Clock::now();
  for (const auto &[Task, Runs] : Running_) {
    std::vector<TimePoint> Begins;
    for (const auto &[Run, Since] : Runs)
      Begins.push_back(Since);
    std::ranges::sort(Begins);
    if (Begins.size() > 1)
      Longest_ = std::max(Longest_, Now - Begins[1]);
  }
  return Longest_;
}

std::size_t RunJudge::runningOf(const std::string &Job) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Running_, [&Job](const auto &Each) { return jobOf(Each.first) == Job; }));
}

std::size_t RunJudge::doneOf(const std::string &Job) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      Done_, [&Job](const std::string &Task) { return jobOf(Task) == Job; }));
}

TimePoint RunJudge::lastStartOf(const std::string &Job) const {
  const auto It = Jobs_.find(Job);
  return It == Jobs_.end() ? TimePoint() : It->second;
}

} // namespace dragonfly::review
