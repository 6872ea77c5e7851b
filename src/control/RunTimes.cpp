#include "control/RunTimes.h"

#include <algorithm>
#include <cmath>

namespace dragonfly::control {
namespace {

/// Weight of the newest run in a queue's mean.
constexpr double QueueWeight = 0.05;
/// Below this much progress, in percent, a run tells little about its length.
constexpr std::uint32_t LeastProgress = 25;
/// Weight of a run that is under way, against one that has finished.
constexpr double ProgressWeight = 0.3;
/// Estimates below this are taken for this, in seconds.
constexpr double LeastSeconds = 0.02;

double secondsBetween(TimePoint From, TimePoint To) {
  return toMilliseconds(To - From) / 1000;
}

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

} // namespace

void RunTimes::learn(const jobs::RunName &Run, double Seconds, double Weight) {
  StepTimes &Row = Steps_[{Run.Task_.Job_, Run.Task_.Step_}];
  Row.Weight_ += Weight;
  Row.MeanSeconds_ += (Seconds - Row.MeanSeconds_) * Weight / Row.Weight_;
}

void RunTimes::observe(TimePoint Now, const WorkerSession &Session,
                       const wire::WorkerReport &Report) {
  for (const wire::RunReport &Run : Report.Runs_) {
    const auto It = Session.Runs_.find(Run.Run_);
    if (It == Session.Runs_.end() || Run.Phase_ != wire::RunPhase::Running)
      continue;
    const jobs::TaskName &Task = Run.Run_.Task_;
    StepTimes &Row = Steps_[{Task.Job_, Task.Step_}];
    std::uint32_t &Progress = Row.Progress_[Task.Index_];
    if (Progress < LeastProgress && Run.ProgressPercent_ >= LeastProgress &&
        Run.Run_.Run_ == 1)
      learn(Run.Run_,
            secondsBetween(It->second.OrderedAt_, Now) * 100 /
                Run.ProgressPercent_,
            ProgressWeight);
    Progress = Run.ProgressPercent_;
  }
  for (const wire::EndReport &End : Report.Ends_) {
    const auto It = Session.Runs_.find(End.Run_);
    const jobs::JobRow *Job = Table_.find(End.Run_.Task_.Job_);
    if (End.How_ != jobs::RunEnd::Finished || It == Session.Runs_.end() ||
        Job == nullptr || End.Run_.Run_ != 1)
      continue;
    const double Seconds = secondsBetween(It->second.OrderedAt_, Now);
    learn(End.Run_, Seconds, 1);
    double &Mean =
        QueueMeans_.try_emplace(Job->Queue_.Name_, Seconds).first->second;
    Mean += QueueWeight * (Seconds - Mean);
  }
}

void RunTimes::forgetEnded() {
  std::erase_if(Steps_, [this](const auto &Each) {
    const jobs::JobRow *Job = Table_.find(Each.first.first);
    return Job == nullptr || !Job->active();
  });
}

/// Tasks of one step are alike; before any of them has told its length, the
/// submitter's guess counts as much as the queue's mean.
double RunTimes::secondsOf(const jobs::JobRow &Job, std::uint32_t Step) const {
  const StepTimes *Known = find(Job.Id_, Step);
  if (Known != nullptr && Known->Weight_ > 0)
    return std::max(Known->MeanSeconds_, LeastSeconds);
  const double Guess = std::max(
      toMilliseconds(Job.Spec_.Steps_[Step].Estimate_) / 1000, LeastSeconds);
  const auto Mean = QueueMeans_.find(Job.Queue_.Name_);
  return Mean == QueueMeans_.end()
             ? Guess
             : std::sqrt(Guess * std::max(Mean->second, LeastSeconds));
}

double RunTimes::shareLeft(const StepTimes *Known, std::uint32_t Index) {
  constexpr double FullPercent = 100;
  if (Known == nullptr)
    return 1;
  const auto It = Known->Progress_.find(Index);
  return It == Known->Progress_.end()
             ? 1
             : 1 - std::min<double>(It->second, FullPercent) / FullPercent;
}

const RunTimes::StepTimes *RunTimes::find(const std::string &Job,
                                          std::uint32_t Step) const {
  const auto It = Steps_.find({Job, Step});
  return It == Steps_.end() ? nullptr : &It->second;
}

Duration RunTimes::timeLeft(const jobs::JobRow &Job,
                            const jobs::TaskName &Task) const {
  return fromSeconds(secondsOf(Job, Task.Step_) *
                     shareLeft(find(Job.Id_, Task.Step_), Task.Index_));
}

decide::JobOutlook RunTimes::outlook(const jobs::JobRow &Job,
                                     Duration LogTime) const {
  decide::JobOutlook Result{.Priority_ = Job.Queue_.Priority_,
                            .Sequence_ = Job.Sequence_,
                            .Age_ = LogTime - Job.AcceptedAt_};
  std::vector<decide::CriticalPathStep> Whole;
  std::vector<decide::CriticalPathStep> Left;
  for (std::uint32_t Step = 0; Step < Job.Steps_.size(); ++Step) {
    const jobs::StepSpec &Spec = Job.Spec_.Steps_[Step];
    const double Seconds = secondsOf(Job, Step);
    const StepTimes *Known = find(Job.Id_, Step);
    double Longest = 0;
    for (std::uint32_t Index = 0; Index < Spec.Count_; ++Index) {
      const jobs::TaskRow &Task = Job.Steps_[Step].Tasks_[Index];
      if (Task.Phase_ == jobs::TaskPhase::Finished)
        continue;
      const double Share = Task.Phase_ == jobs::TaskPhase::OnWorker
                               ? shareLeft(Known, Index)
                               : 1;
      Longest = std::max(Longest, Seconds * Share);
      Result.RemainingWork_ +=
          Seconds * Share * static_cast<double>(Spec.Need_.MilliProcessors_) /
          1000;
    }
    Result.LongRunning_ = Result.LongRunning_ || Spec.LongRunning_;
    Whole.push_back(
        {.DependsOn_ = Spec.DependsOn_, .Length_ = fromSeconds(Seconds)});
    Left.push_back(
        {.DependsOn_ = Spec.DependsOn_, .Length_ = fromSeconds(Longest)});
  }
  Result.RemainingCriticalPath_ = decide::criticalPathLength(Left);
  Result.LatencyObjective_ =
      fromSeconds(Job.Queue_.SlackFactor_ *
                  toMilliseconds(decide::criticalPathLength(Whole)) / 1000) +
      Job.Queue_.TargetLatency_;
  return Result;
}

} // namespace dragonfly::control
