#include "agent/WorkerAgentImpl.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace dragonfly::agent {
namespace {

/// Changes of speed smaller than this are not worth a call.
constexpr std::uint32_t LeastSpeedChange = 3;
constexpr std::uint32_t FullSpeed = 100;

} // namespace

WorkerTime WorkerAgent::Impl::grantLease(TimePoint Now) {
  noteUnsettled(Now);
  return Unsettled_ ? WorkerTime::zero() : Lease_.grant(Now);
}

void WorkerAgent::Impl::hold() {
  HoldOpen_ = true;
  const TimePoint SentAt = Clock::now();
  const bool Prompt = Book_.pendingEnds() > 0 || !ListedAll_ || isFencedOff();
  const HoldCall Call{
      .Fence_ = Fence_,
      // After silence another life may answer, with ends of its own.
      .LastDurableEnd_ = Silent_ ? 0 : Book_.endsToForget(),
      .LeaseUntil_ = grantLease(SentAt),
      .Wait_ = Prompt ? Duration::zero() : listWait()};
  Options_.Calls_.Hold_(
      Worker_.Worker_, Call,
      [Self = weak_from_this(), SentAt, Life = Life_, Fence = Fence_,
       Session = Session_,
       Forgotten = Call.LastDurableEnd_](const HoldAnswer &Answer) {
        const auto Agent = Self.lock();
        if (!Agent || Agent->Life_ != Life)
          return;
        if (Answer.Status_ == HoldStatus::Listed &&
            Answer.Born_ == Agent->Worker_.Born_)
          Agent->Book_.endsForgotten(Forgotten);
        Agent->holdAnswered(SentAt, Fence, Session, Answer);
      });
}

Duration WorkerAgent::Impl::listWait() const {
  if (Book_.rows().empty())
    return Options_.IdleWait_;
  // The first list under a new token waits for the open one.
  if (Unsettled_)
    return Options_.RereadDelay_;
  return Book_.unprovenRuns().empty()
             ? Options_.BusyWait_
             : std::min(Options_.BusyWait_, Options_.Runs_.ProofTime_);
}

void WorkerAgent::Impl::holdAnswered(TimePoint SentAt, std::uint64_t Fence,
                                     std::uint64_t Session,
                                     const HoldAnswer &Answer) {
  HoldOpen_ = false;
  const TimePoint Now = Clock::now();
  Options_.Metrics_->count(
      "lists", Answer.Status_ == HoldStatus::Listed ? "read" : "failed");
  if (Answer.Status_ == HoldStatus::Fenced) {
    // Another process of this agent spoke for the worker: register anew.
    Self_ = makeFreshId<Incarnation>();
    Session_ = 0;
    Fence_ = 0;
    Complete_ = false;
    Reattach_ = Loop_.after(Options_.ReattachDelay_, [this] { openSession(); });
    logEvent(
        Event::StartRefused,
        {{"worker", Worker_.Worker_}, {"reason", "fenced"}, {"fence", Fence}});
    return;
  }
  const bool Listed =
      Answer.Status_ == HoldStatus::Listed && Answer.Born_ == Worker_.Born_;
  noteSilence(!Listed);
  if (!Listed) {
    // A life that has not been announced took a start of the one before, whose
    // deadline means nothing to its clock.
    if (Confirmed_ && Answer.Status_ == HoldStatus::Listed)
      for (const ListedRun &Run : Answer.Runs_)
        Book_.stop(Now, Run.Run_);
    NextHoldAt_ = Now + Options_.SilentDelay_;
    return;
  }
  Confirmed_ = true;
  Lease_.clockRead(Now, Answer.Clock_);
  handleUnexpectedRuns(Now, Answer, Fence == Fence_ && Session == Session_);
  Book_.retractEnds(Answer);
  if (Fence == Fence_ && Fence > StartFence_)
    Book_.settleStarts(SentAt, Answer);
  Book_.listed(Now, SentAt, Answer);
  noteUnsettled(Now);
  for (const auto &[Run, Order] : Known_)
    Book_.describe(Order);
  if (Fence == Fence_ && Session == Session_) {
    Listed_ = true;
    ListedAll_ = ListedAll_ || !Answer.Truncated_;
  }
  // The worker answers at once while it lists ends.
  const bool ListsEnds = !Answer.Ends_.empty() && Book_.endsToForget() == 0;
  const bool Pauses = Book_.pendingEnds() > 0 || ListsEnds || isFencedOff();
  // A session that has begun meanwhile waits for its first list.
  NextHoldAt_ =
      Pauses && Session == Session_ ? Now + Options_.RereadDelay_ : Now;
  if (Book_.pendingEnds() > 0 || !Complete_)
    sendReport();
  controlSpeed(Now);
  pump();
  if (mayCall() && !HoldOpen_ && NextHoldAt_ <= Now)
    hold();
}

void WorkerAgent::Impl::handleUnexpectedRuns(TimePoint Now,
                                             const HoldAnswer &Answer,
                                             bool IsOfSession) {
  for (const auto &[Run, Known] : Book_.unknownRuns(Answer)) {
    // Until a session's first list, control may know of runs that other
    // processes or sessions have started.
    const bool IsStray = ListedAll_ || (IsOfSession && !Known_.contains(Run));
    if (Known == RunBook::EndKnown::None && !IsStray)
      continue;
    logEvent(Event::RunUnexpected, {{"run", printRun(Run)},
                                    {"worker", Worker_.Worker_},
                                    {"end", enumName(Known)},
                                    {"fence", Fence_}});
    // Control has recorded its end: the task may run elsewhere.
    if (Known == RunBook::EndKnown::None)
      Book_.stop(Now, Run);
  }
}

void WorkerAgent::Impl::noteSilence(bool Silent) {
  Lease_.setSilent(Silent);
  if (std::exchange(Silent_, Silent) == Silent)
    return;
  Suspects_ =
      Silent ? Book_.unprovenRuns() : std::vector<RunBook::UnprovenRun>();
  SettleBy_ = Clock::now() + Options_.SettleTime_;
  logEvent(Silent ? Event::WorkerSilent : Event::WorkerAnswers,
           {{"worker", Worker_.Worker_}, {"runs", Book_.rows().size()}});
  sendReport();
}

void WorkerAgent::Impl::pump() {
  if (!mayCall() || !Lease_.knowsClock())
    return;
  const TimePoint Now = Clock::now();
  noteUnsettled(Now);
  // The lease or the session may have ended since the order came, in a pause of
  // this process or behind a cut.
  const bool MayStart = !Silent_ && !Unsettled_ && !Worker_.Draining_ &&
                        Session_ != 0 &&
                        Lease_.left(Now) >= Options_.LeastLease_;
  for (const DueCall &Due : Book_.takeDueCalls(Now, MayStart, !Silent_))
    if (Due.Kind_ == DueCall::Kind::Start)
      callStart(Due.Run_);
    else
      callStop(Due.Run_);
}

void WorkerAgent::Impl::callStart(const jobs::RunName &Run) {
  const wire::StartOrder &Order = Book_.rows().at(Run).Order_;
  StartFence_ = Fence_;
  Options_.Calls_.Start_(
      Worker_.Worker_,
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
                   {{"run", printRun(Run)},
                    {"worker", Agent->Worker_.Worker_},
                    {"reason", enumName(Status)}});
        const bool HasNotBegun =
            Agent->Book_.startAnswered(Clock::now(), Run, Status);
        Agent->updateSuspect(Run, Status, HasNotBegun);
        Agent->afterAnswer();
      });
}

void WorkerAgent::Impl::updateSuspect(const jobs::RunName &Run,
                                      StartStatus Status, bool HasNotBegun) {
  if (HasNotBegun)
    std::erase_if(Suspects_, [&Run](const RunBook::UnprovenRun &Each) {
      return Each.Run_ == Run;
    });
  if (Status != StartStatus::Started && Status != StartStatus::Ended)
    return;
  const auto Found =
      std::ranges::find(Suspects_, Run, &RunBook::UnprovenRun::Run_);
  if (Found != Suspects_.end())
    Found->HasBegun_ = true;
}

void WorkerAgent::Impl::callStop(const jobs::RunName &Run) {
  Options_.Calls_.Stop_(
      Worker_.Worker_, {.Run_ = Run, .Fence_ = Fence_},
      [Self = weak_from_this(), Run, Life = Life_](bool Confirmed) {
        const auto Agent = Self.lock();
        if (!Agent || Agent->Life_ != Life)
          return;
        Agent->Book_.stopAnswered(Clock::now(), Run, Confirmed);
        Agent->afterAnswer();
      });
}

void WorkerAgent::Impl::afterAnswer() {
  noteUnsettled(Clock::now());
  if (Book_.pendingEnds() > 0)
    sendReport();
  pump();
}

void WorkerAgent::Impl::controlSpeed(TimePoint Now) {
  for (const auto &[Run, Row] : Book_.rows()) {
    if (!Row.Order_.UsesSpareProcessors_ ||
        Row.Phase_ != wire::RunPhase::Running)
      continue;
    const auto Processors = static_cast<double>(
        std::max<std::int64_t>(Worker_.Capacity_.MilliProcessors_, 1));
    Speeds_.addRun(
        Row.Order_.Image_, static_cast<double>(Row.Listed_.Load_) / Processors,
        static_cast<double>(Row.Order_.MilliProcessors_) / Processors);
  }
  for (const auto &[Run, Row] : Book_.rows())
    if (Row.Order_.TailTarget_ > Duration::zero() && Row.Listed_.Load_ > 0)
      Speeds_.addServingRun(Row.Order_.Image_,
                            static_cast<double>(Row.Listed_.Load_) /
                                toMilliseconds(Row.Order_.TailTarget_));
  Speeds_.update(Now);
  std::vector<std::pair<jobs::RunName, std::uint32_t>> Changed;
  for (const auto &[Run, Row] : Book_.rows()) {
    if (!Row.Order_.UsesSpareProcessors_ ||
        Row.Phase_ != wire::RunPhase::Running)
      continue;
    const std::uint32_t Percent = Speeds_.speedPercent(Row.Order_.Image_);
    const std::uint32_t Change = std::max(Row.SpeedPercent_, Percent) -
                                 std::min(Row.SpeedPercent_, Percent);
    if (Change >= LeastSpeedChange ||
        (Change > 0 && (Percent == 0 || Percent == FullSpeed)))
      Changed.emplace_back(Run, Percent);
  }
  for (const auto &[Run, Percent] : Changed) {
    logEvent(
        Event::SpeedChanged,
        {{"run", printRun(Run)},
         {"worker", Worker_.Worker_},
         {"percent", Percent},
         {"tail_permille_of_target",
          static_cast<std::uint64_t>(1000 * Speeds_.worstLatencyRatio())}});
    callPace(Run, Percent);
  }
}

void WorkerAgent::Impl::callPace(const jobs::RunName &Run,
                                 std::uint32_t Percent) {
  const std::uint32_t Before = Book_.rows().at(Run).SpeedPercent_;
  Book_.setSpeed(Run, Percent);
  Options_.Calls_.Pace_(
      Worker_.Worker_,
      {.Run_ = Run, .SpeedPercent_ = Percent, .Fence_ = Fence_},
      [Self = weak_from_this(), Run, Before, Life = Life_](bool Confirmed) {
        const auto Agent = Self.lock();
        if (Agent && Agent->Life_ == Life && !Confirmed)
          Agent->Book_.setSpeed(Run, Before);
      });
}

} // namespace dragonfly::agent
