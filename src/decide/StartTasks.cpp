#include "decide/PlacementSystems.h"

#include <algorithm>
#include <limits>

namespace dragonfly::decide {
namespace {

/// Maximum number of suitable workers whose costs are compared for one task.
constexpr std::size_t MaxComparedWorkers = 16;
/// Maximum number of workers inspected for one task.
constexpr std::size_t MaxInspectedWorkers = 128;
/// Weights of the terms of the placement cost, which has the unit of a
/// slowdown.
constexpr double SpreadWeight = 0.1;
constexpr double AcceleratorWasteWeight = 1;
constexpr double UnusedShareWeight = 0.05;
/// Minimum processor share of a VM that requests are assumed to use.
constexpr double MinRequestShare = 0.05;
/// Added slowdown that is accepted on any worker.
constexpr double NegligibleSlowdown = 0.05;
constexpr double Permille = 1000;

bool canStartTasks(const WorkerEntry &Host, TimePoint Now) {
  return Host.Present_ && Host.Row_.Accepting_ && !Host.MemoryPressure_ &&
         Now >= Host.BackoffUntil_ && !Host.Quarantine_.isActive(Now) &&
         (!Host.Quarantine_.onProbation() || Host.Tasks_.empty());
}

/// Returns true if the task failed on the worker before. Ignored once the task
/// has failed as often as there are workers.
bool shouldAvoid(const PlacementState &State, const TaskEntry &Task,
                 WorkerNumber Worker) {
  return Task.FailedWorkers_.size() < State.PresentWorkerCount_ &&
         std::ranges::find(Task.FailedWorkers_, Worker) !=
             Task.FailedWorkers_.end();
}

/// Returns true if the predicted slowdown of the worker's requests with the
/// task is within the limit, or if the task adds a negligible slowdown.
bool keepsRequestsFast(const PlacementState &State, const TaskEntry &Task,
                       const WorkerEntry &Host) {
  const double AddedSlowdown =
      State.Interference_.conservativeSlowdown(RequestsKind, Task.Kind_) *
      Host.processorShare(Task.Reservation_.MilliProcessors_);
  const double CurrentSlowdown =
      State.Interference_.expectedSlowdown(RequestsKind, Host.Loads_);
  const double MaxSlowdown =
      State.Limits_.MaxStartSlowdownPermille_ / Permille - 1;
  return CurrentSlowdown + AddedSlowdown <= MaxSlowdown ||
         AddedSlowdown <= NegligibleSlowdown;
}

/// Returns the cost of placing a task on a worker; lower is better.
double placementCost(const PlacementState &State, const TaskEntry &Task,
                     const WorkerEntry &Host) {
  const PlacementOptions &Options = State.Options_;
  const double TailWeight = Options.TailLatencyPermille_ / Permille;
  const double ThroughputWeight = Options.BatchThroughputPermille_ / Permille;
  const double Load = Host.processorShare(Task.Reservation_.MilliProcessors_);
  const double RequestShare =
      MinRequestShare + Host.processorShare(static_cast<std::int64_t>(
                            Host.RequestMilliProcessors_));
  const double ExcessSlowdown = Host.Row_.SlowdownPermille_ / Permille - 1;
  const double RequestSlowdown =
      (State.Interference_.conservativeSlowdown(RequestsKind, Task.Kind_) +
       std::max(ExcessSlowdown, 0.0)) *
      Load * RequestShare;
  const double TaskSlowdown =
      State.Interference_.addedSlowdown(Task.Kind_, Load, Host.Loads_);
  const bool WastesAccelerator = Task.Row_.Need_.Accelerators_ == 0 &&
                                 Host.Row_.Capacity_.Accelerators_ > 0;
  const double UnusedShare =
      Host.processorShare(Host.freeResources().MilliProcessors_) - Load;
  return TailWeight * RequestSlowdown +
         ThroughputWeight * (TaskSlowdown + UnusedShareWeight * UnusedShare) +
         SpreadWeight * Load *
             State.GroupSpread_.share(Task.Group_, Host.Rack_, Host.Zone_) +
         (WastesAccelerator ? AcceleratorWasteWeight * Load : 0);
}

/// Returns the worker with the lowest cost among \p Hint, if given, and a
/// random sample of the index, or nothing if none of them is suitable.
std::optional<WorkerNumber> chooseWorker(PlacementState &State, TimePoint Now,
                                         const TaskEntry &Task,
                                         std::optional<WorkerNumber> Hint) {
  std::optional<WorkerNumber> BestWorker;
  double BestCost = std::numeric_limits<double>::max();
  std::size_t ComparedCount = 0;
  const auto Compare = [&](WorkerNumber Worker) {
    const WorkerEntry &Host = State.Workers_[Worker];
    if (!Task.Reservation_.fitsIn(Host.freeResources()) ||
        !canStartTasks(Host, Now) || shouldAvoid(State, Task, Worker) ||
        (Task.Row_.Evictable_ && !keepsRequestsFast(State, Task, Host)))
      return true;
    const double Cost = placementCost(State, Task, Host);
    if (Cost < BestCost) {
      BestCost = Cost;
      BestWorker = Worker;
    }
    return ++ComparedCount < MaxComparedWorkers;
  };
  if (Hint)
    Compare(*Hint);
  State.Index_.visit(Task.Reservation_, State.Random_, MaxInspectedWorkers,
                     Compare);
  return BestWorker;
}

/// Starts a waiting task. Returns false if no suitable worker was found.
bool tryStart(PlacementState &State, TimePoint Now, TaskIndex Index,
              std::optional<WorkerNumber> Hint = std::nullopt) {
  TaskEntry &Task = State.Tasks_[Index];
  const auto Worker = chooseWorker(State, Now, Task, Hint);
  if (!Worker)
    return false;
  State.dequeue(Index);
  State.commit(Now, Index, *Worker);
  State.emitCommand(PlacementAction::Start, Task);
  return true;
}

/// Moves a task that can no longer meet its deadline behind those that can.
void demoteIfLate(PlacementState &State, TimePoint Now, TaskIndex Index) {
  TaskEntry &Task = State.Tasks_[Index];
  if (Task.Priority_.Late_ || Task.Priority_.LatestStart_ >= Now)
    return;
  State.dequeue(Index);
  Task.Priority_.Late_ = true;
  State.Waiting_.insert(Task.Priority_, Task.Reservation_);
}

/// Tries the waiting tasks of highest priority that fit on the worker, each
/// once. Returns how many were started, here or on a cheaper worker.
std::size_t startCandidates(PlacementState &State, TimePoint Now,
                            WorkerNumber Worker) {
  const WorkerEntry &Host = State.Workers_[Worker];
  const auto IsSuitable = [&](const TaskEntry &Task) {
    return Task.Reservation_.fitsIn(Host.freeResources()) &&
           !shouldAvoid(State, Task, Worker);
  };
  const std::vector<StartPriority> Candidates =
      State.Waiting_.candidates(Host.freeResources(), [&](TaskId Task) {
        return IsSuitable(State.Tasks_[State.TaskIds_.at(Task)]);
      });
  std::size_t Started = 0;
  for (const StartPriority &Priority : Candidates) {
    const TaskIndex Index = State.TaskIds_.at(Priority.Task_);
    demoteIfLate(State, Now, Index);
    if (canStartTasks(Host, Now) && IsSuitable(State.Tasks_[Index]))
      Started += tryStart(State, Now, Index, Worker) ? 1 : 0;
  }
  return Started;
}

/// Starts waiting tasks until the worker has no room for more.
void fillWorker(PlacementState &State, TimePoint Now, WorkerNumber Worker) {
  WorkerEntry &Host = State.Workers_[Worker];
  while (State.Waiting_.size() > 0 && canStartTasks(Host, Now))
    if (startCandidates(State, Now, Worker) == 0)
      break;
  Host.FreeAtLastTry_ = Host.freeResources();
}

} // namespace

void startTasks(PlacementState &State, TimePoint Now) {
  while (!State.ScheduledFills_.empty() &&
         State.ScheduledFills_.begin()->first <= Now) {
    for (WorkerNumber Worker : State.ScheduledFills_.begin()->second)
      State.queueFill(Worker);
    State.ScheduledFills_.erase(State.ScheduledFills_.begin());
  }
  const std::vector<WorkerNumber> FillQueue = std::move(State.FillQueue_);
  State.FillQueue_.clear();
  for (WorkerNumber Worker : FillQueue) {
    State.Workers_[Worker].InFillQueue_ = false;
    fillWorker(State, Now, Worker);
  }
  std::vector<TaskIndex> NewTasks = std::move(State.NewTasks_);
  State.NewTasks_.clear();
  std::ranges::sort(NewTasks, {}, [&State](TaskIndex Index) {
    return State.Tasks_[Index].Priority_;
  });
  for (TaskIndex Index : NewTasks) {
    const TaskEntry &Task = State.Tasks_[Index];
    if (Task.Phase_ != TaskPhase::Waiting)
      continue;
    if (!tryStart(State, Now, Index) && !Task.Row_.Evictable_)
      makeRoomFor(State, Now, Index);
  }
}

} // namespace dragonfly::decide
