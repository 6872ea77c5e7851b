#include "control/WorkerLoads.h"

#include <algorithm>
#include <iterator>

namespace dragonfly::control {
namespace {

/// A run that serves has settled by then; its first readings are high.
constexpr Duration SettleTime = std::chrono::milliseconds(2000);
/// A serving image's own part of its ratio is at least this share of its quiet
/// ratio, however much is blamed on others.
constexpr double LeastOwnPart = 0.5;

std::vector<decide::ImageLoad>
toLoads(const std::map<std::string, double> &Shares) {
  std::vector<decide::ImageLoad> Loads;
  std::ranges::transform(
      Shares, std::back_inserter(Loads), [](const auto &Each) {
        return decide::ImageLoad{.Image_ = Each.first, .Share_ = Each.second};
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
      double &Worst = Result.Ratios_[Step->Image_];
      Worst = std::max(Worst, Load / toMilliseconds(Step->TailTarget_));
    }
  }
  return Result;
}

void WorkerLoads::observe(TimePoint, const WorkerSession &Session) {
  const Reading Current = readingOf(Session);
  const std::vector<decide::ImageLoad> Loads = toLoads(Current.Shares_);
  for (const auto &[Image, Ratio] : Current.Ratios_)
    Tails_.observe(Image, Ratio, Loads);
  Newest_[Session.Hello_.Worker_] = Current;
}

std::vector<decide::ServingImage>
WorkerLoads::serving(const WorkerSession &Session,
                     const std::vector<jobs::RunName> &Planned) const {
  std::map<std::string, double> Shares;
  std::map<std::string, double> Ratios;
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
      Ratios[Step->Image_] = 0;
  }
  const auto Known = Newest_.find(Session.Hello_.Worker_);
  const std::vector<decide::ImageLoad> Loads = toLoads(Shares);
  std::vector<decide::ServingImage> Result;
  for (const auto &[Image, Unused] : Ratios) {
    double Own = Tails_.quietRatio(Image);
    if (Known != Newest_.end())
      if (const auto It = Known->second.Ratios_.find(Image);
          It != Known->second.Ratios_.end())
        Own = std::max(LeastOwnPart * Own,
                       It->second - Tails_.expectedRise(
                                        Image, toLoads(Known->second.Shares_)));
    Result.push_back(
        {.Image_ = Image,
         .ExpectedRatio_ = Own + Tails_.expectedRise(Image, Loads)});
  }
  return Result;
}

std::vector<wire::Disturbance>
WorkerLoads::disturbances(const std::string &Worker) const {
  std::vector<wire::Disturbance> Rows;
  const auto Known = Newest_.find(Worker);
  if (Known == Newest_.end())
    return Rows;
  for (const auto &[Serving, Ratio] : Known->second.Ratios_)
    for (const auto &[Image, Share] : Known->second.Shares_)
      Rows.push_back({.ServingImage_ = Serving,
                      .Image_ = Image,
                      .RisePerShare_ = rise(Serving, Image, 1.0)});
  return Rows;
}

} // namespace dragonfly::control
