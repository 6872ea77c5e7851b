#include "control/SuspectScheduler.h"

#include <algorithm>
#include <chrono>
#include <utility>
#include <vector>

namespace dragonfly::control {

using jobs::RunName;
using jobs::TaskName;

namespace {

/// How long a job that passed its turn comes after all others.
constexpr Duration PassTime = std::chrono::seconds(1);

} // namespace

void SuspectScheduler::beginPlacement(
    TimePoint Now, const std::function<bool(const RunName &)> &IsProposed) {
  std::erase_if(WaitingSince_, [this](const auto &Entry) {
    return !Table_.crashes().isSuspect(Entry.first);
  });
  std::erase_if(PassedAt_, [Now](const auto &Entry) {
    return Now - Entry.second >= PassTime;
  });
  chooseTurns(countSuspects(IsProposed));
}

SuspectScheduler::Start
SuspectScheduler::chooseStart(TimePoint Now, const TaskName &Task,
                              std::string_view Service,
                              const decide::JobPlacement &Placement) {
  if (!Table_.crashes().isSuspect(Task))
    return Start::Normal;
  if (mayCloseWorkerFor(Task, Service, Placement))
    return Start::Alone;
  return mustWait(Now, Task) ? Start::Postponed : Start::Normal;
}

void SuspectScheduler::finish(TimePoint Now, const TaskName &Task, Start How,
                              std::size_t Index,
                              decide::JobPlacement &Placement) {
  WaitingSince_.erase(Task);
  if (How != Start::Alone)
    return;
  Probation_.close(Now, Placement.workers()[Index].Name_);
  Placement.close(Index);
}

bool SuspectScheduler::passTurn(TimePoint Now, const std::string &Job,
                                Start How) {
  return How == Start::Alone && PassedAt_.try_emplace(Job, Now).second;
}

/// Returns whether a worker may be closed for the suspect task.
bool SuspectScheduler::mayCloseWorkerFor(
    const TaskName &Task, std::string_view Service,
    const decide::JobPlacement &Placement) const {
  const auto Turn = Turns_.find(Service);
  const bool IsTurn =
      Turn == Turns_.end() ||
      (Turn->second == Task.Job_ && Table_.crashes().crashes(Task) > 1);
  return IsTurn && Probation_.mayClose(Placement.workers(), Service);
}

/// Returns whether the suspect task goes on waiting for a worker that may be
/// closed.
bool SuspectScheduler::mustWait(TimePoint Now, const TaskName &Task) {
  const TimePoint Since = WaitingSince_.try_emplace(Task, Now).first->second;
  return Probation_.mustWait(Table_.crashes().crashes(Task), Now - Since);
}

std::map<std::string, std::size_t> SuspectScheduler::countSuspects(
    const std::function<bool(const RunName &)> &IsProposed) const {
  std::map<std::string, std::size_t> Counts;
  if (Table_.crashes().empty())
    return Counts;
  for (const jobs::ReadyStep &Ready : Table_.readySteps()) {
    // A suspect task has begun.
    for (const auto &[Index, Task] :
         Table_.find(Ready.Job_)->Steps_[Ready.Step_].Tasks_.begun()) {
      const RunName Next{{Ready.Job_, Ready.Step_, Index}, Task.Run_ + 1};
      if (Task.Phase_ == jobs::TaskPhase::Waiting &&
          Table_.crashes().crashes(Next.Task_) > 1 && !IsProposed(Next))
        ++Counts[Ready.Job_];
    }
  }
  return Counts;
}

/// Gives the turn of each service to the job with the fewest suspects. Where
/// one task crashes workers, the tasks of a wide job that began beside it are
/// the least likely ones.
void SuspectScheduler::chooseTurns(
    const std::map<std::string, std::size_t> &Suspects) {
  const auto Rank = [&](const std::string &Job) {
    return std::pair(PassedAt_.contains(Job), Suspects.at(Job));
  };
  Turns_.clear();
  for (const auto &[Job, Count] : Suspects) {
    const std::string &Service = Table_.find(Job)->Queue_.Service_;
    const auto [Turn, IsFirst] = Turns_.try_emplace(Service, Job);
    if (!IsFirst && Rank(Job) < Rank(Turn->second))
      Turn->second = Job;
  }
}

} // namespace dragonfly::control
