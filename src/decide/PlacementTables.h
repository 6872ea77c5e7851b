/// The tables on which the systems of placement work.
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

/// Position of a task in PlacementState::Tasks_.
using TaskIndex = std::uint32_t;
/// Identifies an interned name; the first one is 1.
using NameIndex = std::uint32_t;

/// Interns names and numbers them in the order in which they are first seen.
class NameTable {
public:
  NameIndex intern(const std::string &Name) {
    return Index_.try_emplace(Name, static_cast<NameIndex>(Index_.size() + 1))
        .first->second;
  }

private:
  std::unordered_map<std::string, NameIndex> Index_;
};

enum class TaskPhase : std::uint8_t {
  Free, ///< The entry is unused.
  Waiting,
  Running,
  Evicting,
  Parked
};

/// A task and the state of its current placement.
struct TaskEntry {
  TaskRow Row_;
  TaskPhase Phase_ = TaskPhase::Free;
  KindIndex Kind_ = 0;
  GroupIndex Group_ = 0;
  WorkerNumber Worker_ = 0;
  /// Resources to commit, or committed, on the worker.
  Resources Reservation_;
  /// Last reported usage.
  Resources Usage_;
  /// Peak usage in this placement while not throttled.
  Resources PeakUsage_;
  TimePoint StartedAt_{};
  /// Expected remaining run time as of the last start.
  Duration RemainingRunTime_{};
  /// Total run time of the earlier placements that ended with a checkpoint.
  Duration CheckpointedRunTime_{};
  StartPriority Priority_{};
  std::vector<WorkerNumber> FailedWorkers_;
  std::uint32_t Evictions_ = 0;
  bool Throttled_ = false;
  bool UsageLearnt_ = false;

  /// Returns the reported usage or, without a report, the reservation.
  const Resources &estimatedUsage() const {
    return Usage_.MilliProcessors_ > 0 ? Usage_ : Reservation_;
  }
};

/// A worker and the state of its tasks.
struct WorkerEntry {
  WorkerRow Row_;
  /// False until the worker is reported, and after its removal.
  bool Present_ = false;
  NameIndex Rack_ = 0;
  NameIndex Zone_ = 0;
  /// Sum of the reservations of the tasks.
  Resources Committed_;
  /// Expected usage by the tasks: the measured peaks with a margin, else the
  /// reservations.
  Resources ExpectedUsage_;
  /// Copied from PressureLimits.
  double ProcessorOversubscription_ = 0;
  /// Smoothed usage by latency-critical requests, that is, by everything but
  /// the tasks.
  double RequestMilliProcessors_ = 0;
  double RequestMemoryMib_ = 0;
  std::vector<TaskIndex> Tasks_;
  /// Share of the processors that the tasks of each kind use.
  std::vector<KindLoad> Loads_;
  /// When a task was last added or removed.
  TimePoint TasksChangedAt_{};
  /// No task is started before this time, after a refused start.
  TimePoint BackoffUntil_{};
  /// Free resources when the worker was last filled with waiting tasks.
  Resources FreeAtLastTry_;
  Quarantine Quarantine_;
  Pressure Pressure_;
  /// Used memory is above the limit; no task is started.
  bool MemoryPressure_ = false;
  bool EvictionInProgress_ = false;
  bool InPressureQueue_ = false;
  bool InFillQueue_ = false;

  /// Returns the resources that a new task may reserve. Limited by the
  /// reservations, which never exceed the capacity, and by the expected usage,
  /// which may oversubscribe the processors.
  Resources freeResources() const {
    const Resources Uncommitted = Row_.Capacity_ - Committed_;
    const Resources Unused = Row_.Capacity_ - ExpectedUsage_;
    const auto Shared = static_cast<std::int64_t>(
        ProcessorOversubscription_ *
        static_cast<double>(Row_.Capacity_.MilliProcessors_));
    return {std::min(Uncommitted.MilliProcessors_,
                     Unused.MilliProcessors_ + Shared -
                         static_cast<std::int64_t>(RequestMilliProcessors_)),
            std::min(Uncommitted.MemoryMib_,
                     Unused.MemoryMib_ -
                         static_cast<std::int64_t>(RequestMemoryMib_)),
            Uncommitted.Accelerators_};
  }

  /// Returns true if the free processors or memory have grown by more than a
  /// twentieth of the capacity since the worker was last filled.
  bool hasMoreRoom() const {
    const Resources More = freeResources() - FreeAtLastTry_;
    return More.MilliProcessors_ * RoomGainDivisor >
               Row_.Capacity_.MilliProcessors_ ||
           More.MemoryMib_ * RoomGainDivisor > Row_.Capacity_.MemoryMib_;
  }

  static constexpr std::int64_t RoomGainDivisor = 20;

  /// Returns \p MilliProcessors as a share of the worker's processors.
  double processorShare(std::int64_t MilliProcessors) const {
    return Row_.Capacity_.MilliProcessors_ == 0
               ? 0
               : static_cast<double>(MilliProcessors) /
                     static_cast<double>(Row_.Capacity_.MilliProcessors_);
  }
};

/// Counts the running tasks of each group by rack and by availability zone.
class GroupSpread {
public:
  /// Adds \p By to the counts of the group.
  void adjust(GroupIndex Group, NameIndex Rack, NameIndex Zone, int By) {
    Racks_[key(Group, Rack)] += By;
    Zones_[key(Group, Zone)] += By;
    Totals_[Group] += By;
  }

  /// Returns the mean of the share of the group's tasks in the rack and of
  /// their share in the zone.
  double share(GroupIndex Group, NameIndex Rack, NameIndex Zone) const {
    const auto Total = Totals_.find(Group);
    if (Total == Totals_.end() || Total->second <= 0)
      return 0;
    return (countAt(Racks_, key(Group, Rack)) +
            countAt(Zones_, key(Group, Zone))) /
           (2.0 * Total->second);
  }

private:
  using Counts = std::unordered_map<std::uint64_t, int>;

  static std::uint64_t key(GroupIndex Group, NameIndex Place) {
    return (std::uint64_t{Group} << 32U) | Place;
  }
  static double countAt(const Counts &Table, std::uint64_t Key) {
    const auto Found = Table.find(Key);
    return Found == Table.end() ? 0 : Found->second;
  }

  Counts Racks_;
  Counts Zones_;
  std::unordered_map<GroupIndex, int> Totals_;
};

/// The tables of a Placement.
struct PlacementState {
  explicit PlacementState(PlacementOptions Options);

  PlacementOptions Options_;
  RandomEngine Random_;
  PressureLimits Limits_;
  LearntNeeds Needs_;
  Interference Interference_;
  GroupSpread GroupSpread_;
  NameTable Kinds_;
  NameTable Groups_;
  NameTable Racks_;
  NameTable Zones_;

  std::deque<WorkerEntry> Workers_;
  std::unordered_map<std::string, WorkerNumber> WorkerNames_;
  WorkerIndex Index_;
  /// The distinct VM capacities of the fleet, each with its number of workers.
  std::vector<std::pair<Resources, std::uint32_t>> VmShapes_;
  std::size_t PresentWorkerCount_ = 0;
  std::size_t Quarantined_ = 0;

  std::deque<TaskEntry> Tasks_;
  /// Unused entries of Tasks_.
  std::vector<TaskIndex> FreeTasks_;
  std::unordered_map<TaskId, TaskIndex> TaskIds_;
  WaitingTasks Waiting_;

  /// Tasks that started to wait since the last tick.
  std::vector<TaskIndex> NewTasks_;
  /// Workers reported since the last tick.
  std::vector<WorkerNumber> PressureQueue_;
  /// Workers on which to try waiting tasks in the next tick.
  std::vector<WorkerNumber> FillQueue_;
  /// Workers to add to FillQueue_ at a later time.
  std::map<TimePoint, std::vector<WorkerNumber>> ScheduledFills_;
  std::vector<PlacementCommand> PendingCommands_;

  /// Returns the worker, or nullptr if it is unknown.
  WorkerEntry *worker(const std::string &Name);
  /// Returns the task, or nullptr if it is unknown.
  TaskEntry *task(TaskId Id);
  TaskIndex addEntry(const TaskRow &Row);
  void removeEntry(TaskIndex Index);

  /// Adds \p By to the number of workers with this capacity.
  void adjustShapeCount(const Resources &Capacity, int By);
  /// Returns true if a VM of the fleet is large enough, or if the fleet is
  /// empty.
  bool fitsSomewhere(const Resources &Need) const;

  /// Computes the reservation and the priority of a task and lets it wait.
  void enqueue(TimePoint Now, TaskIndex Index);
  /// Removes a task from the waiting ones.
  void dequeue(TaskIndex Index);
  /// Assigns a task to a worker and commits its reservation there.
  void commit(TimePoint Now, TaskIndex Index, WorkerNumber Worker);
  /// Removes a task from its worker and frees its reservation.
  void release(TimePoint Now, TaskIndex Index);
  /// Recomputes the expected usage and the load per kind of a worker.
  void refreshLoads(WorkerEntry &Worker);
  /// Updates the worker's position in the index; workers that may not get
  /// tasks are removed from it.
  void reindex(WorkerNumber Worker);
  /// Reindexes a worker and tries waiting tasks on it in the next tick.
  void queueFill(WorkerNumber Worker);
  /// Queues a worker for filling in the first tick at or after \p When.
  void scheduleFill(TimePoint When, WorkerNumber Worker);
  void emitCommand(PlacementAction Action, const TaskEntry &Task,
                   Reason Cause = Reason::None);
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_PLACEMENTTABLES_H
