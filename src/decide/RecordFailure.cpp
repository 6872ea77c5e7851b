#include "decide/PlacementSystems.h"

#include <algorithm>

namespace dragonfly::decide {
namespace {

/// Failures that count against the task: those on workers that are not
/// themselves held to be at fault.
std::size_t ownFailures(const PlacementState &State, const TaskEntry &Task) {
  return static_cast<std::size_t>(
      std::ranges::count_if(Task.FailedOn_, [&](WorkerIndexValue Worker) {
        return !State.Workers_[Worker].Record_.onProbation();
      }));
}

/// At most half of the fleet may be in quarantine.
bool mayQuarantine(const PlacementState &State, TimePoint Now) {
  const auto Held = static_cast<std::size_t>(
      std::ranges::count_if(State.Workers_, [Now](const WorkerEntry &Host) {
        return Host.Listed_ && Host.Record_.isQuarantined(Now);
      }));
  return (Held + 1) * 2 <= State.ListedWorkers_;
}

} // namespace

bool recordFailure(PlacementState &State, TimePoint Now, TaskIndex Index) {
  TaskEntry &Task = State.Tasks_[Index];
  WorkerEntry &Host = State.Workers_[Task.Worker_];
  const bool Suspect = !Task.FailedOn_.empty() && ownFailures(State, Task) > 0;
  Task.FailedOn_.push_back(Task.Worker_);
  if (mayQuarantine(State, Now) &&
      Host.Record_.failed(Now, Task.Row_.Task_, Suspect))
    State.wakeAt(Host.Record_.until(), Task.Worker_);
  if (ownFailures(State, Task) < State.Options_.MaxFailures_)
    return false;
  for (WorkerIndexValue Worker : Task.FailedOn_)
    State.Workers_[Worker].Record_.absolve(Task.Row_.Task_);
  Task.Phase_ = TaskPhase::Parked;
  State.command(PlacementAction::Park, Task, Reason::RepeatedFailure);
  return true;
}

} // namespace dragonfly::decide
