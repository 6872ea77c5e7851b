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
  forget(At);
  if (Rows_.size() - Ended_.size() >= Window_.MaxUnfinished_ ||
      Ended_.size() > Window_.MaxEnded_)
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
  ByKey_.emplace(Task.Key_, Task.Task_);
  const TaskId Id = Task.Task_;
  notify(TaskChange::Accepted, Rows_.emplace(Id, std::move(Task)).first->second,
         {});
  return {.Status_ = AcceptStatus::Accepted, .Task_ = Id};
}

bool TaskTable::place(const PlaceRow &Row) {
  TaskRecord *Task = current(Row.Task_, Row.Epoch_);
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
  Task->EverPlaced_ = true;
  ByWorker_[Row.Worker_].insert(Row.Task_);
  notify(TaskChange::Placed, *Task, Row.Worker_);
  return true;
}

bool TaskTable::report(Duration At, const std::string &Worker,
                       const ReportRow &Row) {
  TaskRecord *Task = current(Row.Task_, Row.Epoch_);
  if (Task == nullptr || !Task->onWorker() || Task->Worker_ != Worker)
    return false;
  switch (Row.Event_) {
  case wire::TaskEvent::Started:
    if (Task->State_ == TaskState::Running)
      return false;
    Task->State_ = TaskState::Running;
    ++Task->Starts_;
    notify(TaskChange::Started, *Task, Worker);
    return true;
  case wire::TaskEvent::Refused:
    if (Task->State_ == TaskState::Running)
      return false;
    refused(At, *Task);
    return true;
  case wire::TaskEvent::Checkpointed:
    evicted(At, *Task, Row.CheckpointId_);
    return true;
  case wire::TaskEvent::Finished:
    finished(At, *Task, Row);
    return true;
  case wire::TaskEvent::Failed:
    interrupted(At, *Task, TaskChange::Failed, Reason::UpstreamFailed);
    return true;
  case wire::TaskEvent::Stopped:
    interrupted(At, *Task, TaskChange::Lost, Reason::ConnectionLost);
    return true;
  }
  return false;
}

bool TaskTable::markLost(Duration At, const TaskAtEpoch &Row) {
  TaskRecord *Task = current(Row.Task_, Row.Epoch_);
  if (Task == nullptr || !Task->onWorker())
    return false;
  interrupted(At, *Task, TaskChange::Lost, Reason::ConnectionLost);
  return true;
}

bool TaskTable::cancel(Duration At, TaskId Id) {
  const auto Found = Rows_.find(Id);
  if (Found == Rows_.end() || Found->second.ended() ||
      Found->second.Cancelling_)
    return false;
  TaskRecord &Task = Found->second;
  if (!Task.onWorker()) {
    endCancelled(At, Task);
    return true;
  }
  Task.Cancelling_ = true;
  notify(TaskChange::Cancelling, Task, Task.Worker_);
  return true;
}

bool TaskTable::park(Duration At, const ParkRow &Row) {
  TaskRecord *Task = current(Row.Task_, Row.Epoch_);
  if (Task == nullptr || Task->ended() || Task->onWorker())
    return false;
  end(At, *Task, TaskState::Parked,
      Task->EverPlaced_ ? Outcome::Unknown : Outcome::RefusedNotRun,
      Row.Reason_);
  return true;
}

void TaskTable::refused(Duration At, TaskRecord &Task) {
  const std::string Worker = Task.Worker_;
  // A refusal proves that this stay never ran, and that a checkpoint it would
  // have resumed from is still unused.
  Task.EverPlaced_ = Task.Starts_ > 0;
  leaveWorker(Task);
  if (Task.Cancelling_)
    return endCancelled(At, Task);
  Task.State_ =
      Task.CheckpointId_.empty() ? TaskState::Waiting : TaskState::Evicted;
  notify(TaskChange::Refused, Task, Worker);
}

void TaskTable::evicted(Duration At, TaskRecord &Task,
                        const std::string &Checkpoint) {
  const std::string Worker = Task.Worker_;
  leaveWorker(Task);
  ++Task.Evictions_;
  Task.Starts_ = std::max(Task.Starts_, 1U);
  if (Task.Cancelling_)
    return endCancelled(At, Task);
  Task.State_ = TaskState::Evicted;
  Task.CheckpointId_ = Checkpoint;
  notify(TaskChange::Evicted, Task, Worker);
}

void TaskTable::interrupted(Duration At, TaskRecord &Task, TaskChange Change,
                            Reason Why) {
  const std::string Worker = Task.Worker_;
  leaveWorker(Task);
  Task.Starts_ = std::max(Task.Starts_, 1U);
  // The checkpoint that the stay resumed from counts as used.
  Task.CheckpointId_.clear();
  if (Task.Cancelling_)
    return endCancelled(At, Task);
  if (Task.NonIdempotent_)
    return end(At, Task, TaskState::Failed, Outcome::Unknown, Why);
  waitAgain(Task, Change, Worker);
}

void TaskTable::waitAgain(TaskRecord &Task, TaskChange Change,
                          const std::string &Worker) {
  Task.State_ = TaskState::Waiting;
  notify(Change, Task, Worker);
}

void TaskTable::finished(Duration At, TaskRecord &Task, const ReportRow &Row) {
  leaveWorker(Task);
  Task.Starts_ = std::max(Task.Starts_, 1U);
  Task.Status_ = Row.Status_;
  Task.Answer_ = Row.Body_;
  end(At, Task, TaskState::Finished, Outcome::Completed, Reason::None);
}

void TaskTable::endCancelled(Duration At, TaskRecord &Task) {
  end(At, Task, TaskState::Cancelled,
      Task.EverPlaced_ ? Outcome::Unknown : Outcome::RefusedNotRun,
      Reason::Cancelled);
}

void TaskTable::end(Duration At, TaskRecord &Task, TaskState State,
                    Outcome Result, Reason Why) {
  Task.State_ = State;
  Task.Outcome_ = Result;
  Task.Reason_ = Why;
  Task.EndedAt_ = At;
  Task.Cancelling_ = false;
  Task.CheckpointId_.clear();
  Task.Body_.clear();
  Ended_.push_back(Task.Task_);
  notify(TaskChange::Ended, Task, {});
}

void TaskTable::leaveWorker(TaskRecord &Task) {
  if (const auto Found = ByWorker_.find(Task.Worker_);
      Found != ByWorker_.end()) {
    Found->second.erase(Task.Task_);
    if (Found->second.empty())
      ByWorker_.erase(Found);
  }
  Task.Worker_.clear();
  ++Task.Epoch_.Value_;
}

void TaskTable::forget(Duration At) {
  while (Ended_.size() > Window_.MaxEnded_) {
    const auto Oldest = Rows_.find(Ended_.front());
    if (At - Oldest->second.EndedAt_ < Window_.MinAge_)
      return;
    ByKey_.erase(Oldest->second.Key_);
    Rows_.erase(Oldest);
    Ended_.pop_front();
  }
}

void TaskTable::notify(TaskChange Change, const TaskRecord &Task,
                       const std::string &Worker) const {
  if (Observer_)
    Observer_(Change, Task, Worker);
}

TaskRecord *TaskTable::current(TaskId Task, Epoch At) {
  const auto Found = Rows_.find(Task);
  return Found != Rows_.end() && Found->second.Epoch_ == At ? &Found->second
                                                            : nullptr;
}

const TaskRecord *TaskTable::find(TaskId Task) const {
  const auto Found = Rows_.find(Task);
  return Found != Rows_.end() ? &Found->second : nullptr;
}

const TaskRecord *TaskTable::find(const wire::RequestKey &Key) const {
  const auto Found = ByKey_.find(Key);
  return Found != ByKey_.end() ? find(Found->second) : nullptr;
}

const std::set<TaskId> &
TaskTable::tasksOnWorker(const std::string &Worker) const {
  static const std::set<TaskId> None;
  const auto Found = ByWorker_.find(Worker);
  return Found != ByWorker_.end() ? Found->second : None;
}

Incarnation TaskTable::holderOfTasks(const std::string &Worker) const {
  const std::set<TaskId> &Tasks = tasksOnWorker(Worker);
  return Tasks.empty() ? Incarnation{} : find(*Tasks.begin())->Target_;
}

void TaskTable::rebuildIndexes() {
  ByKey_.clear();
  ByWorker_.clear();
  for (const auto &[Id, Task] : Rows_) {
    ByKey_.emplace(Task.Key_, Id);
    if (Task.onWorker())
      ByWorker_[Task.Worker_].insert(Id);
  }
}

} // namespace dragonfly::control
