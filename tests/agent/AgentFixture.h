/// A worker agent between a fake worker and a fake leader of control, on real
/// connections to the leader and with the clock paused.
#ifndef DRAGONFLY_TESTS_AGENT_AGENTFIXTURE_H
#define DRAGONFLY_TESTS_AGENT_AGENTFIXTURE_H

#include "dragonfly/agent/WorkerAgent.h"
#include "dragonfly/base/Log.h"
#include "dragonfly/base/Metrics.h"
#include "dragonfly/link/LeaderClient.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/FrameServer.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::agent {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline jobs::RunName makeRun(std::uint32_t Index, std::uint32_t Run = 1) {
  return {.Task_ = {.Job_ = "5c0e7a21d94b36f8", .Step_ = 0, .Index_ = Index},
          .Run_ = Run};
}

/// An announcement of a worker that is not on the VM.
inline WorkerAnnouncement foreign(std::string Name, std::uint64_t Born) {
  return {.Worker_ = std::move(Name),
          .Born_ = Born,
          .Sequence_ = 1,
          .Service_ = "unnamed",
          .AvailabilityZone_ = "zone-a",
          .Capacity_ = {.MilliProcessors_ = 16000, .MemoryMib_ = 64000}};
}

/// Runs what it is told to under a lease, as the platform describes workers.
class FakeWorker {
public:
  FakeWorker(net::EventLoop &Loop, std::string Name, std::uint64_t Born)
      : Loop_(Loop) {
    restart(std::move(Name), Born);
  }

  /// Begins another life, which knows and runs nothing.
  void restart(std::string Name, std::uint64_t Born) {
    Self_ = {.Worker_ = std::move(Name),
             .Born_ = Born,
             .Service_ = "sorting",
             .AvailabilityZone_ = "zone-a",
             .Labels_ = {"a"},
             .Capacity_ = {.MilliProcessors_ = 4000, .MemoryMib_ = 4096}};
    StartedAt_ = Clock::now();
    Runs_.clear();
    Ends_.clear();
    Settled_.clear();
    NextEnd_ = 1;
    Fence_ = 0;
    LeaseUntil_ = {};
  }

  /// Returns what its next heartbeat says.
  WorkerAnnouncement announce() {
    ++Self_.Sequence_;
    return Self_;
  }

  /// Sets what its next heartbeats say of its capacity.
  void setCapacity(std::int64_t MilliProcessors, std::int64_t MemoryMib = 4096,
                   std::int64_t Accelerators = 0) {
    Self_.Capacity_ = {.MilliProcessors_ = MilliProcessors,
                       .MemoryMib_ = MemoryMib,
                       .Accelerators_ = Accelerators};
  }

  /// While set, calls get no answer and are not carried out.
  void setSilent(bool Silent) { Silent_ = Silent; }
  /// While positive, starts and stops get no answer and are carried out so much
  /// later, also by a later life of the same name.
  void setOrderDelay(Duration Delay) { OrderDelay_ = Delay; }
  /// While positive, lists are made when they are asked for and arrive so much
  /// later.
  void setListDelay(Duration Delay) { ListDelay_ = Delay; }
  /// Sets the speed of the worker's clock, in thousandths of true time.
  void setClockPermille(int Permille) { ClockPermille_ = Permille; }

  bool isRunning(const jobs::RunName &Run) {
    expireLease();
    return Runs_.contains(Run);
  }
  std::size_t running() {
    expireLease();
    return Runs_.size();
  }
  /// How often the run has begun, in all lives.
  std::size_t starts(const jobs::RunName &Run) const {
    return static_cast<std::size_t>(std::ranges::count(Started_, Run));
  }
  void finish(const jobs::RunName &Run) { endRun(Run, jobs::RunEnd::Finished); }
  /// Ends that it has not been told to forget.
  std::size_t keptEnds() const { return Ends_.size(); }
  std::uint64_t fence() const { return Fence_; }
  void raiseFence(std::uint64_t Fence) { Fence_ = Fence; }
  /// Calls for another worker, which were refused.
  std::size_t misdirected() const { return Misdirected_; }

  WorkerCalls calls() {
    return {.Start_ =
                [this](const std::string &Worker, const StartCall &Call,
                       std::function<void(StartStatus)> OnEnd) {
                  if (OrderDelay_ > Duration::zero()) {
                    carryOutLate([this, Worker, Call] { start(Worker, Call); },
                                 [OnEnd] { OnEnd(StartStatus::NoAnswer); });
                    return;
                  }
                  const StartStatus Status = start(Worker, Call);
                  reply([OnEnd, Status] { OnEnd(Status); },
                        [OnEnd] { OnEnd(StartStatus::NoAnswer); });
                },
            .Stop_ =
                [this](const std::string &Worker, const StopCall &Call,
                       std::function<void(bool)> OnEnd) {
                  if (OrderDelay_ > Duration::zero()) {
                    carryOutLate([this, Worker, Call] { stop(Worker, Call); },
                                 [OnEnd] { OnEnd(false); });
                    return;
                  }
                  const bool Done = stop(Worker, Call);
                  reply([OnEnd, Done] { OnEnd(Done); },
                        [OnEnd] { OnEnd(false); });
                },
            .Pace_ =
                [this](const std::string &, const PaceCall &,
                       std::function<void(bool)> OnEnd) {
                  reply([OnEnd] { OnEnd(true); }, [OnEnd] { OnEnd(false); });
                },
            .Hold_ =
                [this](const std::string &Worker, const HoldCall &Call,
                       std::function<void(HoldAnswer)> OnEnd) {
                  hold(Worker, Call, std::move(OnEnd));
                }};
  }

private:
  static constexpr Duration CallTimeout = milliseconds(800);
  static constexpr WorkerTime MaxLease = seconds(10);

  WorkerTime clock() const {
    return std::chrono::duration_cast<WorkerTime>((Clock::now() - StartedAt_) *
                                                  ClockPermille_ / 1000);
  }

  HoldStatus takes(const std::string &Worker, std::uint64_t Fence) {
    expireLease();
    if (Worker != Self_.Worker_) {
      ++Misdirected_;
      return HoldStatus::OtherLife;
    }
    if (Fence < Fence_)
      return HoldStatus::Fenced;
    if (Silent_)
      return HoldStatus::NoAnswer;
    Fence_ = Fence;
    return HoldStatus::Listed;
  }

  StartStatus start(const std::string &Worker, const StartCall &Call) {
    switch (takes(Worker, Call.Fence_)) {
    case HoldStatus::Listed:
      break;
    case HoldStatus::Fenced:
      return StartStatus::Fenced;
    case HoldStatus::OtherLife:
      return StartStatus::OtherLife;
    case HoldStatus::NoAnswer:
      return StartStatus::NoAnswer;
    }
    // A lease applies to everything on the worker and never shortens.
    LeaseUntil_ =
        std::max(LeaseUntil_, std::min(Call.LeaseUntil_, clock() + MaxLease));
    if (Runs_.contains(Call.Run_))
      return StartStatus::Started;
    if (isSettled(Call.Run_))
      return StartStatus::Ended;
    if (clock() >= LeaseUntil_)
      return StartStatus::LeaseOver;
    Runs_.insert(Call.Run_);
    Started_.push_back(Call.Run_);
    return StartStatus::Started;
  }

  bool stop(const std::string &Worker, const StopCall &Call) {
    if (takes(Worker, Call.Fence_) != HoldStatus::Listed)
      return false;
    endRun(Call.Run_, jobs::RunEnd::Stopped);
    settle(Call.Run_);
    return true;
  }

  /// Whether the run, or a later one of its task, was stopped or has ended.
  bool isSettled(const jobs::RunName &Run) const {
    const auto It = Settled_.find(Run.Task_);
    return It != Settled_.end() && Run.Run_ <= It->second;
  }
  void settle(const jobs::RunName &Run) {
    std::uint32_t &Newest = Settled_[Run.Task_];
    Newest = std::max(Newest, Run.Run_);
  }

  void carryOutLate(std::function<void()> CarryOut,
                    std::function<void()> OnTimeout) {
    Pending_.push_back(Loop_.after(OrderDelay_, std::move(CarryOut)));
    Pending_.push_back(Loop_.after(CallTimeout, std::move(OnTimeout)));
  }

  void hold(const std::string &Worker, const HoldCall &Call,
            std::function<void(HoldAnswer)> OnEnd) {
    const HoldStatus Status = takes(Worker, Call.Fence_);
    if (Status == HoldStatus::Listed) {
      LeaseUntil_ =
          std::max(LeaseUntil_, std::min(Call.LeaseUntil_, clock() + MaxLease));
      std::erase_if(Ends_, [&Call](const ListedEnd &Each) {
        return Each.Number_ <= Call.LastDurableEnd_;
      });
    }
    if (Status == HoldStatus::Listed && ListDelay_ > Duration::zero()) {
      reply([OnEnd, Lists = lists()] { OnEnd(Lists); }, [OnEnd] { OnEnd({}); },
            ListDelay_);
      return;
    }
    const bool Waits = Status == HoldStatus::Listed && Ends_.empty();
    const std::uint64_t Life = Self_.Born_;
    const auto Answer = [this, Status, Life, OnEnd] {
      if (Status != HoldStatus::Listed || Life != Self_.Born_)
        OnEnd({.Status_ = Status == HoldStatus::Listed ? HoldStatus::NoAnswer
                                                       : Status});
      else
        OnEnd(lists());
    };
    reply(
        Answer, [OnEnd] { OnEnd({}); }, Waits ? Call.Wait_ : Duration::zero());
  }

  HoldAnswer lists() {
    expireLease();
    HoldAnswer Answer{.Status_ = HoldStatus::Listed,
                      .Born_ = Self_.Born_,
                      .Clock_ = clock(),
                      .Ends_ = Ends_};
    // As many as one answer of the platform lists.
    constexpr std::size_t MaxListedEnds = 500;
    if (Answer.Ends_.size() >= MaxListedEnds) {
      Answer.Ends_.resize(MaxListedEnds);
      Answer.Truncated_ = true;
    }
    std::ranges::transform(
        Runs_, std::back_inserter(Answer.Runs_),
        [](const jobs::RunName &Run) { return ListedRun{.Run_ = Run}; });
    return Answer;
  }

  void reply(std::function<void()> Answer, std::function<void()> OnTimeout,
             Duration Delay = {}) {
    // The answer is lost if the worker falls silent before it leaves.
    const bool Lost = Silent_;
    Pending_.push_back(Loop_.after(Lost ? CallTimeout : Delay,
                                   [this, Lost, Answer = std::move(Answer),
                                    OnTimeout = std::move(OnTimeout)] {
                                     if (Lost || Silent_)
                                       OnTimeout();
                                     else
                                       Answer();
                                   }));
  }

  void expireLease() {
    while (!Runs_.empty() && clock() >= LeaseUntil_)
      endRun(*Runs_.begin(), jobs::RunEnd::LeaseExpired);
  }

  void endRun(const jobs::RunName &Run, jobs::RunEnd How) {
    auto Ended = Runs_.extract(Run);
    if (Ended.empty())
      return;
    settle(Ended.value());
    Ends_.push_back(
        {.Number_ = NextEnd_++, .Run_ = std::move(Ended.value()), .How_ = How});
  }

  net::EventLoop &Loop_;
  WorkerAnnouncement Self_;
  TimePoint StartedAt_;
  std::set<jobs::RunName> Runs_;
  std::vector<jobs::RunName> Started_;
  std::vector<ListedEnd> Ends_;
  /// The highest run that was stopped or has ended here, by task.
  std::map<jobs::TaskName, std::uint32_t> Settled_;
  std::uint64_t NextEnd_ = 1;
  std::uint64_t Fence_ = 0;
  WorkerTime LeaseUntil_{};
  bool Silent_ = false;
  Duration OrderDelay_{};
  Duration ListDelay_{};
  int ClockPermille_ = 1000;
  std::size_t Misdirected_ = 0;
  std::vector<net::Timer> Pending_;
};

/// A leader that opens sessions, renews leases and keeps what it is told.
class FakeLeader {
public:
  explicit FakeLeader(net::EventLoop &Loop)
      : Server_(Loop, {.Listen_ = {.Address_ = "127.0.0.1", .Port_ = 0},
                       .Self_ = {2},
                       .OnMessage_ =
                           [this](wire::Message Request,
                                  const net::FrameReplier &To) {
                             take(std::move(Request), To);
                           }}),
        KeepAlives_(Loop.every(milliseconds(500), [this] {
          for (const auto &[Session, Stream] : Streams_)
            Stream.part(orders(Session));
        })) {}

  std::string address() const { return Server_.endpoint().text(); }

  /// The session of an agent that was killed counts for nothing any more.
  void endSession() { Reconciled_.clear(); }
  /// Reports on the open session are refused, as by a new leader.
  void refuseSession() { ++Session_; }

  /// While set, no request is answered.
  void setSilent(bool Silent) { Silent_ = Silent; }
  /// Reports on the open session get no answer, as from a leader that has been
  /// replaced and does not know it.
  void loseReports() { LostSession_ = Session_; }

  /// Reports with ends are taken, and their answers wait for `releaseAcks`.
  void holdAcks() { HoldsAcks_ = true; }
  void releaseAcks() {
    HoldsAcks_ = false;
    for (const net::FrameReplier &To : std::exchange(HeldAcks_, {}))
      To.answer(wire::WorkerReportAck{.LeaseTerm_ = LeaseTerm_});
  }
  /// Answers that are held are lost, as with a leader that is lost before its
  /// commit.
  void loseAcks() {
    HoldsAcks_ = false;
    HeldAcks_.clear();
  }

  /// Sends an order on the newest session.
  void order(wire::WorkerOrders Orders) {
    Orders.Session_ = Session_;
    Orders.Fence_ = Fence_;
    for (const wire::StartOrder &Start : Orders.Starts_)
      Recorded_[Start.Run_] = Hellos_.back().Worker_;
    Streams_.at(Session_).part(Orders);
  }

  /// Whether the worker has reported all of its runs in its newest session.
  bool isReconciled(const std::string &Worker) const {
    return !Hellos_.empty() && Hellos_.back().Worker_ == Worker &&
           Reconciled_.contains(Session_);
  }
  /// Runs in the newest report.
  std::vector<jobs::RunName> reportedRuns() const {
    std::vector<jobs::RunName> Runs;
    if (!Reports_.empty())
      std::ranges::transform(Reports_.back().Runs_, std::back_inserter(Runs),
                             &wire::RunReport::Run_);
    return Runs;
  }

  std::vector<wire::WorkerHello> Hellos_;
  std::vector<wire::WorkerReport> Reports_;
  std::vector<wire::EndReport> Ends_;
  std::vector<wire::WorkerGone> Gone_;
  std::vector<wire::WorkerCrashed> Crashes_;
  /// Notices of a crash that get no answer and are not kept.
  int LostCrashes_ = 0;
  Duration LeaseTerm_ = milliseconds(4000);
  /// Ends told until the first complete report of the newest session.
  std::size_t EndsWhenReconciled_ = 0;

private:
  wire::WorkerOrders orders(std::uint64_t Session) const {
    return {.Session_ = Session, .Fence_ = Fences_.at(Session)};
  }

  void takeCrash(const jobs::WorkerCrash &Crash, const net::FrameReplier &To) {
    if (LostCrashes_ > 0) {
      --LostCrashes_;
      return;
    }
    Crashes_.push_back({Crash});
    To.answer(wire::WorkerReportAck{});
  }

  void take(wire::Message Request, const net::FrameReplier &To) {
    if (Silent_)
      return;
    if (std::holds_alternative<wire::FetchGroup>(Request)) {
      To.answer(wire::Group{.Rows_ = {{.Id_ = {1}, .Address_ = address()}},
                            .Leader_ = address()});
    } else if (auto *Hello = std::get_if<wire::WorkerHello>(&Request)) {
      Streams_.clear();
      // Each process and each life of a worker has a token of its own.
      const auto Key =
          std::make_tuple(Hello->Worker_, Hello->Born_, Hello->Agent_.Value_);
      Fence_ = Tokens_.try_emplace(Key, Tokens_.size() + 1).first->second;
      Fences_[++Session_] = Fence_;
      Streams_.emplace(Session_, To);
      wire::WorkerOrders First = orders(Session_);
      for (const auto &[Run, Worker] : Recorded_)
        if (Worker == Hello->Worker_)
          First.Known_.push_back({.Run_ = Run});
      To.part(std::move(First));
      Hellos_.push_back(std::move(*Hello));
    } else if (auto *Report = std::get_if<wire::WorkerReport>(&Request)) {
      if (Report->Session_ == LostSession_)
        return;
      if (Report->Session_ != Session_) {
        To.answer(wire::WorkerReportAck{.SessionEnded_ = true});
        return;
      }
      Ends_.insert(Ends_.end(), Report->Ends_.begin(), Report->Ends_.end());
      for (const wire::EndReport &End : Report->Ends_)
        Recorded_.erase(End.Run_);
      if (Report->Complete_ && Reconciled_.insert(Session_).second)
        EndsWhenReconciled_ = Ends_.size();
      const bool HasEnds = !Report->Ends_.empty();
      Reports_.push_back(std::move(*Report));
      if (HoldsAcks_ && HasEnds)
        HeldAcks_.push_back(To);
      else
        To.answer(wire::WorkerReportAck{.LeaseTerm_ = LeaseTerm_});
    } else if (const auto *Crashed =
                   std::get_if<wire::WorkerCrashed>(&Request)) {
      takeCrash(Crashed->Crash_, To);
    } else if (const auto *Unconfirmed =
                   std::get_if<wire::UnconfirmedCrash>(&Request)) {
      takeCrash(Unconfirmed->Crash_, To);
    } else if (auto *Gone = std::get_if<wire::WorkerGone>(&Request)) {
      if (!Hellos_.empty() && Hellos_.back().Worker_ == Gone->Worker_)
        Streams_.clear();
      Gone_.push_back(std::move(*Gone));
      To.answer(wire::WorkerReportAck{});
    }
  }

  net::FrameServer Server_;
  std::vector<net::FrameReplier> HeldAcks_;
  bool HoldsAcks_ = false;
  std::map<std::uint64_t, net::FrameReplier> Streams_;
  std::map<std::uint64_t, std::uint64_t> Fences_;
  std::map<std::tuple<std::string, std::uint64_t, std::uint64_t>, std::uint64_t>
      Tokens_;
  std::set<std::uint64_t> Reconciled_;
  /// Runs that were ordered and of which no end was told, with their workers.
  std::map<jobs::RunName, std::string> Recorded_;
  std::uint64_t Session_ = 0;
  std::optional<std::uint64_t> LostSession_;
  std::uint64_t Fence_ = 0;
  bool Silent_ = false;
  net::Timer KeepAlives_;
};

struct AgentFixture {
  AgentFixture() {
    configureLog({.Sink_ = [](std::string_view) {}});
    Clock::pause(TimePoint(seconds(100)));
    Loop_ = std::make_unique<net::EventLoop>();
    Worker_ = std::make_unique<FakeWorker>(*Loop_, "w1", 10);
    Leader_ = std::make_unique<FakeLeader>(*Loop_);
    startAgent();
  }
  ~AgentFixture() {
    Agent_.reset();
    Link_.reset();
    Leader_.reset();
    Worker_.reset();
    Loop_.reset();
    Clock::resume();
  }

  void startAgent() {
    Link_ = std::make_unique<link::LeaderClient>(
        *Loop_, link::LeaderClientOptions{.Self_ = {1},
                                          .Seeds_ = {Leader_->address()}});
    Agent_ = std::make_unique<WorkerAgent>(
        *Loop_, *Link_,
        WorkerAgentOptions{
            .Calls_ = Worker_->calls(), .Vm_ = "vm-1", .Metrics_ = Metrics_});
  }
  /// Kills the agent's process and starts another one.
  void restartAgent() {
    Agent_.reset();
    Link_.reset();
    Leader_->endSession();
    startAgent();
  }

  void run(Duration By) {
    constexpr int Polls = 12;
    for (const TimePoint End = Clock::now() + By; Clock::now() < End;) {
      for (int I = 0; I < Polls; ++I)
        Loop_->poll();
      Clock::advance(milliseconds(5));
    }
  }
  /// Runs until \p Done, and returns how long that took.
  template <typename Condition>
  std::optional<Duration> runUntil(Condition Done, Duration Limit) {
    const TimePoint Began = Clock::now();
    while (Clock::now() - Began < Limit) {
      if (Done())
        return Clock::now() - Began;
      run(milliseconds(5));
    }
    return std::nullopt;
  }

  /// The worker has a session, and \p Count runs go on there.
  void startRuns(std::uint32_t Count) {
    announce(Worker_->announce());
    runUntil([&] { return Leader_->isReconciled("w1"); }, seconds(5));
    run(milliseconds(500));
    wire::WorkerOrders Orders;
    for (std::uint32_t I = 0; I < Count; ++I)
      Orders.Starts_.push_back({.Run_ = makeRun(I)});
    Leader_->order(std::move(Orders));
    run(milliseconds(1000));
  }
  void announce(const WorkerAnnouncement &Value) { Agent_->announced(Value); }
  /// The worker announces itself with \p MilliProcessors, and \p Wait passes.
  void announceCapacity(std::int64_t MilliProcessors, Duration Wait) {
    Worker_->setCapacity(MilliProcessors);
    announce(Worker_->announce());
    run(Wait);
  }
  /// The worker announces that it leaves.
  void announceDraining() {
    WorkerAnnouncement Draining = Worker_->announce();
    Draining.Draining_ = true;
    announce(Draining);
  }
  /// Another life of the worker begins and announces itself.
  void restartWorker(std::string Name, std::uint64_t Born) {
    Worker_->restart(std::move(Name), Born);
    announce(Worker_->announce());
  }

  /// Orders the start of \p Run while the worker is silent.
  void orderUnansweredStart(const jobs::RunName &Run) {
    Worker_->setSilent(true);
    Leader_->order({.Starts_ = {{.Run_ = Run}}});
    run(milliseconds(1000));
  }
  bool isStartedWithin(const jobs::RunName &Run, Duration Limit) {
    return runUntil([&] { return Worker_->isRunning(Run); }, Limit).has_value();
  }
  /// Requires that \p Run is the one run whose end the leader was told.
  void requireOnlyEnd(const jobs::RunName &Run, jobs::RunEnd How) const {
    REQUIRE(Leader_->Ends_.size() == 1);
    CHECK(Leader_->Ends_.front().Run_ == Run);
    CHECK(Leader_->Ends_.front().How_ == How);
  }

  /// Returns the processors that the leader was told last.
  std::int64_t toldMilliProcessors() const {
    return Leader_->Hellos_.back().Capacity_.MilliProcessors_;
  }

  std::shared_ptr<Metrics> Metrics_ = std::make_shared<Metrics>();
  std::unique_ptr<net::EventLoop> Loop_;
  std::unique_ptr<FakeWorker> Worker_;
  std::unique_ptr<FakeLeader> Leader_;
  std::unique_ptr<link::LeaderClient> Link_;
  std::unique_ptr<WorkerAgent> Agent_;
};

} // namespace dragonfly::agent

#endif // DRAGONFLY_TESTS_AGENT_AGENTFIXTURE_H
