#include "decide/PlacementSystems.h"

#include <algorithm>
#include <chrono>

namespace dragonfly::decide {
namespace {

using Seconds = std::chrono::duration<double>;

/// A stay shorter than this is not broken off, except for memory.
constexpr Duration LeastStay = std::chrono::seconds(10);
/// Evictions after which a task is left alone, so that it ends some day.
constexpr std::uint32_t MostEvictions = 3;
/// Run time whose loss halves a victim's rank.
constexpr Seconds LossScale{60};
/// Rank of a task near its deadline, against one with time to spare.
constexpr double NearDeadlineRank = 0.2;
/// Workers looked at to make room for one task.
constexpr std::size_t RoomInspected = 64;

PressureReading readingOf(const WorkerEntry &Host) {
  const Resources &Capacity = Host.Row_.Capacity_;
  const Resources &Usage = Host.Row_.Usage_;
  const double Memory = Capacity.MemoryMib_ == 0
                            ? 0
                            : static_cast<double>(Usage.MemoryMib_) /
                                  static_cast<double>(Capacity.MemoryMib_);
  return {.Memory_ = Memory, .SlowdownPermille_ = Host.Row_.SlowdownPermille_};
}

double disturbance(const PlacementState &State, const WorkerEntry &Host,
                   const TaskEntry &Task) {
  return State.Interference_.estimate(RequestsKind, Task.Kind_) *
         Host.share(Task.load().MilliProcessors_);
}

/// Ranks a task as a victim: what its going would gain, less the work that is
/// lost and the nearer its deadline is.
double evictionRank(const PlacementState &State, TimePoint Now,
                    const WorkerEntry &Host, const TaskEntry &Task) {
  const Duration Ran = Now - Task.StartedAt_;
  const bool Spare = Task.Row_.Deadline_ - Now >
                     2 * std::max(Task.Remaining_ - Ran, LeastStay);
  return disturbance(State, Host, Task) / (1 + Seconds(Ran) / LossScale) *
         (Spare ? 1 : NearDeadlineRank);
}

bool mayEvict(const TaskEntry &Task) {
  return Task.Phase_ == TaskPhase::Running && Task.Row_.Evictable_ &&
         Task.Evictions_ < MostEvictions;
}

/// Returns the task that \p Rank puts highest among those that \p May allows.
template <typename MayFn, typename RankFn>
std::optional<TaskIndex> victim(const PlacementState &State,
                                const WorkerEntry &Host, MayFn May,
                                RankFn Rank) {
  std::optional<TaskIndex> Best;
  double BestRank = 0;
  for (TaskIndex Index : Host.Tasks_) {
    const TaskEntry &Task = State.Tasks_[Index];
    if (!May(Task))
      continue;
    const double Own = Rank(Task);
    if (!Best || Own > BestRank) {
      Best = Index;
      BestRank = Own;
    }
  }
  return Best;
}

void evict(PlacementState &State, TaskIndex Index) {
  TaskEntry &Task = State.Tasks_[Index];
  Task.Phase_ = TaskPhase::Evicting;
  State.Workers_[Task.Worker_].Evicting_ = true;
  State.command(PlacementAction::Checkpoint, Task);
}

void throttle(PlacementState &State, const WorkerEntry &Host) {
  const auto Index = victim(
      State, Host,
      [](const TaskEntry &Task) {
        return Task.Phase_ == TaskPhase::Running && Task.Row_.Evictable_ &&
               !Task.Throttled_;
      },
      [&](const TaskEntry &Task) { return disturbance(State, Host, Task); });
  if (!Index)
    return;
  State.Tasks_[*Index].Throttled_ = true;
  State.command(PlacementAction::Throttle, State.Tasks_[*Index]);
}

void unthrottle(PlacementState &State, const WorkerEntry &Host) {
  const auto Index = victim(
      State, Host, [](const TaskEntry &Task) { return Task.Throttled_; },
      [&](const TaskEntry &Task) { return -disturbance(State, Host, Task); });
  if (!Index)
    return;
  State.Tasks_[*Index].Throttled_ = false;
  State.command(PlacementAction::Unthrottle, State.Tasks_[*Index]);
}

void checkpointOne(PlacementState &State, TimePoint Now,
                   const WorkerEntry &Host, bool ForMemory) {
  if (Host.Evicting_)
    return;
  const auto Index = victim(
      State, Host,
      [&](const TaskEntry &Task) {
        return mayEvict(Task) &&
               (ForMemory || Now - Task.StartedAt_ >= LeastStay);
      },
      [&](const TaskEntry &Task) {
        const auto Excess =
            Task.Usage_.MemoryMib_ - Task.Reservation_.MemoryMib_;
        return ForMemory ? static_cast<double>(Excess)
                         : evictionRank(State, Now, Host, Task);
      });
  if (Index)
    evict(State, *Index);
}

void relieve(PlacementState &State, TimePoint Now, WorkerIndexValue Worker) {
  WorkerEntry &Host = State.Workers_[Worker];
  const PressureReading Reading = readingOf(Host);
  const bool WasHot = Host.Hot_;
  Host.Hot_ = Reading.Memory_ > State.Limits_.HighMemory_;
  if (WasHot && !Host.Hot_)
    State.markFreed(Worker);
  else
    State.reindex(Worker);
  switch (Host.Pressure_.step(Now, State.Limits_, Reading)) {
  case PressureStep::None:
    break;
  case PressureStep::Throttle:
    throttle(State, Host);
    break;
  case PressureStep::Checkpoint:
    checkpointOne(State, Now, Host,
                  Reading.Memory_ > State.Limits_.HighMemory_);
    break;
  case PressureStep::Release:
    unthrottle(State, Host);
    break;
  }
}

/// Returns the fewest tasks of \p Host whose going makes room, or none.
std::vector<TaskIndex> victimsFor(const PlacementState &State, TimePoint Now,
                                  const WorkerEntry &Host,
                                  const Resources &Need) {
  std::vector<TaskIndex> Order;
  std::ranges::copy_if(
      Host.Tasks_, std::back_inserter(Order),
      [&](TaskIndex Index) { return mayEvict(State.Tasks_[Index]); });
  std::ranges::sort(Order, std::ranges::greater(), [&](TaskIndex Index) {
    return evictionRank(State, Now, Host, State.Tasks_[Index]);
  });
  Resources Free = Host.free();
  std::vector<TaskIndex> Victims;
  for (TaskIndex Index : Order) {
    if (Need.fitsIn(Free))
      break;
    Free += State.Tasks_[Index].Reservation_;
    Victims.push_back(Index);
  }
  return Need.fitsIn(Free) ? Victims : std::vector<TaskIndex>();
}

} // namespace

void relievePressure(PlacementState &State, TimePoint Now) {
  const std::vector<WorkerIndexValue> Dirty = std::move(State.Dirty_);
  State.Dirty_.clear();
  for (WorkerIndexValue Worker : Dirty) {
    State.Workers_[Worker].Dirty_ = false;
    if (State.Workers_[Worker].Listed_)
      relieve(State, Now, Worker);
  }
}

void makeRoomFor(PlacementState &State, TimePoint Now, TaskIndex Index) {
  const Resources Need = State.Tasks_[Index].Reservation_;
  const std::size_t Count =
      std::min<std::size_t>(State.Workers_.size(), RoomInspected);
  std::vector<TaskIndex> Best;
  for (std::size_t Step = 0; Step < Count; ++Step) {
    const WorkerEntry &Host =
        State.Workers_[State.Random_() % State.Workers_.size()];
    if (!Host.Listed_ || !Host.Row_.Accepting_ || Host.Evicting_ ||
        Host.Record_.isQuarantined(Now) || !Need.fitsIn(Host.Row_.Capacity_))
      continue;
    std::vector<TaskIndex> Victims = victimsFor(State, Now, Host, Need);
    if (!Victims.empty() && (Best.empty() || Victims.size() < Best.size()))
      Best = std::move(Victims);
  }
  std::ranges::for_each(Best, [&](TaskIndex Victim) { evict(State, Victim); });
}

} // namespace dragonfly::decide
