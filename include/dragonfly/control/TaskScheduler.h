/// Runs placement on the leader: turns its decisions into records of the log
/// and into directives for agents.
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
  /// After an election, how long upstreams have to announce themselves before
  /// a task may be found to fit none of them.
  Duration AnnounceGracePeriod_ = std::chrono::seconds(3);
  /// How often leases are compared with the time.
  Duration LeaseCheckPeriod_ = std::chrono::milliseconds(100);
  /// False for kinds whose tasks are never evicted.
  std::function<bool(const std::string &Kind)> Evictable_;
};

/// Holds nothing that must survive: a new leader rebuilds it from the tables.
class TaskScheduler {
public:
  TaskScheduler(TaskSchedulerOptions Options, const TaskTable &Tasks,
                UpstreamTable &Upstreams);
  ~TaskScheduler();

  /// Starts to decide. \p LogNow is the log time at \p Now.
  void lead(TimePoint Now, Duration LogNow);
  void stop();
  bool leading() const { return Placement_.has_value(); }

  /// Takes a change of the task table, as its observer.
  void onTaskChange(TaskChange Change, const TaskRecord &Task,
                    const std::string &Worker);
  /// Takes a committed record of placements, some of which may have had no
  /// effect.
  void onPlacementsCommitted(const PlaceTasks &Record);
  /// Takes the usage that an agent reports for a task.
  void reportUsage(TimePoint Now, TaskId Task, const Resources &Usage);
  /// Has \p Worker stop a stay that is no longer valid.
  void stopStalePlacement(const std::string &Worker, const TaskAtEpoch &Stay);

  /// Decides what is due and returns the records to propose.
  std::vector<CommandBody> tick(TimePoint Now, Duration LogNow);

  /// True where \p Worker has something to fetch.
  bool hasDirectives(const std::string &Worker) const;
  /// Returns everything that \p Worker shall do now; safe to repeat.
  wire::Directives consumeDirectives(const std::string &Worker);

private:
  /// Orders to one worker that the log does not hold.
  struct WorkerOrders {
    std::map<TaskId, std::uint32_t> ThrottlePermille_;
    std::set<TaskId> Checkpoint_;
    std::vector<TaskAtEpoch> Stale_;
    bool Unfetched_ = false;
  };

  decide::TaskRow rowOf(const TaskRecord &Task) const;
  void syncWorkers(TimePoint Now);
  void addWaiting(TimePoint Now, std::vector<CommandBody> &Records);
  void loseExpired(TimePoint Now, std::vector<CommandBody> &Records);
  void take(const decide::PlacementCommand &Decision, PlaceTasks &Place,
            ParkTasks &Park);
  void order(const decide::PlacementCommand &Decision);
  void forgetOrders(TaskId Task, const std::string &Worker);

  TaskSchedulerOptions Options_;
  const TaskTable &Tasks_;
  UpstreamTable &Upstreams_;
  std::optional<decide::Placement> Placement_;
  TimePoint Now_;
  Duration LogNow_{};
  TimePoint SettledAt_;
  /// Tasks that placement has not been told of yet.
  std::set<TaskId> Unadded_;
  /// Workers that have gone while tasks are still on them by record.
  std::set<std::string> Gone_;
  TimePoint ExpiryCheckAt_;
  std::map<std::string, WorkerOrders> Orders_;
  /// Stays whose loss has been proposed.
  std::map<TaskId, Epoch> Losing_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_TASKSCHEDULER_H
