#include "decide/PlacementSystems.h"

#include <algorithm>

namespace dragonfly::decide {
namespace {

/// Returns the number of failures that count against the task. Failures on
/// workers on probation don't, because those workers may be at fault.
std::size_t failuresOfTask(const PlacementState &State, const TaskEntry &Task) {
  return static_cast<std::size_t>(
      std::ranges::count_if(Task.FailedWorkers_, [&](WorkerNumber Worker) {
        return !State.Workers_[Worker].Quarantine_.onProbation();
      }));
}

/// Limits the quarantined workers to half of the fleet.
bool mayQuarantine(const PlacementState &State, TimePoint Now) {
  const auto QuarantinedCount = static_cast<std::size_t>(
      std::ranges::count_if(State.Workers_, [Now](const WorkerEntry &Host) {
        return Host.Present_ && Host.Quarantine_.isActive(Now);
      }));
  return (QuarantinedCount + 1) * 2 <= State.PresentWorkerCount_;
}

} // namespace

bool recordFailure(PlacementState &State, TimePoint Now, TaskIndex Index) {
  TaskEntry &Task = State.Tasks_[Index];
  WorkerEntry &Host = State.Workers_[Task.Worker_];
  const bool TaskIsSuspect =
      !Task.FailedWorkers_.empty() && failuresOfTask(State, Task) > 0;
  Task.FailedWorkers_.push_back(Task.Worker_);
  if (mayQuarantine(State, Now) &&
      Host.Quarantine_.recordFailure(Now, Task.Row_.Task_, TaskIsSuspect))
    State.scheduleFill(Host.Quarantine_.endsAt(), Task.Worker_);
  if (failuresOfTask(State, Task) < State.Options_.MaxFailures_)
    return false;
  for (WorkerNumber Worker : Task.FailedWorkers_)
    State.Workers_[Worker].Quarantine_.forgetFailure(Task.Row_.Task_);
  Task.Phase_ = TaskPhase::Parked;
  State.emitCommand(PlacementAction::Park, Task, Reason::RepeatedFailure);
  return true;
}

} // namespace dragonfly::decide
