#include "control/WorkerInterference.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace dragonfly::control {
namespace {

/// Readings of a serving run are ignored for this long after its start, because
/// its first tail latencies are high.
constexpr Duration SettlingTime = std::chrono::milliseconds(2000);
constexpr double Permille = 1000;
/// Interval at which jobs without recent readings are dropped.
constexpr Duration PruneInterval = std::chrono::seconds(5);

std::vector<decide::ImageLoad>
toImageLoads(const std::map<std::string, double> &Shares) {
  std::vector<decide::ImageLoad> Loads;
  std::ranges::transform(
      Shares, std::back_inserter(Loads), [](const auto &Entry) {
        return decide::ImageLoad{.Image_ = Entry.first,
                                 .ProcessorShare_ = Entry.second};
      });
  return Loads;
}

} // namespace

const jobs::StepSpec *
WorkerInterference::findStep(const jobs::RunName &Run) const {
  const jobs::JobRow *Job = Table_.find(Run.Task_.Job_);
  if (Job == nullptr || Run.Task_.Step_ >= Job->Spec_.Steps_.size())
    return nullptr;
  return &Job->Spec_.Steps_[Run.Task_.Step_];
}

WorkerInterference::WorkerReading
WorkerInterference::makeReading(const WorkerSession &Session) const {
  WorkerReading Result;
  const auto Processors =
      static_cast<double>(Session.Hello_.Capacity_.MilliProcessors_);
  for (const auto &[Run, Info] : Session.Runs_) {
    const jobs::StepSpec *Step = findStep(Run);
    if (Step == nullptr || Info.Report_.Phase_ != wire::RunPhase::Running)
      continue;
    const auto Load = static_cast<double>(Info.Report_.Load_);
    if (Step->UsesSpareProcessors_)
      Result.SpareShares_[Step->Image_] += Load / std::max(Processors, 1.0);
    else if (Step->TailTarget_ > Duration::zero() && Load > 0 &&
             Session.LastContactAt_ - Info.StartOrderedAt_ >= SettlingTime) {
      JobTailLatency &Tail = Result.Jobs_[Run.Task_.Job_];
      Tail.Image_ = Step->Image_;
      Tail.Ratio_ =
          std::max(Tail.Ratio_, Load / toMilliseconds(Step->TailTarget_));
    }
  }
  return Result;
}

void WorkerInterference::observe(TimePoint Now, const WorkerSession &Session) {
  const std::string &Worker = Session.Hello_.Worker_;
  const WorkerReading &Current = LatestReadings_[Worker] = makeReading(Session);
  const std::vector<decide::ImageLoad> Loads =
      toImageLoads(Current.SpareShares_);
  for (const auto &[Job, Tail] : Current.Jobs_)
    Model_.observe(Now,
                   {.Worker_ = Worker,
                    .Job_ = Job,
                    .Image_ = Tail.Image_,
                    .LatencyRatio_ = Tail.Ratio_},
                   Loads);
  if (Now < NextPruneAt_)
    return;
  NextPruneAt_ = Now + PruneInterval;
  Model_.removeExpiredReadings(Now);
}

std::vector<decide::ServingJob> WorkerInterference::servingJobs(
    TimePoint Now, const WorkerSession &Session,
    const std::vector<jobs::RunName> &PlannedRuns) const {
  std::map<std::string, double> Shares;
  std::map<std::string, std::string> Images;
  const auto Processors =
      static_cast<double>(Session.Hello_.Capacity_.MilliProcessors_);
  for (const jobs::RunName &Run : PlannedRuns) {
    const jobs::StepSpec *Step = findStep(Run);
    if (Step == nullptr)
      continue;
    if (Step->UsesSpareProcessors_)
      Shares[Step->Image_] +=
          static_cast<double>(Step->Need_.MilliProcessors_) /
          std::max(Processors, 1.0);
    else if (Step->TailTarget_ > Duration::zero())
      Images[Run.Task_.Job_] = Step->Image_;
  }
  const std::vector<decide::ImageLoad> Loads = toImageLoads(Shares);
  std::vector<decide::ServingJob> Result;
  Result.reserve(Images.size());
  for (const auto &[Job, Image] : Images)
    Result.push_back(
        {.Image_ = Image,
         .Headroom_ = headroomWithoutInterference(Now, Session.Hello_.Worker_,
                                                  Job, Image) -
                      Model_.expectedLoss(Image, Loads)});
  return Result;
}

/// Returns the lower of the job's headroom on all workers and that on this one,
/// if there is a reading of it: the worker itself may be slow.
double WorkerInterference::headroomWithoutInterference(
    TimePoint Now, const std::string &Worker, const std::string &Job,
    const std::string &Image) const {
  const double TypicalHeadroom = Model_.baselineHeadroom(Now, Job, Image);
  const auto Known = LatestReadings_.find(Worker);
  if (Known == LatestReadings_.end())
    return TypicalHeadroom;
  const auto It = Known->second.Jobs_.find(Job);
  if (It == Known->second.Jobs_.end())
    return TypicalHeadroom;
  const double LocalHeadroom =
      1 / It->second.Ratio_ +
      Model_.expectedLoss(Image, toImageLoads(Known->second.SpareShares_));
  return std::min(TypicalHeadroom, LocalHeadroom);
}

void WorkerInterference::restore(const std::vector<jobs::ImageLoss> &Rows) {
  LatestReadings_.clear();
  for (const jobs::ImageLoss &Row : Rows)
    Model_.restore({.ServingImage_ = Row.Serving_,
                    .BatchImage_ = Row.Image_,
                    .LossPerWorker_ = Row.PermillePerWorker_ / Permille,
                    .ReadingCount_ = static_cast<double>(Row.Readings_)});
}

std::vector<jobs::ImageLoss> WorkerInterference::consumeChangedLosses() {
  std::vector<jobs::ImageLoss> Rows;
  for (const decide::HeadroomLoss &Row : Model_.consumeChangedLosses())
    Rows.push_back(
        {.Serving_ = Row.ServingImage_,
         .Image_ = Row.BatchImage_,
         .PermillePerWorker_ =
             static_cast<std::uint32_t>(Row.LossPerWorker_ * Permille),
         .Readings_ = static_cast<std::uint32_t>(Row.ReadingCount_)});
  return Rows;
}

std::vector<wire::Disturbance>
WorkerInterference::lossesOn(const std::string &Worker) const {
  std::vector<wire::Disturbance> Rows;
  const auto Known = LatestReadings_.find(Worker);
  if (Known == LatestReadings_.end())
    return Rows;
  std::set<std::string_view> Images;
  for (const auto &[Job, Tail] : Known->second.Jobs_)
    Images.insert(Tail.Image_);
  for (const std::string_view Serving : Images)
    for (const auto &[Image, Share] : Known->second.SpareShares_)
      Rows.push_back(
          {.ServingImage_ = std::string(Serving),
           .Image_ = Image,
           .LossPerShare_ = Model_.expectedLoss(
               Serving, std::vector<decide::ImageLoad>{
                            {.Image_ = Image, .ProcessorShare_ = 1.0}})});
  return Rows;
}

} // namespace dragonfly::control
