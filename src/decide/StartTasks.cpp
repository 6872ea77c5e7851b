#include "decide/PlacementSystems.h"

#include <algorithm>
#include <limits>

namespace dragonfly::decide {
namespace {

/// Workers that fit and are compared for one task.
constexpr std::size_t Compared = 16;
/// Workers looked at for one task at most.
constexpr std::size_t Inspected = 128;
/// Weights of the parts of a worker's cost, which is in units of slowdown.
constexpr double SpreadWeight = 0.1;
constexpr double AcceleratorWeight = 1;
constexpr double LeftoverWeight = 0.05;
/// Share of a VM that requests are taken to use at least.
constexpr double LeastRequestShare = 0.05;
/// Slowdown that is put up with on any worker.
constexpr double HardlyDisturbs = 0.05;
constexpr double Permille = 1000;

bool mayHost(const WorkerEntry &Host, TimePoint Now) {
  return Host.Listed_ && Host.Row_.Accepting_ && !Host.Hot_ &&
         Now >= Host.NotBefore_ && !Host.Record_.isQuarantined(Now) &&
         (!Host.Record_.onProbation() || Host.Tasks_.empty());
}

bool failedThere(const PlacementState &State, const TaskEntry &Task,
                 WorkerIndexValue Worker) {
  return Task.FailedOn_.size() < State.ListedWorkers_ &&
         std::ranges::find(Task.FailedOn_, Worker) != Task.FailedOn_.end();
}

/// True where the worker's requests stay quick enough beside the task, as far
/// as the interference is known, or the task hardly disturbs them.
bool disturbsLittle(const PlacementState &State, const TaskEntry &Task,
                    const WorkerEntry &Host) {
  const double Added = State.Interference_.estimate(RequestsKind, Task.Kind_) *
                       Host.share(Task.Reservation_.MilliProcessors_);
  const double Before = State.Interference_.expected(RequestsKind, Host.Loads_);
  const double Limit = State.Limits_.StartSlowdown_ / Permille - 1;
  return Before + Added <= Limit || Added <= HardlyDisturbs;
}

/// Returns the cost of a task on a worker; lower is better.
double cost(const PlacementState &State, const TaskEntry &Task,
            const WorkerEntry &Host) {
  const PlacementOptions &Options = State.Options_;
  const double Tail = Options.TailLatencyPermille_ / Permille;
  const double Throughput = Options.BatchThroughputPermille_ / Permille;
  const double Load = Host.share(Task.Reservation_.MilliProcessors_);
  const double Requests =
      LeastRequestShare +
      Host.share(static_cast<std::int64_t>(Host.RequestMilliProcessors_));
  const double Slower = Host.Row_.SlowdownPermille_ / Permille - 1;
  const double OnRequests =
      (State.Interference_.estimate(RequestsKind, Task.Kind_) +
       std::max(Slower, 0.0)) *
      Load * Requests;
  const double OnTasks =
      State.Interference_.added(Task.Kind_, Load, Host.Loads_);
  const bool Wasted = Task.Row_.Need_.Accelerators_ == 0 &&
                      Host.Row_.Capacity_.Accelerators_ > 0;
  const double Left = Host.share(Host.free().MilliProcessors_) - Load;
  return Tail * OnRequests + Throughput * (OnTasks + LeftoverWeight * Left) +
         SpreadWeight * Load *
             State.Spread_.share(Task.Group_, Host.Rack_, Host.Zone_) +
         (Wasted ? AcceleratorWeight * Load : 0);
}

/// Returns the cheapest of the workers that were compared: \p Hint, where
/// given, and some drawn from the index.
std::optional<WorkerIndexValue> choose(PlacementState &State, TimePoint Now,
                                       const TaskEntry &Task,
                                       std::optional<WorkerIndexValue> Hint) {
  std::optional<WorkerIndexValue> Best;
  double BestCost = std::numeric_limits<double>::max();
  std::size_t Found = 0;
  const auto Compare = [&](WorkerIndexValue Worker) {
    const WorkerEntry &Host = State.Workers_[Worker];
    if (!Task.Reservation_.fitsIn(Host.free()) || !mayHost(Host, Now) ||
        failedThere(State, Task, Worker) ||
        (Task.Row_.Evictable_ && !disturbsLittle(State, Task, Host)))
      return true;
    const double Cost = cost(State, Task, Host);
    if (Cost < BestCost) {
      BestCost = Cost;
      Best = Worker;
    }
    return ++Found < Compared;
  };
  if (Hint)
    Compare(*Hint);
  State.Index_.visit(Task.Reservation_, State.Random_, Inspected, Compare);
  return Best;
}

bool start(PlacementState &State, TimePoint Now, TaskIndex Index,
           std::optional<WorkerIndexValue> Hint = std::nullopt) {
  TaskEntry &Task = State.Tasks_[Index];
  const auto Worker = choose(State, Now, Task, Hint);
  if (!Worker)
    return false;
  State.dequeue(Index);
  State.commit(Now, Index, *Worker);
  State.command(PlacementAction::Start, Task);
  return true;
}

/// Moves a task that can no longer meet its deadline behind those that can.
void demoteIfLate(PlacementState &State, TimePoint Now, TaskIndex Index) {
  TaskEntry &Task = State.Tasks_[Index];
  if (Task.Order_.Late_ || Task.Order_.LatestStart_ >= Now)
    return;
  State.dequeue(Index);
  Task.Order_.Late_ = true;
  State.Waiting_.insert(Task.Order_, Task.Reservation_);
}

/// Tries the first waiting tasks once; returns how many were started.
std::size_t fillOnce(PlacementState &State, TimePoint Now,
                     WorkerIndexValue Worker) {
  const WorkerEntry &Host = State.Workers_[Worker];
  const auto Fits = [&](const TaskEntry &Task) {
    return Task.Reservation_.fitsIn(Host.free()) &&
           !failedThere(State, Task, Worker);
  };
  const std::vector<StartOrder> Candidates =
      State.Waiting_.candidates(Host.free(), [&](TaskId Task) {
        return Fits(State.Tasks_[State.TaskIds_.at(Task)]);
      });
  std::size_t Started = 0;
  for (const StartOrder &Order : Candidates) {
    const TaskIndex Index = State.TaskIds_.at(Order.Task_);
    demoteIfLate(State, Now, Index);
    if (mayHost(Host, Now) && Fits(State.Tasks_[Index]))
      Started += start(State, Now, Index, Worker) ? 1 : 0;
  }
  return Started;
}

void fill(PlacementState &State, TimePoint Now, WorkerIndexValue Worker) {
  WorkerEntry &Host = State.Workers_[Worker];
  while (State.Waiting_.size() > 0 && mayHost(Host, Now))
    if (fillOnce(State, Now, Worker) == 0)
      break;
  Host.TriedFree_ = Host.free();
}

} // namespace

void startTasks(PlacementState &State, TimePoint Now) {
  while (!State.Wakeups_.empty() && State.Wakeups_.begin()->first <= Now) {
    for (WorkerIndexValue Worker : State.Wakeups_.begin()->second)
      State.markFreed(Worker);
    State.Wakeups_.erase(State.Wakeups_.begin());
  }
  const std::vector<WorkerIndexValue> Freed = std::move(State.Freed_);
  State.Freed_.clear();
  for (WorkerIndexValue Worker : Freed) {
    State.Workers_[Worker].Freed_ = false;
    fill(State, Now, Worker);
  }
  std::vector<TaskIndex> New = std::move(State.New_);
  State.New_.clear();
  std::ranges::sort(New, {}, [&State](TaskIndex Index) {
    return State.Tasks_[Index].Order_;
  });
  for (TaskIndex Index : New) {
    const TaskEntry &Task = State.Tasks_[Index];
    if (Task.Phase_ != TaskPhase::Waiting)
      continue;
    if (!start(State, Now, Index) && !Task.Row_.Evictable_)
      makeRoomFor(State, Now, Index);
  }
}

} // namespace dragonfly::decide
