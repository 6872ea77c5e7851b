/// The tables that placement's systems run over.
#ifndef DRAGONFLY_SRC_DECIDE_PLACEMENTTABLES_H
#define DRAGONFLY_SRC_DECIDE_PLACEMENTTABLES_H

#include "decide/Interference.h"
#include "decide/LearntNeeds.h"
#include "decide/Pressure.h"
#include "decide/Quarantine.h"
#include "decide/WaitingTasks.h"
#include "decide/WorkerIndex.h"
#include "dragonfly/decide/Placement.h"

#include <algorithm>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace dragonfly::decide {

using TaskIndex = std::uint32_t;
/// Numbers an interned name, from 1.
using NameIndex = std::uint32_t;

/// Numbers names in the order in which they are first seen.
class Names {
public:
  NameIndex number(const std::string &Name) {
    return Index_.try_emplace(Name, static_cast<NameIndex>(Index_.size() + 1))
        .first->second;
  }

private:
  std::unordered_map<std::string, NameIndex> Index_;
};

enum class TaskPhase : std::uint8_t {
  Free,
  Waiting,
  Running,
  Evicting,
  Parked
};

struct TaskEntry {
  TaskRow Row_;
  TaskPhase Phase_ = TaskPhase::Free;
  KindIndex Kind_ = 0;
  GroupIndex Group_ = 0;
  WorkerIndexValue Worker_ = 0;
  Resources Reservation_;
  Resources Usage_;
  Resources PeakUsage_;
  TimePoint StartedAt_{};
  /// Run time that is left, as far as is known.
  Duration Remaining_{};
  /// Run time so far, over all stays that left a checkpoint.
  Duration Done_{};
  StartOrder Order_{};
  std::vector<WorkerIndexValue> FailedOn_;
  std::uint32_t Evictions_ = 0;
  bool Throttled_ = false;
  bool UsageLearnt_ = false;

  /// What it is taken to use: as reported, else as reserved.
  const Resources &load() const {
    return Usage_.MilliProcessors_ > 0 ? Usage_ : Reservation_;
  }
};

struct WorkerEntry {
  WorkerRow Row_;
  bool Listed_ = false;
  NameIndex Rack_ = 0;
  NameIndex Zone_ = 0;
  Resources Committed_;
  /// What tasks are taken to use: as measured where known, else as reserved.
  Resources Expected_;
  /// Copied from the limits.
  double ProcessorOveruse_ = 0;
  /// What latency-critical requests use beside the tasks, smoothed.
  double RequestMilliProcessors_ = 0;
  double RequestMemoryMib_ = 0;
  std::vector<TaskIndex> Tasks_;
  std::vector<KindLoad> Loads_;
  /// When a task last came or went.
  TimePoint ChangedAt_{};
  TimePoint NotBefore_{};
  /// What was free when waiting tasks were last tried here.
  Resources TriedFree_;
  WorkerRecord Record_;
  Pressure Pressure_;
  bool Hot_ = false;
  bool Evicting_ = false;
  bool Dirty_ = false;
  bool Freed_ = false;

  /// What a new task may take: within the capacity by the reservations, and by
  /// what is taken to be in use.
  Resources free() const {
    const Resources Uncommitted = Row_.Capacity_ - Committed_;
    const Resources Unused = Row_.Capacity_ - Expected_;
    const auto Shared = static_cast<std::int64_t>(
        ProcessorOveruse_ *
        static_cast<double>(Row_.Capacity_.MilliProcessors_));
    return {std::min(Uncommitted.MilliProcessors_,
                     Unused.MilliProcessors_ + Shared -
                         static_cast<std::int64_t>(RequestMilliProcessors_)),
            std::min(Uncommitted.MemoryMib_,
                     Unused.MemoryMib_ -
                         static_cast<std::int64_t>(RequestMemoryMib_)),
            Uncommitted.Accelerators_};
  }

  /// True where notably more is free than when tasks were last tried here.
  bool hasMoreRoom() const {
    const Resources More = free() - TriedFree_;
    return More.MilliProcessors_ * RoomSteps >
               Row_.Capacity_.MilliProcessors_ ||
           More.MemoryMib_ * RoomSteps > Row_.Capacity_.MemoryMib_;
  }

  static constexpr std::int64_t RoomSteps = 20;

  double share(std::int64_t MilliProcessors) const {
    return Row_.Capacity_.MilliProcessors_ == 0
               ? 0
               : static_cast<double>(MilliProcessors) /
                     static_cast<double>(Row_.Capacity_.MilliProcessors_);
  }
};

/// How many tasks of a group run in each rack and zone.
class Spread {
public:
  void add(GroupIndex Group, NameIndex Rack, NameIndex Zone, int By) {
    Racks_[key(Group, Rack)] += By;
    Zones_[key(Group, Zone)] += By;
    Totals_[Group] += By;
  }

  /// Returns the mean of the shares of the group in that rack and that zone.
  double share(GroupIndex Group, NameIndex Rack, NameIndex Zone) const {
    const auto Total = Totals_.find(Group);
    if (Total == Totals_.end() || Total->second <= 0)
      return 0;
    return (at(Racks_, key(Group, Rack)) + at(Zones_, key(Group, Zone))) /
           (2.0 * Total->second);
  }

private:
  using Counts = std::unordered_map<std::uint64_t, int>;

  static std::uint64_t key(GroupIndex Group, NameIndex Place) {
    return (std::uint64_t{Group} << 32U) | Place;
  }
  static double at(const Counts &Table, std::uint64_t Key) {
    const auto Found = Table.find(Key);
    return Found == Table.end() ? 0 : Found->second;
  }

  Counts Racks_;
  Counts Zones_;
  std::unordered_map<GroupIndex, int> Totals_;
};

/// All that placement knows.
struct PlacementState {
  explicit PlacementState(PlacementOptions Options);

  PlacementOptions Options_;
  RandomEngine Random_;
  PressureLimits Limits_;
  LearntNeeds Needs_;
  Interference Interference_;
  Spread Spread_;
  Names Kinds_;
  Names Groups_;
  Names Racks_;
  Names Zones_;

  std::deque<WorkerEntry> Workers_;
  std::unordered_map<std::string, WorkerIndexValue> WorkerNames_;
  WorkerIndex Index_;
  /// Distinct capacities of the fleet and how many workers have each.
  std::vector<std::pair<Resources, std::uint32_t>> Shapes_;
  std::size_t ListedWorkers_ = 0;
  std::size_t Quarantined_ = 0;

  std::deque<TaskEntry> Tasks_;
  std::vector<TaskIndex> FreeTasks_;
  std::unordered_map<TaskId, TaskIndex> TaskIds_;
  WaitingTasks Waiting_;

  std::vector<TaskIndex> New_;
  std::vector<WorkerIndexValue> Dirty_;
  std::vector<WorkerIndexValue> Freed_;
  std::map<TimePoint, std::vector<WorkerIndexValue>> Wakeups_;
  std::vector<PlacementCommand> Pending_;

  WorkerEntry *worker(const std::string &Name);
  TaskEntry *task(TaskId Id);
  TaskIndex addEntry(const TaskRow &Row);
  void removeEntry(TaskIndex Index);

  void changeShape(const Resources &Capacity, int By);
  bool fitsSomewhere(const Resources &Need) const;

  void enqueue(TimePoint Now, TaskIndex Index);
  void dequeue(TaskIndex Index);
  void commit(TimePoint Now, TaskIndex Index, WorkerIndexValue Worker);
  void release(TimePoint Now, TaskIndex Index);
  void refreshLoads(WorkerEntry &Worker);
  void reindex(WorkerIndexValue Worker);
  void markFreed(WorkerIndexValue Worker);
  void wakeAt(TimePoint When, WorkerIndexValue Worker);
  void command(PlacementAction Action, const TaskEntry &Task,
               Reason Why = Reason::None);
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_PLACEMENTTABLES_H
