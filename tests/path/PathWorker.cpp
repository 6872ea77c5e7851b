#include "path/PathWorker.h"

#include <algorithm>
#include <utility>

namespace dragonfly::faults {
namespace {

constexpr Duration OrderTime = std::chrono::milliseconds(2);
constexpr Duration TaskTime = std::chrono::milliseconds(1500);
constexpr std::uint16_t Ok = 200;

} // namespace

PathWorker::PathWorker(PathWorkerOptions Options)
    : Options_(std::move(Options)), Random_(Options_.Seed_) {}

void PathWorker::violated(const std::string &Detail) {
  Options_.Evidence_->Violations_.push_back(Options_.Name_ + ": " + Detail);
}

agent::UpstreamHooks PathWorker::hooks() {
  PathNetwork &Network = *Options_.Network_;
  const Place Agent = Options_.Agent_;
  // An agent that has been killed within this moment reaches nobody.
  const auto Reply = [&Network, Agent](std::function<void()> Work) {
    Network.within(Agent, OrderTime, std::move(Work));
  };
  const auto Reachable = [&Network, Agent] { return Network.runs(Agent); };
  return {
      .Run_ =
          [this, Reachable](const wire::Execute &Request, Duration, auto OnEnd,
                            auto) {
            if (Reachable())
              run(Request, std::move(OnEnd));
            return std::uint64_t{0};
          },
      .Cancel_ = [](std::uint64_t) {},
      .Order_ =
          [this, Reply, Reachable](const wire::TaskDirective &Order,
                                   auto OnEnd) {
            if (!Reachable())
              return;
            if (OnOrder_)
              OnOrder_(false);
            const agent::OrderResult Result =
                Reachable() ? order(Order) : agent::OrderResult{};
            if (OnOrder_)
              OnOrder_(true);
            Reply([OnEnd, Result] { OnEnd(Result); });
          },
      .Lease_ =
          [this, Reachable](TimePoint Until) {
            if (Reachable())
              LeaseUntil_ = std::max(LeaseUntil_, Until);
          },
      .List_ =
          [this, Reply](auto OnEnd) {
            Reply([OnEnd, Rows = list()] { OnEnd(Rows); });
          },
      .Usage_ = [Reply](auto OnEnd) { Reply([OnEnd] { OnEnd(Resources{}); }); },
      .Health_ = [Reply](auto OnEnd) { Reply([OnEnd] { OnEnd(true); }); }};
}

void PathWorker::run(const wire::Execute &Request,
                     std::function<void(agent::RunResult)> OnEnd) {
  ++Runs_;
  ++Options_.Evidence_->Runs_[Request.Key_];
  if (++Busy_ > Options_.Slots_)
    violated("more requests than slots");
  std::uniform_int_distribution<int> Service(5, 40);
  const Duration After = std::chrono::milliseconds(Service(Random_));
  PathNetwork &Network = *Options_.Network_;
  Network.at(Network.now() + After, [this] { --Busy_; });
  Network.within(Options_.Agent_, After, [Request, OnEnd = std::move(OnEnd)] {
    OnEnd({.Status_ = net::CallStatus::Answered,
           .HttpStatus_ = Ok,
           .Body_ = "answer:" + Request.Key_.RequestId_});
  });
}

agent::OrderResult PathWorker::order(const wire::TaskDirective &Order) {
  if (Order.Action_ == wire::TaskAction::Start ||
      Order.Action_ == wire::TaskAction::Resume)
    return start(Order);
  const auto It = Tasks_.find(Order.Task_);
  if (It == Tasks_.end() || It->second.Epoch_ != Order.Epoch_ ||
      It->second.State_ != agent::WorkerTaskState::Running)
    return {.Status_ = agent::OrderStatus::Rejected};
  if (Order.Action_ == wire::TaskAction::Checkpoint)
    return checkpoint(Order.Task_, It->second);
  if (Order.Action_ == wire::TaskAction::Stop)
    leave(Order.Task_, It->second, agent::WorkerTaskState::Failed);
  return {.Status_ = agent::OrderStatus::Done};
}

agent::OrderResult PathWorker::start(const wire::TaskDirective &Order) {
  const auto Found = Tasks_.find(Order.Task_);
  const TimePoint Now = Options_.Network_->localNow(Options_.Agent_);
  if ((Found != Tasks_.end() && Order.Epoch_ <= Found->second.Epoch_) ||
      Now >= LeaseUntil_)
    return {.Status_ = agent::OrderStatus::Rejected};
  if (const auto &Running = Options_.Evidence_->Running_;
      Running.contains(Order.Task_))
    violated("task " + std::to_string(Order.Task_.Value_) +
             " was started while it ran on " + Running.at(Order.Task_));
  if (!Order.CheckpointId_.empty() &&
      ++Options_.Evidence_->Resumes_[Order.CheckpointId_] > 1)
    violated("checkpoint " + Order.CheckpointId_ + " was resumed twice");
  Options_.Evidence_->Running_[Order.Task_] = Options_.Name_;
  Tasks_[Order.Task_] = {
      .Epoch_ = Order.Epoch_, .Need_ = Order.Need_, .EndsAt_ = Now + TaskTime};
  Resources Committed;
  for (const auto &[Task, Row] : Tasks_)
    if (Row.State_ == agent::WorkerTaskState::Running)
      Committed += Row.Need_;
  if (!Committed.fitsIn(Options_.Capacity_))
    violated("the VM is committed beyond its capacity");
  return {.Status_ = agent::OrderStatus::Done};
}

agent::OrderResult PathWorker::checkpoint(TaskId Task, TaskRow &Row) {
  Row.CheckpointId_ = "c-" + std::to_string(++Options_.Evidence_->Checkpoints_);
  leave(Task, Row, agent::WorkerTaskState::Checkpointed);
  return {.Status_ = agent::OrderStatus::Done,
          .CheckpointId_ = Row.CheckpointId_};
}

void PathWorker::leave(TaskId Task, TaskRow &Row,
                       agent::WorkerTaskState State) {
  Row.State_ = State;
  Options_.Evidence_->Running_.erase(Task);
}

std::vector<agent::WorkerTask> PathWorker::list() const {
  std::vector<agent::WorkerTask> Rows;
  std::ranges::transform(
      Tasks_, std::back_inserter(Rows), [](const auto &Entry) {
        return agent::WorkerTask{.Task_ = Entry.first,
                                 .Epoch_ = Entry.second.Epoch_,
                                 .State_ = Entry.second.State_,
                                 .Need_ = Entry.second.Need_,
                                 .CheckpointId_ = Entry.second.CheckpointId_,
                                 .Status_ = Ok};
      });
  return Rows;
}

void PathWorker::tick() {
  const TimePoint Now = Options_.Network_->localNow(Options_.Agent_);
  for (auto &[Task, Row] : Tasks_) {
    if (Row.State_ != agent::WorkerTaskState::Running)
      continue;
    if (Now >= LeaseUntil_) {
      leave(Task, Row, agent::WorkerTaskState::Failed);
    } else if (Now >= Row.EndsAt_) {
      leave(Task, Row, agent::WorkerTaskState::Finished);
      ++Options_.Evidence_->Completions_[Task];
    }
  }
}

} // namespace dragonfly::faults
