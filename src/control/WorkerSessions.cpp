#include "control/WorkerSessions.h"

#include "dragonfly/base/Log.h"
#include "dragonfly/decide/RunMove.h"

#include <algorithm>
#include <utility>

namespace dragonfly::control {
namespace {

/// An idle stream gets a message without orders this often: a quarter of the
/// time after which agents give a stream up.
constexpr Duration KeepAliveInterval = std::chrono::milliseconds(500);
/// Minimum interval between two orders to stop the same run. The agent repeats
/// its own call to the worker more often than this.
constexpr Duration StopResendInterval = std::chrono::milliseconds(1000);
/// Runs below this speed, in percent of full speed, may show no progress for
/// long without being stalled.
constexpr std::uint32_t MinProgressSpeedPercent = 50;
/// Agents report every 0.4 s; after a gap of this length the progress of runs
/// during it is unknown.
constexpr Duration MaxReportGap = std::chrono::milliseconds(1000);
/// Session numbers that each term reserves, so that they never repeat.
constexpr std::uint64_t SessionsPerTerm = 1ULL << 32U;

} // namespace

void WorkerSession::recordContact(TimePoint Now) {
  if (Now - LastContactAt_ >= MaxReportGap || Silent_)
    for (auto &[Run, Info] : Runs_)
      Info.LastProgressAt_ = Now;
  LastContactAt_ = Now;
}

Duration WorkerSessions::maxLeaseDuration() const {
  return Options_.WorkerLeaseTerm_ +
         Options_.WorkerLeaseTerm_ * Options_.ClockDriftPermille_ / 1000 +
         Options_.LeaseMargin_;
}

void WorkerSessions::startLeading(TimePoint Now, Term Led) {
  Sessions_.clear();
  LastNumber_ = Led.Value_ * SessionsPerTerm;
  // An earlier leader may have renewed any lease just before it was replaced.
  for (const auto &[Worker, Row] : Table_.workers())
    Sessions_[Worker].LeaseExpiresAt_ = Now + maxLeaseDuration();
  Changed_ = true;
}

void WorkerSessions::stopLeading() {
  for (auto &[Worker, Session] : Sessions_)
    detach(Session);
  Sessions_.clear();
}

void WorkerSessions::detach(WorkerSession &Session) {
  if (!Session.isAttached())
    return;
  Session.Number_ = 0;
  Session.Reconciled_ = false;
  if (const auto SendEnd = std::exchange(Session.Stream_, {}).SendEnd_)
    SendEnd(Options_.MakeRefusal_());
  Changed_ = true;
}

void WorkerSessions::tick(TimePoint Now) {
  for (auto &[Worker, Session] : Sessions_) {
    if (Session.isAttached() && !Session.Stream_.IsConnected_()) {
      logEvent(Event::WorkerDetached,
               {{"worker", Worker}, {"session", Session.Number_}});
      detach(Session);
    }
    // Its removal was proposed before its hello was committed.
    if (Session.isAttached() && Table_.findWorker(Worker) == nullptr)
      detach(Session);
    if (Now >= Session.LeaseExpiresAt_)
      expireLease(Now, Worker, Session);
    if (Session.isAttached() && Now - Session.LastSentAt_ >= KeepAliveInterval)
      sendOrders(Now, Worker, Session.Number_,
                 {.Disturbances_ = ImageLossesOn_(Worker)});
  }
  std::erase_if(Sessions_, [this](const auto &Entry) {
    return !Entry.second.isAttached() &&
           Table_.findWorker(Entry.first) == nullptr;
  });
}

void WorkerSessions::expireLease(TimePoint Now, const std::string &Worker,
                                 WorkerSession &Session) {
  const jobs::WorkerRow *Row = Table_.findWorker(Worker);
  if (Row != nullptr && !Row->Runs_.empty()) {
    logEvent(Event::WorkerLeaseExpired,
             {{"worker", Worker}, {"runs", Row->Runs_.size()}});
    endRuns(Worker, jobs::RunEnd::LeaseExpired, {});
  } else if (Row != nullptr && !Session.isAttached()) {
    Batch_.record().DepartedWorkers_.push_back(Worker);
  }
  detach(Session);
  Session.LeaseExpiresAt_ = Now + maxLeaseDuration();
}

void WorkerSessions::endRuns(const std::string &Worker, jobs::RunEnd How,
                             const std::set<jobs::RunName> &Except) {
  const jobs::WorkerRow *Row = Table_.findWorker(Worker);
  if (Row == nullptr)
    return;
  for (const jobs::RunName &Run : Row->Runs_)
    if (!Except.contains(Run))
      Batch_.record().Ends_.push_back(
          {.Run_ = Run,
           .Worker_ = Worker,
           .How_ = How,
           .Checkpoint_ = latestCheckpoint(Worker, Run)});
}

/// Returns whether the worker is at work on another VM than that of \p Hello.
bool WorkerSessions::isElsewhere(const wire::WorkerHello &Hello) const {
  const jobs::WorkerRow *Row = Table_.findWorker(Hello.Worker_);
  // While nobody is attached, its runs go on there until its lease expires.
  if (Row != nullptr && !Row->Runs_.empty() && Row->Life_.Vm_ != Hello.Vm_)
    return true;
  const auto It = Sessions_.find(Hello.Worker_);
  if (It == Sessions_.end())
    return false;
  const WorkerSession &Session = It->second;
  return Session.isAttached() && Session.Reconciled_ && !Session.Silent_ &&
         Session.Stream_.IsConnected_() && Session.Hello_.Vm_ != Hello.Vm_;
}

void WorkerSessions::attach(TimePoint Now, wire::WorkerHello Hello,
                            WorkerStream Stream) {
  // Anybody can announce a worker to an agent that has none yet.
  if (isElsewhere(Hello)) {
    const jobs::WorkerRow *Row = Table_.findWorker(Hello.Worker_);
    logEvent(Event::WorkerContested,
             {{"worker", Hello.Worker_},
              {"born", Hello.Born_},
              {"vm", Hello.Vm_},
              {"current_vm", Row == nullptr ? std::string() : Row->Life_.Vm_}});
    Stream.SendEnd_(Options_.MakeRefusal_());
    return;
  }
  const std::size_t Index = Batch_.record().Workers_.size();
  Batch_.record().Workers_.push_back({.Worker_ = Hello.Worker_,
                                      .Born_ = Hello.Born_,
                                      .Agent_ = Hello.Agent_,
                                      .Vm_ = Hello.Vm_});
  Batch_.onOutcome([this, Now, Index, Hello = std::move(Hello),
                    Stream = std::move(Stream)](JobBatch::Status,
                                                const JobOutcomes *Outcomes) {
    // A notice that the worker is gone may have been recorded with the hello.
    if (Outcomes == nullptr || Table_.findWorker(Hello.Worker_) == nullptr) {
      Stream.SendEnd_(Options_.MakeRefusal_());
      return;
    }
    WorkerSession &Session = Sessions_[Hello.Worker_];
    const std::uint64_t FencingToken = Outcomes->FencingTokens_.at(Index);
    // The agent closed this stream before the record was committed and may
    // already have a session on another stream. That session goes on unless the
    // record has raised the fencing token.
    if (!Stream.IsConnected_()) {
      if (Session.FencingToken_ != FencingToken)
        detach(Session);
      return;
    }
    detach(Session);
    Session.Hello_ = Hello;
    Session.Stream_ = Stream;
    Session.Number_ = ++LastNumber_;
    Session.FencingToken_ = FencingToken;
    // What was sent on the earlier stream may not have arrived.
    for (auto &[Run, Info] : Session.Runs_)
      Info.StopSentAt_ = {};
    Session.recordContact(Now);
    Session.LeaseExpiresAt_ =
        std::max(Session.LeaseExpiresAt_, Now + maxLeaseDuration());
    logEvent(Event::WorkerAttached, {{"worker", Hello.Worker_},
                                     {"born", Hello.Born_},
                                     {"session", Session.Number_},
                                     {"fence", Session.FencingToken_}});
    sendOrders(Now, Hello.Worker_, Session.Number_,
               {.Known_ = recordedRuns(Hello.Worker_)});
  });
}

void WorkerSessions::endRunsOfReplacedWorkers(const wire::WorkerHello &Hello) {
  for (const auto &[Worker, Row] : Table_.workers()) {
    if (Worker == Hello.Worker_ || Hello.Vm_.empty() ||
        Row.Life_.Vm_ != Hello.Vm_ || Row.Life_.Born_ > Hello.Born_)
      continue;
    logEvent(Event::WorkerLeft, {{"worker", Worker},
                                 {"runs", Row.Runs_.size()},
                                 {"replaced_by", Hello.Worker_}});
    endRuns(Worker, jobs::RunEnd::LeaseExpired, {});
    Batch_.record().DepartedWorkers_.push_back(Worker);
    if (const auto It = Sessions_.find(Worker); It != Sessions_.end())
      detach(It->second);
  }
}

std::vector<wire::StartOrder>
WorkerSessions::recordedRuns(const std::string &Worker) const {
  std::vector<wire::StartOrder> Recorded;
  for (const jobs::RunName &Run : Table_.findWorker(Worker)->Runs_) {
    const jobs::JobRow *Job = Table_.find(Run.Task_.Job_);
    if (Job == nullptr)
      continue;
    const jobs::StepSpec &Step = Job->Spec_.Steps_[Run.Task_.Step_];
    Recorded.push_back({.Run_ = Run,
                        .Payload_ = {},
                        .Checkpoint_ = {},
                        .TailTarget_ = Step.TailTarget_,
                        .UsesSpareProcessors_ = Step.UsesSpareProcessors_,
                        .Image_ = Step.Image_,
                        .MilliProcessors_ = Step.Need_.MilliProcessors_});
  }
  return Recorded;
}

bool WorkerSessions::sendOrders(TimePoint Now, const std::string &Worker,
                                std::uint64_t Number,
                                wire::WorkerOrders Orders) {
  const auto It = Sessions_.find(Worker);
  if (It == Sessions_.end() || It->second.Number_ != Number ||
      !It->second.Stream_.IsConnected_())
    return false;
  WorkerSession &Session = It->second;
  for (const wire::StartOrder &Row : Orders.Starts_)
    Session.Runs_[Row.Run_] = {.Report_ = {.Run_ = Row.Run_},
                               .StartOrderedAt_ = Now,
                               .StopSentAt_ = {},
                               .LastProgressAt_ = Now};
  Session.LastSentAt_ = Now;
  if (!Orders.Starts_.empty())
    Session.LastStartAt_ = Now;
  Orders.Session_ = Number;
  Orders.Fence_ = Session.FencingToken_;
  Session.Stream_.SendPart_(std::move(Orders));
  return true;
}

void WorkerSessions::stopRun(TimePoint Now, const std::string &Worker,
                             const jobs::RunName &Run) {
  const auto It = Sessions_.find(Worker);
  if (It == Sessions_.end() || !It->second.isAttached())
    return;
  RunInfo &Info = It->second.Runs_[Run];
  if (Info.StopSentAt_ != TimePoint() &&
      Now - Info.StopSentAt_ < StopResendInterval)
    return;
  Info.StopSentAt_ = Now;
  sendOrders(Now, Worker, It->second.Number_, {.Stops_ = {Run}});
}

void WorkerSessions::handleReport(TimePoint Now, wire::WorkerReport Report,
                                  JobService::Reply Answer) {
  const auto It = Sessions_.find(Report.Worker_);
  if (It == Sessions_.end() || It->second.Number_ != Report.Session_ ||
      Report.Session_ == 0) {
    Answer(wire::WorkerReportAck{.LeaseTerm_ = {}, .SessionEnded_ = true});
    return;
  }
  const Duration GrantedTerm =
      updateStateAndRenewLease(Now, It->second, Report);
  updateRuns(Now, Report.Worker_, It->second, Report);
  const bool HasEnds = gatherEnds(It->second, Report);
  auto Finish = [this, Answer = std::move(Answer), GrantedTerm,
                 Worker = Report.Worker_, Number = Report.Session_,
                 Complete = Report.Complete_] {
    const auto Current = Sessions_.find(Worker);
    if (Complete && Current != Sessions_.end() &&
        Current->second.Number_ == Number)
      Current->second.Reconciled_ = true;
    Changed_ = Changed_ || Complete;
    Answer(wire::WorkerReportAck{.LeaseTerm_ = GrantedTerm});
  };
  if (!HasEnds) {
    Finish();
    return;
  }
  Batch_.onOutcome([this, Finish = std::move(Finish)](
                       JobBatch::Status, const JobOutcomes *Outcomes) {
    // Without an answer the agent reports the ends again.
    if (Outcomes != nullptr)
      Finish();
    Changed_ = true;
  });
}

/// Updates the session from the report and renews the lease of the worker.
/// Returns the lease term, or zero if this replica cannot prove that it leads.
Duration
WorkerSessions::updateStateAndRenewLease(TimePoint Now, WorkerSession &Session,
                                         const wire::WorkerReport &Report) {
  Session.recordContact(Now);
  if (Session.Draining_ != Report.Draining_ ||
      Session.Silent_ != Report.Silent_)
    Changed_ = true;
  Session.Draining_ = Report.Draining_;
  Session.DrainDeadline_ = Now + Report.DrainTimeLeft_;
  Session.Silent_ = Report.Silent_;
  Session.ColdTimeLeft_ = Report.ColdTimeLeft_;
  if (!Options_.HoldsLeaderLease_())
    return Duration::zero();
  Session.LeaseExpiresAt_ = Now + maxLeaseDuration();
  return Options_.WorkerLeaseTerm_;
}

/// Adds the run ends of the report to the batch, and returns whether there are
/// any. The first complete report of a session also ends all recorded runs that
/// it does not list, and those of the workers that were on the VM before.
bool WorkerSessions::gatherEnds(const WorkerSession &Session,
                                const wire::WorkerReport &Report) {
  const std::size_t EndsBefore = Batch_.record().Ends_.size();
  std::set<jobs::RunName> ReportedRuns;
  for (const wire::EndReport &Row : Report.Ends_) {
    ReportedRuns.insert(Row.Run_);
    Batch_.record().Ends_.push_back({.Run_ = Row.Run_,
                                     .Worker_ = Report.Worker_,
                                     .How_ = Row.How_,
                                     .Checkpoint_ = Row.Checkpoint_});
  }
  // Nothing is ordered in a session before it is reconciled. A later report may
  // have been made before an order that it does not list arrived.
  if (Report.Complete_ && !Session.Reconciled_) {
    for (const wire::RunReport &Row : Report.Runs_)
      ReportedRuns.insert(Row.Run_);
    endRuns(Report.Worker_, jobs::RunEnd::NotStarted, ReportedRuns);
    // Anybody can announce a worker to an agent, and so cause a hello. The
    // worker itself has answered the list that a complete report follows from.
    endRunsOfReplacedWorkers(Session.Hello_);
  }
  return Batch_.record().Ends_.size() != EndsBefore;
}

void WorkerSessions::updateRuns(TimePoint Now, const std::string &Worker,
                                WorkerSession &Session,
                                const wire::WorkerReport &Report) {
  const jobs::WorkerRow *Row = Table_.findWorker(Worker);
  for (const wire::RunReport &Run : Report.Runs_) {
    if (Row == nullptr || !Row->Runs_.contains(Run.Run_)) {
      // Its lease has expired or its job has been removed.
      stopRun(Now, Worker, Run.Run_);
      continue;
    }
    const auto [It, IsNew] = Session.Runs_.try_emplace(Run.Run_);
    RunInfo &Info = It->second;
    if (IsNew)
      Info.StartOrderedAt_ = Now;
    // A run that is being stopped may never have been on its worker.
    if (Run.Phase_ == wire::RunPhase::Running &&
        (IsNew || Info.Report_.Phase_ != wire::RunPhase::Running))
      OnRunBegun_(Run.Run_);
    const bool IsThrottled = Run.SpeedPercent_ < MinProgressSpeedPercent;
    if (IsNew || IsThrottled || Run.Phase_ != wire::RunPhase::Running ||
        Run.ProgressPercent_ != Info.Report_.ProgressPercent_ ||
        Run.Checkpoint_ != Info.Report_.Checkpoint_)
      Info.LastProgressAt_ = Now;
    if (Run.SpeedPercent_ > decide::RunMoveOptions().MaxPercent_)
      Info.ThrottledAt_.reset();
    else if (!Info.ThrottledAt_)
      Info.ThrottledAt_ = Now;
    std::string Checkpoint = std::move(Info.Report_.Checkpoint_);
    Info.Report_ = Run;
    if (Info.Report_.Checkpoint_.empty())
      Info.Report_.Checkpoint_ = std::move(Checkpoint);
  }
  std::set<jobs::RunName> Reported;
  for (const wire::RunReport &Run : Report.Runs_)
    Reported.insert(Run.Run_);
  std::erase_if(Session.Runs_, [&](const auto &Entry) {
    return (Row == nullptr || !Row->Runs_.contains(Entry.first)) &&
           !Reported.contains(Entry.first);
  });
}

void WorkerSessions::handleWorkerGone(const wire::WorkerGone &Notice,
                                      JobService::Reply Answer) {
  const jobs::WorkerRow *Row = Table_.findWorker(Notice.Worker_);
  if (Row == nullptr || Row->Life_.Born_ != Notice.Born_ ||
      Row->Life_.Agent_ != Notice.Agent_) {
    Answer(wire::WorkerReportAck{});
    return;
  }
  logEvent(Event::WorkerLeft,
           {{"worker", Notice.Worker_}, {"runs", Row->Runs_.size()}});
  endRuns(Notice.Worker_, jobs::RunEnd::LeaseExpired, {});
  Batch_.record().DepartedWorkers_.push_back(Notice.Worker_);
  Batch_.onOutcome([this, Answer = std::move(Answer), Worker = Notice.Worker_](
                       JobBatch::Status, const JobOutcomes *Outcomes) {
    if (Outcomes == nullptr) {
      Answer(Options_.MakeRefusal_());
      return;
    }
    if (const auto It = Sessions_.find(Worker); It != Sessions_.end())
      detach(It->second);
    Answer(wire::WorkerReportAck{});
  });
}

std::string WorkerSessions::latestCheckpoint(const std::string &Worker,
                                             const jobs::RunName &Run) const {
  const auto It = Sessions_.find(Worker);
  if (It == Sessions_.end())
    return {};
  const auto Found = It->second.Runs_.find(Run);
  return Found == It->second.Runs_.end() ? std::string()
                                         : Found->second.Report_.Checkpoint_;
}

} // namespace dragonfly::control
