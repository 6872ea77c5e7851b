/// What a placement knows of each worker.
#include "control/JobDispatcher.h"

#include "dragonfly/decide/SlowStart.h"

#include <algorithm>
#include <utility>

namespace dragonfly::control {

using jobs::JobRow;
using jobs::RunName;
using jobs::TaskRow;

namespace {

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
/// A worker is proven by a run that finished within this time.
constexpr Duration ProvenTime = std::chrono::seconds(10);

} // namespace

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

} // namespace dragonfly::control
