/// The tasks that a stand-in worker runs: a table that a tick moves on.
#ifndef DRAGONFLY_BENCH_SUPPORT_WORKERTASKS_H
#define DRAGONFLY_BENCH_SUPPORT_WORKERTASKS_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/EnumTable.h"
#include "dragonfly/base/Ids.h"
#include "dragonfly/base/Resources.h"

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonfly::standin {

enum class WorkerTaskState : std::uint8_t {
  Running,
  Finished,
  Failed,
  Checkpointed,
  Stopped
};

/// One task as its worker sees it.
struct WorkerTask {
  TaskId Task_;
  Epoch Epoch_;
  WorkerTaskState State_ = WorkerTaskState::Running;
  std::string Kind_;
  Resources Need_;
  std::uint32_t Permille_ = 1000;
  /// Run time left at full speed.
  Duration Left_{};
  std::string Checkpoint_;
  std::string Body_;
};

/// What a task is started with.
struct TaskStart {
  TaskId Task_;
  Epoch Epoch_;
  std::string Kind_;
  Resources Need_;
  std::string Checkpoint_;
  std::string Body_;
};

/// Runs tasks on the time that it is given, while the VM's lease lasts. A call
/// is refused (false, or no checkpoint) where its epoch is older than one seen
/// for the task.
class WorkerTasks {
public:
  explicit WorkerTasks(Duration TaskTime) : TaskTime_(TaskTime) {}

  /// Every task stops once \p Until has passed; without a lease none starts.
  void setLease(TimePoint Until) { LeaseUntil_ = Until; }

  /// Also refused where the task runs already or no lease covers \p Now. A
  /// checkpoint is named "TASK-LEFT", so that any worker can resume it.
  bool start(TimePoint Now, const TaskStart &Start);
  bool throttle(TaskId Task, Epoch At, std::uint32_t Permille);
  std::optional<std::string> checkpoint(TaskId Task, Epoch At);
  bool stop(TaskId Task, Epoch At);

  /// Moves every running task on to \p Now and returns those that finished.
  std::vector<WorkerTask> tick(TimePoint Now);

  /// Returns the tasks that were not stopped.
  std::vector<WorkerTask> rows() const;
  /// Returns what the running tasks use.
  Resources usage() const;

private:
  WorkerTask *findRunning(TaskId Task, Epoch At);

  Duration TaskTime_;
  TimePoint Last_{};
  TimePoint LeaseUntil_{};
  std::map<TaskId, WorkerTask> Rows_;
};

} // namespace dragonfly::standin

template <> struct dragonfly::EnumTable<dragonfly::standin::WorkerTaskState> {
  using State = standin::WorkerTaskState;
  static constexpr std::array<EnumName<State>, 5> Rows{{
      {State::Running, "running"},
      {State::Finished, "finished"},
      {State::Failed, "failed"},
      {State::Checkpointed, "checkpointed"},
      {State::Stopped, "stopped"},
  }};
};

#endif // DRAGONFLY_BENCH_SUPPORT_WORKERTASKS_H
