#include "dragonfly/agent/WorkerAgent.h"

#include "dragonfly/base/Log.h"
#include "dragonfly/base/Random.h"
#include "dragonfly/decide/SpeedControl.h"
#include "dragonfly/link/LeaderClient.h"
#include "dragonfly/net/EventLoop.h"

#include <algorithm>
#include <map>
#include <utility>

namespace dragonfly::agent {
namespace {

/// How often due calls, reports and leases are looked at.
constexpr Duration TickPeriod = std::chrono::milliseconds(50);
/// A stopping agent waits no longer for control.
constexpr Duration StopTime = std::chrono::milliseconds(500);
/// Changes of speed smaller than this are not worth a call.
constexpr std::uint32_t LeastSpeedChange = 3;
constexpr std::uint32_t FullSpeed = 100;

std::string nameOf(const jobs::RunName &Run) {
  return Run.Task_.Job_ + "." + std::to_string(Run.Task_.Step_) + "." +
         std::to_string(Run.Task_.Index_) + "#" + std::to_string(Run.Run_);
}

} // namespace

struct WorkerAgent::Impl : std::enable_shared_from_this<WorkerAgent::Impl> {
  Impl(net::EventLoop &Loop, link::LeaderClient &Leader,
       WorkerAgentOptions Options)
      : Loop_(Loop), Leader_(Leader), Options_(std::move(Options)),
        Self_(makeFreshId<Incarnation>()), Book_(Options_.Runs_),
        Lease_(Options_.Lease_) {}

  void start() {
    Ticks_ = Loop_.every(TickPeriod, [this] { tick(); });
  }

  bool announced(const WorkerAnnouncement &Value) {
    const bool SameLife =
        Value.Worker_ == Worker_.Worker_ && Value.Born_ == Worker_.Born_;
    if (!Worker_.Worker_.empty() && !SameLife && Value.Born_ < Worker_.Born_)
      return false;
    if (SameLife && Value.Sequence_ < Worker_.Sequence_)
      return false;
    const bool BeginsToDrain = Value.Draining_ && !Worker_.Draining_;
    const std::string Before = std::exchange(Worker_, Value).Worker_;
    if (!SameLife)
      beginLife(Before);
    if (BeginsToDrain) {
      logEvent(Event::WorkerDraining, {{"worker", Worker_.Worker_}});
      sendReport();
    }
    return true;
  }

  void beginLife(const std::string &Before) {
    logEvent(Event::WorkerAnnounced, {{"worker", Worker_.Worker_},
                                      {"born", Worker_.Born_},
                                      {"address", Worker_.Address_}});
    ++Life_;
    Book_.beginLife();
    Lease_ = WorkerLease(Options_.Lease_);
    Silent_ = false;
    HoldOpen_ = false;
    Session_ = 0;
    Fence_ = 0;
    Complete_ = false;
    Departed_ = false;
    // Another worker on this VM: the one before it is gone.
    if (!Before.empty() && Before != Worker_.Worker_)
      Leader_.call(wire::WorkerGone{.Worker_ = Before, .Born_ = BornBefore_},
                   Options_.ReportTimeout_, [](const link::LeaderResult &) {});
    BornBefore_ = Worker_.Born_;
    openSession();
  }

  void openSession() {
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

  void sessionEnded() {
    Session_ = 0;
    Complete_ = false;
    Reattach_ = Loop_.after(Options_.ReattachDelay_, [this] { openSession(); });
  }

  void takeOrders(wire::WorkerOrders Orders) {
    const TimePoint Now = Clock::now();
    if (Orders.Session_ != Session_) {
      Session_ = Orders.Session_;
      Fence_ = Orders.Fence_;
      Complete_ = false;
      // What runs is told only after a list that was made under this fence.
      ListedUnderFence_ = false;
      Known_.clear();
      NextHoldAt_ = Now;
    }
    for (const wire::Disturbance &Row : Orders.Disturbances_)
      Speeds_.disturbs(Row.ServingImage_, Row.Image_, Row.RisePerShare_);
    for (wire::StartOrder &Order : Orders.Known_)
      Known_[Order.Run_] = std::move(Order);
    for (wire::StartOrder &Order : Orders.Starts_)
      takeStart(Now, std::move(Order));
    for (const jobs::RunName &Run : Orders.Stops_)
      Book_.stop(Now, Run);
    pump();
  }

  void takeStart(TimePoint Now, wire::StartOrder Order) {
    const char *Why = Worker_.Draining_                         ? "draining"
                      : Silent_ || !Lease_.knowsClock()         ? "silent"
                      : Lease_.left(Now) < Options_.LeastLease_ ? "lease"
                                                                : nullptr;
    if (Why == nullptr) {
      Book_.order(Now, std::move(Order));
      return;
    }
    logEvent(Event::StartRefused, {{"run", nameOf(Order.Run_)},
                                   {"worker", Worker_.Worker_},
                                   {"reason", Why}});
    Book_.refuse(Order.Run_);
    sendReport();
  }

  void tick() {
    const TimePoint Now = Clock::now();
    if (Worker_.Worker_.empty())
      return;
    if (Silent_ && Lease_.isOver(Now) && !Book_.rows().empty()) {
      logEvent(Event::RunsLapsed,
               {{"worker", Worker_.Worker_}, {"runs", Book_.rows().size()}});
      Book_.lapse();
    }
    if (mayCall() && !HoldOpen_ && Now >= NextHoldAt_)
      hold();
    if (Now - ReportedAt_ >= Options_.ReportPeriod_)
      sendReport();
    pump();
    finishDeparture();
  }

  void hold() {
    HoldOpen_ = true;
    const TimePoint SentAt = Clock::now();
    const bool Prompt = Book_.pendingEnds() > 0 || !ListedUnderFence_;
    const HoldCall Call{.Fence_ = Fence_,
                        .LastDurableEnd_ = Book_.lastDurableEnd(),
                        .LeaseUntil_ = Lease_.grant(Clock::now()),
                        .Wait_ = Prompt                 ? Duration::zero()
                                 : Book_.rows().empty() ? Options_.IdleWait_
                                                        : Options_.BusyWait_};
    Options_.Calls_.Hold_(
        Worker_.Address_, Call,
        [Self = weak_from_this(), SentAt, Life = Life_, Fence = Fence_,
         Session = Session_](const HoldAnswer &Answer) {
          const auto Agent = Self.lock();
          if (Agent && Agent->Life_ == Life)
            Agent->holdAnswered(SentAt, Fence, Session, Answer);
        });
  }

  void holdAnswered(TimePoint SentAt, std::uint64_t Fence,
                    std::uint64_t Session, const HoldAnswer &Answer) {
    HoldOpen_ = false;
    const TimePoint Now = Clock::now();
    Options_.Metrics_->count(
        "lists", Answer.Status_ == HoldStatus::Listed ? "read" : "failed");
    if (Answer.Status_ == HoldStatus::Fenced) {
      // Another process of this agent spoke for the worker: register anew.
      Self_ = makeFreshId<Incarnation>();
      NextHoldAt_ = Now + Options_.SilentDelay_;
      Session_ = 0;
      Fence_ = 0;
      Complete_ = false;
      logEvent(Event::StartRefused, {{"worker", Worker_.Worker_},
                                     {"reason", "fenced"},
                                     {"fence", Fence}});
      return;
    }
    const bool Listed =
        Answer.Status_ == HoldStatus::Listed && Answer.Born_ == Worker_.Born_;
    noteSilence(!Listed);
    if (!Listed) {
      NextHoldAt_ = Now + Options_.SilentDelay_;
      return;
    }
    Lease_.clockRead(Now, Answer.Clock_);
    if (!ReportOpen_)
      Book_.retractEnds(Answer);
    Book_.listed(Now, SentAt, Answer);
    for (const auto &[Run, Order] : Known_)
      Book_.describe(Order);
    if (Fence == Fence_ && Session == Session_ && !Answer.Truncated_)
      ListedUnderFence_ = true;
    NextHoldAt_ = Book_.pendingEnds() > 0 ? Now + Options_.RereadDelay_ : Now;
    if (Book_.pendingEnds() > 0 || !Complete_)
      sendReport();
    controlSpeed(Now);
    pump();
    if (mayCall() && !HoldOpen_ && NextHoldAt_ <= Now)
      hold();
  }

  /// The worker knows, or will learn, the fence that calls carry.
  bool mayCall() const { return Fence_ != 0; }

  void noteSilence(bool Silent) {
    Lease_.setSilent(Silent);
    if (std::exchange(Silent_, Silent) == Silent)
      return;
    logEvent(Silent ? Event::WorkerSilent : Event::WorkerAnswers,
             {{"worker", Worker_.Worker_}, {"runs", Book_.rows().size()}});
    sendReport();
  }

  /// Carries out the calls that are due.
  void pump() {
    if (!mayCall() || !Lease_.knowsClock())
      return;
    for (const DueCall &Due : Book_.takeDueCalls(Clock::now()))
      if (Due.Kind_ == DueCall::Kind::Start)
        callStart(Due.Run_);
      else
        callStop(Due.Run_);
  }

  void callStart(const jobs::RunName &Run) {
    const wire::StartOrder &Order = Book_.rows().at(Run).Order_;
    Options_.Calls_.Start_(
        Worker_.Address_,
        {.Run_ = Run,
         .Payload_ = Order.Payload_,
         .Checkpoint_ = Order.Checkpoint_,
         .LeaseUntil_ = Lease_.grant(Clock::now()),
         .Fence_ = Fence_},
        [Self = weak_from_this(), Run, Life = Life_](StartStatus Status) {
          const auto Agent = Self.lock();
          if (!Agent || Agent->Life_ != Life)
            return;
          Agent->Options_.Metrics_->count("starts", enumName(Status));
          if (Status != StartStatus::Started)
            logEvent(Status == StartStatus::NoAnswer ? Event::StartUnanswered
                                                     : Event::StartRefused,
                     {{"run", nameOf(Run)},
                      {"worker", Agent->Worker_.Worker_},
                      {"reason", enumName(Status)}});
          Agent->Book_.startAnswered(Clock::now(), Run, Status);
          Agent->afterAnswer();
        });
  }

  void callStop(const jobs::RunName &Run) {
    Options_.Calls_.Stop_(
        Worker_.Address_, {.Run_ = Run, .Fence_ = Fence_},
        [Self = weak_from_this(), Run, Life = Life_](bool Confirmed) {
          const auto Agent = Self.lock();
          if (!Agent || Agent->Life_ != Life)
            return;
          Agent->Book_.stopAnswered(Clock::now(), Run, Confirmed);
          Agent->afterAnswer();
        });
  }

  void afterAnswer() {
    if (Book_.pendingEnds() > 0)
      sendReport();
    pump();
  }

  /// Keeps runs that serve under their targets, at the cost of the runs on
  /// spare processors that disturb them.
  void controlSpeed(TimePoint Now) {
    for (const auto &[Run, Row] : Book_.rows()) {
      if (!Row.Order_.UsesSpareProcessors_ ||
          Row.Phase_ != wire::RunPhase::Running)
        continue;
      Speeds_.runs(Row.Order_.Image_,
                   static_cast<double>(Row.Listed_.Load_) /
                       static_cast<double>(std::max<std::int64_t>(
                           Worker_.Capacity_.MilliProcessors_, 1)));
    }
    for (const auto &[Run, Row] : Book_.rows())
      if (Row.Order_.TailTarget_ > Duration::zero() && Row.Listed_.Load_ > 0)
        Speeds_.serves(Row.Order_.Image_,
                       static_cast<double>(Row.Listed_.Load_) /
                           toMilliseconds(Row.Order_.TailTarget_));
    Speeds_.update(Now);
    std::vector<std::pair<jobs::RunName, std::uint32_t>> Changed;
    for (const auto &[Run, Row] : Book_.rows()) {
      if (!Row.Order_.UsesSpareProcessors_ ||
          Row.Phase_ != wire::RunPhase::Running)
        continue;
      const std::uint32_t Percent = Speeds_.percentOf(Row.Order_.Image_);
      const std::uint32_t Change = std::max(Row.SpeedPercent_, Percent) -
                                   std::min(Row.SpeedPercent_, Percent);
      if (Change >= LeastSpeedChange ||
          (Change > 0 && (Percent == 0 || Percent == FullSpeed)))
        Changed.emplace_back(Run, Percent);
    }
    for (const auto &[Run, Percent] : Changed) {
      logEvent(Event::SpeedChanged,
               {{"run", nameOf(Run)},
                {"worker", Worker_.Worker_},
                {"percent", Percent},
                {"tail_permille_of_target",
                 static_cast<std::uint64_t>(1000 * Speeds_.worstRatio())}});
      callPace(Run, Percent);
    }
  }

  void callPace(const jobs::RunName &Run, std::uint32_t Percent) {
    const std::uint32_t Before = Book_.rows().at(Run).SpeedPercent_;
    Book_.setSpeed(Run, Percent);
    Options_.Calls_.Pace_(
        Worker_.Address_,
        {.Run_ = Run, .SpeedPercent_ = Percent, .Fence_ = Fence_},
        [Self = weak_from_this(), Run, Before, Life = Life_](bool Confirmed) {
          const auto Agent = Self.lock();
          if (Agent && Agent->Life_ == Life && !Confirmed)
            Agent->Book_.setSpeed(Run, Before);
        });
  }

  void sendReport() {
    if (Session_ == 0 || ReportOpen_ || !ListedUnderFence_)
      return;
    ReportOpen_ = true;
    ReportedAt_ = Clock::now();
    wire::WorkerReport Report{.Worker_ = Worker_.Worker_,
                              .Session_ = Session_,
                              .Draining_ = Worker_.Draining_,
                              .DrainTimeLeft_ = Worker_.DrainTimeLeft_,
                              .Complete_ = !Complete_,
                              .Silent_ = Silent_,
                              .Runs_ = Book_.runReports(),
                              .Ends_ = Book_.endReports()};
    const std::size_t Ends = Report.Ends_.size();
    Leader_.call(std::move(Report), Options_.ReportTimeout_,
                 [Self = weak_from_this(), SentAt = ReportedAt_, Ends,
                  Life = Life_,
                  Session = Session_](const link::LeaderResult &Result) {
                   if (const auto Agent = Self.lock())
                     Agent->reportAnswered(SentAt, Ends, Life, Session, Result);
                 });
  }

  void reportAnswered(TimePoint SentAt, std::size_t Ends, std::uint64_t Life,
                      std::uint64_t Session, const link::LeaderResult &Result) {
    ReportOpen_ = false;
    const auto *Ack = std::get_if<wire::WorkerReportAck>(&Result.Answer_);
    if (Life != Life_ || Ack == nullptr)
      return;
    if (Ack->SessionEnded_) {
      // Another replica leads; the old stream may hang for seconds.
      if (Session == Session_) {
        Session_ = 0;
        Complete_ = false;
        openSession();
      }
      return;
    }
    if (Ack->LeaseTerm_ > Duration::zero())
      Lease_.renewed(SentAt + Ack->LeaseTerm_);
    if (Session == Session_)
      Complete_ = true;
    Book_.endsDurable(Ends);
    if (Ends > 0) {
      NextHoldAt_ = Clock::now();
      if (!HoldOpen_ && mayCall())
        hold();
    }
    if (Book_.pendingEnds() > 0 || Stopping_)
      sendReport();
    finishStop();
  }

  /// The worker ends once it has its answer, or some seconds later: until its
  /// lease is over, its runs may go on.
  void departed(const std::string &Worker) {
    if (Worker != Worker_.Worker_ || std::exchange(Departed_, true))
      return;
    Worker_.Draining_ = true;
    Lease_.close();
    const TimePoint Now = Clock::now();
    for (const wire::RunReport &Run : Book_.runReports())
      Book_.stop(Now, Run.Run_);
    sendReport();
    pump();
  }

  /// Tells control that a departed worker has no runs any more.
  void finishDeparture() {
    if (!Departed_ || !Book_.rows().empty() || Book_.pendingEnds() > 0 ||
        Session_ == 0)
      return;
    Session_ = 0;
    Leader_.call(
        wire::WorkerGone{.Worker_ = Worker_.Worker_, .Born_ = Worker_.Born_},
        Options_.ReportTimeout_, [](const link::LeaderResult &) {});
  }

  void stop(std::function<void()> OnStopped) {
    Stopping_ = true;
    OnStopped_ = std::move(OnStopped);
    StopBy_ = Loop_.after(StopTime, [this] { stopped(); });
    if (Session_ == 0)
      stopped();
    else
      sendReport();
  }

  /// Ends the stop after a report that left once the stop had begun.
  void finishStop() {
    if (Stopping_ && std::exchange(FinalReport_, true))
      stopped();
  }

  void stopped() {
    StopBy_.cancel();
    if (const auto OnStopped = std::exchange(OnStopped_, nullptr))
      OnStopped();
  }

  net::EventLoop &Loop_;
  link::LeaderClient &Leader_;
  WorkerAgentOptions Options_;
  /// Drawn anew where another process turns out to have spoken for the worker.
  Incarnation Self_;
  WorkerAnnouncement Worker_;
  std::uint64_t BornBefore_ = 0;
  /// Counts lives, so that answers of earlier ones are told apart.
  std::uint64_t Life_ = 0;
  RunBook Book_;
  decide::SpeedControl Speeds_;

  /// Counts streams; parts of earlier ones have no effect.
  std::uint64_t Stream_ = 0;
  /// 0 while no session is open.
  std::uint64_t Session_ = 0;
  std::uint64_t Fence_ = 0;
  /// Control has heard of everything that runs here, in this session.
  bool Complete_ = false;
  bool ListedUnderFence_ = false;

  bool HoldOpen_ = false;
  TimePoint NextHoldAt_;
  /// What control knows of runs that it had ordered from another process.
  std::map<jobs::RunName, wire::StartOrder> Known_;
  bool Silent_ = false;
  /// The worker has said that it ends.
  bool Departed_ = false;
  WorkerLease Lease_;

  bool ReportOpen_ = false;
  TimePoint ReportedAt_;
  bool Stopping_ = false;
  bool FinalReport_ = false;
  std::function<void()> OnStopped_;
  net::Timer Ticks_;
  net::Timer Reattach_;
  net::Timer StopBy_;
};

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

bool WorkerAgent::announced(const WorkerAnnouncement &Value) {
  return Impl_->announced(Value);
}

void WorkerAgent::departed(const std::string &Worker) {
  Impl_->departed(Worker);
}

void WorkerAgent::stop(std::function<void()> OnStopped) {
  Impl_->stop(std::move(OnStopped));
}

} // namespace dragonfly::agent
