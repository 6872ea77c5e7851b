/// Every task that control has accepted, and the epochs that fence its stays.
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

struct TaskWindow {
  /// Tasks that may be unfinished at once; more are refused.
  std::size_t MaxUnfinished_ = 65536;
  /// Ended tasks kept for resends and queries; beyond it the oldest are
  /// forgotten, but none sooner than `MinAge_` after its end.
  std::size_t MaxEnded_ = 16384;
  Duration MinAge_ = std::chrono::minutes(10);
};

/// One task.
struct TaskRecord {
  TaskId Task_;
  wire::RequestKey Key_;
  std::string Kind_;
  Resources Need_;
  /// Log time.
  Duration Deadline_{};
  Duration ExpectedRunTime_{};
  bool NonIdempotent_ = false;
  std::string Body_;
  std::uint64_t BodyHash_ = 0;
  wire::TaskState State_ = wire::TaskState::Waiting;
  /// Of the present stay, or of the next one while the task has none. Grows
  /// whenever a stay ends.
  Epoch Epoch_{1};
  std::string Worker_;
  /// The agent's process that the present stay was given to.
  Incarnation Target_;
  Resources Reserve_;
  /// Where the next or the present stay resumes from.
  std::string CheckpointId_;
  bool EverPlaced_ = false;
  bool Cancelling_ = false;
  Outcome Outcome_ = Outcome::Unknown;
  Reason Reason_ = Reason::None;
  std::uint16_t Status_ = 0;
  std::string Answer_;
  std::uint32_t Starts_ = 0;
  std::uint32_t Evictions_ = 0;
  /// Log time.
  Duration EndedAt_{};

  bool ended() const;
  bool onWorker() const;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Task_, Key_.Customer_, Key_.RequestId_, Kind_, Need_, Deadline_,
       ExpectedRunTime_, NonIdempotent_, Body_, BodyHash_, State_, Epoch_,
       Worker_, Target_, Reserve_, CheckpointId_, EverPlaced_, Cancelling_,
       Outcome_, Reason_, Status_, Answer_, Starts_, Evictions_, EndedAt_);
  }
};

/// Why a task's record changed.
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

/// Called with the record after each change; \p Worker is where it was or is.
using TaskObserver = std::function<void(
    TaskChange Change, const TaskRecord &Task, const std::string &Worker)>;

/// The tasks. A row of a command that does not carry the task's present epoch
/// has no effect, so that each command may be repeated.
class TaskTable {
public:
  TaskTable(TaskWindow Window, TaskObserver Observer)
      : Window_(Window), Observer_(std::move(Observer)) {}

  /// A resend finds the first task. Another body under the same id is refused.
  AcceptOutcome accept(Duration At, const TaskRequest &Request);
  bool place(const PlaceRow &Row);
  bool report(Duration At, const std::string &Worker, const ReportRow &Row);
  /// An idempotent task waits again; a non-idempotent one ends as unknown.
  bool markLost(Duration At, const TaskAtEpoch &Row);
  /// Ends a task that is on no worker; any other is stopped first.
  bool cancel(Duration At, TaskId Task);
  bool park(Duration At, const ParkRow &Row);

  const TaskRecord *find(TaskId Task) const;
  const TaskRecord *find(const wire::RequestKey &Key) const;
  const std::map<TaskId, TaskRecord> &rows() const { return Rows_; }
  /// Tasks that are placed or run on \p Worker.
  const std::set<TaskId> &tasksOnWorker(const std::string &Worker) const;
  /// The agent's process whose lease covers the tasks on \p Worker, or none
  /// where there are no tasks.
  Incarnation holderOfTasks(const std::string &Worker) const;
  /// Workers that have tasks, with them.
  const std::map<std::string, std::set<TaskId>> &tasksByWorker() const {
    return ByWorker_;
  }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(NextTask_, Rows_, Ended_);
  }
  /// Rebuilds the indexes after the rows have been replaced.
  void rebuildIndexes();

private:
  TaskRecord *current(TaskId Task, Epoch At);
  void leaveWorker(TaskRecord &Task);
  void end(Duration At, TaskRecord &Task, wire::TaskState State, Outcome Result,
           Reason Why);
  void endCancelled(Duration At, TaskRecord &Task);
  void waitAgain(TaskRecord &Task, TaskChange Change,
                 const std::string &Worker);
  void refused(Duration At, TaskRecord &Task);
  void evicted(Duration At, TaskRecord &Task, const std::string &Checkpoint);
  void interrupted(Duration At, TaskRecord &Task, TaskChange Change,
                   Reason Why);
  void finished(Duration At, TaskRecord &Task, const ReportRow &Row);
  void forget(Duration At);
  void notify(TaskChange Change, const TaskRecord &Task,
              const std::string &Worker) const;

  TaskWindow Window_;
  TaskObserver Observer_;
  std::uint64_t NextTask_ = 1;
  std::map<TaskId, TaskRecord> Rows_;
  std::deque<TaskId> Ended_;
  std::map<wire::RequestKey, TaskId> ByKey_;
  std::map<std::string, std::set<TaskId>> ByWorker_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_TASKTABLE_H
