#include "dragonfly/jobs/CrashTable.h"

#include <algorithm>
#include <iterator>

namespace dragonfly::jobs {

std::vector<TaskName>
CrashTable::record(Duration At, const WorkerCrash &Crash,
                   const std::vector<TaskName> &Candidates) {
  if (isRecorded({Crash.Worker_, Crash.Born_}))
    return {};
  const auto IsOver = [At](const auto &Each) {
    return At - Each.second.At_ > SuspicionTime;
  };
  std::erase_if(Rows_, IsOver);
  std::erase_if(Exposures_, IsOver);
  // Several runs of a task may be among the suspects.
  const std::set<TaskName> Tasks(Candidates.begin(), Candidates.end());
  if (Tasks.size() <= MaxExposed)
    expose(At, Tasks);
  std::vector<TaskName> Blamed;
  std::ranges::copy_if(
      Tasks, std::back_inserter(Blamed),
      [this](const TaskName &Task) { return Rows_.contains(Task); });
  if (Blamed.empty())
    Blamed.assign(Tasks.begin(), Tasks.end());
  ++LastCrash_;
  const std::size_t Limit = limitOf(Crash, Blamed.size());
  std::vector<TaskName> GivenUp;
  for (const TaskName &Task : Blamed) {
    Row &Each = Rows_[Task];
    Each.At_ = At;
    Each.Crashes_.push_back(LastCrash_);
    if (Each.Crashes_.size() >= (isConfirmed(Crash, Task) ? Limit : MaxShared))
      GivenUp.push_back(Task);
  }
  for (const TaskName &Task : GivenUp)
    explain(Task);
  return GivenUp;
}

void CrashTable::expose(Duration At, const std::set<TaskName> &Tasks) {
  for (const TaskName &Task : Tasks) {
    Exposure &Each = Exposures_[Task];
    Each.At_ = At;
    ++Each.Crashes_;
  }
}

std::size_t CrashTable::limitOf(const WorkerCrash &Crash, std::size_t Blamed) {
  const bool IsOneTask =
      std::ranges::all_of(Crash.Suspects_, [&Crash](const RunName &Run) {
        return Run.Task_ == Crash.Suspects_.front().Task_;
      });
  if (IsOneTask)
    return MaxAlone;
  return Blamed == 1 ? MaxOnlySuspect : MaxShared;
}

bool CrashTable::isConfirmed(const WorkerCrash &Crash, const TaskName &Task) {
  return std::ranges::any_of(Crash.Suspects_, [&](const RunName &Run) {
    return Run.Task_ == Task && Crash.isConfirmed(Run);
  });
}

void CrashTable::explain(const TaskName &Culprit) {
  Exposures_.erase(Culprit);
  const auto Found = Rows_.extract(Culprit);
  if (Found.empty())
    return;
  for (auto &[Task, Each] : Rows_)
    std::erase_if(Each.Crashes_, [&Found](std::uint64_t Number) {
      return std::ranges::find(Found.mapped().Crashes_, Number) !=
             Found.mapped().Crashes_.end();
    });
  std::erase_if(Rows_,
                [](const auto &Each) { return Each.second.Crashes_.empty(); });
}

bool CrashTable::isRecorded(const Life &Crashed) {
  if (std::ranges::find(Recorded_, Crashed) != Recorded_.end())
    return true;
  if (Recorded_.size() == MaxRecorded)
    Recorded_.erase(Recorded_.begin());
  Recorded_.push_back(Crashed);
  return false;
}

void CrashTable::removeJob(const std::string &Job) {
  const auto EraseFrom = [&Job](auto &Tasks) {
    const auto First = Tasks.lower_bound({.Job_ = Job});
    const auto Last =
        std::find_if(First, Tasks.end(), [&Job](const auto &Each) {
          return Each.first.Job_ != Job;
        });
    Tasks.erase(First, Last);
  };
  EraseFrom(Rows_);
  EraseFrom(Exposures_);
}

std::size_t CrashTable::crashes(const TaskName &Task) const {
  const auto Exposed = Exposures_.find(Task);
  if (Exposed != Exposures_.end() && Exposed->second.Crashes_ >= MinExposures)
    return Exposed->second.Crashes_;
  const auto It = Rows_.find(Task);
  return It == Rows_.end() ? 0 : It->second.Crashes_.size();
}

void CrashTable::deriveExposures() {
  Exposures_.clear();
  for (const auto &[Task, Each] : Rows_)
    Exposures_[Task] = {.Crashes_ = Each.Crashes_.size(), .At_ = Each.At_};
}

} // namespace dragonfly::jobs
