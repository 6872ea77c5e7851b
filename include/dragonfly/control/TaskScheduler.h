/// Runs task placement on the leader. Turns its decisions into records of the
/// log and into directives to agents.
#ifndef DRAGONFLY_CONTROL_TASKSCHEDULER_H
#define DRAGONFLY_CONTROL_TASKSCHEDULER_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/control/Command.h"
#include "dragonfly/control/TaskTable.h"
#include "dragonfly/control/UpstreamTable.h"
#include "dragonfly/decide/Placement.h"
#include "dragonfly/wire/Messages.h"

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonfly::control {

struct TaskSchedulerOptions {
  decide::PlacementOptions Placement_;
  /// Time after an election during which upstreams announce themselves. Until
  /// it ends, no task is parked because it fits no upstream.
  Duration AnnounceGracePeriod_ = std::chrono::seconds(3);
  /// Minimum interval between two checks for expired leases.
  Duration LeaseCheckPeriod_ = std::chrono::milliseconds(100);
  /// Returns false for kinds whose tasks are never evicted. Unset means that
  /// all kinds are evictable.
  std::function<bool(const std::string &Kind)> Evictable_;
};

/// Schedules tasks while this replica leads. Its state need not be persistent,
/// since a new leader rebuilds it from the tables.
class TaskScheduler {
public:
  TaskScheduler(TaskSchedulerOptions Options, const TaskTable &Tasks,
                UpstreamTable &Upstreams);
  ~TaskScheduler();

  /// Starts scheduling as leader, with the tasks and workers of the tables.
  /// \p LogNow is the log time at \p Now.
  void lead(TimePoint Now, Duration LogNow);
  /// Stops scheduling and drops all state.
  void stop();
  bool leading() const { return Placement_.has_value(); }

  /// Updates placement after a change to the task table; called as the table's
  /// observer.
  void onTaskChange(TaskChange Change, const TaskRecord &Task,
                    const std::string &Worker);
  /// Releases the rows of a committed record that had no effect, so that their
  /// tasks are placed again.
  void onPlacementsCommitted(const PlaceTasks &Record);
  /// Passes the usage that an agent reports for a task to placement.
  void reportUsage(TimePoint Now, TaskId Task, const Resources &Usage);
  /// Directs \p Worker to stop a placement that is no longer valid.
  void stopStalePlacement(const std::string &Worker,
                          const TaskAtEpoch &Placement);

  /// Makes the decisions that are due and returns the records to propose.
  std::vector<CommandBody> tick(TimePoint Now, Duration LogNow);

  /// True if \p Worker has directives to fetch.
  bool hasDirectives(const std::string &Worker) const;
  /// Returns all directives to \p Worker that are in force, and marks them as
  /// fetched. Directives are idempotent; stops of stale placements are returned
  /// once.
  wire::Directives consumeDirectives(const std::string &Worker);

private:
  /// Orders to one worker that are not in the log.
  struct WorkerOrders {
    /// Share of a processor left to each throttled task, in thousandths.
    std::map<TaskId, std::uint32_t> ThrottlePermille_;
    std::set<TaskId> TasksToCheckpoint_;
    std::vector<TaskAtEpoch> StalePlacements_;
    /// True if the agent has not fetched all orders yet.
    bool HasUnfetched_ = false;
  };

  decide::TaskRow makeTaskRow(const TaskRecord &Task) const;
  void updateWorkers(TimePoint Now);
  void addWaitingTasks(TimePoint Now, std::vector<CommandBody> &Records);
  void proposeLostTasks(TimePoint Now, std::vector<CommandBody> &Records);
  void addDecision(const decide::PlacementCommand &Decision, PlaceTasks &Place,
                   ParkTasks &Park);
  void addOrder(const decide::PlacementCommand &Decision);
  void removeOrders(TaskId Task, const std::string &Worker);

  TaskSchedulerOptions Options_;
  const TaskTable &Tasks_;
  UpstreamTable &Upstreams_;
  std::optional<decide::Placement> Placement_;
  TimePoint Now_;
  Duration LogNow_{};
  /// End of the grace period of the last election.
  TimePoint AnnounceGraceEndsAt_;
  /// Tasks that have not been added to placement yet.
  std::set<TaskId> TasksToAdd_;
  /// Workers that left while the task table still has tasks on them.
  std::set<std::string> DepartedWorkers_;
  TimePoint NextLeaseCheckAt_;
  std::map<std::string, WorkerOrders> Orders_;
  /// Epochs of the placements whose loss has been proposed.
  std::map<TaskId, Epoch> ProposedLosses_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_TASKSCHEDULER_H
