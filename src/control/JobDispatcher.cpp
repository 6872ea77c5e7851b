#include "control/JobDispatcher.h"

#include "dragonfly/base/Log.h"
#include "dragonfly/decide/JobOrder.h"
#include "dragonfly/decide/RunMove.h"
#include "dragonfly/decide/SlowStart.h"

#include <algorithm>
#include <utility>

namespace dragonfly::control {

using jobs::JobRow;
using jobs::RunName;
using jobs::StepSpec;
using jobs::TaskPhase;
using jobs::TaskRow;

namespace {

/// Interval between checks for runs that have to be stopped.
constexpr Duration StopCheckInterval = std::chrono::milliseconds(100);
/// Changes within this interval share one placement, which examines every
/// worker: there are hundreds of starts and ends a second.
constexpr Duration MinPlacementInterval = std::chrono::milliseconds(10);
/// Placements are at least this many times the duration of the last one apart,
/// so that reports and callers are answered however many tasks wait.
constexpr int PlacementPauseFactor = 4;
/// Interval between placements while no change is known.
constexpr Duration MaxPlacementInterval = std::chrono::milliseconds(200);
/// A run without progress for this long is stalled. On a worker that is six
/// times too slow the longest tasks still progress by one percent a second.
constexpr Duration StallTimeout = std::chrono::milliseconds(2500);
constexpr std::uint32_t FullProgressPercent = 100;
/// A job with a ready step may go without a running task for this long; the
/// platform allows three seconds.
constexpr Duration MaxStarvationTime = std::chrono::milliseconds(1200);
/// Interval between two stalled jobs of a service whose first task comes before
/// other work.
constexpr Duration StalledStartInterval = std::chrono::seconds(1);
/// Suspect tasks avoid workers with a start more recent than this.
constexpr Duration RecentStartTime = std::chrono::milliseconds(500);
/// A worker that is cold later than this has restarted since its zone was taken
/// back.
constexpr Duration MaxSlowStartTime = std::chrono::seconds(30);
/// Queues with more attempts survive some workers that fail every run; their
/// services are placed without regard to failed runs.
constexpr std::uint32_t FewAttempts = 2;
/// A last attempt waits this long for a proven worker with room.
constexpr Duration MaxProvenWait = std::chrono::seconds(3);
/// Starts are confirmed by the next report, each 0.4 s.
constexpr Duration UnconfirmedStartTime = std::chrono::milliseconds(1000);
/// A worker is proven by a run that finished within this time.
constexpr Duration ProvenTime = std::chrono::seconds(10);
/// Limit of proposed starts in one tick; bounds the duration of a tick.
constexpr std::size_t MaxStartsPerTick = 256;
/// Limit of tasks of one step that a placement passes over; bounds its duration
/// where a step has many tasks. More than a tick proposes, so that starts which
/// are not committed yet hide no later task.
constexpr std::size_t MaxPostponedPerStep = 4 * MaxStartsPerTick;

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

bool hasTaskOnWorker(const JobRow &Job) {
  return std::ranges::any_of(Job.Steps_, [](const jobs::StepRow &Step) {
    return Step.onWorkers() > 0;
  });
}

} // namespace

void JobDispatcher::tick(TimePoint Now, Duration LogTime) {
  if (Now >= NextStopCheckAt_) {
    NextStopCheckAt_ = Now + StopCheckInterval;
    stopUnwantedRuns(Now);
  }
  if (Sessions_.consumeChanged())
    NeedsPlacement_ = true;
  if (Now < (NeedsPlacement_ ? EarliestPlacementAt_ : LatestPlacementAt_))
    return;
  NeedsPlacement_ = false;
  const TimePoint PlacementStartedAt = Clock::now();
  placeTasks(Now, LogTime);
  const Duration PlacementTime = Clock::now() - PlacementStartedAt;
  EarliestPlacementAt_ = Now + std::max(MinPlacementInterval,
                                        PlacementPauseFactor * PlacementTime);
  LatestPlacementAt_ =
      std::max(Now + MaxPlacementInterval, EarliestPlacementAt_);
}

std::vector<decide::PlacementWorker>
JobDispatcher::schedulableWorkers(TimePoint Now, Duration LogTime) {
  std::vector<decide::PlacementWorker> Workers;
  for (const auto &[Name, Session] : Sessions_.sessions()) {
    const jobs::WorkerRow *Row = Table_.findWorker(Name);
    if (!Session.isSchedulable() || Row == nullptr ||
        Evacuations_.isEvacuated(Session.Hello_.AvailabilityZone_))
      continue;
    CachedWorker &Cached = CachedWorkers_[Name];
    if (Cached.Session_ != Session.Number_ ||
        Cached.LastContactAt_ != Session.LastContactAt_ ||
        Cached.RunsVersion_ != Row->RunsVersion_ ||
        Cached.ProposedStartVersion_ != ProposedStartVersions_[Name])
      Cached = {.Session_ = Session.Number_,
                .LastContactAt_ = Session.LastContactAt_,
                .RunsVersion_ = Row->RunsVersion_,
                .ProposedStartVersion_ = ProposedStartVersions_[Name],
                .Worker_ = makePlacementWorker(Now, Session, *Row)};
    Cached.Worker_.Suspect_ = Suspicion_.isSuspect(Now, Name);
    Cached.Worker_.Closed_ = Suspects_.isClosed(Now, Name);
    Cached.Worker_.StartedRecently_ =
        Now - Session.LastStartAt_ < RecentStartTime;
    setReliability(Now, LogTime, Session, *Row, Cached.Worker_);
    setSlowStart(LogTime, Session, Cached.Worker_);
    Workers.push_back(Cached.Worker_);
  }
  decide::liftExcessLimits(Workers);
  return Workers;
}

/// Lowers the capacity for starts of a worker whose zone has just been taken
/// back: it may be cold.
void JobDispatcher::setSlowStart(Duration LogTime, const WorkerSession &Session,
                                 decide::PlacementWorker &Worker) const {
  Worker.Capacity_ = Session.Hello_.Capacity_;
  const jobs::ZoneEvacuation Zone =
      Evacuations_.find(Session.Hello_.AvailabilityZone_);
  const Duration Returned = LogTime - Zone.ChangedAt_;
  if (Zone.ChangedAt_ == Duration::zero() || Returned >= MaxSlowStartTime)
    return;
  constexpr std::int64_t FullPermille = 1000;
  Worker.Capacity_.MilliProcessors_ =
      Worker.Capacity_.MilliProcessors_ *
      decide::slowStartPermille(Returned, Session.ColdTimeLeft_) / FullPermille;
}

void JobDispatcher::setReliability(TimePoint Now, Duration LogTime,
                                   const WorkerSession &Session,
                                   const jobs::WorkerRow &Row,
                                   decide::PlacementWorker &Worker) const {
  Worker.StartsLeft_.reset();
  Worker.FailuresInRow_ = 0;
  Worker.Proven_ = false;
  if (!ServicesWithFewAttempts_.contains(Worker.Service_))
    return;
  const bool IsFailing = StartLimits_.isFailing(Now, Worker.Name_);
  Worker.FailuresInRow_ =
      IsFailing ? std::max<std::uint32_t>(Row.FailuresInRow_, 1) : 0;
  Worker.Proven_ = !IsFailing && !Worker.Suspect_ &&
                   Row.LastFinishedAt_ > Duration::zero() &&
                   LogTime - Row.LastFinishedAt_ < ProvenTime;
  if (const auto Limit = StartLimits_.limitOf(Now, Worker.Name_)) {
    const std::uint32_t Open = countStartsSince(Limit->Since_, Session, Row);
    Worker.StartsLeft_ =
        Limit->OpenStarts_ - std::min(Open, Limit->OpenStarts_);
  }
}

/// Counts the runs that are proposed for the worker, or were ordered since
/// \p Since and have not ended. Long-running ones would never end.
std::uint32_t
JobDispatcher::countStartsSince(TimePoint Since, const WorkerSession &Session,
                                const jobs::WorkerRow &Row) const {
  const auto Ordered =
      std::ranges::count_if(Session.Runs_, [&](const auto &Entry) {
        const JobRow *Job = Table_.find(Entry.first.Task_.Job_);
        return Entry.second.StartOrderedAt_ >= Since &&
               Row.Runs_.contains(Entry.first) && Job != nullptr &&
               !Job->Spec_.Steps_[Entry.first.Task_.Step_].LongRunning_;
      });
  const auto Proposed =
      std::ranges::count_if(ProposedStarts_, [&](const auto &Entry) {
        return Entry.second.Worker_ == Session.Hello_.Worker_;
      });
  return static_cast<std::uint32_t>(Ordered + Proposed);
}

void JobDispatcher::updateServicesWithFewAttempts() {
  const jobs::Configuration &Current = Table_.configuration();
  if (std::exchange(AttemptsVersion_, Current.Version_) == Current.Version_)
    return;
  ServicesWithFewAttempts_.clear();
  for (const jobs::Queue &Queue : Current.Queues_)
    if (Queue.MaxAttempts_ <= FewAttempts)
      ServicesWithFewAttempts_.insert(Queue.Service_);
}

/// Limits the workers whose last runs failed under an earlier leader.
void JobDispatcher::restoreStartLimits() {
  StartLimits_.clear();
  for (const auto &[Name, Row] : Table_.workers())
    if (Row.FailuresInRow_ > 0)
      StartLimits_.recordFailure(Clock::now(), Name, Row.FailuresInRow_);
}

/// Returns the placement input of a worker. Its reservations cover the runs
/// that are placed there and the proposed starts.
decide::PlacementWorker
JobDispatcher::makePlacementWorker(TimePoint Now, const WorkerSession &Session,
                                   const jobs::WorkerRow &Row) const {
  const std::string &Name = Session.Hello_.Worker_;
  std::vector<RunName> PlannedRuns(Row.Runs_.begin(), Row.Runs_.end());
  jobs::WorkerRow Usage{.Reserved_ = Row.Reserved_,
                        .SpareMilliProcessors_ = Row.SpareMilliProcessors_,
                        .ServingMilliProcessors_ = Row.ServingMilliProcessors_};
  for (const auto &[Run, Start] : ProposedStarts_) {
    const JobRow *Job = Table_.find(Run.Task_.Job_);
    if (Start.Worker_ != Name || Job == nullptr || Row.Runs_.contains(Run))
      continue;
    jobs::reserve(Usage, Job->Spec_.Steps_[Run.Task_.Step_], 1);
    PlannedRuns.push_back(Run);
  }
  return {.Name_ = Name,
          .Service_ = Session.Hello_.Service_,
          .Labels_ = Session.Hello_.Labels_,
          .Capacity_ = Session.Hello_.Capacity_,
          .Reserved_ = Usage.Reserved_,
          .ServingMilliProcessors_ = Usage.ServingMilliProcessors_,
          .SpareMilliProcessors_ = Usage.SpareMilliProcessors_,
          .Serving_ = Interference_.servingJobs(Now, Session, PlannedRuns)};
}

/// Returns whether the job has had no task on a worker for `MaxStarvationTime`.
bool JobDispatcher::isStalled(TimePoint Now, const JobRow &Job) {
  if (hasTaskOnWorker(Job)) {
    IdleSince_.erase(Job.Id_);
    return false;
  }
  const TimePoint IdleSince =
      IdleSince_.try_emplace(Job.Id_, Now).first->second;
  return Now - IdleSince >= MaxStarvationTime;
}

/// Returns the waiting tasks of a long-running step that have run before. Work
/// that arrives later must not take their room.
std::vector<std::uint32_t>
JobDispatcher::tasksToResume(const jobs::ReadyStep &Ready) const {
  const JobRow &Job = *Table_.find(Ready.Job_);
  std::vector<std::uint32_t> Indexes;
  if (!Job.Spec_.Steps_[Ready.Step_].LongRunning_)
    return Indexes;
  for (const auto &[Index, Task] : Job.Steps_[Ready.Step_].Tasks_.begun())
    if (Task.Phase_ == TaskPhase::Waiting)
      Indexes.push_back(Index);
  return Indexes;
}

/// Returns the first task of a long-running job that is stalled, for one job of
/// a service at a time, so that many new jobs do not stop the short ones.
std::vector<std::uint32_t>
JobDispatcher::firstStalledTask(TimePoint Now, const jobs::ReadyStep &Ready) {
  const JobRow &Job = *Table_.find(Ready.Job_);
  TimePoint &NextAt = NextStalledStartAt_[Job.Queue_.Service_];
  const auto First = Job.Steps_[Ready.Step_].Tasks_.nextWaiting(0);
  if (!Job.Spec_.Steps_[Ready.Step_].LongRunning_ || !isStalled(Now, Job) ||
      Now < NextAt || !First)
    return {};
  return {*First};
}

/// Returns the jobs with ready steps or with throttled runs that are worth
/// moving, in the order in which they are placed.
std::vector<JobDispatcher::PlacementWork>
JobDispatcher::rankedWork(TimePoint Now, Duration LogTime) const {
  std::map<std::string, PlacementWork> Work;
  for (const jobs::ReadyStep &Row : Table_.readySteps())
    Work[Row.Job_].ReadySteps_.push_back(Row);
  addRunsWorthMoving(Now, Work);
  std::vector<std::pair<decide::JobRank, PlacementWork>> Ranked;
  Ranked.reserve(Work.size());
  for (auto &[Id, JobWork] : Work) {
    JobWork.Job_ = Table_.find(Id);
    Ranked.emplace_back(
        decide::rankJob(RunTimes_.outlook(*JobWork.Job_, LogTime)),
        std::move(JobWork));
  }
  std::ranges::sort(Ranked, {},
                    &std::pair<decide::JobRank, PlacementWork>::first);
  std::vector<PlacementWork> Result;
  Result.reserve(Ranked.size());
  for (auto &[Rank, JobWork] : Ranked)
    Result.push_back(std::move(JobWork));
  return Result;
}

void JobDispatcher::addRunsWorthMoving(
    TimePoint Now, std::map<std::string, PlacementWork> &Work) const {
  for (const auto &[Name, Session] : Sessions_.sessions()) {
    const jobs::WorkerRow *Row = Table_.findWorker(Name);
    if (!Session.isSchedulable() || Row == nullptr)
      continue;
    for (const auto &[Run, Info] : Session.Runs_) {
      if (!Info.ThrottledAt_ || Info.StopSentAt_ != TimePoint() ||
          !Row->Runs_.contains(Run))
        continue;
      const JobRow *Job = Table_.find(Run.Task_.Job_);
      if (Job == nullptr || !Job->active())
        continue;
      const StepSpec &Step = Job->Spec_.Steps_[Run.Task_.Step_];
      if (Step.UsesSpareProcessors_ && Step.Checkpointing_ &&
          decide::shouldMoveRun(
              {.RemainingTime_ = RunTimes_.remainingRunTime(*Job, Run.Task_),
               .SpeedPercent_ = Info.Report_.SpeedPercent_,
               .ThrottledFor_ = Now - *Info.ThrottledAt_}))
        Work[Run.Task_.Job_].ThrottledRuns_.push_back(Run);
    }
  }
}

/// Stops a throttled run if another worker has room for it now. Its task is
/// placed again, from its checkpoint, once the end is committed.
void JobDispatcher::moveRun(TimePoint Now, const JobRow &Job,
                            const RunName &Run,
                            decide::JobPlacement &Placement) {
  const TaskRow &Task = Job.Steps_[Run.Task_.Step_].Tasks_[Run.Task_.Index_];
  decide::PlacementRequest Need =
      placementNeedOf({.Job_ = Job.Id_, .Step_ = Run.Task_.Step_}, Placement);
  Need.AvoidedWorker_ = Task.Worker_;
  Need.IsMove_ = true;
  Need.IsLastAttempt_ = mustNotFail(Now, Job, Run.Task_);
  const auto Chosen = Placement.place(Need);
  if (!Chosen)
    return;
  Metrics_.count("runs_moved", Job.Queue_.Name_);
  logEvent(Event::RunMoved, {{"job", Job.Id_},
                             {"step", Run.Task_.Step_},
                             {"index", Run.Task_.Index_},
                             {"run", Run.Run_},
                             {"worker", Task.Worker_},
                             {"place", Placement.workers()[*Chosen].Name_}});
  Sessions_.stopRun(Now, Task.Worker_, Run);
}

/// Drops the cached state of workers without a session and of ended jobs.
void JobDispatcher::pruneStaleEntries() {
  std::erase_if(CachedWorkers_, [this](const auto &Entry) {
    return !Sessions_.sessions().contains(Entry.first);
  });
  std::erase_if(LastAttemptSince_, [this](const auto &Entry) {
    const JobRow *Job = Table_.find(Entry.first.Job_);
    return Job == nullptr || !Job->active() ||
           Job->Steps_[Entry.first.Step_].Tasks_[Entry.first.Index_].Phase_ !=
               TaskPhase::Waiting;
  });
  StartLimits_.removeWorkersIf([this](const std::string &Name) {
    return Table_.findWorker(Name) == nullptr;
  });
  std::erase_if(ProposedStartVersions_, [this](const auto &Entry) {
    return !Sessions_.sessions().contains(Entry.first);
  });
  std::erase_if(IdleSince_, [this](const auto &Entry) {
    const JobRow *Job = Table_.find(Entry.first);
    return Job == nullptr || !Job->active() || hasTaskOnWorker(*Job);
  });
}

void JobDispatcher::placeTasks(TimePoint Now, Duration LogTime) {
  LogTime_ = LogTime;
  updateServicesWithFewAttempts();
  std::vector<decide::PlacementWorker> Workers =
      schedulableWorkers(Now, LogTime);
  Relocator_.tick(Now, Workers);
  const std::vector<PlacementWork> Work = rankedWork(Now, LogTime);
  if (Work.empty())
    return;
  Relocator_.addReservations(Workers);
  decide::JobPlacement Placement(
      std::move(Workers), {.LossPerWorker_ = [this](std::string_view Serving,
                                                    std::string_view Image) {
        return Interference_.headroomLossPerWorker(Serving, Image);
      }});
  Resources Capacity;
  Resources Reserved;
  for (const decide::PlacementWorker &Row : Placement.workers()) {
    Capacity += Row.Capacity_;
    Reserved += Row.Reserved_;
  }
  IsHalfUnreserved_ = Reserved.MilliProcessors_ * 2 < Capacity.MilliProcessors_;
  pruneStaleEntries();
  Locality_.beginPlacement();
  Suspects_.beginPlacement(Now, [this](const RunName &Run) {
    return ProposedStarts_.contains(Run);
  });
  placeOverdueTasks(Now, Work, Placement);
  for (const PlacementWork &JobWork : Work) {
    for (const jobs::ReadyStep &Ready : JobWork.ReadySteps_) {
      if (Batch_.record().Starts_.size() >= MaxStartsPerTick) {
        NeedsPlacement_ = true;
        return;
      }
      placeTasksOfStep(Now, Ready, Placement);
    }
    for (const RunName &Run : JobWork.ThrottledRuns_)
      moveRun(Now, *JobWork.Job_, Run, Placement);
  }
  Log_.logSummary(Now, Placement);
}

/// Returns the number of runs of the step, started or proposed, on each worker
/// of \p Placement. The last element counts those on all other workers.
std::vector<std::uint32_t>
JobDispatcher::countRunsPerWorker(const jobs::ReadyStep &Ready,
                                  const jobs::TaskRows &Tasks,
                                  const decide::JobPlacement &Placement) const {
  const std::vector<decide::PlacementWorker> &Workers = Placement.workers();
  std::vector<std::uint32_t> Counts(Workers.size() + 1);
  const auto CountAt = [&](const std::string &Worker) -> std::uint32_t & {
    const auto It =
        std::ranges::find(Workers, Worker, &decide::PlacementWorker::Name_);
    return Counts[static_cast<std::size_t>(It - Workers.begin())];
  };
  for (const auto &[Index, Task] : Tasks.begun())
    if (Task.Phase_ == TaskPhase::OnWorker)
      ++CountAt(Task.Worker_);
  const jobs::TaskName FirstOfStep{Ready.Job_, Ready.Step_, 0};
  for (auto It = ProposedStarts_.lower_bound({FirstOfStep, 0});
       It != ProposedStarts_.end() && It->first.Task_.Job_ == Ready.Job_ &&
       It->first.Task_.Step_ == Ready.Step_;
       ++It) {
    const TaskRow &Task = Tasks[It->first.Task_.Index_];
    if (Task.Phase_ != TaskPhase::OnWorker && It->first.Run_ == Task.Run_ + 1)
      ++CountAt(It->second.Worker_);
  }
  return Counts;
}

decide::PlacementRequest
JobDispatcher::placementNeedOf(const jobs::ReadyStep &Ready,
                               const decide::JobPlacement &Placement) const {
  const JobRow &Job = *Table_.find(Ready.Job_);
  const StepSpec &Spec = Job.Spec_.Steps_[Ready.Step_];
  decide::PlacementRequest Need{
      .Service_ = Job.Queue_.Service_,
      .RequiredLabel_ = Spec.RequiredLabel_,
      .DataRack_ = Spec.DataRack_,
      .Image_ = Spec.Image_,
      .Need_ = Spec.Need_,
      .UsesSpareProcessors_ = Spec.UsesSpareProcessors_,
      .IsServing_ = Spec.TailTarget_ > Duration::zero(),
      .MaxPerWorker_ = Spec.MaxPerWorker_,
      .IsLongRunning_ = Spec.LongRunning_};
  if (Spec.MaxPerWorker_ > 0)
    Need.StepRunsPerWorker_ =
        countRunsPerWorker(Ready, Job.Steps_[Ready.Step_].Tasks_, Placement);
  return Need;
}

/// Places the tasks that come before all other work, and holds room for those
/// that no worker has room for.
void JobDispatcher::placeOverdueTasks(TimePoint Now,
                                      const std::vector<PlacementWork> &Work,
                                      decide::JobPlacement &Placement) {
  Overdue_.beginPlacement(Placement);
  for (const PlacementWork &JobWork : Work)
    for (const jobs::ReadyStep &Ready : JobWork.ReadySteps_)
      placeFirst(Now, Ready, tasksToResume(Ready), Placement);
  for (const PlacementWork &JobWork : Work)
    for (const jobs::ReadyStep &Ready : JobWork.ReadySteps_)
      if (placeFirst(Now, Ready, firstStalledTask(Now, Ready), Placement))
        NextStalledStartAt_[JobWork.Job_->Queue_.Service_] =
            Now + StalledStartInterval;
}

/// Returns whether a start was proposed.
bool JobDispatcher::placeFirst(TimePoint Now, const jobs::ReadyStep &Ready,
                               const std::vector<std::uint32_t> &Indexes,
                               decide::JobPlacement &Placement) {
  if (Indexes.empty() || Batch_.record().Starts_.size() >= MaxStartsPerTick)
    return false;
  decide::PlacementRequest Need = placementNeedOf(Ready, Placement);
  bool HasStarted = false;
  for (const std::uint32_t Index : Indexes) {
    const StartResult Result = startTask(Now, Ready, Index, Need, Placement);
    HasStarted |= Result == StartResult::Proposed;
    if (Result == StartResult::NoRoom &&
        !Overdue_.holdRoom(Now, {Ready.Job_, Ready.Step_, Index}, Need,
                           Placement))
      break;
  }
  return HasStarted;
}

void JobDispatcher::placeTasksOfStep(TimePoint Now,
                                     const jobs::ReadyStep &Ready,
                                     decide::JobPlacement &Placement) {
  const JobRow &Job = *Table_.find(Ready.Job_);
  decide::PlacementRequest Need = placementNeedOf(Ready, Placement);
  Need.MayOvercommit_ =
      Need.UsesSpareProcessors_ && isStalled(Now, Job) && IsHalfUnreserved_;
  const jobs::TaskRows &Tasks = Job.Steps_[Ready.Step_].Tasks_;
  std::size_t Postponed = 0;
  for (auto Index = Tasks.nextWaiting(0); Index;
       Index = Tasks.nextWaiting(*Index + 1)) {
    const StartResult Result = startTask(Now, Ready, *Index, Need, Placement);
    if (Result == StartResult::NoRoom) {
      Log_.logObstacles(Now, Ready, Placement, Need);
      return;
    }
    if (Result != StartResult::Proposed) {
      if (++Postponed >= MaxPostponedPerStep)
        return;
      continue;
    }
    Need.MayOvercommit_ = false;
    if (Batch_.record().Starts_.size() >= MaxStartsPerTick)
      return;
  }
}

/// Returns whether the job fails with the next failure of the task. After
/// `MaxProvenWait` the task takes any worker.
bool JobDispatcher::mustNotFail(TimePoint Now, const JobRow &Job,
                                const jobs::TaskName &Name) {
  const TaskRow &Task = Job.Steps_[Name.Step_].Tasks_[Name.Index_];
  if (Job.Queue_.MaxAttempts_ > FewAttempts ||
      Job.Spec_.Steps_[Name.Step_].LongRunning_ || Task.Failures_ == 0 ||
      Task.Failures_ + 1 < Job.Queue_.MaxAttempts_)
    return false;
  const TimePoint Since =
      LastAttemptSince_.try_emplace(Name, Now).first->second;
  return Now - Since < MaxProvenWait;
}

/// Proposes the start of a waiting task on the best worker with room, unless
/// that has been done already or the task is suspect and has to wait.
JobDispatcher::StartResult
JobDispatcher::startTask(TimePoint Now, const jobs::ReadyStep &Ready,
                         std::uint32_t Index, decide::PlacementRequest &Need,
                         decide::JobPlacement &Placement) {
  const JobRow &Job = *Table_.find(Ready.Job_);
  const TaskRow &Task = Job.Steps_[Ready.Step_].Tasks_[Index];
  RunName Next{{Job.Id_, Ready.Step_, Index}, Task.Run_ + 1};
  if (ProposedStarts_.contains(Next))
    return StartResult::Postponed;
  Need.IsSuspect_ = Table_.crashes().isSuspect(Next.Task_);
  const SuspectScheduler::Start How =
      Suspects_.chooseStart(Now, Next.Task_, Need.Service_, Placement);
  if (How == SuspectScheduler::Start::Postponed)
    return StartResult::Postponed;
  Need.AvoidedWorker_ = Task.Worker_;
  Need.IsLastAttempt_ = mustNotFail(Now, Job, Next.Task_);
  const auto [Chosen, Waits] =
      placeTask(Now, Ready, Next.Task_, Need, Placement);
  if (Waits)
    return StartResult::Postponed;
  if (!Chosen) {
    NeedsPlacement_ |= Suspects_.passTurn(Now, Job.Id_, How);
    // Other tasks of the step may run on workers that this one may not.
    return Need.IsLastAttempt_ ? StartResult::Postponed : StartResult::NoRoom;
  }
  if (!Need.StepRunsPerWorker_.empty())
    ++Need.StepRunsPerWorker_[*Chosen];
  Relocator_.finish(Next.Task_);
  Log_.recordStart(Ready);
  Suspects_.finish(Now, Next.Task_, How, *Chosen, Placement);
  proposeStart(Now, Job, std::move(Next), Placement.workers()[*Chosen].Name_);
  return StartResult::Proposed;
}

/// Places the task on the worker where room is reserved for it, if any.
LocalityScheduler::Result JobDispatcher::placeTask(
    TimePoint Now, const jobs::ReadyStep &Ready, const jobs::TaskName &Task,
    const decide::PlacementRequest &Need, decide::JobPlacement &Placement) {
  const std::string Target = Relocator_.targetOf(Task);
  const std::vector<decide::PlacementWorker> &Workers = Placement.workers();
  const auto It =
      std::ranges::find(Workers, Target, &decide::PlacementWorker::Name_);
  if (Target.empty() || It == Workers.end())
    return Locality_.place(Now, LogTime_, Ready, Need,
                           mayWaitForData(Now, Ready), Placement);
  return {.Worker_ = Placement.placeReserved(
              Need, static_cast<std::size_t>(It - Workers.begin()))};
}

/// A task that lasts, or whose job stands still, takes any place.
bool JobDispatcher::mayWaitForData(TimePoint Now,
                                   const jobs::ReadyStep &Ready) {
  const JobRow &Job = *Table_.find(Ready.Job_);
  const StepSpec &Step = Job.Spec_.Steps_[Ready.Step_];
  return !Step.DataRack_.empty() && !Step.LongRunning_ && !isStalled(Now, Job);
}

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
