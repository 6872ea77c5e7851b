#include "control/WorkerLoads.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace dragonfly::control {
namespace {

/// A run that serves has settled by then; its first readings are high.
constexpr Duration SettleTime = std::chrono::milliseconds(2000);
constexpr double Permille = 1000;
/// How often jobs that were not read lately are forgotten.
constexpr Duration ForgetPeriod = std::chrono::seconds(5);

std::vector<decide::ImageLoad>
toLoads(const std::map<std::string, double> &Shares) {
  std::vector<decide::ImageLoad> Loads;
  std::ranges::transform(
      Shares, std::back_inserter(Loads), [](const auto &Each) {
        return decide::ImageLoad{.Image_ = Each.first,
                                 .ProcessorShare_ = Each.second};
      });
  return Loads;
}

} // namespace

const jobs::StepSpec *WorkerLoads::stepOf(const jobs::RunName &Run) const {
  const jobs::JobRow *Job = Table_.find(Run.Task_.Job_);
  if (Job == nullptr || Run.Task_.Step_ >= Job->Spec_.Steps_.size())
    return nullptr;
  return &Job->Spec_.Steps_[Run.Task_.Step_];
}

WorkerLoads::Reading
WorkerLoads::readingOf(const WorkerSession &Session) const {
  Reading Result;
  const auto Processors =
      static_cast<double>(Session.Hello_.Capacity_.MilliProcessors_);
  for (const auto &[Run, Info] : Session.Runs_) {
    const jobs::StepSpec *Step = stepOf(Run);
    if (Step == nullptr || Info.Report_.Phase_ != wire::RunPhase::Running)
      continue;
    const auto Load = static_cast<double>(Info.Report_.Load_);
    if (Step->UsesSpareProcessors_)
      Result.Shares_[Step->Image_] += Load / std::max(Processors, 1.0);
    else if (Step->TailTarget_ > Duration::zero() && Load > 0 &&
             Session.HeardAt_ - Info.OrderedAt_ >= SettleTime) {
      JobTail &Tail = Result.Jobs_[Run.Task_.Job_];
      Tail.Image_ = Step->Image_;
      Tail.Ratio_ =
          std::max(Tail.Ratio_, Load / toMilliseconds(Step->TailTarget_));
    }
  }
  return Result;
}

void WorkerLoads::observe(TimePoint Now, const WorkerSession &Session) {
  const std::string &Worker = Session.Hello_.Worker_;
  const Reading &Current = Newest_[Worker] = readingOf(Session);
  const std::vector<decide::ImageLoad> Loads = toLoads(Current.Shares_);
  for (const auto &[Job, Tail] : Current.Jobs_)
    Tails_.observe(Now,
                   {.Worker_ = Worker,
                    .Job_ = Job,
                    .Image_ = Tail.Image_,
                    .LatencyRatio_ = Tail.Ratio_},
                   Loads);
  if (Now < ForgetAt_)
    return;
  ForgetAt_ = Now + ForgetPeriod;
  Tails_.removeExpiredReadings(Now);
}

std::vector<decide::ServingJob>
WorkerLoads::serving(TimePoint Now, const WorkerSession &Session,
                     const std::vector<jobs::RunName> &Planned) const {
  std::map<std::string, double> Shares;
  std::map<std::string, std::string> Images;
  const auto Processors =
      static_cast<double>(Session.Hello_.Capacity_.MilliProcessors_);
  for (const jobs::RunName &Run : Planned) {
    const jobs::StepSpec *Step = stepOf(Run);
    if (Step == nullptr)
      continue;
    if (Step->UsesSpareProcessors_)
      Shares[Step->Image_] +=
          static_cast<double>(Step->Need_.MilliProcessors_) /
          std::max(Processors, 1.0);
    else if (Step->TailTarget_ > Duration::zero())
      Images[Run.Task_.Job_] = Step->Image_;
  }
  const std::vector<decide::ImageLoad> Loads = toLoads(Shares);
  std::vector<decide::ServingJob> Result;
  Result.reserve(Images.size());
  for (const auto &[Job, Image] : Images)
    Result.push_back(
        {.Image_ = Image,
         .Headroom_ =
             undisturbedHeadroom(Now, Session.Hello_.Worker_, Job, Image) -
             Tails_.expectedLoss(Image, Loads)});
  return Result;
}

/// The worse of what the job has on all workers and what it has on this one, if
/// that is known: the worker itself may be slow.
double WorkerLoads::undisturbedHeadroom(TimePoint Now,
                                        const std::string &Worker,
                                        const std::string &Job,
                                        const std::string &Image) const {
  const double Usual = Tails_.baselineHeadroom(Now, Job, Image);
  const auto Known = Newest_.find(Worker);
  if (Known == Newest_.end())
    return Usual;
  const auto It = Known->second.Jobs_.find(Job);
  if (It == Known->second.Jobs_.end())
    return Usual;
  const double Here =
      1 / It->second.Ratio_ +
      Tails_.expectedLoss(Image, toLoads(Known->second.Shares_));
  return std::min(Usual, Here);
}

void WorkerLoads::restore(const std::vector<jobs::ImageLoss> &Rows) {
  Newest_.clear();
  for (const jobs::ImageLoss &Row : Rows)
    Tails_.restore({.ServingImage_ = Row.Serving_,
                    .BatchImage_ = Row.Image_,
                    .LossPerWorker_ = Row.PermillePerWorker_ / Permille,
                    .ReadingCount_ = static_cast<double>(Row.Readings_)});
}

std::vector<jobs::ImageLoss> WorkerLoads::takeChangedLosses() {
  std::vector<jobs::ImageLoss> Rows;
  for (const decide::HeadroomLoss &Row : Tails_.consumeChangedLosses())
    Rows.push_back(
        {.Serving_ = Row.ServingImage_,
         .Image_ = Row.BatchImage_,
         .PermillePerWorker_ =
             static_cast<std::uint32_t>(Row.LossPerWorker_ * Permille),
         .Readings_ = static_cast<std::uint32_t>(Row.ReadingCount_)});
  return Rows;
}

std::vector<wire::Disturbance>
WorkerLoads::disturbances(const std::string &Worker) const {
  std::vector<wire::Disturbance> Rows;
  const auto Known = Newest_.find(Worker);
  if (Known == Newest_.end())
    return Rows;
  std::set<std::string_view> Images;
  for (const auto &[Job, Tail] : Known->second.Jobs_)
    Images.insert(Tail.Image_);
  for (const std::string_view Serving : Images)
    for (const auto &[Image, Share] : Known->second.Shares_)
      Rows.push_back(
          {.ServingImage_ = std::string(Serving),
           .Image_ = Image,
           .LossPerShare_ = Tails_.expectedLoss(
               Serving, std::vector<decide::ImageLoad>{
                            {.Image_ = Image, .ProcessorShare_ = 1.0}})});
  return Rows;
}

} // namespace dragonfly::control
