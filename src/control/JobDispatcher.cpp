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
/// A job with a ready step may go without a running task for this long; the
/// platform allows three seconds.
constexpr Duration MaxStarvationTime = std::chrono::milliseconds(1200);
/// Interval between two stalled jobs of a service whose first task comes before
/// other work.
constexpr Duration StalledStartInterval = std::chrono::seconds(1);
/// Limit of proposed starts in one tick; bounds the duration of a tick.
constexpr std::size_t MaxStartsPerTick = 256;
/// Limit of tasks of one step that a placement passes over; bounds its duration
/// where a step has many tasks. More than a tick proposes, so that starts which
/// are not committed yet hide no later task.
constexpr std::size_t MaxPostponedPerStep = 4 * MaxStartsPerTick;

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

} // namespace dragonfly::control
