#include "control/WorkerSessions.h"

#include "dragonfly/base/Log.h"
#include "dragonfly/decide/RunMove.h"

#include <algorithm>
#include <utility>

namespace dragonfly::control {
namespace {

/// Silence on a session's stream after which an empty part is sent; a quarter
/// of the time after which agents give a stream up.
constexpr Duration KeepAlivePeriod = std::chrono::milliseconds(500);
/// Between two orders to stop the same run; the agent repeats its own call to
/// the worker more often than this.
constexpr Duration StopResendPeriod = std::chrono::milliseconds(1000);
/// Runs slower than this share of full speed, in percent, may show no progress
/// for long.
constexpr std::uint32_t LeastProgressSpeed = 50;
/// Reports come every 0.4 s; after a longer gap than this the worker was
/// silent.
constexpr Duration LongestReportGap = std::chrono::milliseconds(1000);
/// Sessions of one term are numbered below this.
constexpr std::uint64_t SessionsPerTerm = 1ULL << 32U;

} // namespace

void WorkerSession::hear(TimePoint Now) {
  if (Now - HeardAt_ >= LongestReportGap || Silent_)
    for (auto &[Run, Info] : Runs_)
      Info.ProgressAt_ = Now;
  HeardAt_ = Now;
}

Duration WorkerSessions::longestLease() const {
  return Options_.WorkerLeaseTerm_ +
         Options_.WorkerLeaseTerm_ * Options_.ClockDriftPermille_ / 1000 +
         Options_.LeaseMargin_;
}

void WorkerSessions::lead(TimePoint Now, Term Led) {
  Rows_.clear();
  LastNumber_ = Led.Value_ * SessionsPerTerm;
  // An earlier leader may have renewed any lease until it was replaced.
  for (const auto &[Worker, Row] : Table_.workers())
    Rows_[Worker].LeaseUntil_ = Now + longestLease();
  Changed_ = true;
}

void WorkerSessions::stop() {
  for (auto &[Worker, Session] : Rows_)
    detach(Session);
  Rows_.clear();
}

void WorkerSessions::detach(WorkerSession &Session) {
  if (!Session.attached())
    return;
  Session.Number_ = 0;
  Session.Reconciled_ = false;
  if (const auto End = std::exchange(Session.Stream_, {}).SendEnd_)
    End(Options_.MakeRefusal_());
  Changed_ = true;
}

void WorkerSessions::tick(TimePoint Now) {
  for (auto &[Worker, Session] : Rows_) {
    if (Session.attached() && !Session.Stream_.IsConnected_()) {
      logEvent(Event::WorkerDetached,
               {{"worker", Worker}, {"session", Session.Number_}});
      detach(Session);
    }
    if (Now >= Session.LeaseUntil_)
      expire(Now, Worker, Session);
    if (Session.attached() && Now - Session.SentAt_ >= KeepAlivePeriod)
      order(Now, Worker, Session.Number_,
            {.Disturbances_ = Disturbances_(Worker)});
  }
  std::erase_if(Rows_, [this](const auto &Each) {
    return !Each.second.attached() && Table_.findWorker(Each.first) == nullptr;
  });
}

void WorkerSessions::expire(TimePoint Now, const std::string &Worker,
                            WorkerSession &Session) {
  const jobs::WorkerRow *Row = Table_.findWorker(Worker);
  if (Row != nullptr && !Row->Runs_.empty()) {
    logEvent(Event::WorkerLeaseExpired,
             {{"worker", Worker}, {"runs", Row->Runs_.size()}});
    endRuns(Worker, jobs::RunEnd::LeaseExpired, {});
  } else if (Row != nullptr && !Session.attached()) {
    Batch_.rows().Departed_.push_back(Worker);
  }
  detach(Session);
  Session.LeaseUntil_ = Now + longestLease();
}

void WorkerSessions::endRuns(const std::string &Worker, jobs::RunEnd How,
                             const std::set<jobs::RunName> &Except) {
  const jobs::WorkerRow *Row = Table_.findWorker(Worker);
  if (Row == nullptr)
    return;
  for (const jobs::RunName &Run : Row->Runs_)
    if (!Except.contains(Run))
      Batch_.rows().Ends_.push_back({.Run_ = Run,
                                     .Worker_ = Worker,
                                     .How_ = How,
                                     .Checkpoint_ = checkpointOf(Worker, Run)});
}

void WorkerSessions::attach(TimePoint Now, wire::WorkerHello Hello,
                            WorkerStream Stream) {
  const std::size_t Index = Batch_.rows().Workers_.size();
  Batch_.rows().Workers_.push_back({.Worker_ = Hello.Worker_,
                                    .Born_ = Hello.Born_,
                                    .Agent_ = Hello.Agent_,
                                    .Vm_ = Hello.Vm_});
  Batch_.whenDone([this, Now, Index, Hello = std::move(Hello),
                   Stream = std::move(Stream)](JobBatch::Status,
                                               const JobOutcomes *Outcomes) {
    if (Outcomes == nullptr) {
      Stream.SendEnd_(Options_.MakeRefusal_());
      return;
    }
    WorkerSession &Session = Rows_[Hello.Worker_];
    const std::uint64_t Fence = Outcomes->Fences_.at(Index);
    // The agent gave up while the record was on its way, and has opened
    // another stream. That may be the newer session already; it goes on unless
    // the record has raised the fence.
    if (!Stream.IsConnected_()) {
      if (Session.Fence_ != Fence)
        detach(Session);
      return;
    }
    detach(Session);
    Session.Hello_ = Hello;
    Session.Stream_ = Stream;
    Session.Number_ = ++LastNumber_;
    Session.Fence_ = Fence;
    Session.hear(Now);
    Session.LeaseUntil_ = std::max(Session.LeaseUntil_, Now + longestLease());
    logEvent(Event::WorkerAttached, {{"worker", Hello.Worker_},
                                     {"born", Hello.Born_},
                                     {"session", Session.Number_},
                                     {"fence", Session.Fence_}});
    order(Now, Hello.Worker_, Session.Number_,
          {.Known_ = knownRuns(Hello.Worker_)});
    endReplaced(Hello);
  });
}

void WorkerSessions::endReplaced(const wire::WorkerHello &Hello) {
  for (const auto &[Worker, Row] : Table_.workers()) {
    if (Worker == Hello.Worker_ || Hello.Vm_.empty() ||
        Row.Life_.Vm_ != Hello.Vm_ || Row.Life_.Born_ > Hello.Born_)
      continue;
    logEvent(Event::WorkerLeft, {{"worker", Worker},
                                 {"runs", Row.Runs_.size()},
                                 {"replaced_by", Hello.Worker_}});
    endRuns(Worker, jobs::RunEnd::LeaseExpired, {});
    Batch_.rows().Departed_.push_back(Worker);
    if (const auto It = Rows_.find(Worker); It != Rows_.end())
      detach(It->second);
  }
}

std::vector<wire::StartOrder>
WorkerSessions::knownRuns(const std::string &Worker) const {
  std::vector<wire::StartOrder> Known;
  for (const jobs::RunName &Run : Table_.findWorker(Worker)->Runs_) {
    const jobs::JobRow *Job = Table_.find(Run.Task_.Job_);
    if (Job == nullptr)
      continue;
    const jobs::StepSpec &Step = Job->Spec_.Steps_[Run.Task_.Step_];
    Known.push_back({.Run_ = Run,
                     .Payload_ = {},
                     .Checkpoint_ = {},
                     .TailTarget_ = Step.TailTarget_,
                     .UsesSpareProcessors_ = Step.UsesSpareProcessors_,
                     .Image_ = Step.Image_,
                     .MilliProcessors_ = Step.Need_.MilliProcessors_});
  }
  return Known;
}

bool WorkerSessions::order(TimePoint Now, const std::string &Worker,
                           std::uint64_t Number, wire::WorkerOrders Orders) {
  const auto It = Rows_.find(Worker);
  if (It == Rows_.end() || It->second.Number_ != Number ||
      !It->second.Stream_.IsConnected_())
    return false;
  WorkerSession &Session = It->second;
  for (const wire::StartOrder &Row : Orders.Starts_)
    Session.Runs_[Row.Run_] = {.Report_ = {.Run_ = Row.Run_},
                               .OrderedAt_ = Now,
                               .StopSentAt_ = {},
                               .ProgressAt_ = Now};
  Session.SentAt_ = Now;
  Orders.Session_ = Number;
  Orders.Fence_ = Session.Fence_;
  Session.Stream_.SendPart_(std::move(Orders));
  return true;
}

void WorkerSessions::stopRun(TimePoint Now, const std::string &Worker,
                             const jobs::RunName &Run) {
  const auto It = Rows_.find(Worker);
  if (It == Rows_.end() || !It->second.attached())
    return;
  RunInfo &Info = It->second.Runs_[Run];
  if (Info.StopSentAt_ != TimePoint() &&
      Now - Info.StopSentAt_ < StopResendPeriod)
    return;
  Info.StopSentAt_ = Now;
  order(Now, Worker, It->second.Number_, {.Stops_ = {Run}});
}

void WorkerSessions::report(TimePoint Now, wire::WorkerReport Report,
                            JobService::Reply Answer) {
  const auto It = Rows_.find(Report.Worker_);
  if (It == Rows_.end() || It->second.Number_ != Report.Session_ ||
      Report.Session_ == 0) {
    Answer(wire::WorkerReportAck{.LeaseTerm_ = {}, .SessionEnded_ = true});
    return;
  }
  const Duration Granted = takeState(Now, It->second, Report);
  takeRuns(Now, Report.Worker_, It->second, Report);
  const bool HasEnds = takeEnds(Report);
  auto Finish = [this, Answer = std::move(Answer), Granted,
                 Worker = Report.Worker_, Number = Report.Session_,
                 Complete = Report.Complete_] {
    const auto Current = Rows_.find(Worker);
    if (Complete && Current != Rows_.end() && Current->second.Number_ == Number)
      Current->second.Reconciled_ = true;
    Changed_ = Changed_ || Complete;
    Answer(wire::WorkerReportAck{.LeaseTerm_ = Granted});
  };
  if (!HasEnds) {
    Finish();
    return;
  }
  Batch_.whenDone([this, Finish = std::move(Finish)](
                      JobBatch::Status, const JobOutcomes *Outcomes) {
    // An agent that hears nothing sends its ends again.
    if (Outcomes != nullptr)
      Finish();
    Changed_ = true;
  });
}

/// Takes what the report tells of the worker itself and renews its lease;
/// returns for how long.
Duration WorkerSessions::takeState(TimePoint Now, WorkerSession &Session,
                                   const wire::WorkerReport &Report) {
  Session.hear(Now);
  if (Session.Draining_ != Report.Draining_ ||
      Session.Silent_ != Report.Silent_)
    Changed_ = true;
  Session.Draining_ = Report.Draining_;
  Session.DrainBy_ = Now + Report.DrainTimeLeft_;
  Session.Silent_ = Report.Silent_;
  if (!Options_.HoldsLeaderLease_())
    return Duration::zero();
  Session.LeaseUntil_ = Now + longestLease();
  return Options_.WorkerLeaseTerm_;
}

/// Gathers the ends that a report tells or, where it is complete, implies;
/// returns whether there are any.
bool WorkerSessions::takeEnds(const wire::WorkerReport &Report) {
  const std::size_t Before = Batch_.rows().Ends_.size();
  std::set<jobs::RunName> Told;
  for (const wire::EndReport &Row : Report.Ends_) {
    Told.insert(Row.Run_);
    Batch_.rows().Ends_.push_back({.Run_ = Row.Run_,
                                   .Worker_ = Report.Worker_,
                                   .How_ = Row.How_,
                                   .Checkpoint_ = Row.Checkpoint_});
  }
  if (Report.Complete_) {
    for (const wire::RunReport &Row : Report.Runs_)
      Told.insert(Row.Run_);
    endRuns(Report.Worker_, jobs::RunEnd::NotStarted, Told);
  }
  return Batch_.rows().Ends_.size() != Before;
}

void WorkerSessions::takeRuns(TimePoint Now, const std::string &Worker,
                              WorkerSession &Session,
                              const wire::WorkerReport &Report) {
  const jobs::WorkerRow *Row = Table_.findWorker(Worker);
  for (const wire::RunReport &Run : Report.Runs_) {
    if (Row == nullptr || !Row->Runs_.contains(Run.Run_)) {
      // It was taken for lost, or its job is gone.
      stopRun(Now, Worker, Run.Run_);
      continue;
    }
    const auto [It, IsNew] = Session.Runs_.try_emplace(Run.Run_);
    RunInfo &Info = It->second;
    if (IsNew)
      Info.OrderedAt_ = Now;
    const bool Slowed = Run.SpeedPercent_ < LeastProgressSpeed;
    if (IsNew || Slowed || Run.Phase_ != wire::RunPhase::Running ||
        Run.ProgressPercent_ != Info.Report_.ProgressPercent_ ||
        Run.Checkpoint_ != Info.Report_.Checkpoint_)
      Info.ProgressAt_ = Now;
    if (Run.SpeedPercent_ > decide::RunMoveOptions().MostPercent_)
      Info.SlowedAt_.reset();
    else if (!Info.SlowedAt_)
      Info.SlowedAt_ = Now;
    std::string Checkpoint = std::move(Info.Report_.Checkpoint_);
    Info.Report_ = Run;
    if (Info.Report_.Checkpoint_.empty())
      Info.Report_.Checkpoint_ = std::move(Checkpoint);
  }
  std::set<jobs::RunName> Reported;
  for (const wire::RunReport &Run : Report.Runs_)
    Reported.insert(Run.Run_);
  std::erase_if(Session.Runs_, [&](const auto &Each) {
    return (Row == nullptr || !Row->Runs_.contains(Each.first)) &&
           !Reported.contains(Each.first);
  });
}

void WorkerSessions::gone(const wire::WorkerGone &Notice,
                          JobService::Reply Answer) {
  const jobs::WorkerRow *Row = Table_.findWorker(Notice.Worker_);
  if (Row == nullptr || Row->Life_.Born_ != Notice.Born_) {
    Answer(wire::WorkerReportAck{});
    return;
  }
  logEvent(Event::WorkerLeft,
           {{"worker", Notice.Worker_}, {"runs", Row->Runs_.size()}});
  endRuns(Notice.Worker_, jobs::RunEnd::LeaseExpired, {});
  Batch_.rows().Departed_.push_back(Notice.Worker_);
  Batch_.whenDone([this, Answer = std::move(Answer), Worker = Notice.Worker_](
                      JobBatch::Status, const JobOutcomes *Outcomes) {
    if (Outcomes == nullptr) {
      Answer(Options_.MakeRefusal_());
      return;
    }
    if (const auto It = Rows_.find(Worker); It != Rows_.end())
      detach(It->second);
    Answer(wire::WorkerReportAck{});
  });
}

std::string WorkerSessions::checkpointOf(const std::string &Worker,
                                         const jobs::RunName &Run) const {
  const auto It = Rows_.find(Worker);
  if (It == Rows_.end())
    return {};
  const auto Found = It->second.Runs_.find(Run);
  return Found == It->second.Runs_.end() ? std::string()
                                         : Found->second.Report_.Checkpoint_;
}

} // namespace dragonfly::control
