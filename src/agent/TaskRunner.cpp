#include "dragonfly/agent/TaskRunner.h"

#include "dragonfly/agent/Ledger.h"

#include <algorithm>
#include <utility>

namespace dragonfly::agent {
namespace {

/// Fences kept; task ids grow, so the lowest are the oldest.
constexpr std::size_t MaxFences = 4096;

} // namespace

TaskRunner::TaskRunner(TaskRunnerOptions Options)
    : Options_(std::move(Options)) {}

bool TaskRunner::current(TaskId Task, Epoch Under) const {
  const auto It = Rows_.find(Task);
  return It != Rows_.end() && It->second.Epoch_ == Under;
}

void TaskRunner::adopt(const WorkerTask &Found) {
  Options_.Ledger_->adopt(Found.Task_, Found.Need_);
  Rows_[Found.Task_] = {.Epoch_ = Found.Epoch_, .Phase_ = Phase::Running};
  Fences_[Found.Task_] = Found.Epoch_;
  endListed(Found);
}

void TaskRunner::take(const std::vector<wire::TaskDirective> &Rows) {
  for (const wire::TaskDirective &Order : Rows) {
    switch (Order.Action_) {
    case wire::TaskAction::Start:
    case wire::TaskAction::Resume:
      start(Order);
      break;
    case wire::TaskAction::Throttle:
      if (current(Order.Task_, Order.Epoch_))
        Options_.Upstream_.Order_(Order, [](const OrderResult &) {});
      break;
    case wire::TaskAction::Checkpoint:
      checkpoint(Order);
      break;
    case wire::TaskAction::Stop:
      cancel(Order);
      break;
    }
  }
}

bool TaskRunner::fence(const wire::TaskDirective &Order) {
  const auto [It, New] = Fences_.emplace(Order.Task_, Order.Epoch_);
  if (!New && Order.Epoch_ <= It->second)
    return false;
  It->second = Order.Epoch_;
  if (Fences_.size() > MaxFences)
    Fences_.erase(Fences_.begin());
  return true;
}

/// A task that was never started here is refused, so that control hears of its
/// end; while the worker's tasks are not known, it may be one of them.
void TaskRunner::cancel(const wire::TaskDirective &Order) {
  if (Rows_.contains(Order.Task_)) {
    stop(Order.Task_, Order.Epoch_, Reason::Cancelled);
    return;
  }
  if (Options_.MayStart_() == Reason::LedgerNotReady || !fence(Order))
    return;
  Options_.OnReport_({.Task_ = Order.Task_,
                      .Epoch_ = Order.Epoch_,
                      .Event_ = wire::TaskEvent::Refused,
                      .Reason_ = Reason::Cancelled});
}

void TaskRunner::start(const wire::TaskDirective &Order) {
  // An epoch that was refused is never started: control may have moved on.
  if (!fence(Order))
    return;
  Reason Why =
      Rows_.contains(Order.Task_) ? Reason::NoFreeSlot : Options_.MayStart_();
  if (Why == Reason::None)
    Why = Options_.Ledger_->commit(Order.Task_, Order.Need_);
  if (Why != Reason::None) {
    Options_.OnReport_({.Task_ = Order.Task_,
                        .Epoch_ = Order.Epoch_,
                        .Event_ = wire::TaskEvent::Refused,
                        .Reason_ = Why});
    return;
  }
  Rows_[Order.Task_] = {.Epoch_ = Order.Epoch_};
  Options_.Upstream_.Order_(
      Order, [this, Task = Order.Task_, Under = Order.Epoch_](
                 const OrderResult &Result) { started(Task, Under, Result); });
}

void TaskRunner::started(TaskId Task, Epoch Under, const OrderResult &Result) {
  if (!current(Task, Under) || Rows_.at(Task).Phase_ != Phase::Starting)
    return;
  if (Result.Status_ == OrderStatus::Rejected) {
    close(Task, {.Event_ = wire::TaskEvent::Failed,
                 .Reason_ = Reason::UpstreamFailed});
    return;
  }
  // After no answer the task may run; the next listing tells.
  Rows_.at(Task).Phase_ = Phase::Running;
  if (Result.Status_ == OrderStatus::Done)
    Options_.OnReport_(
        {.Task_ = Task, .Epoch_ = Under, .Event_ = wire::TaskEvent::Started});
}

void TaskRunner::checkpoint(const wire::TaskDirective &Order) {
  if (!current(Order.Task_, Order.Epoch_) ||
      Rows_.at(Order.Task_).Phase_ != Phase::Running)
    return;
  Rows_.at(Order.Task_).Phase_ = Phase::Stopping;
  Options_.Upstream_.Order_(
      Order, [this, Task = Order.Task_,
              Under = Order.Epoch_](const OrderResult &Result) {
        if (!current(Task, Under))
          return;
        if (Result.Status_ == OrderStatus::Done)
          close(Task, {.Event_ = wire::TaskEvent::Checkpointed,
                       .CheckpointId_ = Result.CheckpointId_});
        else
          Rows_.at(Task).Phase_ = Phase::Running;
      });
}

void TaskRunner::stop(TaskId Task, Epoch Under, Reason Why) {
  if (!current(Task, Under))
    return;
  Rows_.at(Task).Phase_ = Phase::Stopping;
  Options_.Upstream_.Order_(
      {.Task_ = Task, .Epoch_ = Under, .Action_ = wire::TaskAction::Stop},
      [this, Task, Under, Why](const OrderResult &Result) {
        if (!current(Task, Under))
          return;
        if (Result.Status_ != OrderStatus::Unknown)
          close(Task, {.Event_ = wire::TaskEvent::Stopped, .Reason_ = Why});
        else
          Rows_.at(Task).Phase_ = Phase::Running;
      });
}

void TaskRunner::stopAll(Reason Why) {
  for (const auto &[Task, Row] : std::map(Rows_))
    stop(Task, Row.Epoch_, Why);
}

void TaskRunner::checkpointAll() {
  for (const auto &[Task, Row] : std::map(Rows_))
    checkpoint({.Task_ = Task,
                .Epoch_ = Row.Epoch_,
                .Action_ = wire::TaskAction::Checkpoint});
}

void TaskRunner::close(TaskId Task, wire::TaskReport Report) {
  Report.Task_ = Task;
  Report.Epoch_ = Rows_.at(Task).Epoch_;
  Rows_.erase(Task);
  Options_.Ledger_->release(Task);
  Options_.OnReport_(std::move(Report));
}

void TaskRunner::reconcile(const std::vector<WorkerTask> &Listed) {
  std::ranges::for_each(Listed,
                        [this](const WorkerTask &Found) { endListed(Found); });
  for (const auto &[Task, Row] : std::map(Rows_)) {
    const bool Gone =
        std::ranges::find(Listed, Task, &WorkerTask::Task_) == Listed.end();
    if (Gone && Row.Phase_ == Phase::Running)
      close(Task, {.Event_ = wire::TaskEvent::Failed,
                   .Reason_ = Reason::UpstreamFailed});
  }
}

void TaskRunner::endListed(const WorkerTask &Listed) {
  if (!current(Listed.Task_, Listed.Epoch_))
    return;
  if (Listed.State_ == WorkerTaskState::Finished)
    close(Listed.Task_, {.Event_ = wire::TaskEvent::Finished,
                         .Status_ = Listed.Status_,
                         .Body_ = Listed.Body_});
  else if (Listed.State_ == WorkerTaskState::Checkpointed)
    close(Listed.Task_, {.Event_ = wire::TaskEvent::Checkpointed,
                         .CheckpointId_ = Listed.CheckpointId_});
  else if (Listed.State_ == WorkerTaskState::Failed)
    close(Listed.Task_, {.Event_ = wire::TaskEvent::Failed,
                         .Reason_ = Reason::UpstreamFailed,
                         .Status_ = Listed.Status_});
}

} // namespace dragonfly::agent
