#include "dragonfly/control/JobService.h"

#include "control/JobBatch.h"
#include "control/JobDispatcher.h"
#include "control/JobMemory.h"
#include "control/JobPaths.h"
#include "control/RecentNames.h"
#include "control/RunTimeEstimator.h"
#include "control/WorkerInterference.h"
#include "control/WorkerSessions.h"
#include "dragonfly/base/LineBudget.h"
#include "dragonfly/base/Log.h"

#include <algorithm>
#include <set>
#include <string_view>
#include <utility>

namespace dragonfly::control {

using consensus::ProposeStatus;
using wire::JobStatus;

namespace {

/// Interval at which learnt headroom losses are replicated. The next leader
/// misses no more than what was learnt in one interval.
constexpr Duration LossReplicationInterval = std::chrono::seconds(1);

/// Returns whether a run of the step has finished or failed.
bool hasEndedRun(const jobs::StepRow &Step) {
  return Step.Finished_ > 0 ||
         std::ranges::any_of(Step.Tasks_.begun(), [](const auto &Entry) {
           return Entry.second.Failures_ > 0;
         });
}

} // namespace

struct JobService::Impl {
  Impl(JobServiceOptions Options, const jobs::JobTable &Table,
       const jobs::ImageLosses &Losses,
       const jobs::EvacuationTable &Evacuations)
      : Options_(std::move(Options)), Table_(Table), ReplicatedLosses_(Losses),
        Evacuations_(Evacuations),
        Batch_(Options_,
               [this](const jobs::EndRow &Row) { handleRunEnd(Row); }),
        Interference_(Table_),
        Sessions_(
            Options_, Table_, Batch_,
            [this](const std::string &Worker) {
              return Interference_.lossesOn(Worker);
            },
            [this](const jobs::RunName &Run) { noteBegun(Run); }),
        RunTimes_(Table_),
        Dispatcher_(Table_, Sessions_, Interference_, RunTimes_, Evacuations_,
                    Options_.RemoteFactor_, Batch_, *Options_.Metrics_) {}

  void noteBegun(const jobs::RunName &Run) {
    BegunJobs_.insert(Run.Task_.Job_);
  }

  /// What has ended tells of jobs that have begun; of the others, agents report
  /// their runs within a reporting period.
  void restoreBegunJobs() {
    BegunJobs_.clear();
    for (const auto &[Id, Job] : Table_.jobs())
      if (Job.active() && std::ranges::any_of(Job.Steps_, hasEndedRun))
        BegunJobs_.insert(Id);
  }

  void handleRunEnd(const jobs::EndRow &Row) {
    const jobs::TaskName &Task = Row.Run_.Task_;
    // A run that was lost, or never began, may not have been on its worker.
    if (Row.How_ != jobs::RunEnd::NotStarted &&
        Row.How_ != jobs::RunEnd::LeaseExpired)
      noteBegun(Row.Run_);
    Options_.Metrics_->count("runs_ended", enumName(Row.How_));
    Dispatcher_.handleRunEnd(Now_, Row);
    logEvent(Event::RunEnded, {{"job", Task.Job_},
                               {"step", Task.Step_},
                               {"index", Task.Index_},
                               {"run", Row.Run_.Run_},
                               {"worker", Row.Worker_},
                               {"how", enumName(Row.How_)}});
    noteEnded(Task.Job_);
  }

  /// Logs and counts the end of the job, if it has ended other than by a
  /// cancel.
  void noteEnded(const std::string &Id) {
    const jobs::JobRow *Job = Table_.find(Id);
    if (Job == nullptr || Job->active() ||
        Job->State_ == jobs::JobState::Cancelled ||
        !ReportedJobs_.insert(Job->Id_))
      return;
    const Duration JobTime = Job->EndedAt_ - Job->AcceptedAt_;
    Options_.Metrics_->count("jobs", enumName(Job->State_));
    Options_.Metrics_->record("job_time", Job->Queue_.Name_, JobTime);
    logEvent(Event::JobEnded,
             {{"job", Job->Id_},
              {"queue", Job->Queue_.Name_},
              {"state", enumName(Job->State_)},
              {"ms", static_cast<std::uint64_t>(toMilliseconds(JobTime))}});
  }

  /// Refuses the request if its record was certainly not committed. Otherwise
  /// the outcome is unknown and there is no answer.
  void refuseIfNotLeader(ProposeStatus Status, const Reply &Answer) const {
    if (Status == ProposeStatus::NotLeader)
      Answer(Options_.MakeRefusal_());
  }

  /// Returns the queue whose path prefix followed by \p Job is \p Path, or
  /// null.
  const jobs::Queue *findQueue(const std::string &Host, const std::string &Path,
                               std::string_view Job = {}) const {
    const jobs::Queue *Match = Table_.configuration().findQueue(Host, Path);
    const bool IsExact = Match != nullptr &&
                         Path.size() == Match->PathPrefix_.size() + Job.size();
    return IsExact ? Match : nullptr;
  }

  /// Returns the status of an answer where `findQueue` returned null.
  JobStatus missingQueueStatus() const {
    return Table_.configuration().Version_ == 0 ? JobStatus::NoConfiguration
                                                : JobStatus::NoQueue;
  }

  void submitJob(wire::SubmitJob Request, Reply Answer) {
    const bool IsKnown = Table_.find(Request.Job_) != nullptr;
    if (findQueue(Request.Host_, Request.Path_, Request.Job_) == nullptr) {
      Answer(wire::JobReply{.Status_ = IsKnown ? JobStatus::AcceptedBefore
                                               : missingQueueStatus(),
                            .RetryAfter_ = Options_.RetryAfter_});
      return;
    }
    if (IsKnown) {
      Answer(wire::JobReply{.Status_ = JobStatus::Accepted});
      return;
    }
    if (Options_.IsStateFull_ && Options_.IsStateFull_()) {
      rejectJob(Request.Job_, "state-full", Answer);
      return;
    }
    const std::size_t Bytes = jobs::newJobBytes(Request.Spec_);
    if (!Memory_.hasRoomFor(Bytes)) {
      rejectJob(Request.Job_, "job-memory-full", Answer);
      return;
    }
    Memory_.addProposed(Bytes);
    const std::size_t Index = Batch_.record().Submits_.size();
    Batch_.record().Submits_.push_back({.Job_ = Request.Job_,
                                        .Host_ = std::move(Request.Host_),
                                        .Path_ = std::move(Request.Path_),
                                        .Spec_ = std::move(Request.Spec_)});
    Batch_.onOutcome([this, Index, Bytes, Job = std::move(Request.Job_),
                      Answer = std::move(Answer)](ProposeStatus Status,
                                                  const JobOutcomes *Outcomes) {
      Memory_.removeProposed(Bytes);
      if (Outcomes == nullptr) {
        refuseIfNotLeader(Status, Answer);
        return;
      }
      const bool Accepted =
          Outcomes->Submits_.at(Index) == jobs::SubmitStatus::Accepted;
      logSubmission(Job, Accepted);
      Options_.Metrics_->count("jobs", Accepted ? "accepted" : "no-queue");
      Dispatcher_.notifyJobsChanged();
      Answer(wire::JobReply{.Status_ = Accepted ? JobStatus::Accepted
                                                : JobStatus::NoQueue});
    });
  }

  /// Refuses a submission that was not proposed.
  void rejectJob(const std::string &Job, std::string_view Reason,
                 const Reply &Answer) {
    Options_.Metrics_->count("jobs", Reason);
    if (RejectLines_.take(Clock::now()))
      logEvent(Event::JobRejected, {{"job", Job},
                                    {"reason", Reason},
                                    {"held_bytes", Table_.heldBytes()},
                                    {"bound", Options_.MaxJobBytes_}});
    Answer(wire::JobReply{.Status_ = JobStatus::Rejected,
                          .RetryAfter_ = Options_.FullStateRetryAfter_});
  }

  void logSubmission(const std::string &Id, bool Accepted) const {
    const std::uint64_t Version = Table_.configuration().Version_;
    const jobs::JobRow *Job = Table_.find(Id);
    if (!Accepted || Job == nullptr)
      logEvent(Accepted ? Event::JobAccepted : Event::JobRejected,
               {{"job", Id}, {"configuration", Version}});
    else
      logEvent(Event::JobAccepted, {{"job", Id},
                                    {"configuration", Version},
                                    {"queue", Job->Queue_.Name_},
                                    {"steps", jobs::printSteps(Job->Spec_)}});
  }

  void handleJobRequest(const wire::JobRequest &Request, Reply Answer) {
    const bool HasQueue =
        findQueue(Request.Host_, Request.Path_, Request.Job_) != nullptr;
    const jobs::JobRow *Job = Table_.find(Request.Job_);
    const bool IsCancel = Request.Action_ == wire::JobAction::Cancel;
    // A job outlives its queue, and its caller may still cancel it. A job that
    // is not known yet may reach its queue once that is back.
    const bool MayCancel =
        IsCancel && (Job != nullptr ? wasSubmittedAt(*Job, Request)
                                    : isWholeSegment(Request));
    if (!HasQueue && !MayCancel) {
      Answer(wire::JobReply{.Status_ = missingQueueStatus(),
                            .RetryAfter_ = Options_.RetryAfter_});
    } else if (Job != nullptr && (!IsCancel || !Job->active())) {
      Answer(
          wire::JobReply{.Status_ = JobStatus::Known, .State_ = Job->State_});
    } else if (!IsCancel) {
      Answer(wire::JobReply{.Status_ = JobStatus::UnknownJob});
    } else {
      cancelJob(Request.Job_, HasQueue, std::move(Answer));
    }
  }

  /// Recorded even if the job is unknown: a submission in flight must not start
  /// after its cancel was acknowledged.
  void cancelJob(const std::string &Id, bool HasQueue, Reply Answer) {
    const std::size_t Index = Batch_.record().Cancels_.size();
    Batch_.record().Cancels_.push_back(Id);
    Batch_.onOutcome([this, Id, Index, HasQueue, Answer = std::move(Answer)](
                         ProposeStatus Status, const JobOutcomes *Outcomes) {
      if (Outcomes == nullptr) {
        refuseIfNotLeader(Status, Answer);
        return;
      }
      const jobs::CancelStatus Outcome = Outcomes->Cancels_.at(Index);
      if (Outcome == jobs::CancelStatus::Refused) {
        Options_.Metrics_->count("jobs", "cancel-refused");
        Answer(wire::JobReply{.Status_ = JobStatus::Rejected,
                              .RetryAfter_ = Options_.RetryAfter_});
        return;
      }
      logEvent(Event::JobCancelled, {{"job", Id}});
      Options_.Metrics_->count("jobs", "cancelled");
      Dispatcher_.notifyJobsChanged();
      if (Outcome == jobs::CancelStatus::RecordedEarly && !HasQueue) {
        Answer(wire::JobReply{.Status_ = missingQueueStatus(),
                              .RetryAfter_ = Options_.RetryAfter_});
        return;
      }
      // Without its queue the caller finds no job there any more.
      Answer(wire::JobReply{.Status_ =
                                Outcome == jobs::CancelStatus::Known && HasQueue
                                    ? JobStatus::Known
                                    : JobStatus::UnknownJob,
                            .State_ = jobs::JobState::Cancelled});
    });
  }

  void fetchQueueDepth(const wire::QueueDepthRequest &Request,
                       const Reply &Answer) {
    const jobs::Queue *Queue = findQueue(Request.Host_, Request.Path_);
    if (Queue == nullptr)
      Answer(wire::QueueDepth{.Status_ = missingQueueStatus()});
    else
      Answer(wire::QueueDepth{.Status_ = JobStatus::Known,
                              .Queued_ = Table_.countPending(Queue->Host_,
                                                             Queue->PathPrefix_,
                                                             BegunJobs_)});
  }

  void putConfiguration(wire::PutConfiguration Request, Reply Answer) {
    if (Request.Value_.Version_ <= Table_.configuration().Version_) {
      Answer(wire::PutConfigurationAck{Table_.configuration().Version_});
      return;
    }
    const std::size_t Bytes = Request.Value_.Document_.size();
    Options_.Propose_(
        PutQueues{std::move(Request.Value_)},
        [this, Bytes, Began = Clock::now(), Answer = std::move(Answer)](
            ProposeStatus Status, const CommandOutput &Output) {
          if (Status != ProposeStatus::Committed) {
            refuseIfNotLeader(Status, Answer);
            return;
          }
          const std::uint64_t Version =
              std::get<QueuesOutcome>(Output).Version_;
          logEvent(Event::QueuesChanged,
                   {{"version", Version},
                    {"bytes", Bytes},
                    {"age_ms", static_cast<std::uint64_t>(
                                   toMilliseconds(Clock::now() - Began))}});
          Dispatcher_.notifyJobsChanged();
          Answer(wire::PutConfigurationAck{Version});
        });
  }

  void setEvacuation(SetEvacuation Change, EvacuationDone Done) {
    Options_.Propose_(
        Change, [this, Change, Done = std::move(Done)](
                    ProposeStatus Status, const CommandOutput &Output) {
          if (Status != ProposeStatus::Committed) {
            Done(Status, {});
            return;
          }
          const auto Result = std::get<EvacuationOutcome>(Output).Status_;
          logEvent(Event::ZoneEvacuated,
                   {{"zone", Change.Zone_},
                    {"evacuated", Change.Evacuated_ ? "yes" : "no"},
                    {"status", enumName(Result)}});
          Options_.Metrics_->count("evacuations", enumName(Result));
          Dispatcher_.notifyJobsChanged();
          Done(Status, Result);
        });
  }

  void recordCrash(const jobs::WorkerCrash &Crash, Reply Answer) {
    CommandBody Record = RecordCrash{Crash};
    if (!Crash.Unconfirmed_.empty())
      Record = RecordUnconfirmedCrash{Crash};
    Options_.Propose_(std::move(Record),
                      [this, Crash, Answer = std::move(Answer)](
                          ProposeStatus Status, const CommandOutput &) {
                        if (Status != ProposeStatus::Committed) {
                          refuseIfNotLeader(Status, Answer);
                          return;
                        }
                        noteCrash(Crash);
                        Answer(wire::WorkerReportAck{});
                      });
  }

  std::string_view crashOutcome(const jobs::TaskName &Task) const {
    const jobs::JobRow *Job = Table_.find(Task.Job_);
    if (Job != nullptr && Job->State_ == jobs::JobState::Failed)
      return "given-up";
    return Table_.crashes().isSuspect(Task) ? "suspect" : "not-blamed";
  }

  void noteCrash(const jobs::WorkerCrash &Crash) {
    Options_.Metrics_->count("workers", "crashed");
    for (const jobs::RunName &Run : Crash.Suspects_) {
      logEvent(Event::CrashSuspected,
               {{"job", Run.Task_.Job_},
                {"step", Run.Task_.Step_},
                {"index", Run.Task_.Index_},
                {"run", Run.Run_},
                {"worker", Crash.Worker_},
                {"begun", Crash.isConfirmed(Run) ? "yes" : "unknown"},
                {"suspects", Crash.Suspects_.size()},
                {"outcome", crashOutcome(Run.Task_)}});
      noteEnded(Run.Task_.Job_);
    }
    Dispatcher_.notifyJobsChanged();
  }

  /// Replicates the learnt headroom losses and prunes the run times of ended
  /// jobs, once per interval.
  void replicateLossesAndPrune() {
    if (Now_ < NextLossReplicationAt_)
      return;
    NextLossReplicationAt_ = Now_ + LossReplicationInterval;
    RunTimes_.pruneEndedJobs();
    Options_.Metrics_->set("job_memory_bytes", {},
                           static_cast<double>(Table_.heldBytes()));
    std::erase_if(BegunJobs_, [this](const std::string &Id) {
      const jobs::JobRow *Job = Table_.find(Id);
      return Job == nullptr || !Job->active();
    });
    std::vector<jobs::ImageLoss> Rows = Interference_.consumeChangedLosses();
    for (const jobs::ImageLoss &Row : Rows)
      logEvent(Event::ImageLossLearnt,
               {{"serving", Row.Serving_},
                {"image", Row.Image_},
                {"loss_permille_per_worker", Row.PermillePerWorker_},
                {"readings", Row.Readings_}});
    if (!Rows.empty())
      Options_.Propose_(RecordImageLosses{std::move(Rows)},
                        [](ProposeStatus, const CommandOutput &) {});
  }

  static constexpr std::size_t MaxReadLinesPerSecond = 20;
  static constexpr std::size_t MaxRejectLinesPerSecond = 20;

  JobServiceOptions Options_;
  LineBudget ReadLines_{MaxReadLinesPerSecond};
  LineBudget RejectLines_{MaxRejectLinesPerSecond};
  const jobs::JobTable &Table_;
  JobMemory Memory_{Table_, Options_.MaxJobBytes_};
  const jobs::ImageLosses &ReplicatedLosses_;
  const jobs::EvacuationTable &Evacuations_;
  TimePoint Now_;
  TimePoint NextLossReplicationAt_;
  JobBatch Batch_;
  RecentNames ReportedJobs_;
  /// Active jobs of which a task is known to have begun.
  std::set<std::string> BegunJobs_;
  WorkerInterference Interference_;
  WorkerSessions Sessions_;
  RunTimeEstimator RunTimes_;
  JobDispatcher Dispatcher_;
};

JobService::JobService(JobServiceOptions Options, const jobs::JobTable &Table,
                       const jobs::ImageLosses &Losses,
                       const jobs::EvacuationTable &Evacuations)
    : Impl_(std::make_unique<Impl>(std::move(Options), Table, Losses,
                                   Evacuations)) {}

JobService::~JobService() = default;

void JobService::startLeading(TimePoint Now, Term Led) {
  Impl_->Interference_.restore(Impl_->ReplicatedLosses_.rows());
  Impl_->restoreBegunJobs();
  Impl_->Sessions_.startLeading(Now, Led);
  Impl_->Dispatcher_.startLeading();
}

void JobService::stopLeading() {
  Impl_->Batch_.failAll();
  Impl_->Sessions_.stopLeading();
}

void JobService::tick(TimePoint Now, Duration LogTime) {
  Impl_->Now_ = Now;
  Impl_->Sessions_.tick(Now);
  Impl_->Dispatcher_.tick(Now, LogTime);
  Impl_->Batch_.flush();
  Impl_->replicateLossesAndPrune();
}

bool JobService::isJobMemoryScarce() const { return Impl_->Memory_.isScarce(); }

void JobService::submitJob(TimePoint, wire::SubmitJob Request, Reply Answer) {
  Impl_->submitJob(std::move(Request), std::move(Answer));
}

void JobService::handleJobRequest(TimePoint, const wire::JobRequest &Request,
                                  Reply Answer) {
  Impl_->handleJobRequest(Request, std::move(Answer));
}

void JobService::fetchQueueDepth(const wire::QueueDepthRequest &Request,
                                 const Reply &Answer) {
  Impl_->fetchQueueDepth(Request, Answer);
}

void JobService::putConfiguration(wire::PutConfiguration Request,
                                  Reply Answer) {
  Impl_->putConfiguration(std::move(Request), std::move(Answer));
}

void JobService::fetchConfiguration(const Reply &Answer) {
  const jobs::Configuration &Current = Impl_->Table_.configuration();
  if (Impl_->ReadLines_.take(Clock::now()))
    logEvent(Event::ConfigurationRead, {{"version", Current.Version_},
                                        {"bytes", Current.Document_.size()}});
  Answer(wire::CurrentConfiguration{.Version_ = Current.Version_,
                                    .Document_ = Current.Document_});
}

void JobService::fetchEvacuation(const wire::FetchEvacuation &Request,
                                 const Reply &Answer) {
  const jobs::ZoneEvacuation Zone = Impl_->Evacuations_.find(Request.Zone_);
  Answer(wire::Evacuation{.Evacuated_ = Zone.Evacuated_,
                          .Revision_ = Zone.Revision_});
}

void JobService::setEvacuation(SetEvacuation Change, EvacuationDone Done) {
  Impl_->setEvacuation(std::move(Change), std::move(Done));
}

void JobService::attachWorker(TimePoint Now, wire::WorkerHello Hello,
                              WorkerStream Stream) {
  Impl_->Sessions_.attach(Now, std::move(Hello), std::move(Stream));
}

void JobService::handleWorkerReport(TimePoint Now, wire::WorkerReport Report,
                                    Reply Answer) {
  const std::string Worker = Report.Worker_;
  const auto SessionBefore = Impl_->Sessions_.sessions().find(Worker);
  if (SessionBefore != Impl_->Sessions_.sessions().end())
    Impl_->RunTimes_.observe(Now, SessionBefore->second, Report);
  Impl_->Sessions_.handleReport(Now, std::move(Report), std::move(Answer));
  if (const auto It = Impl_->Sessions_.sessions().find(Worker);
      It != Impl_->Sessions_.sessions().end())
    Impl_->Interference_.observe(Now, It->second);
}

void JobService::handleWorkerGone(TimePoint, const wire::WorkerGone &Notice,
                                  Reply Answer) {
  Impl_->Sessions_.handleWorkerGone(Notice, std::move(Answer));
}

void JobService::handleWorkerCrashed(const jobs::WorkerCrash &Crash,
                                     Reply Answer) {
  Impl_->recordCrash(Crash, std::move(Answer));
}

} // namespace dragonfly::control
