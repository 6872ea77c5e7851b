#include "control/SuspectScheduler.h"

#include <algorithm>
#include <vector>

namespace dragonfly::control {

using jobs::RunName;
using jobs::TaskName;

void SuspectScheduler::beginPlacement(
    const std::function<bool(const RunName &)> &IsProposed) {
  std::erase_if(WaitingSince_, [this](const auto &Entry) {
    return !Table_.crashes().isSuspect(Entry.first);
  });
  ProbationJob_ = nextProbationJob(IsProposed);
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

/// Returns whether a worker may be closed for the suspect task.
bool SuspectScheduler::mayCloseWorkerFor(
    const TaskName &Task, std::string_view Service,
    const decide::JobPlacement &Placement) const {
  const bool IsTurn =
      ProbationJob_.empty() ||
      (ProbationJob_ == Task.Job_ && Table_.crashes().crashes(Task) > 1);
  return IsTurn && Probation_.mayClose(Placement.workers(), Service);
}

/// Returns whether the suspect task goes on waiting for a worker that may be
/// closed.
bool SuspectScheduler::mustWait(TimePoint Now, const TaskName &Task) {
  const TimePoint Since = WaitingSince_.try_emplace(Task, Now).first->second;
  return Probation_.mustWait(Table_.crashes().crashes(Task), Now - Since);
}

/// Returns the job with the fewest waiting tasks that are suspected of several
/// crashes, or an empty name. Where one task crashes workers, the tasks of a
/// wide job that began beside it are the least likely ones.
std::string SuspectScheduler::nextProbationJob(
    const std::function<bool(const RunName &)> &IsProposed) const {
  std::map<std::string, std::size_t> Counts;
  if (Table_.crashes().empty())
    return {};
  for (const jobs::ReadyStep &Ready : Table_.readySteps()) {
    const std::vector<jobs::TaskRow> &Tasks =
        Table_.find(Ready.Job_)->Steps_[Ready.Step_].Tasks_;
    for (std::uint32_t Index = 0; Index < Tasks.size(); ++Index) {
      const RunName Next{{Ready.Job_, Ready.Step_, Index},
                         Tasks[Index].Run_ + 1};
      if (Tasks[Index].Phase_ == jobs::TaskPhase::Waiting &&
          Table_.crashes().crashes(Next.Task_) > 1 && !IsProposed(Next))
        ++Counts[Ready.Job_];
    }
  }
  const auto Fewest = std::ranges::min_element(
      Counts, {}, [](const auto &Each) { return Each.second; });
  return Fewest == Counts.end() ? std::string() : Fewest->first;
}

} // namespace dragonfly::control
