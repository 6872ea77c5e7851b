#include "dragonfly/control/TaskTable.h"

#include "dragonfly/base/Hash.h"

#include <algorithm>

namespace dragonfly::control {

using wire::TaskState;

bool TaskRecord::ended() const {
  switch (State_) {
  case TaskState::Finished:
  case TaskState::Failed:
  case TaskState::Cancelled:
  case TaskState::Parked:
    return true;
  case TaskState::Waiting:
  case TaskState::Placed:
  case TaskState::Running:
  case TaskState::Evicted:
    return false;
  }
  return false;
}

bool TaskRecord::onWorker() const {
  return State_ == TaskState::Placed || State_ == TaskState::Running;
}

AcceptOutcome TaskTable::accept(Duration At, const TaskRequest &Request) {
  const std::uint64_t Hash = stableHash({Request.Body_});
  if (const TaskRecord *First = find(Request.Key_)) {
    const bool Same = First->BodyHash_ == Hash && First->Kind_ == Request.Kind_;
    return {.Status_ =
                Same ? AcceptStatus::Accepted : AcceptStatus::RequestIdReused,
            .Task_ = First->Task_};
  }
  forgetOldTasks(At);
  if (Rows_.size() - EndedTasks_.size() >= Window_.MaxUnfinished_ ||
      EndedTasks_.size() > Window_.MaxEnded_)
    return {.Status_ = AcceptStatus::TableFull, .Task_ = {}};
  TaskRecord Task;
  Task.Task_ = TaskId{NextTask_++};
  Task.Key_ = Request.Key_;
  Task.Kind_ = Request.Kind_;
  Task.Need_ = Request.Need_;
  Task.Deadline_ = At + Request.TimeLeft_;
  Task.ExpectedRunTime_ = Request.ExpectedRunTime_;
  Task.NonIdempotent_ = Request.NonIdempotent_;
  Task.Body_ = Request.Body_;
  Task.BodyHash_ = Hash;
  TasksByKey_.emplace(Task.Key_, Task.Task_);
  const TaskId Id = Task.Task_;
  notifyObserver(TaskChange::Accepted,
                 Rows_.emplace(Id, std::move(Task)).first->second, {});
  return {.Status_ = AcceptStatus::Accepted, .Task_ = Id};
}

bool TaskTable::place(const PlaceRow &Row) {
  TaskRecord *Task = findAtEpoch(Row.Task_, Row.Epoch_);
  const Incarnation Holder = holderOfTasks(Row.Worker_);
  if (Holder && Holder != Row.Target_)
    return false;
  if (Task == nullptr || (Task->State_ != TaskState::Waiting &&
                          Task->State_ != TaskState::Evicted))
    return false;
  Task->State_ = TaskState::Placed;
  Task->Worker_ = Row.Worker_;
  Task->Target_ = Row.Target_;
  Task->Reserve_ = Row.Reserve_;
  Task->MayHaveRun_ = true;
  TasksByWorker_[Row.Worker_].insert(Row.Task_);
  notifyObserver(TaskChange::Placed, *Task, Row.Worker_);
  return true;
}

bool TaskTable::report(Duration At, const std::string &Worker,
                       const ReportRow &Row) {
  TaskRecord *Task = findAtEpoch(Row.Task_, Row.Epoch_);
  if (Task == nullptr || !Task->onWorker() || Task->Worker_ != Worker)
    return false;
  switch (Row.Event_) {
  case wire::TaskEvent::Started:
    if (Task->State_ == TaskState::Running)
      return false;
    Task->State_ = TaskState::Running;
    ++Task->Starts_;
    notifyObserver(TaskChange::Started, *Task, Worker);
    return true;
  case wire::TaskEvent::Refused:
    if (Task->State_ == TaskState::Running)
      return false;
    handleRefusal(At, *Task);
    return true;
  case wire::TaskEvent::Checkpointed:
    handleEviction(At, *Task, Row.CheckpointId_);
    return true;
  case wire::TaskEvent::Finished:
    handleFinish(At, *Task, Row);
    return true;
  case wire::TaskEvent::Failed:
    handleInterruption(At, *Task, TaskChange::Failed, Reason::UpstreamFailed);
    return true;
  case wire::TaskEvent::Stopped:
    handleInterruption(At, *Task, TaskChange::Lost, Reason::ConnectionLost);
    return true;
  }
  return false;
}

bool TaskTable::markLost(Duration At, const TaskAtEpoch &Row) {
  TaskRecord *Task = findAtEpoch(Row.Task_, Row.Epoch_);
  if (Task == nullptr || !Task->onWorker())
    return false;
  handleInterruption(At, *Task, TaskChange::Lost, Reason::ConnectionLost);
  return true;
}

bool TaskTable::cancel(Duration At, TaskId Id) {
  const auto Found = Rows_.find(Id);
  if (Found == Rows_.end() || Found->second.ended() ||
      Found->second.Cancelling_)
    return false;
  TaskRecord &Task = Found->second;
  if (!Task.onWorker()) {
    endCancelledTask(At, Task);
    return true;
  }
  Task.Cancelling_ = true;
  notifyObserver(TaskChange::Cancelling, Task, Task.Worker_);
  return true;
}

bool TaskTable::park(Duration At, const ParkRow &Row) {
  TaskRecord *Task = findAtEpoch(Row.Task_, Row.Epoch_);
  if (Task == nullptr || Task->ended() || Task->onWorker())
    return false;
  endTask(At, *Task, TaskState::Parked,
          Task->MayHaveRun_ ? Outcome::Unknown : Outcome::RefusedNotRun,
          Row.Reason_);
  return true;
}

void TaskTable::handleRefusal(Duration At, TaskRecord &Task) {
  const std::string Worker = Task.Worker_;
  // A refusal proves that this placement never ran, so a checkpoint that it
  // would have resumed from is still unused.
  Task.MayHaveRun_ = Task.Starts_ > 0;
  endPlacement(Task);
  if (Task.Cancelling_)
    return endCancelledTask(At, Task);
  Task.State_ =
      Task.CheckpointId_.empty() ? TaskState::Waiting : TaskState::Evicted;
  notifyObserver(TaskChange::Refused, Task, Worker);
}

void TaskTable::handleEviction(Duration At, TaskRecord &Task,
                               const std::string &Checkpoint) {
  const std::string Worker = Task.Worker_;
  endPlacement(Task);
  ++Task.Evictions_;
  Task.Starts_ = std::max(Task.Starts_, 1U);
  if (Task.Cancelling_)
    return endCancelledTask(At, Task);
  Task.State_ = TaskState::Evicted;
  Task.CheckpointId_ = Checkpoint;
  notifyObserver(TaskChange::Evicted, Task, Worker);
}

void TaskTable::handleInterruption(Duration At, TaskRecord &Task,
                                   TaskChange Change, Reason Cause) {
  const std::string Worker = Task.Worker_;
  endPlacement(Task);
  Task.Starts_ = std::max(Task.Starts_, 1U);
  // The placement may have resumed from the checkpoint, so the checkpoint
  // counts as used.
  Task.CheckpointId_.clear();
  if (Task.Cancelling_)
    return endCancelledTask(At, Task);
  if (Task.NonIdempotent_)
    return endTask(At, Task, TaskState::Failed, Outcome::Unknown, Cause);
  requeue(Task, Change, Worker);
}

void TaskTable::requeue(TaskRecord &Task, TaskChange Change,
                        const std::string &Worker) {
  Task.State_ = TaskState::Waiting;
  notifyObserver(Change, Task, Worker);
}

void TaskTable::handleFinish(Duration At, TaskRecord &Task,
                             const ReportRow &Row) {
  endPlacement(Task);
  Task.Starts_ = std::max(Task.Starts_, 1U);
  Task.Status_ = Row.Status_;
  Task.Answer_ = Row.Body_;
  endTask(At, Task, TaskState::Finished, Outcome::Completed, Reason::None);
}

void TaskTable::endCancelledTask(Duration At, TaskRecord &Task) {
  endTask(At, Task, TaskState::Cancelled,
          Task.MayHaveRun_ ? Outcome::Unknown : Outcome::RefusedNotRun,
          Reason::Cancelled);
}

void TaskTable::endTask(Duration At, TaskRecord &Task, TaskState State,
                        Outcome Result, Reason Cause) {
  Task.State_ = State;
  Task.Outcome_ = Result;
  Task.Reason_ = Cause;
  Task.EndedAt_ = At;
  Task.Cancelling_ = false;
  Task.CheckpointId_.clear();
  Task.Body_.clear();
  EndedTasks_.push_back(Task.Task_);
  notifyObserver(TaskChange::Ended, Task, {});
}

void TaskTable::endPlacement(TaskRecord &Task) {
  if (const auto Found = TasksByWorker_.find(Task.Worker_);
      Found != TasksByWorker_.end()) {
    Found->second.erase(Task.Task_);
    if (Found->second.empty())
      TasksByWorker_.erase(Found);
  }
  Task.Worker_.clear();
  ++Task.Epoch_.Value_;
}

void TaskTable::forgetOldTasks(Duration At) {
  while (EndedTasks_.size() > Window_.MaxEnded_) {
    const auto Oldest = Rows_.find(EndedTasks_.front());
    if (At - Oldest->second.EndedAt_ < Window_.MinAge_)
      return;
    TasksByKey_.erase(Oldest->second.Key_);
    Rows_.erase(Oldest);
    EndedTasks_.pop_front();
  }
}

void TaskTable::notifyObserver(TaskChange Change, const TaskRecord &Task,
                               const std::string &Worker) const {
  if (Observer_)
    Observer_(Change, Task, Worker);
}

TaskRecord *TaskTable::findAtEpoch(TaskId Task, Epoch At) {
  const auto Found = Rows_.find(Task);
  return Found != Rows_.end() && Found->second.Epoch_ == At ? &Found->second
                                                            : nullptr;
}

const TaskRecord *TaskTable::find(TaskId Task) const {
  const auto Found = Rows_.find(Task);
  return Found != Rows_.end() ? &Found->second : nullptr;
}

const TaskRecord *TaskTable::find(const wire::RequestKey &Key) const {
  const auto Found = TasksByKey_.find(Key);
  return Found != TasksByKey_.end() ? find(Found->second) : nullptr;
}

const std::set<TaskId> &
TaskTable::tasksOnWorker(const std::string &Worker) const {
  static const std::set<TaskId> None;
  const auto Found = TasksByWorker_.find(Worker);
  return Found != TasksByWorker_.end() ? Found->second : None;
}

Incarnation TaskTable::holderOfTasks(const std::string &Worker) const {
  const std::set<TaskId> &Tasks = tasksOnWorker(Worker);
  return Tasks.empty() ? Incarnation{} : find(*Tasks.begin())->Target_;
}

void TaskTable::rebuildIndexes() {
  TasksByKey_.clear();
  TasksByWorker_.clear();
  for (const auto &[Id, Task] : Rows_) {
    TasksByKey_.emplace(Task.Key_, Id);
    if (Task.onWorker())
      TasksByWorker_[Task.Worker_].insert(Id);
  }
}

} // namespace dragonfly::control
