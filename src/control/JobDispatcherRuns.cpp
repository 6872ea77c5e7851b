/// Starts and stops of runs, and what becomes of those that end.
#include "control/JobDispatcher.h"

#include "dragonfly/base/Log.h"

#include <algorithm>
#include <utility>

namespace dragonfly::control {

using jobs::JobRow;
using jobs::RunName;
using jobs::StepSpec;

namespace {

/// A run without progress for this long is stalled. On a worker that is six
/// times too slow the longest tasks still progress by one percent a second.
constexpr Duration StallTimeout = std::chrono::milliseconds(2500);
constexpr std::uint32_t FullProgressPercent = 100;
/// Starts are confirmed by the next report, each 0.4 s.
constexpr Duration UnconfirmedStartTime = std::chrono::milliseconds(1000);

wire::StartOrder startOrderFor(const JobRow &Job, const RunName &Run) {
  const StepSpec &Step = Job.Spec_.Steps_[Run.Task_.Step_];
  return {.Run_ = Run,
          .Payload_ = Job.Spec_.Payload_,
          .Checkpoint_ =
              Job.Steps_[Run.Task_.Step_].Tasks_[Run.Task_.Index_].Checkpoint_,
          .TailTarget_ = Step.TailTarget_,
          .UsesSpareProcessors_ = Step.UsesSpareProcessors_,
          .Image_ = Step.Image_,
          .MilliProcessors_ = Step.Need_.MilliProcessors_};
}

} // namespace

void JobDispatcher::proposeStart(TimePoint Now, const JobRow &Job, RunName Run,
                                 const std::string &Worker) {
  const WorkerSession &Session = Sessions_.sessions().at(Worker);
  ProposedStarts_[Run] = {.Worker_ = Worker, .Session_ = Session.Number_};
  ++ProposedStartVersions_[Worker];
  const std::size_t Index = Batch_.record().Starts_.size();
  const jobs::StartRow Row{.Run_ = std::move(Run),
                           .Worker_ = Worker,
                           .Fence_ = Session.FencingToken_};
  Batch_.record().Starts_.push_back(Row);
  logEvent(Event::TaskPlaced, {{"job", Job.Id_},
                               {"step", Row.Run_.Task_.Step_},
                               {"index", Row.Run_.Task_.Index_},
                               {"run", Row.Run_.Run_},
                               {"worker", Worker},
                               {"fence", Session.FencingToken_}});
  Batch_.onOutcome([this, Now, Row, Index, SessionNumber = Session.Number_](
                       JobBatch::Status, const JobOutcomes *Outcomes) {
    ProposedStarts_.erase(Row.Run_);
    ++ProposedStartVersions_[Row.Worker_];
    NeedsPlacement_ = true;
    if (Outcomes != nullptr)
      handleCommittedStart(Now, Row, SessionNumber,
                           Outcomes->Starts_.at(Index) != 0);
  });
}

void JobDispatcher::handleCommittedStart(TimePoint Now,
                                         const jobs::StartRow &Row,
                                         std::uint64_t SessionNumber,
                                         bool Applied) {
  const JobRow *Job = Table_.find(Row.Run_.Task_.Job_);
  if (!Applied || Job == nullptr)
    return;
  const auto Session = Sessions_.sessions().find(Row.Worker_);
  const bool IsEvacuated =
      Session != Sessions_.sessions().end() &&
      Evacuations_.isEvacuated(Session->second.Hello_.AvailabilityZone_);
  const bool Ordered =
      !IsEvacuated &&
      Sessions_.sendOrders(Now, Row.Worker_, SessionNumber,
                           {.Starts_ = {startOrderFor(*Job, Row.Run_)}});
  // If the session has ended, no later one sends this order: the run is ended
  // as not started.
  Metrics_.count("runs_placed", Ordered       ? "ordered"
                                : IsEvacuated ? "zone-evacuated"
                                              : "session-ended");
  if (!Ordered)
    Batch_.record().Ends_.push_back({.Run_ = Row.Run_,
                                     .Worker_ = Row.Worker_,
                                     .How_ = jobs::RunEnd::NotStarted,
                                     .Checkpoint_ = {}});
}

void JobDispatcher::stopUnwantedRuns(TimePoint Now) {
  for (const auto &[Name, Session] : Sessions_.sessions()) {
    const jobs::WorkerRow *Row = Table_.findWorker(Name);
    if (!Session.isAttached() || Row == nullptr)
      continue;
    std::vector<RunName> Unwanted;
    std::ranges::copy_if(Row->Runs_, std::back_inserter(Unwanted),
                         [this](const RunName &Run) {
                           const JobRow *Job = Table_.find(Run.Task_.Job_);
                           return Job == nullptr || !Job->active();
                         });
    for (const RunName &Run : Unwanted)
      Sessions_.stopRun(Now, Name, Run);
    if (Session.Draining_)
      stopResumableRuns(Now, Name, Session);
    if (Evacuations_.isEvacuated(Session.Hello_.AvailabilityZone_))
      stopEvacuatedStarts(Now, Name, Session);
    stopStalledRuns(Now, Name, Session);
  }
}

void JobDispatcher::handleRunEnd(TimePoint Now, const jobs::EndRow &Row) {
  const JobRow *Job = Table_.find(Row.Run_.Task_.Job_);
  const auto Session = Sessions_.sessions().find(Row.Worker_);
  const bool HasSession = Session != Sessions_.sessions().end();
  if (Row.How_ == jobs::RunEnd::Finished) {
    Suspicion_.recordSuccess(Now, Row.Worker_);
    const auto Run = HasSession ? Session->second.Runs_.find(Row.Run_)
                                : std::map<RunName, RunInfo>::const_iterator();
    if (HasSession && Run != Session->second.Runs_.end())
      StartLimits_.recordFinished(Run->second.StartOrderedAt_, Row.Worker_);
    if (Job != nullptr && HasSession && Session->second.isSchedulable())
      Locality_.recordRelease(Now, Session->second.Hello_.Labels_,
                              Job->Spec_.Steps_[Row.Run_.Task_.Step_]);
  }
  // Only the first failure of a task counts: one that fails repeatedly is
  // probably at fault itself.
  else if (Row.How_ == jobs::RunEnd::Failed && Job != nullptr) {
    const jobs::TaskName &Name = Row.Run_.Task_;
    const bool IsFirst =
        Job->Spec_.Steps_[Name.Step_].LongRunning_
            ? Row.Run_.Run_ == 1
            : Job->Steps_[Name.Step_].Tasks_[Name.Index_].Failures_ == 1;
    if (IsFirst)
      recordRunFailure(Now, Row.Worker_);
  }
}

void JobDispatcher::limitFailingWorker(TimePoint Now,
                                       const std::string &Worker) {
  const auto Session = Sessions_.sessions().find(Worker);
  const jobs::WorkerRow *Row = Table_.findWorker(Worker);
  if (Session == Sessions_.sessions().end() || Row == nullptr ||
      !ServicesWithFewAttempts_.contains(Session->second.Hello_.Service_))
    return;
  const bool WasLimited = StartLimits_.limitOf(Now, Worker).has_value();
  StartLimits_.recordFailure(Now, Worker, Row->FailuresInRow_);
  if (!WasLimited && StartLimits_.limitOf(Now, Worker))
    logEvent(Event::WorkerLimited,
             {{"worker", Worker}, {"failures_in_row", Row->FailuresInRow_}});
}

void JobDispatcher::recordRunFailure(TimePoint Now, const std::string &Worker) {
  const bool WasSuspect = Suspicion_.isSuspect(Now, Worker);
  Suspicion_.recordFailure(Now, Worker);
  limitFailingWorker(Now, Worker);
  if (!WasSuspect && Suspicion_.isSuspect(Now, Worker))
    logEvent(Event::WorkerSuspected, {{"worker", Worker}});
}

/// Stops the runs on a worker in an evacuated zone of which no report has shown
/// within `UnconfirmedStartTime` that they have begun: their agent may still
/// hold the order, or repeat a call without an answer.
void JobDispatcher::stopEvacuatedStarts(TimePoint Now,
                                        const std::string &Worker,
                                        const WorkerSession &Session) {
  std::vector<RunName> Unconfirmed;
  for (const auto &[Run, Info] : Session.Runs_)
    if (Info.Report_.Phase_ == wire::RunPhase::Starting &&
        Now - Info.StartOrderedAt_ >= UnconfirmedStartTime)
      Unconfirmed.push_back(Run);
  for (const RunName &Run : Unconfirmed)
    Sessions_.stopRun(Now, Worker, Run);
}

/// Stops stalled runs, so that their tasks are placed on other workers.
void JobDispatcher::stopStalledRuns(TimePoint Now, const std::string &Worker,
                                    const WorkerSession &Session) {
  std::vector<RunName> Stalled;
  for (const auto &[Run, Info] : Session.Runs_) {
    const JobRow *Job = Table_.find(Run.Task_.Job_);
    if (Job == nullptr || !Job->active() || Session.Silent_ ||
        Info.Report_.Phase_ != wire::RunPhase::Running ||
        Now - Info.LastProgressAt_ < StallTimeout ||
        Session.LastContactAt_ - Info.LastProgressAt_ < StallTimeout)
      continue;
    const StepSpec &Step = Job->Spec_.Steps_[Run.Task_.Step_];
    // Long-running tasks report 100 percent while they work.
    if (!Step.LongRunning_ ||
        Info.Report_.ProgressPercent_ < FullProgressPercent)
      Stalled.push_back(Run);
  }
  for (const RunName &Run : Stalled) {
    if (Session.Runs_.at(Run).StopSentAt_ == TimePoint()) {
      logEvent(Event::RunStalled, {{"job", Run.Task_.Job_},
                                   {"step", Run.Task_.Step_},
                                   {"index", Run.Task_.Index_},
                                   {"run", Run.Run_},
                                   {"worker", Worker}});
      recordRunFailure(Now, Worker);
    }
    Sessions_.stopRun(Now, Worker, Run);
  }
}

/// Stops the long-running and the checkpointing runs on a draining worker, so
/// that they resume on other workers.
void JobDispatcher::stopResumableRuns(TimePoint Now, const std::string &Worker,
                                      const WorkerSession &Session) {
  std::vector<RunName> Resumable;
  for (const auto &[Run, Info] : Session.Runs_) {
    const JobRow *Job = Table_.find(Run.Task_.Job_);
    if (Job == nullptr || Run.Task_.Step_ >= Job->Spec_.Steps_.size())
      continue;
    const StepSpec &Step = Job->Spec_.Steps_[Run.Task_.Step_];
    if (Step.LongRunning_ || Step.Checkpointing_)
      Resumable.push_back(Run);
  }
  for (const RunName &Run : Resumable)
    Sessions_.stopRun(Now, Worker, Run);
}

} // namespace dragonfly::control
