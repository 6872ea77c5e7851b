#include "decide/PlacementSystems.h"

#include <algorithm>
#include <chrono>

namespace dragonfly::decide {
namespace {

using Seconds = std::chrono::duration<double>;

/// Minimum time of a placement before it is ended to relieve requests. Lack of
/// memory and tasks that callers wait for end a placement earlier.
constexpr Duration MinPlacementTime = std::chrono::seconds(10);
/// Evictions after which a task is not evicted again, so that it can finish.
constexpr std::uint32_t MaxEvictions = 3;
/// Run time in the current placement that halves the eviction score.
constexpr Seconds ScoreHalvingRunTime{60};
/// Factor on the eviction score of a task that is near its deadline.
constexpr double NearDeadlineFactor = 0.2;
/// Maximum number of workers inspected to make room for one task.
constexpr std::size_t MaxInspectedForRoom = 64;

PressureReading pressureReading(const WorkerEntry &Host) {
  const Resources &Capacity = Host.Row_.Capacity_;
  const Resources &Usage = Host.Row_.Usage_;
  const double Memory = Capacity.MemoryMib_ == 0
                            ? 0
                            : static_cast<double>(Usage.MemoryMib_) /
                                  static_cast<double>(Capacity.MemoryMib_);
  return {.MemoryShare_ = Memory,
          .SlowdownPermille_ = Host.Row_.SlowdownPermille_};
}

/// Estimates how much a task slows down the requests on its worker.
double requestSlowdownBy(const PlacementState &State, const WorkerEntry &Host,
                         const TaskEntry &Task) {
  return State.Interference_.conservativeSlowdown(RequestsKind, Task.Kind_) *
         Host.processorShare(Task.estimatedUsage().MilliProcessors_);
}

/// Scores a task for eviction; the highest score is evicted first. The score is
/// the slowdown of requests that the task causes, lowered by the run time that
/// an eviction may lose, and lowered near the deadline.
double evictionScore(const PlacementState &State, TimePoint Now,
                     const WorkerEntry &Host, const TaskEntry &Task) {
  const Duration RunTime = Now - Task.StartedAt_;
  const bool HasSlack =
      Task.Row_.Deadline_ - Now >
      2 * std::max(Task.RemainingRunTime_ - RunTime, MinPlacementTime);
  return requestSlowdownBy(State, Host, Task) /
         (1 + Seconds(RunTime) / ScoreHalvingRunTime) *
         (HasSlack ? 1 : NearDeadlineFactor);
}

bool isEvictable(const TaskEntry &Task) {
  return Task.Phase_ == TaskPhase::Running && Task.Row_.Evictable_ &&
         Task.Evictions_ < MaxEvictions;
}

/// Returns the task of the worker with the highest \p Score among those for
/// which \p Filter returns true.
template <typename FilterFn, typename ScoreFn>
std::optional<TaskIndex> highestScored(const PlacementState &State,
                                       const WorkerEntry &Host, FilterFn Filter,
                                       ScoreFn Score) {
  std::optional<TaskIndex> Best;
  double BestScore = 0;
  for (TaskIndex Index : Host.Tasks_) {
    const TaskEntry &Task = State.Tasks_[Index];
    if (!Filter(Task))
      continue;
    const double TaskScore = Score(Task);
    if (!Best || TaskScore > BestScore) {
      Best = Index;
      BestScore = TaskScore;
    }
  }
  return Best;
}

void evictTask(PlacementState &State, TaskIndex Index) {
  TaskEntry &Task = State.Tasks_[Index];
  Task.Phase_ = TaskPhase::Evicting;
  State.Workers_[Task.Worker_].EvictionInProgress_ = true;
  State.emitCommand(PlacementAction::Checkpoint, Task);
}

void throttleOne(PlacementState &State, const WorkerEntry &Host) {
  const auto Index = highestScored(
      State, Host,
      [](const TaskEntry &Task) {
        return Task.Phase_ == TaskPhase::Running && Task.Row_.Evictable_ &&
               !Task.Throttled_;
      },
      [&](const TaskEntry &Task) {
        return requestSlowdownBy(State, Host, Task);
      });
  if (!Index)
    return;
  State.Tasks_[*Index].Throttled_ = true;
  State.emitCommand(PlacementAction::Throttle, State.Tasks_[*Index]);
}

void unthrottleOne(PlacementState &State, const WorkerEntry &Host) {
  const auto Index = highestScored(
      State, Host, [](const TaskEntry &Task) { return Task.Throttled_; },
      [&](const TaskEntry &Task) {
        return -requestSlowdownBy(State, Host, Task);
      });
  if (!Index)
    return;
  State.Tasks_[*Index].Throttled_ = false;
  State.emitCommand(PlacementAction::Unthrottle, State.Tasks_[*Index]);
}

void checkpointOne(PlacementState &State, TimePoint Now,
                   const WorkerEntry &Host, bool ForMemory) {
  if (Host.EvictionInProgress_)
    return;
  const auto Index = highestScored(
      State, Host,
      [&](const TaskEntry &Task) {
        return isEvictable(Task) &&
               (ForMemory || Now - Task.StartedAt_ >= MinPlacementTime);
      },
      [&](const TaskEntry &Task) {
        const auto Excess =
            Task.Usage_.MemoryMib_ - Task.Reservation_.MemoryMib_;
        return ForMemory ? static_cast<double>(Excess)
                         : evictionScore(State, Now, Host, Task);
      });
  if (Index)
    evictTask(State, *Index);
}

void relieveWorker(PlacementState &State, TimePoint Now, WorkerNumber Worker) {
  WorkerEntry &Host = State.Workers_[Worker];
  const PressureReading Reading = pressureReading(Host);
  const bool WasUnderMemoryPressure = Host.MemoryPressure_;
  Host.MemoryPressure_ = Reading.MemoryShare_ > State.Limits_.MaxMemoryShare_;
  if (WasUnderMemoryPressure && !Host.MemoryPressure_)
    State.queueFill(Worker);
  else
    State.reindex(Worker);
  switch (Host.Pressure_.nextAction(Now, State.Limits_, Reading)) {
  case PressureAction::None:
    break;
  case PressureAction::Throttle:
    throttleOne(State, Host);
    break;
  case PressureAction::Checkpoint:
    checkpointOne(State, Now, Host,
                  Reading.MemoryShare_ > State.Limits_.MaxMemoryShare_);
    break;
  case PressureAction::Unthrottle:
    unthrottleOne(State, Host);
    break;
  }
}

/// Returns the tasks of \p Host to evict, by descending eviction score, until
/// \p Need fits. Empty if it can't be made to fit.
std::vector<TaskIndex> tasksToEvict(const PlacementState &State, TimePoint Now,
                                    const WorkerEntry &Host,
                                    const Resources &Need) {
  std::vector<TaskIndex> ByScore;
  std::ranges::copy_if(
      Host.Tasks_, std::back_inserter(ByScore),
      [&](TaskIndex Index) { return isEvictable(State.Tasks_[Index]); });
  std::ranges::sort(ByScore, std::ranges::greater(), [&](TaskIndex Index) {
    return evictionScore(State, Now, Host, State.Tasks_[Index]);
  });
  Resources Free = Host.freeResources();
  std::vector<TaskIndex> Victims;
  for (TaskIndex Index : ByScore) {
    if (Need.fitsIn(Free))
      break;
    Free += State.Tasks_[Index].Reservation_;
    Victims.push_back(Index);
  }
  return Need.fitsIn(Free) ? Victims : std::vector<TaskIndex>();
}

} // namespace

void relievePressure(PlacementState &State, TimePoint Now) {
  const std::vector<WorkerNumber> Reported = std::move(State.PressureQueue_);
  State.PressureQueue_.clear();
  for (WorkerNumber Worker : Reported) {
    State.Workers_[Worker].InPressureQueue_ = false;
    if (State.Workers_[Worker].Present_)
      relieveWorker(State, Now, Worker);
  }
}

void makeRoomFor(PlacementState &State, TimePoint Now, TaskIndex Index) {
  const Resources Need = State.Tasks_[Index].Reservation_;
  const std::size_t Count =
      std::min<std::size_t>(State.Workers_.size(), MaxInspectedForRoom);
  std::vector<TaskIndex> Best;
  for (std::size_t Sample = 0; Sample < Count; ++Sample) {
    const WorkerEntry &Host =
        State.Workers_[State.Random_() % State.Workers_.size()];
    if (!Host.Present_ || !Host.Row_.Accepting_ || Host.EvictionInProgress_ ||
        Host.Quarantine_.isActive(Now) || !Need.fitsIn(Host.Row_.Capacity_))
      continue;
    std::vector<TaskIndex> Victims = tasksToEvict(State, Now, Host, Need);
    if (!Victims.empty() && (Best.empty() || Victims.size() < Best.size()))
      Best = std::move(Victims);
  }
  std::ranges::for_each(Best,
                        [&](TaskIndex Victim) { evictTask(State, Victim); });
}

} // namespace dragonfly::decide
