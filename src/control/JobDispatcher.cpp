#include "control/JobDispatcher.h"

#include "dragonfly/base/Log.h"
#include "dragonfly/decide/JobOrder.h"
#include "dragonfly/decide/RunMove.h"

#include <algorithm>
#include <utility>

namespace dragonfly::control {

using jobs::JobRow;
using jobs::RunName;
using jobs::StepSpec;
using jobs::TaskPhase;
using jobs::TaskRow;

namespace {

/// How often runs are compared with the state of their jobs.
constexpr Duration StopCheckPeriod = std::chrono::milliseconds(100);
/// Changes are gathered for so long before tasks are placed: it takes a look at
/// every worker, and starts and ends come in hundreds a second.
constexpr Duration LeastPlacePeriod = std::chrono::milliseconds(10);
/// Pauses between placements are this many times as long as the last one took,
/// so that reports and callers are served however many tasks wait.
constexpr int PauseFactor = 4;
/// Placement runs this often even where nothing is known to have changed.
constexpr Duration PlacePeriod = std::chrono::milliseconds(200);
/// A run without progress for so long stands still: on a worker that is six
/// times too slow the longest tasks still show a percent a second.
constexpr Duration StallTime = std::chrono::milliseconds(2500);
constexpr std::uint32_t FullProgress = 100;
constexpr Duration SummaryPeriod = std::chrono::seconds(1);
/// Lines about waiting tasks between two summaries.
constexpr std::size_t MaxWaitLines = 8;
/// A job whose step is due stands still no longer than this while half of the
/// processors are not reserved; the platform allows three seconds.
constexpr Duration MaxIdleTime = std::chrono::milliseconds(1200);
/// Starts of one tick; bounds how long a tick can take.
constexpr std::size_t MaxStartsPerTick = 256;

wire::StartOrder orderOf(const JobRow &Job, const RunName &Run) {
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

void JobDispatcher::tick(TimePoint Now, Duration LogTime) {
  if (Now >= StopCheckAt_) {
    StopCheckAt_ = Now + StopCheckPeriod;
    stopUnwanted(Now);
  }
  if (Sessions_.takeChanged())
    Changed_ = true;
  if (Now < (Changed_ ? PlaceFrom_ : PlaceAgainAt_))
    return;
  Changed_ = false;
  const TimePoint Began = Clock::now();
  place(Now, LogTime);
  const Duration Took = Clock::now() - Began;
  PlaceFrom_ = Now + std::max(LeastPlacePeriod, PauseFactor * Took);
  PlaceAgainAt_ = std::max(Now + PlacePeriod, PlaceFrom_);
}

std::vector<decide::PlacementWorker> JobDispatcher::openWorkers(TimePoint Now) {
  std::vector<decide::PlacementWorker> Workers;
  for (const auto &[Name, Session] : Sessions_.rows()) {
    const jobs::WorkerRow *Row = Table_.findWorker(Name);
    if (!Session.open() || Row == nullptr)
      continue;
    KnownWorker &Known = KnownWorkers_[Name];
    if (Known.Session_ != Session.Number_ ||
        Known.HeardAt_ != Session.HeardAt_ ||
        Known.RunsVersion_ != Row->RunsVersion_ ||
        Known.ProposedVersion_ != ProposedVersions_[Name])
      Known = {.Session_ = Session.Number_,
               .HeardAt_ = Session.HeardAt_,
               .RunsVersion_ = Row->RunsVersion_,
               .ProposedVersion_ = ProposedVersions_[Name],
               .Worker_ = describe(Now, Session, *Row)};
    Known.Worker_.Suspect_ = Suspicion_.isSuspect(Now, Name);
    Workers.push_back(Known.Worker_);
  }
  return Workers;
}

/// The worker with what runs there and what has been proposed for it.
decide::PlacementWorker
JobDispatcher::describe(TimePoint Now, const WorkerSession &Session,
                        const jobs::WorkerRow &Row) const {
  const std::string &Name = Session.Hello_.Worker_;
  std::vector<RunName> Planned(Row.Runs_.begin(), Row.Runs_.end());
  jobs::WorkerRow Held{.Reserved_ = Row.Reserved_,
                       .SpareMilliProcessors_ = Row.SpareMilliProcessors_,
                       .ServingMilliProcessors_ = Row.ServingMilliProcessors_};
  for (const auto &[Run, Start] : Proposed_) {
    const JobRow *Job = Table_.find(Run.Task_.Job_);
    if (Start.Worker_ != Name || Job == nullptr || Row.Runs_.contains(Run))
      continue;
    jobs::reserve(Held, Job->Spec_.Steps_[Run.Task_.Step_], 1);
    Planned.push_back(Run);
  }
  return {.Name_ = Name,
          .Service_ = Session.Hello_.Service_,
          .Labels_ = Session.Hello_.Labels_,
          .Capacity_ = Session.Hello_.Capacity_,
          .Reserved_ = Held.Reserved_,
          .ServingMilliProcessors_ = Held.ServingMilliProcessors_,
          .SpareMilliProcessors_ = Held.SpareMilliProcessors_,
          .Serving_ = Loads_.serving(Now, Session, Planned)};
}

/// True where the job would stand still although there is room for it.
bool JobDispatcher::isStarved(TimePoint Now, const JobRow &Job) {
  const bool Idle =
      std::ranges::none_of(Job.Steps_, [](const jobs::StepRow &Step) {
        return std::ranges::any_of(Step.Tasks_, [](const TaskRow &Task) {
          return Task.Phase_ == TaskPhase::OnWorker;
        });
      });
  if (!Idle) {
    IdleSince_.erase(Job.Id_);
    return false;
  }
  const TimePoint Since = IdleSince_.try_emplace(Job.Id_, Now).first->second;
  return HasIdleHalf_ && Now - Since >= MaxIdleTime;
}

/// Jobs with steps that are due or with slowed runs, the most pressing first.
std::vector<JobDispatcher::JobWork>
JobDispatcher::workInOrder(TimePoint Now, Duration LogTime) const {
  std::map<std::string, JobWork> Work;
  for (const jobs::ReadyStep &Row : Table_.readySteps())
    Work[Row.Job_].Ready_.push_back(Row);
  addSlowedRuns(Now, Work);
  std::vector<std::pair<decide::JobRank, JobWork>> Ranked;
  Ranked.reserve(Work.size());
  for (auto &[Id, Each] : Work) {
    Each.Job_ = Table_.find(Id);
    Ranked.emplace_back(decide::rankJob(Times_.outlook(*Each.Job_, LogTime)),
                        std::move(Each));
  }
  std::ranges::sort(Ranked, {}, &std::pair<decide::JobRank, JobWork>::first);
  std::vector<JobWork> Result;
  Result.reserve(Ranked.size());
  for (auto &[Rank, Each] : Ranked)
    Result.push_back(std::move(Each));
  return Result;
}

void JobDispatcher::addSlowedRuns(TimePoint Now,
                                  std::map<std::string, JobWork> &Work) const {
  for (const auto &[Name, Session] : Sessions_.rows()) {
    const jobs::WorkerRow *Row = Table_.findWorker(Name);
    if (!Session.open() || Row == nullptr)
      continue;
    for (const auto &[Run, Info] : Session.Runs_) {
      if (!Info.SlowedAt_ || Info.StopSentAt_ != TimePoint() ||
          !Row->Runs_.contains(Run))
        continue;
      const JobRow *Job = Table_.find(Run.Task_.Job_);
      if (Job == nullptr || !Job->active())
        continue;
      const StepSpec &Step = Job->Spec_.Steps_[Run.Task_.Step_];
      if (Step.UsesSpareProcessors_ && Step.Checkpointing_ &&
          decide::shouldMoveRun(
              {.RemainingTime_ = Times_.timeLeft(*Job, Run.Task_),
               .SpeedPercent_ = Info.Report_.SpeedPercent_,
               .ThrottledFor_ = Now - *Info.SlowedAt_}))
        Work[Run.Task_.Job_].Slowed_.push_back(Run);
    }
  }
}

/// Stops a slowed run if another worker has a place for it now; its task is
/// placed again, from its checkpoint, once the end is durable.
void JobDispatcher::moveRun(TimePoint Now, const JobRow &Job,
                            const RunName &Run,
                            decide::JobPlacement &Placement) {
  const TaskRow &Task = Job.Steps_[Run.Task_.Step_].Tasks_[Run.Task_.Index_];
  decide::PlacementRequest Need = needOf(Job, Run.Task_.Step_);
  Need.AvoidedWorker_ = Task.Worker_;
  Need.IsMove_ = true;
  if (Need.MaxPerWorker_ > 0)
    Need.StepRunsPerWorker_ =
        countRuns({.Job_ = Job.Id_, .Step_ = Run.Task_.Step_},
                  Job.Steps_[Run.Task_.Step_].Tasks_, Placement);
  const auto Chosen = Placement.place(Need);
  if (!Chosen)
    return;
  Counts_.count("runs_moved", Job.Queue_.Name_);
  logEvent(Event::RunMoved, {{"job", Job.Id_},
                             {"step", Run.Task_.Step_},
                             {"index", Run.Task_.Index_},
                             {"run", Run.Run_},
                             {"worker", Task.Worker_},
                             {"place", Placement.workers()[*Chosen].Name_}});
  Sessions_.stopRun(Now, Task.Worker_, Run);
}

/// Forgets workers without a session and jobs that have ended.
void JobDispatcher::forgetGone() {
  std::erase_if(KnownWorkers_, [this](const auto &Each) {
    return !Sessions_.rows().contains(Each.first);
  });
  std::erase_if(ProposedVersions_, [this](const auto &Each) {
    return !Sessions_.rows().contains(Each.first);
  });
  std::erase_if(IdleSince_, [this](const auto &Each) {
    const JobRow *Job = Table_.find(Each.first);
    return Job == nullptr || !Job->active();
  });
}

void JobDispatcher::place(TimePoint Now, Duration LogTime) {
  const std::vector<JobWork> Work = workInOrder(Now, LogTime);
  if (Work.empty())
    return;
  decide::JobPlacement Placement(
      openWorkers(Now), {.LossPerWorker_ = [this](std::string_view Serving,
                                                  std::string_view Image) {
        return Loads_.lossPerWorker(Serving, Image);
      }});
  Resources Capacity;
  Resources Reserved;
  for (const decide::PlacementWorker &Row : Placement.workers()) {
    Capacity += Row.Capacity_;
    Reserved += Row.Reserved_;
  }
  HasIdleHalf_ = Reserved.MilliProcessors_ * 2 < Capacity.MilliProcessors_;
  forgetGone();
  for (const JobWork &Each : Work) {
    for (const jobs::ReadyStep &Ready : Each.Ready_) {
      if (Batch_.rows().Starts_.size() >= MaxStartsPerTick) {
        Changed_ = true;
        return;
      }
      placeStep(Now, Ready, Placement);
    }
    for (const RunName &Run : Each.Slowed_)
      moveRun(Now, *Each.Job_, Run, Placement);
  }
  logSummary(Now, Placement);
}

void JobDispatcher::logWaiting(const jobs::ReadyStep &Ready,
                               const decide::JobPlacement &Placement,
                               const decide::PlacementRequest &Need) {
  if (WaitLinesLeft_ == 0)
    return;
  --WaitLinesLeft_;
  const decide::PlacementObstacles Count = Placement.countObstacles(Need);
  logEvent(Event::TaskWaits, {{"job", Ready.Job_},
                              {"step", Ready.Step_},
                              {"other_service", Count.OtherService_},
                              {"label", Count.Label_},
                              {"too_many_of_step", Count.TooManyOfStep_},
                              {"memory", Count.Memory_},
                              {"processors", Count.Processors_},
                              {"spare_processors", Count.SpareProcessors_},
                              {"tail_latency", Count.TailLatency_}});
}

void JobDispatcher::logSummary(TimePoint Now,
                               const decide::JobPlacement &Placement) {
  if (Now < SummaryAt_)
    return;
  SummaryAt_ = Now + SummaryPeriod;
  WaitLinesLeft_ = MaxWaitLines;
  Resources Capacity;
  Resources Reserved;
  std::int64_t Spare = 0;
  std::uint64_t Serving = 0;
  for (const decide::PlacementWorker &Row : Placement.workers()) {
    Capacity += Row.Capacity_;
    Reserved += Row.Reserved_;
    Spare += Row.SpareMilliProcessors_;
    Serving += Row.Serving_.empty() ? 0 : 1;
  }
  std::uint64_t Waiting = 0;
  for (const jobs::ReadyStep &Ready : Table_.readySteps())
    Waiting += Table_.find(Ready.Job_)->Steps_[Ready.Step_].Waiting_;
  const auto Unsigned = [](std::int64_t Value) {
    return static_cast<std::uint64_t>(std::max<std::int64_t>(Value, 0));
  };
  Counts_.set("workers", "open",
              static_cast<double>(Placement.workers().size()));
  Counts_.set("tasks", "waiting", static_cast<double>(Waiting));
  Counts_.set("processors", "reserved",
              static_cast<double>(Reserved.MilliProcessors_));
  Counts_.set("processors", "spare_used", static_cast<double>(Spare));
  logEvent(Event::DispatchSummary,
           {{"workers", Placement.workers().size()},
            {"workers_that_serve", Serving},
            {"processors", Unsigned(Capacity.MilliProcessors_)},
            {"processors_reserved", Unsigned(Reserved.MilliProcessors_)},
            {"processors_spare_used", Unsigned(Spare)},
            {"memory", Unsigned(Capacity.MemoryMib_)},
            {"memory_reserved", Unsigned(Reserved.MemoryMib_)},
            {"steps_ready", Table_.readySteps().size()},
            {"tasks_waiting", Waiting}});
}

/// Returns how many runs of the step each worker has or is to get, with one
/// more row for all workers that are not open.
std::vector<std::uint32_t>
JobDispatcher::countRuns(const jobs::ReadyStep &Ready,
                         const std::vector<TaskRow> &Tasks,
                         const decide::JobPlacement &Placement) const {
  const std::vector<decide::PlacementWorker> &Workers = Placement.workers();
  std::vector<std::uint32_t> Counts(Workers.size() + 1);
  const auto CountAt = [&](const std::string &Worker) -> std::uint32_t & {
    const auto It =
        std::ranges::find(Workers, Worker, &decide::PlacementWorker::Name_);
    return Counts[static_cast<std::size_t>(It - Workers.begin())];
  };
  for (std::uint32_t Index = 0; Index < Tasks.size(); ++Index) {
    const RunName Next{{Ready.Job_, Ready.Step_, Index}, Tasks[Index].Run_ + 1};
    if (Tasks[Index].Phase_ == TaskPhase::OnWorker)
      ++CountAt(Tasks[Index].Worker_);
    else if (const auto It = Proposed_.find(Next); It != Proposed_.end())
      ++CountAt(It->second.Worker_);
  }
  return Counts;
}

decide::PlacementRequest JobDispatcher::needOf(const JobRow &Job,
                                               std::uint32_t Step) {
  const StepSpec &Spec = Job.Spec_.Steps_[Step];
  return {.Service_ = Job.Queue_.Service_,
          .RequiredLabel_ = Spec.RequiredLabel_,
          .DataRack_ = Spec.DataRack_,
          .Image_ = Spec.Image_,
          .Need_ = Spec.Need_,
          .UsesSpareProcessors_ = Spec.UsesSpareProcessors_,
          .IsServing_ = Spec.TailTarget_ > Duration::zero(),
          .MaxPerWorker_ = Spec.MaxPerWorker_};
}

void JobDispatcher::placeStep(TimePoint Now, const jobs::ReadyStep &Ready,
                              decide::JobPlacement &Placement) {
  const JobRow &Job = *Table_.find(Ready.Job_);
  const StepSpec &Step = Job.Spec_.Steps_[Ready.Step_];
  const std::vector<TaskRow> &Tasks = Job.Steps_[Ready.Step_].Tasks_;
  decide::PlacementRequest Need = needOf(Job, Ready.Step_);
  if (Step.MaxPerWorker_ > 0)
    Need.StepRunsPerWorker_ = countRuns(Ready, Tasks, Placement);
  Need.MayOvercommit_ = Step.UsesSpareProcessors_ && isStarved(Now, Job);
  for (std::uint32_t Index = 0; Index < Tasks.size(); ++Index) {
    const TaskRow &Task = Tasks[Index];
    RunName Next{{Job.Id_, Ready.Step_, Index}, Task.Run_ + 1};
    if (Task.Phase_ != TaskPhase::Waiting || Proposed_.contains(Next))
      continue;
    Need.AvoidedWorker_ = Task.Worker_;
    const auto Chosen = Placement.place(Need);
    if (!Chosen) {
      logWaiting(Ready, Placement, Need);
      return;
    }
    if (!Need.StepRunsPerWorker_.empty())
      ++Need.StepRunsPerWorker_[*Chosen];
    propose(Now, Job, std::move(Next), Placement.workers()[*Chosen].Name_);
    Need.MayOvercommit_ = false;
    if (Batch_.rows().Starts_.size() >= MaxStartsPerTick)
      return;
  }
}

void JobDispatcher::propose(TimePoint Now, const JobRow &Job, RunName Run,
                            const std::string &Worker) {
  const WorkerSession &Session = Sessions_.rows().at(Worker);
  Proposed_[Run] = {.Worker_ = Worker, .Session_ = Session.Number_};
  ++ProposedVersions_[Worker];
  const std::size_t Index = Batch_.rows().Starts_.size();
  const jobs::StartRow Row{
      .Run_ = std::move(Run), .Worker_ = Worker, .Fence_ = Session.Fence_};
  Batch_.rows().Starts_.push_back(Row);
  logEvent(Event::TaskPlaced, {{"job", Job.Id_},
                               {"step", Row.Run_.Task_.Step_},
                               {"index", Row.Run_.Task_.Index_},
                               {"run", Row.Run_.Run_},
                               {"worker", Worker},
                               {"fence", Session.Fence_}});
  Batch_.whenDone([this, Now, Row, Index, Number = Session.Number_](
                      JobBatch::Status, const JobOutcomes *Outcomes) {
    Proposed_.erase(Row.Run_);
    ++ProposedVersions_[Row.Worker_];
    Changed_ = true;
    if (Outcomes != nullptr)
      started(Now, Row, Number, Outcomes->Starts_.at(Index) != 0);
  });
}

void JobDispatcher::started(TimePoint Now, const jobs::StartRow &Row,
                            std::uint64_t Session, bool Applied) {
  const JobRow *Job = Table_.find(Row.Run_.Task_.Job_);
  if (!Applied || Job == nullptr)
    return;
  const bool Ordered = Sessions_.order(Now, Row.Worker_, Session,
                                       {.Starts_ = {orderOf(*Job, Row.Run_)}});
  // The order never left, and no later session can learn of it.
  Counts_.count("runs_placed", Ordered ? "ordered" : "session-ended");
  if (!Ordered)
    Batch_.rows().Ends_.push_back({.Run_ = Row.Run_,
                                   .Worker_ = Row.Worker_,
                                   .How_ = jobs::RunEnd::NotStarted,
                                   .Checkpoint_ = {}});
}

void JobDispatcher::stopUnwanted(TimePoint Now) {
  for (const auto &[Name, Session] : Sessions_.rows()) {
    const jobs::WorkerRow *Row = Table_.findWorker(Name);
    if (!Session.attached() || Row == nullptr)
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
      stopWhereDraining(Now, Name, Session);
    stopStalled(Now, Name, Session);
  }
}

void JobDispatcher::ended(TimePoint Now, const jobs::EndRow &Row) {
  const JobRow *Job = Table_.find(Row.Run_.Task_.Job_);
  if (Row.How_ == jobs::RunEnd::Finished)
    Suspicion_.recordSuccess(Now, Row.Worker_);
  // A task that fails again elsewhere is to blame itself.
  else if (Row.How_ == jobs::RunEnd::Failed && Row.Run_.Run_ == 1 &&
           Job != nullptr)
    blame(Now, Row.Worker_);
}

void JobDispatcher::blame(TimePoint Now, const std::string &Worker) {
  const bool Before = Suspicion_.isSuspect(Now, Worker);
  Suspicion_.recordFailure(Now, Worker);
  if (!Before && Suspicion_.isSuspect(Now, Worker))
    logEvent(Event::WorkerSuspected, {{"worker", Worker}});
}

/// Stops runs that stand still, so that they are run elsewhere.
void JobDispatcher::stopStalled(TimePoint Now, const std::string &Worker,
                                const WorkerSession &Session) {
  std::vector<RunName> Stalled;
  for (const auto &[Run, Info] : Session.Runs_) {
    const JobRow *Job = Table_.find(Run.Task_.Job_);
    if (Job == nullptr || !Job->active() || Session.Silent_ ||
        Info.Report_.Phase_ != wire::RunPhase::Running ||
        Now - Info.ProgressAt_ < StallTime ||
        Session.HeardAt_ - Info.ProgressAt_ < StallTime)
      continue;
    const StepSpec &Step = Job->Spec_.Steps_[Run.Task_.Step_];
    // Long-running tasks show 100 percent while they are at work.
    if (!Step.LongRunning_ || Info.Report_.ProgressPercent_ < FullProgress)
      Stalled.push_back(Run);
  }
  for (const RunName &Run : Stalled) {
    if (Session.Runs_.at(Run).StopSentAt_ == TimePoint()) {
      logEvent(Event::RunStalled, {{"job", Run.Task_.Job_},
                                   {"step", Run.Task_.Step_},
                                   {"index", Run.Task_.Index_},
                                   {"run", Run.Run_},
                                   {"worker", Worker}});
      blame(Now, Worker);
    }
    Sessions_.stopRun(Now, Worker, Run);
  }
}

/// Moves what can resume elsewhere off a worker that leaves.
void JobDispatcher::stopWhereDraining(TimePoint Now, const std::string &Worker,
                                      const WorkerSession &Session) {
  std::vector<RunName> Movable;
  for (const auto &[Run, Info] : Session.Runs_) {
    const JobRow *Job = Table_.find(Run.Task_.Job_);
    if (Job == nullptr || Run.Task_.Step_ >= Job->Spec_.Steps_.size())
      continue;
    const StepSpec &Step = Job->Spec_.Steps_[Run.Task_.Step_];
    if (Step.LongRunning_ || Step.Checkpointing_)
      Movable.push_back(Run);
  }
  for (const RunName &Run : Movable)
    Sessions_.stopRun(Now, Worker, Run);
}

} // namespace dragonfly::control
