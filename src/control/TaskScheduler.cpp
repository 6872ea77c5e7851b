#include "dragonfly/control/TaskScheduler.h"

#include "dragonfly/base/Log.h"

#include <algorithm>
#include <utility>

namespace dragonfly::control {

using decide::PlacementAction;
using wire::TaskAction;
using wire::TaskState;

namespace {

wire::TaskDirective makeDirective(const TaskRecord &Task, TaskAction Action) {
  wire::TaskDirective Row;
  Row.Task_ = Task.Task_;
  Row.Epoch_ = Task.Epoch_;
  Row.Action_ = Action;
  Row.Kind_ = Task.Kind_;
  return Row;
}

wire::TaskDirective makeStartDirective(const TaskRecord &Task) {
  wire::TaskDirective Row =
      makeDirective(Task, Task.CheckpointId_.empty() ? TaskAction::Start
                                                     : TaskAction::Resume);
  Row.Need_ = Task.Reserve_;
  Row.CheckpointId_ = Task.CheckpointId_;
  Row.Body_ = Task.Body_;
  return Row;
}

decide::WorkerRow makeWorkerRow(const wire::Heartbeat &Beat) {
  return {.Name_ = Beat.Name_,
          .AvailabilityZone_ = Beat.AvailabilityZone_,
          .Rack_ = Beat.Rack_,
          .Capacity_ = Beat.Vm_.Capacity_,
          .Usage_ = Beat.Vm_.Usage_,
          .Accepting_ = Beat.LedgerReady_ && !Beat.Draining_};
}

std::optional<decide::PlacementOutcome> runResultOf(TaskChange Change) {
  switch (Change) {
  case TaskChange::Refused:
    return decide::PlacementOutcome::Refused;
  case TaskChange::Evicted:
    return decide::PlacementOutcome::Evicted;
  case TaskChange::Failed:
    return decide::PlacementOutcome::Failed;
  case TaskChange::Lost:
    return decide::PlacementOutcome::Lost;
  default:
    return std::nullopt;
  }
}

} // namespace

TaskScheduler::TaskScheduler(TaskSchedulerOptions Options,
                             const TaskTable &Tasks, UpstreamTable &Upstreams)
    : Options_(std::move(Options)), Tasks_(Tasks), Upstreams_(Upstreams) {}

TaskScheduler::~TaskScheduler() = default;

void TaskScheduler::lead(TimePoint Now, Duration LogNow) {
  stop();
  Now_ = Now;
  LogNow_ = LogNow;
  AnnounceGraceEndsAt_ = Now + Options_.AnnounceGracePeriod_;
  Placement_.emplace(Options_.Placement_);
  Upstreams_.consumeChangedWorkers();
  for (const auto &[Name, Row] : Upstreams_.workers())
    Placement_->setWorker(Now, makeWorkerRow(Row.LastHeartbeat_));
  for (const auto &[Id, Task] : Tasks_.rows()) {
    if (Task.onWorker())
      Placement_->addRunningTask(Now, makeTaskRow(Task), Task.Worker_);
    else if (!Task.ended())
      TasksToAdd_.insert(Id);
  }
}

void TaskScheduler::stop() {
  Placement_.reset();
  TasksToAdd_.clear();
  DepartedWorkers_.clear();
  Orders_.clear();
  ProposedLosses_.clear();
}

decide::TaskRow TaskScheduler::makeTaskRow(const TaskRecord &Task) const {
  return {.Task_ = Task.Task_,
          .Customer_ = Task.Key_.Customer_,
          .Kind_ = Task.Kind_,
          .Need_ = Task.Need_,
          .Deadline_ = Now_ + (Task.Deadline_ - LogNow_),
          .ExpectedRunTime_ = Task.ExpectedRunTime_,
          .Evictable_ =
              !Options_.Evictable_ || Options_.Evictable_(Task.Kind_)};
}

void TaskScheduler::onTaskChange(TaskChange Change, const TaskRecord &Task,
                                 const std::string &Worker) {
  if (!Placement_)
    return;
  if (Change == TaskChange::Accepted)
    TasksToAdd_.insert(Task.Task_);
  if (const auto Result = runResultOf(Change))
    Placement_->recordTaskEnd(Now_, Task.Task_, *Result);
  if (Change == TaskChange::Ended) {
    TasksToAdd_.erase(Task.Task_);
    if (Task.State_ == TaskState::Finished)
      Placement_->recordTaskEnd(Now_, Task.Task_,
                                decide::PlacementOutcome::Finished);
    else if (Task.State_ == TaskState::Failed &&
             Task.Reason_ == Reason::UpstreamFailed)
      Placement_->recordTaskEnd(Now_, Task.Task_,
                                decide::PlacementOutcome::Failed);
    Placement_->removeTask(Now_, Task.Task_);
  }
  if (!Task.onWorker())
    removeOrders(Task.Task_, Worker);
}

void TaskScheduler::removeOrders(TaskId Task, const std::string &Worker) {
  ProposedLosses_.erase(Task);
  const auto Found = Orders_.find(Worker);
  if (Found == Orders_.end())
    return;
  Found->second.ThrottlePermille_.erase(Task);
  Found->second.TasksToCheckpoint_.erase(Task);
}

void TaskScheduler::reportUsage(TimePoint Now, TaskId Task,
                                const Resources &Usage) {
  if (Placement_)
    Placement_->reportUsage(Now, Task, Usage);
}

void TaskScheduler::stopStalePlacement(const std::string &Worker,
                                       const TaskAtEpoch &Placement) {
  if (!Placement_)
    return;
  WorkerOrders &Orders = Orders_[Worker];
  Orders.StalePlacements_.push_back(Placement);
  Orders.HasUnfetched_ = true;
}

std::vector<CommandBody> TaskScheduler::tick(TimePoint Now, Duration LogNow) {
  std::vector<CommandBody> Records;
  if (!Placement_)
    return Records;
  Now_ = Now;
  LogNow_ = LogNow;
  updateWorkers(Now);
  proposeLostTasks(Now, Records);
  addWaitingTasks(Now, Records);
  PlaceTasks Place;
  ParkTasks Park;
  const std::vector<decide::PlacementCommand> Decisions = Placement_->tick(Now);
  for (const decide::PlacementCommand &Decision : Decisions)
    addDecision(Decision, Place, Park);
  if (!Place.Rows_.empty())
    Records.emplace_back(std::move(Place));
  if (!Park.Rows_.empty())
    Records.emplace_back(std::move(Park));
  return Records;
}

/// Updates placement with the workers that sent heartbeats or left.
void TaskScheduler::updateWorkers(TimePoint Now) {
  std::set<std::string> Names = Upstreams_.consumeChangedWorkers();
  Names.merge(std::exchange(DepartedWorkers_, {}));
  for (const std::string &Name : Names) {
    const auto Row = Upstreams_.workers().find(Name);
    if (Row != Upstreams_.workers().end()) {
      Placement_->setWorker(Now, makeWorkerRow(Row->second.LastHeartbeat_));
    } else if (!Tasks_.tasksOnWorker(Name).empty()) {
      // Placement keeps the worker until records mark its tasks as lost.
      DepartedWorkers_.insert(Name);
    } else {
      Placement_->removeWorker(Now, Name);
      Orders_.erase(Name);
    }
  }
}

void TaskScheduler::proposeLostTasks(TimePoint Now,
                                     std::vector<CommandBody> &Records) {
  if (Now < NextLeaseCheckAt_)
    return;
  NextLeaseCheckAt_ = Now + Options_.LeaseCheckPeriod_;
  LoseTasks Lost;
  for (const auto &[Worker, Tasks] : Tasks_.tasksByWorker()) {
    if (!Upstreams_.hasLeaseExpired(Now, Worker))
      continue;
    for (const TaskId Id : Tasks) {
      const Epoch At = Tasks_.find(Id)->Epoch_;
      if (std::exchange(ProposedLosses_[Id], At) != At)
        Lost.Rows_.push_back({.Task_ = Id, .Epoch_ = At});
    }
    if (!Lost.Rows_.empty())
      logEvent(Event::LeaseRanOut, {{"upstream", Worker}});
  }
  if (!Lost.Rows_.empty())
    Records.emplace_back(std::move(Lost));
}

void TaskScheduler::addWaitingTasks(TimePoint Now,
                                    std::vector<CommandBody> &Records) {
  ParkTasks Park;
  std::erase_if(TasksToAdd_, [&](TaskId Id) {
    const TaskRecord *Task = Tasks_.find(Id);
    if (Task == nullptr || Task->ended() || Task->onWorker())
      return true;
    const Reason Rejection = Placement_->addTask(Now, makeTaskRow(*Task));
    if (Rejection == Reason::None)
      return true;
    if (Now < AnnounceGraceEndsAt_)
      return false;
    Park.Rows_.push_back(
        {.Task_ = Id, .Epoch_ = Task->Epoch_, .Reason_ = Rejection});
    return true;
  });
  if (!Park.Rows_.empty())
    Records.emplace_back(std::move(Park));
}

void TaskScheduler::addDecision(const decide::PlacementCommand &Decision,
                                PlaceTasks &Place, ParkTasks &Park) {
  const TaskRecord *Task = Tasks_.find(Decision.Task_);
  if (Task == nullptr)
    return;
  if (Decision.Action_ == PlacementAction::Park) {
    Park.Rows_.push_back({.Task_ = Decision.Task_,
                          .Epoch_ = Task->Epoch_,
                          .Reason_ = Decision.Reason_});
    return;
  }
  if (Decision.Action_ != PlacementAction::Start)
    return addOrder(Decision);
  const auto Worker = Upstreams_.workers().find(Decision.Worker_);
  if (Worker == Upstreams_.workers().end()) {
    Placement_->recordTaskEnd(Now_, Decision.Task_,
                              decide::PlacementOutcome::Refused);
    return;
  }
  Place.Rows_.push_back({.Task_ = Decision.Task_,
                         .Epoch_ = Task->Epoch_,
                         .Worker_ = Decision.Worker_,
                         .Target_ = Worker->second.LastHeartbeat_.Incarnation_,
                         .Reserve_ = Decision.Reservation_});
}

void TaskScheduler::onPlacementsCommitted(const PlaceTasks &Record) {
  if (!Placement_)
    return;
  for (const PlaceRow &Row : Record.Rows_) {
    const TaskRecord *Task = Tasks_.find(Row.Task_);
    if (Task != nullptr && !Task->ended() && !Task->onWorker() &&
        Task->Epoch_ == Row.Epoch_)
      Placement_->recordTaskEnd(Now_, Row.Task_,
                                decide::PlacementOutcome::Refused);
  }
}

void TaskScheduler::addOrder(const decide::PlacementCommand &Decision) {
  WorkerOrders &Orders = Orders_[Decision.Worker_];
  if (Decision.Action_ == PlacementAction::Checkpoint)
    Orders.TasksToCheckpoint_.insert(Decision.Task_);
  else
    Orders.ThrottlePermille_[Decision.Task_] = Decision.ThrottlePermille_;
  Orders.HasUnfetched_ = true;
}

bool TaskScheduler::hasDirectives(const std::string &Worker) const {
  if (!Placement_)
    return false;
  const auto Orders = Orders_.find(Worker);
  if (Orders != Orders_.end() && (Orders->second.HasUnfetched_ ||
                                  !Orders->second.TasksToCheckpoint_.empty()))
    return true;
  return std::ranges::any_of(Tasks_.tasksOnWorker(Worker), [this](TaskId Id) {
    const TaskRecord &Task = *Tasks_.find(Id);
    return Task.State_ == TaskState::Placed || Task.Cancelling_;
  });
}

wire::Directives TaskScheduler::consumeDirectives(const std::string &Worker) {
  wire::Directives Result;
  WorkerOrders &Orders = Orders_[Worker];
  for (const TaskId Id : Tasks_.tasksOnWorker(Worker)) {
    const TaskRecord &Task = *Tasks_.find(Id);
    if (ProposedLosses_.contains(Id))
      continue;
    if (Task.Cancelling_)
      Result.Rows_.push_back(makeDirective(Task, TaskAction::Stop));
    else if (Task.State_ == TaskState::Placed)
      Result.Rows_.push_back(makeStartDirective(Task));
    else if (Orders.TasksToCheckpoint_.contains(Id))
      Result.Rows_.push_back(makeDirective(Task, TaskAction::Checkpoint));
    else if (const auto Throttle = Orders.ThrottlePermille_.find(Id);
             Throttle != Orders.ThrottlePermille_.end()) {
      Result.Rows_.push_back(makeDirective(Task, TaskAction::Throttle));
      Result.Rows_.back().ThrottlePermille_ = Throttle->second;
    }
  }
  for (const TaskAtEpoch &Placement :
       std::exchange(Orders.StalePlacements_, {})) {
    wire::TaskDirective Row;
    Row.Task_ = Placement.Task_;
    Row.Epoch_ = Placement.Epoch_;
    Row.Action_ = TaskAction::Stop;
    Result.Rows_.push_back(std::move(Row));
  }
  Orders.HasUnfetched_ = false;
  return Result;
}

} // namespace dragonfly::control
