#include "agent/WorkerAgentImpl.h"

#include <utility>

namespace dragonfly::agent {
namespace {

/// How often due calls, reports and leases are looked at.
constexpr Duration TickPeriod = std::chrono::milliseconds(50);
/// A stopping agent waits no longer for control.
constexpr Duration StopTime = std::chrono::milliseconds(500);

} // namespace

void WorkerAgent::Impl::start() {
  Ticks_ = Loop_.every(TickPeriod, [this] { tick(); });
}

void WorkerAgent::Impl::openSession() {
  if (Worker_.Worker_.empty() || Stopping_ || Departed_)
    return;
  const std::uint64_t Opened = ++Stream_;
  Leader_.stream(
      wire::WorkerHello{.Worker_ = Worker_.Worker_,
                        .Born_ = Worker_.Born_,
                        .Agent_ = Self_,
                        .Vm_ = Options_.Vm_,
                        .Service_ = Worker_.Service_,
                        .AvailabilityZone_ = Worker_.AvailabilityZone_,
                        .Labels_ = Worker_.Labels_,
                        .Capacity_ = Worker_.Capacity_},
      Options_.SessionTimeout_,
      [Self = weak_from_this(), Opened](wire::Message Part) {
        const auto Agent = Self.lock();
        auto *Orders = std::get_if<wire::WorkerOrders>(&Part);
        if (Agent && Orders != nullptr && Agent->Stream_ == Opened)
          Agent->takeOrders(std::move(*Orders));
      },
      [Self = weak_from_this(), Opened](const link::LeaderResult &) {
        const auto Agent = Self.lock();
        if (Agent && Agent->Stream_ == Opened)
          Agent->sessionEnded();
      });
}

void WorkerAgent::Impl::sessionEnded() {
  Session_ = 0;
  Complete_ = false;
  Reattach_ = Loop_.after(Options_.ReattachDelay_, [this] { openSession(); });
}

void WorkerAgent::Impl::takeOrders(wire::WorkerOrders Orders) {
  const TimePoint Now = Clock::now();
  if (Orders.Session_ != Session_) {
    Session_ = Orders.Session_;
    Fence_ = Orders.Fence_;
    RenewsToken_ = false;
    Complete_ = false;
    // What runs is told only after a list that was made under this fence.
    Listed_ = false;
    ListedAll_ = false;
    Known_.clear();
    // Cancels recorded between sessions were never delivered. Control orders
    // again what is still wanted.
    Book_.giveUpStarts(Now);
    NextHoldAt_ = Now;
  }
  for (const wire::Disturbance &Row : Orders.Disturbances_)
    Speeds_.setLoss(Row.ServingImage_, Row.Image_, Row.LossPerShare_);
  for (wire::StartOrder &Order : Orders.Known_)
    Known_[Order.Run_] = std::move(Order);
  for (wire::StartOrder &Order : Orders.Starts_)
    takeStart(Now, std::move(Order));
  for (const jobs::RunName &Run : Orders.Stops_)
    Book_.stop(Now, Run);
  pump();
}

void WorkerAgent::Impl::takeStart(TimePoint Now, wire::StartOrder Order) {
  const char *Why = Worker_.Draining_                         ? "draining"
                    : Silent_ || !Lease_.knowsClock()         ? "silent"
                    : Unsettled_                              ? "unsettled"
                    : Lease_.left(Now) < Options_.LeastLease_ ? "lease"
                                                              : nullptr;
  if (Why == nullptr) {
    Book_.order(Now, std::move(Order));
    return;
  }
  logEvent(Event::StartRefused, {{"run", printRun(Order.Run_)},
                                 {"worker", Worker_.Worker_},
                                 {"reason", Why}});
  Book_.refuse(Order.Run_);
  sendReport();
}

void WorkerAgent::Impl::tick() {
  const TimePoint Now = Clock::now();
  if (Worker_.Worker_.empty())
    return;
  noteUnsettled(Now);
  if (Silent_ && Lease_.isOver(Now))
    lapse(Now);
  renewToken(Now);
  if (mayCall() && !HoldOpen_ && Now >= NextHoldAt_)
    hold();
  if (Now - ReportedAt_ >= Options_.ReportPeriod_)
    sendReport();
  pump();
  reportCrash();
  retryProbe(Now);
  finishDeparture();
}

void WorkerAgent::Impl::lapse(TimePoint Now) {
  const std::size_t Unsettled = Book_.unsettledStarts();
  const std::size_t Lapsed = Book_.lapse(Now);
  if (Lapsed > 0)
    logEvent(Event::RunsLapsed,
             {{"worker", Worker_.Worker_},
              {"runs", Lapsed},
              {"unsettled", Unsettled},
              {"process_ms", static_cast<std::uint64_t>(
                                 toMilliseconds(Now - ProcessStart_))}});
}

void WorkerAgent::Impl::noteUnsettled(TimePoint Now) {
  const bool Unsettled = !Lease_.isRunning(Now) && Book_.unsettledStarts() > 0;
  if (std::exchange(Unsettled_, Unsettled) == Unsettled)
    return;
  if (Unsettled) {
    SettleBy_ = Now + Options_.SettleTime_;
    Book_.giveUpStarts(Now);
  } else {
    sendReport();
  }
}

void WorkerAgent::Impl::renewToken(TimePoint Now) {
  const bool IsDue =
      Unsettled_ || Book_.hasUnsettledStop(Now - Options_.LeasedSettleTime_);
  const bool IsNewToken = Fence_ > StartFence_;
  // The process of a departed worker opens no session any more.
  if (!IsDue || Silent_ || Departed_ || Session_ == 0 || IsNewToken ||
      RenewsToken_ || Now < SettleBy_)
    return;
  RenewsToken_ = true;
  Self_ = makeFreshId<Incarnation>();
  openSession();
}

void WorkerAgent::Impl::sendReport() {
  if (Session_ == 0 || ReportOpen_ || !Listed_)
    return;
  ReportOpen_ = true;
  ReportedAt_ = Clock::now();
  wire::WorkerReport Report{.Worker_ = Worker_.Worker_,
                            .Session_ = Session_,
                            .Draining_ = Worker_.Draining_,
                            .DrainTimeLeft_ = Worker_.DrainTimeLeft_,
                            // Until all ends are listed, runs may have ended
                            // of which nothing is known yet.
                            .Complete_ = !Complete_ && ListedAll_,
                            .Silent_ = Silent_ || Unsettled_,
                            .ColdTimeLeft_ = Worker_.ColdTimeLeft_,
                            .Runs_ = Book_.runReports(),
                            .Ends_ = Book_.endReports()};
  Book_.endsReported();
  const SentReport Sent{.SentAt_ = ReportedAt_,
                        .Ends_ = Report.Ends_.size(),
                        .Complete_ = Report.Complete_,
                        .Life_ = Life_,
                        .Session_ = Session_};
  Leader_.call(
      std::move(Report), Options_.ReportTimeout_,
      [Self = weak_from_this(), Sent](const link::LeaderResult &Result) {
        if (const auto Agent = Self.lock())
          Agent->reportAnswered(Sent, Result);
      });
}

void WorkerAgent::Impl::reportAnswered(const SentReport &Sent,
                                       const link::LeaderResult &Result) {
  ReportOpen_ = false;
  const auto *Ack = std::get_if<wire::WorkerReportAck>(&Result.Answer_);
  if (Sent.Life_ != Life_ || Ack == nullptr)
    return;
  if (Ack->SessionEnded_) {
    // Another replica leads; the old stream may hang for seconds.
    if (Sent.Session_ == Session_) {
      Session_ = 0;
      Complete_ = false;
      openSession();
    }
    return;
  }
  if (Ack->LeaseTerm_ > Duration::zero())
    Lease_.renewed(Sent.SentAt_, Ack->LeaseTerm_);
  if (Sent.Session_ == Session_)
    Complete_ = Complete_ || Sent.Complete_;
  Book_.endsDurable(Sent.Ends_);
  if (Sent.Ends_ > 0) {
    NextHoldAt_ = Clock::now();
    if (!HoldOpen_ && mayCall())
      hold();
  }
  if (Book_.pendingEnds() > 0 || Stopping_)
    sendReport();
  finishStop();
}

void WorkerAgent::Impl::stop(std::function<void()> OnStopped) {
  Stopping_ = true;
  OnStopped_ = std::move(OnStopped);
  StopBy_ = Loop_.after(StopTime, [this] { stopped(); });
  if (Session_ == 0)
    stopped();
  else
    sendReport();
}

void WorkerAgent::Impl::finishStop() {
  if (Stopping_ && std::exchange(FinalReport_, true))
    stopped();
}

void WorkerAgent::Impl::stopped() {
  StopBy_.cancel();
  if (const auto OnStopped = std::exchange(OnStopped_, nullptr))
    OnStopped();
}

WorkerAgent::WorkerAgent(net::EventLoop &Loop, link::LeaderClient &Leader,
                         WorkerAgentOptions Options)
    : Impl_(std::make_shared<Impl>(Loop, Leader, std::move(Options))) {
  Impl_->start();
}

WorkerAgent::~WorkerAgent() {
  Impl_->Ticks_.cancel();
  Impl_->Reattach_.cancel();
  Impl_->StopBy_.cancel();
}

void WorkerAgent::announced(const WorkerAnnouncement &Value) {
  Impl_->announced(Value);
}

void WorkerAgent::departed(const std::string &Worker) {
  Impl_->departed(Worker);
}

void WorkerAgent::stop(std::function<void()> OnStopped) {
  Impl_->stop(std::move(OnStopped));
}

} // namespace dragonfly::agent
