/// Tasks that control has accepted. A task's epoch is the fencing token of its
/// placements on workers.
#ifndef DRAGONFLY_CONTROL_TASKTABLE_H
#define DRAGONFLY_CONTROL_TASKTABLE_H

#include "dragonfly/control/Command.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <set>
#include <string>

namespace dragonfly::control {

/// Limits on the number of tasks and on how long ended ones are kept.
struct TaskWindow {
  /// Maximum number of unfinished tasks; further tasks are refused.
  std::size_t MaxUnfinished_ = 65536;
  /// Ended tasks kept for resends and queries. Beyond this number the oldest
  /// are dropped, but none within `MinAge_` of its end.
  std::size_t MaxEnded_ = 16384;
  Duration MinAge_ = std::chrono::minutes(10);
};

/// State of one task.
struct TaskRecord {
  TaskId Task_;
  wire::RequestKey Key_;
  std::string Kind_;
  Resources Need_;
  /// In log time.
  Duration Deadline_{};
  Duration ExpectedRunTime_{};
  bool NonIdempotent_ = false;
  std::string Body_;
  std::uint64_t BodyHash_ = 0;
  wire::TaskState State_ = wire::TaskState::Waiting;
  /// Epoch of the current placement, or of the next one while the task is on
  /// no worker. Incremented at the end of each placement.
  Epoch Epoch_{1};
  /// Worker of the current placement; empty while the task is on none.
  std::string Worker_;
  /// Incarnation of the agent that the current placement is addressed to.
  Incarnation Target_;
  Resources Reserve_;
  /// Checkpoint that the current or the next placement resumes from; empty to
  /// start from the beginning.
  std::string CheckpointId_;
  /// False only if no placement can have run the task.
  bool MayHaveRun_ = false;
  /// True while a cancelled task waits for the end of its placement.
  bool Cancelling_ = false;
  Outcome Outcome_ = Outcome::Unknown;
  Reason Reason_ = Reason::None;
  std::uint16_t Status_ = 0;
  std::string Answer_;
  std::uint32_t Starts_ = 0;
  std::uint32_t Evictions_ = 0;
  /// In log time.
  Duration EndedAt_{};

  /// True in the states that are final.
  bool ended() const;
  /// True while the task is placed or running.
  bool onWorker() const;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Task_, Key_.Customer_, Key_.RequestId_, Kind_, Need_, Deadline_,
       ExpectedRunTime_, NonIdempotent_, Body_, BodyHash_, State_, Epoch_,
       Worker_, Target_, Reserve_, CheckpointId_, MayHaveRun_, Cancelling_,
       Outcome_, Reason_, Status_, Answer_, Starts_, Evictions_, EndedAt_);
  }
};

/// Kind of change to a task's record.
enum class TaskChange : std::uint8_t {
  Accepted,
  Placed,
  Started,
  Refused,
  Evicted,
  Failed,
  Lost,
  Cancelling,
  Ended
};

/// Called with the record after each change. \p Worker is the worker that the
/// change concerns; empty if there is none.
using TaskObserver = std::function<void(
    TaskChange Change, const TaskRecord &Task, const std::string &Worker)>;

/// Tasks and the transitions between their states. A row of a command has no
/// effect unless it carries the task's current epoch, so each command may be
/// repeated. Functions that return bool return whether the row had an effect.
class TaskTable {
public:
  TaskTable(TaskWindow Window, TaskObserver Observer)
      : Window_(Window), Observer_(std::move(Observer)) {}

  /// Adds a task. A resend returns the task that was added first; another body
  /// or kind under the same request id is refused.
  AcceptOutcome accept(Duration At, const TaskRequest &Request);
  /// Places a waiting or evicted task, unless another incarnation holds the
  /// tasks on the worker.
  bool place(const PlaceRow &Row);
  /// Applies an event that the agent of \p Worker reported.
  bool report(Duration At, const std::string &Worker, const ReportRow &Row);
  /// Ends a placement whose worker was lost. An idempotent task waits again; a
  /// non-idempotent one fails with an unknown outcome.
  bool markLost(Duration At, const TaskAtEpoch &Row);
  /// Cancels a task. One that is on a worker ends once the worker reports that
  /// its placement has ended or is lost.
  bool cancel(Duration At, TaskId Task);
  /// Ends a task that is on no worker and will not be started again.
  bool park(Duration At, const ParkRow &Row);

  const TaskRecord *find(TaskId Task) const;
  const TaskRecord *find(const wire::RequestKey &Key) const;
  const std::map<TaskId, TaskRecord> &rows() const { return Rows_; }
  /// Returns the tasks that are placed or running on \p Worker.
  const std::set<TaskId> &tasksOnWorker(const std::string &Worker) const;
  /// Returns the incarnation of the agent whose lease covers the tasks on
  /// \p Worker, or none if it has no tasks.
  Incarnation holderOfTasks(const std::string &Worker) const;
  /// Returns the tasks of each worker that has any.
  const std::map<std::string, std::set<TaskId>> &tasksByWorker() const {
    return TasksByWorker_;
  }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(NextTask_, Rows_, EndedTasks_);
  }
  /// Rebuilds the indexes after deserialization has replaced the rows.
  void rebuildIndexes();

private:
  TaskRecord *findAtEpoch(TaskId Task, Epoch At);
  void endPlacement(TaskRecord &Task);
  void endTask(Duration At, TaskRecord &Task, wire::TaskState State,
               Outcome Result, Reason Cause);
  void endCancelledTask(Duration At, TaskRecord &Task);
  void requeue(TaskRecord &Task, TaskChange Change, const std::string &Worker);
  void handleRefusal(Duration At, TaskRecord &Task);
  void handleEviction(Duration At, TaskRecord &Task,
                      const std::string &Checkpoint);
  void handleInterruption(Duration At, TaskRecord &Task, TaskChange Change,
                          Reason Cause);
  void handleFinish(Duration At, TaskRecord &Task, const ReportRow &Row);
  void forgetOldTasks(Duration At);
  void notifyObserver(TaskChange Change, const TaskRecord &Task,
                      const std::string &Worker) const;

  TaskWindow Window_;
  TaskObserver Observer_;
  std::uint64_t NextTask_ = 1;
  std::map<TaskId, TaskRecord> Rows_;
  std::deque<TaskId> EndedTasks_;
  std::map<wire::RequestKey, TaskId> TasksByKey_;
  std::map<std::string, std::set<TaskId>> TasksByWorker_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_TASKTABLE_H
