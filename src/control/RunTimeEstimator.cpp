#include "control/RunTimeEstimator.h"

#include <algorithm>
#include <cmath>

namespace dragonfly::control {
namespace {

/// Weight of the newest run in a queue's moving average.
constexpr double QueueMeanWeight = 0.05;
/// Run times are extrapolated from this much progress on; below it the estimate
/// is too uncertain.
constexpr std::uint32_t MinProgressPercent = 25;
/// Weight of a current run's extrapolated run time, relative to a finished run.
constexpr double RunningSampleWeight = 0.3;
/// Lower bound of estimates.
constexpr double MinEstimateSeconds = 0.02;

double secondsBetween(TimePoint From, TimePoint To) {
  return toMilliseconds(To - From) / 1000;
}

/// Longer times count as this one, so that multiples of them stay in range.
constexpr double MaxSeconds = 1e9;

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::clamp(Seconds, 0.0, MaxSeconds)));
}

} // namespace

void RunTimeEstimator::addSample(const jobs::RunName &Run, double Seconds,
                                 double Weight) {
  StepRunTimes &Row = Steps_[{Run.Task_.Job_, Run.Task_.Step_}];
  Row.Weight_ += Weight;
  Row.MeanSeconds_ += (Seconds - Row.MeanSeconds_) * Weight / Row.Weight_;
}

void RunTimeEstimator::observe(TimePoint Now, const WorkerSession &Session,
                               const wire::WorkerReport &Report) {
  for (const wire::RunReport &Run : Report.Runs_) {
    const auto It = Session.Runs_.find(Run.Run_);
    if (It == Session.Runs_.end() || Run.Phase_ != wire::RunPhase::Running)
      continue;
    const jobs::TaskName &Task = Run.Run_.Task_;
    StepRunTimes &Row = Steps_[{Task.Job_, Task.Step_}];
    std::uint32_t &Progress = Row.ProgressPercent_[Task.Index_];
    if (Progress < MinProgressPercent &&
        Run.ProgressPercent_ >= MinProgressPercent && Run.Run_.Run_ == 1)
      addSample(Run.Run_,
                secondsBetween(It->second.StartOrderedAt_, Now) * 100 /
                    Run.ProgressPercent_,
                RunningSampleWeight);
    Progress = Run.ProgressPercent_;
  }
  for (const wire::EndReport &End : Report.Ends_) {
    const auto It = Session.Runs_.find(End.Run_);
    const jobs::JobRow *Job = Table_.find(End.Run_.Task_.Job_);
    if (End.How_ != jobs::RunEnd::Finished || It == Session.Runs_.end() ||
        Job == nullptr || End.Run_.Run_ != 1)
      continue;
    const double Seconds = secondsBetween(It->second.StartOrderedAt_, Now);
    addSample(End.Run_, Seconds, 1);
    double &Mean =
        QueueMeans_.try_emplace(Job->Queue_.Name_, Seconds).first->second;
    Mean += QueueMeanWeight * (Seconds - Mean);
  }
}

void RunTimeEstimator::pruneEndedJobs() {
  std::erase_if(Steps_, [this](const auto &Entry) {
    const jobs::JobRow *Job = Table_.find(Entry.first.first);
    return Job == nullptr || !Job->active();
  });
}

/// Tasks of one step take about the same time, so the mean of the step is used.
/// Until it has a sample, the estimate is the geometric mean of the submitter's
/// estimate and the queue's average.
double RunTimeEstimator::estimatedSeconds(const jobs::JobRow &Job,
                                          std::uint32_t Step) const {
  const StepRunTimes *Times = findStep(Job.Id_, Step);
  if (Times != nullptr && Times->Weight_ > 0)
    return std::max(Times->MeanSeconds_, MinEstimateSeconds);
  const double SubmittedSeconds =
      std::max(toMilliseconds(Job.Spec_.Steps_[Step].Estimate_) / 1000,
               MinEstimateSeconds);
  const auto Mean = QueueMeans_.find(Job.Queue_.Name_);
  return Mean == QueueMeans_.end()
             ? SubmittedSeconds
             : std::sqrt(SubmittedSeconds *
                         std::max(Mean->second, MinEstimateSeconds));
}

double RunTimeEstimator::remainingShare(const StepRunTimes *Times,
                                        std::uint32_t Index) {
  constexpr double FullPercent = 100;
  if (Times == nullptr)
    return 1;
  const auto It = Times->ProgressPercent_.find(Index);
  return It == Times->ProgressPercent_.end()
             ? 1
             : 1 - std::min<double>(It->second, FullPercent) / FullPercent;
}

const RunTimeEstimator::StepRunTimes *
RunTimeEstimator::findStep(const std::string &Job, std::uint32_t Step) const {
  const auto It = Steps_.find({Job, Step});
  return It == Steps_.end() ? nullptr : &It->second;
}

Duration RunTimeEstimator::expectedRunTime(const jobs::JobRow &Job,
                                           std::uint32_t Step) const {
  return fromSeconds(estimatedSeconds(Job, Step));
}

Duration RunTimeEstimator::remainingRunTime(const jobs::JobRow &Job,
                                            const jobs::TaskName &Task) const {
  return fromSeconds(
      estimatedSeconds(Job, Task.Step_) *
      remainingShare(findStep(Job.Id_, Task.Step_), Task.Index_));
}

decide::JobOutlook RunTimeEstimator::outlook(const jobs::JobRow &Job,
                                             Duration LogTime) const {
  decide::JobOutlook Result{.Priority_ = Job.Queue_.Priority_,
                            .Sequence_ = Job.Sequence_,
                            .Age_ = LogTime - Job.AcceptedAt_};
  std::vector<decide::CriticalPathStep> WholeSteps;
  std::vector<decide::CriticalPathStep> RemainingSteps;
  for (std::uint32_t Step = 0; Step < Job.Steps_.size(); ++Step) {
    const jobs::StepSpec &Spec = Job.Spec_.Steps_[Step];
    const double Seconds = estimatedSeconds(Job, Step);
    const StepRunTimes *Times = findStep(Job.Id_, Step);
    const jobs::StepRow &Row = Job.Steps_[Step];
    const double Processors =
        static_cast<double>(Spec.Need_.MilliProcessors_) / 1000;
    double LongestTask = Row.Waiting_ > 0 ? Seconds : 0;
    Result.RemainingWork_ += Seconds * Processors * Row.Waiting_;
    for (const auto &[Index, Task] : Row.Tasks_.begun()) {
      if (Task.Phase_ != jobs::TaskPhase::OnWorker)
        continue;
      const double Share = remainingShare(Times, Index);
      LongestTask = std::max(LongestTask, Seconds * Share);
      Result.RemainingWork_ += Seconds * Share * Processors;
    }
    Result.LongRunning_ = Result.LongRunning_ || Spec.LongRunning_;
    WholeSteps.push_back(
        {.DependsOn_ = Spec.DependsOn_, .Length_ = fromSeconds(Seconds)});
    RemainingSteps.push_back(
        {.DependsOn_ = Spec.DependsOn_, .Length_ = fromSeconds(LongestTask)});
  }
  Result.RemainingCriticalPath_ = decide::criticalPathLength(RemainingSteps);
  Result.LatencyObjective_ =
      fromSeconds(Job.Queue_.SlackFactor_ *
                  toMilliseconds(decide::criticalPathLength(WholeSteps)) /
                  1000) +
      Job.Queue_.TargetLatency_;
  return Result;
}

} // namespace dragonfly::control
