#include "agent/WorkerAgentImpl.h"

#include <algorithm>
#include <tuple>
#include <utility>

namespace dragonfly::agent {

using decide::HeartbeatPlace;

namespace {

/// Heartbeats with the current description that have to be missing before
/// another one counts.
constexpr int MissedHeartbeats = 3;

bool isSameLife(const WorkerAnnouncement &A, const WorkerAnnouncement &B) {
  return A.Worker_ == B.Worker_ && A.Born_ == B.Born_;
}

/// Returns whether both describe the worker alike in what stays as it is for a
/// whole life.
bool isSameDescription(const WorkerAnnouncement &A,
                       const WorkerAnnouncement &B) {
  const auto FixedFields = [](const WorkerAnnouncement &Each) {
    return std::tie(Each.Service_, Each.AvailabilityZone_, Each.Labels_);
  };
  return FixedFields(A) == FixedFields(B);
}

/// Returns the smaller amount of each resource.
Resources smallerOf(const Resources &A, const Resources &B) {
  return {.MilliProcessors_ = std::min(A.MilliProcessors_, B.MilliProcessors_),
          .MemoryMib_ = std::min(A.MemoryMib_, B.MemoryMib_),
          .Accelerators_ = std::min(A.Accelerators_, B.Accelerators_)};
}

} // namespace

void WorkerAgent::Impl::noteRejected(const WorkerAnnouncement &Value,
                                     std::string_view Reason,
                                     std::uint64_t Newest) {
  Options_.Metrics_->count("heartbeats_rejected", Reason);
  logEvent(Event::AnnouncementRejected,
           {{"worker", Value.Worker_},
            {"born", Value.Born_},
            {"service", Value.Service_},
            {"sequence", Value.Sequence_},
            {"state", Value.Draining_ ? "draining" : "ready"},
            {"milli_processors",
             static_cast<std::uint64_t>(Value.Capacity_.MilliProcessors_)},
            {"reason", Reason},
            {"current", Worker_.Worker_},
            {"current_born", Worker_.Born_},
            {"current_sequence", Newest},
            {"current_state", Worker_.Draining_ ? "draining" : "ready"}});
}

void WorkerAgent::Impl::announced(const WorkerAnnouncement &Value) {
  if (Worker_.Worker_.empty()) {
    adopt(Value);
    return;
  }
  if (isSameLife(Value, Worker_)) {
    update(Value);
    return;
  }
  const bool IsOlder = Candidate_ && isSameLife(Value, *Candidate_) &&
                       Value.Sequence_ < Candidate_->Sequence_;
  if (IsOlder)
    return;
  // A probe of another life may wait for its timeout, and until a new life is
  // called it carries out late starts of the one before.
  if (Candidate_ && !isSameLife(Value, *Candidate_))
    ProbeOpen_ = false;
  Candidate_ = Value;
  probeCandidate();
}

void WorkerAgent::Impl::update(const WorkerAnnouncement &Value) {
  if (!isSameDescription(Value, Worker_)) {
    updateDescription(Value);
    return;
  }
  DescribedAt_ = Clock::now();
  Disputed_.reset();
  const std::uint64_t NewestBefore = Heartbeats_.newestNumber();
  const HeartbeatPlace Place =
      Heartbeats_.add(DescribedAt_, Value.Sequence_, Value.Draining_);
  const bool IsLate = Place == HeartbeatPlace::Late;
  if (IsLate)
    noteRejected(Value, "late", NewestBefore);
  if (Place == HeartbeatPlace::Restarted)
    noteRejected(Value, "newest-contradicted", NewestBefore);
  if (Departed_ && !Value.Draining_ && !IsLate)
    retractDeparture(Value);
  const WorkerAnnouncement Before = Worker_;
  if (!IsLate) {
    Worker_ = Value;
    Worker_.Capacity_ = Before.Capacity_;
  }
  updateCapacity(Value.Capacity_, Place);
  Worker_.Draining_ = Heartbeats_.isDraining() || Departed_;
  if (!Value.Draining_)
    Worker_.DrainTimeLeft_ =
        Worker_.Draining_ ? Before.DrainTimeLeft_ : Duration::zero();
  else if (IsLate)
    Worker_.DrainTimeLeft_ =
        Before.Draining_ ? std::min(Value.DrainTimeLeft_, Before.DrainTimeLeft_)
                         : Value.DrainTimeLeft_;
  if (Value.Draining_ && !Before.Draining_) {
    logEvent(Event::WorkerDraining, {{"worker", Worker_.Worker_}});
    Book_.giveUpStarts(Clock::now());
    sendReport();
    pump();
  }
}

void WorkerAgent::Impl::updateDescription(const WorkerAnnouncement &Value) {
  const bool IsRepeated = Disputed_ && isSameDescription(Value, *Disputed_) &&
                          Value.Sequence_ != Disputed_->Sequence_;
  const bool IsUncontested = Clock::now() - DescribedAt_ >=
                             MissedHeartbeats * Options_.HeartbeatPeriod_;
  if (!IsRepeated || !IsUncontested) {
    noteRejected(Value, "other-description");
    Disputed_ = Value;
    return;
  }
  DescribedAt_ = Clock::now();
  AnnouncedCapacity_ = Value.Capacity_;
  Heartbeats_.begin(Value.Draining_);
  Worker_ = Value;
  Worker_.Draining_ = Worker_.Draining_ || Departed_;
  Worker_.Capacity_ = smallerOf(Value.Capacity_, Disputed_->Capacity_);
  Disputed_.reset();
  Book_.giveUpStarts(Clock::now());
  openSession();
}

void WorkerAgent::Impl::updateCapacity(const Resources &Announced,
                                       HeartbeatPlace Place) {
  const Resources Before = Worker_.Capacity_;
  if (Place == HeartbeatPlace::Late) {
    Worker_.Capacity_ = smallerOf(Announced, Before);
    AnnouncedCapacity_ = smallerOf(Announced, AnnouncedCapacity_);
    LateCapacity_ = Announced;
  } else {
    // After a restart, the last late announcement was the worker's own.
    const Resources &Last =
        Place == HeartbeatPlace::Restarted ? LateCapacity_ : AnnouncedCapacity_;
    Worker_.Capacity_ = smallerOf(Announced, Last);
    AnnouncedCapacity_ = Announced;
  }
  if (Worker_.Capacity_ == Before)
    return;
  // Unconfirmed starts were sized for the old capacity; control places them
  // again.
  if (!Before.fitsIn(Worker_.Capacity_))
    Book_.giveUpStarts(Clock::now());
  openSession();
  pump();
}

void WorkerAgent::Impl::retractDeparture(const WorkerAnnouncement &Value) {
  noteRejected(Value, "departure-contradicted");
  Departed_ = false;
  // A notice that the worker has left may still be on its way.
  Self_ = makeFreshId<Incarnation>();
  Lease_.reopen();
  openSession();
}

void WorkerAgent::Impl::probeCandidate() {
  if (ProbeOpen_ || !Candidate_)
    return;
  ProbeOpen_ = true;
  // Changes nothing at the worker: no lease and no ends to forget.
  Options_.Calls_.Hold_(Candidate_->Worker_, {.Fence_ = Fence_},
                        [Self = weak_from_this(),
                         Probed = *Candidate_](const HoldAnswer &Answer) {
                          if (const auto Agent = Self.lock())
                            Agent->candidateAnswered(Probed, Answer);
                        });
}

void WorkerAgent::Impl::candidateAnswered(const WorkerAnnouncement &Probed,
                                          const HoldAnswer &Answer) {
  const bool IsNewest = Candidate_ && isSameLife(*Candidate_, Probed);
  if (IsNewest)
    ProbeOpen_ = false;
  else if (Answer.Status_ != HoldStatus::Listed)
    return;
  if (Answer.Status_ == HoldStatus::NoAnswer) {
    NextProbeAt_ = Clock::now() + Options_.SilentDelay_;
    return;
  }
  const bool IsHere =
      Answer.Status_ == HoldStatus::Listed && Answer.Born_ == Probed.Born_;
  if (IsHere) {
    // It may have announced that it drains in the meantime.
    adopt(IsNewest ? *Candidate_ : Probed);
    Confirmed_ = true;
  } else {
    noteRejected(Probed, Answer.Status_ == HoldStatus::Fenced
                             ? "fenced"
                             : "other-worker-answers");
  }
  if (IsNewest)
    Candidate_.reset();
  else
    probeCandidate();
}

void WorkerAgent::Impl::retryProbe(TimePoint Now) {
  if (Candidate_ && Now >= NextProbeAt_)
    probeCandidate();
}

void WorkerAgent::Impl::adopt(const WorkerAnnouncement &Value) {
  const WorkerAnnouncement Before = std::exchange(Worker_, Value);
  logEvent(Event::WorkerAnnounced, {{"worker", Worker_.Worker_},
                                    {"born", Worker_.Born_},
                                    {"address", Worker_.Address_}});
  ++Life_;
  if (Confirmed_ && !Before.Draining_)
    noteCrash(Before);
  // What an announcement that never was confirmed left behind is not true of
  // any worker.
  const bool WasHere = std::exchange(Confirmed_, false);
  const std::uint64_t Token = std::exchange(Fence_, 0);
  if (WasHere)
    Book_.beginLife();
  else
    Book_ = RunBook(Options_.Runs_);
  Lease_ = WorkerLease(Options_.Lease_, ProcessStart_);
  Silent_ = false;
  Unsettled_ = false;
  StartFence_ = 0;
  RenewsToken_ = false;
  Suspects_.clear();
  HoldOpen_ = false;
  Session_ = 0;
  Complete_ = false;
  Departed_ = false;
  Disputed_.reset();
  DescribedAt_ = Clock::now();
  AnnouncedCapacity_ = Worker_.Capacity_;
  Heartbeats_.begin(Worker_.Draining_);
  // Another worker answers on this VM: the one before it is gone, if it was
  // here.
  if (WasHere && Before.Worker_ != Worker_.Worker_)
    Leader_.call(wire::WorkerGone{.Worker_ = Before.Worker_,
                                  .Born_ = Before.Born_,
                                  .Agent_ = Self_},
                 Options_.ReportTimeout_, [](const link::LeaderResult &) {});
  openSession();
  if (WasHere && Token != 0 && Before.Worker_ == Worker_.Worker_)
    fenceOff(Token);
}

void WorkerAgent::Impl::fenceOff(std::uint64_t Token) {
  // The token of the next session is no lower.
  Fence_ = Token + 1;
  hold();
}

void WorkerAgent::Impl::noteCrash(const WorkerAnnouncement &Crashed) {
  if (!Silent_)
    Suspects_ = Book_.unprovenRuns();
  if (Suspects_.empty())
    return;
  jobs::WorkerCrash Crash{.Worker_ = Crashed.Worker_, .Born_ = Crashed.Born_};
  for (RunBook::UnprovenRun &Each : Suspects_) {
    if (!Each.HasBegun_)
      Crash.Unconfirmed_.push_back(Each.Run_);
    Crash.Suspects_.push_back(std::move(Each.Run_));
  }
  Suspects_.clear();
  Crashes_.push_back(std::move(Crash));
  reportCrash();
}

void WorkerAgent::Impl::reportCrash() {
  if (Crashes_.empty() || std::exchange(CrashReportOpen_, true))
    return;
  wire::Message Notice = wire::WorkerCrashed{Crashes_.front()};
  if (!Crashes_.front().Unconfirmed_.empty())
    Notice = wire::UnconfirmedCrash{Crashes_.front()};
  Leader_.call(
      std::move(Notice), Options_.ReportTimeout_,
      [Self = weak_from_this()](const link::LeaderResult &Result) {
        const auto Agent = Self.lock();
        if (!Agent)
          return;
        Agent->CrashReportOpen_ = false;
        if (std::holds_alternative<wire::WorkerReportAck>(Result.Answer_))
          Agent->Crashes_.pop_front();
      });
}

void WorkerAgent::Impl::departed(const std::string &Worker) {
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

void WorkerAgent::Impl::finishDeparture() {
  if (!Departed_ || Book_.hasRuns() || Book_.pendingEnds() > 0 || Session_ == 0)
    return;
  Session_ = 0;
  Leader_.call(wire::WorkerGone{.Worker_ = Worker_.Worker_,
                                .Born_ = Worker_.Born_,
                                .Agent_ = Self_},
               Options_.ReportTimeout_, [](const link::LeaderResult &) {});
}

} // namespace dragonfly::agent
