#include "dragonfly/decide/SpeedControl.h"

#include <algorithm>
#include <cmath>

namespace dragonfly::decide {
namespace {

constexpr std::uint32_t FullPercent = 100;
constexpr double HeadroomAtTarget = 1;
/// Lower ratios of tail latency to target count as this one, which bounds the
/// headroom.
constexpr double MinLatencyRatio = 0.1;

} // namespace

void SpeedControl::setLoss(const std::string &Serving, const std::string &Image,
                           double LossPerShare) {
  Losses_[{Serving, Image}] = LossPerShare;
}

void SpeedControl::addRun(const std::string &Image, double Share,
                          double FullShare) {
  Load &Row = Loads_[Image];
  Row.Share_ += Share;
  Row.FullShare_ += FullShare;
}

void SpeedControl::addServingRun(const std::string &Image,
                                 double LatencyRatio) {
  const double Headroom = 1 / std::max(LatencyRatio, MinLatencyRatio);
  const auto [It, IsNew] = Headrooms_.try_emplace(Image, Headroom);
  It->second = std::min(It->second, Headroom);
}

double SpeedControl::lossOf(const std::string &Serving,
                            const std::string &Image) const {
  const auto It = Losses_.find({Serving, Image});
  return It == Losses_.end() ? 0.0 : It->second;
}

void SpeedControl::updateMissedTargets(TimePoint Now) {
  WorstLatencyRatio_ = 0;
  for (const auto &[Image, Headroom] : Headrooms_) {
    WorstLatencyRatio_ = std::max(WorstLatencyRatio_, 1 / Headroom);
    if (Headroom < HeadroomAtTarget)
      MissedSince_.try_emplace(Image, Now);
    else
      MissedSince_.erase(Image);
  }
  std::erase_if(MissedSince_, [this](const auto &Entry) {
    return !Headrooms_.contains(Entry.first);
  });
}

void SpeedControl::update(TimePoint Now) {
  updateMissedTargets(Now);
  const std::map<std::string, double> Factors = speedFactors(Now);
  std::vector<std::string> RaisableImages;
  RaisableImages.reserve(Loads_.size());
  for (const auto &[Image, Unused] : Loads_)
    if (const auto It = Factors.find(Image); It != Factors.end())
      lower(Now, Speeds_[Image], It->second);
    else if (Now >= Speeds_[Image].NextChangeAt_)
      RaisableImages.push_back(Image);
  // Each raise leaves less headroom for the next, so the images with the
  // lowest headroom loss are raised first.
  std::ranges::sort(RaisableImages, {}, [this](const std::string &Image) {
    return worstLoss(Image);
  });
  for (const std::string &Image : RaisableImages)
    raise(Now, Image);
  std::erase_if(Speeds_, [this](const auto &Entry) {
    return !Loads_.contains(Entry.first);
  });
  Loads_.clear();
  Headrooms_.clear();
}

std::map<std::string, double> SpeedControl::speedFactors(TimePoint Now) const {
  std::map<std::string, double> Factors;
  for (const auto &[Serving, Headroom] : Headrooms_)
    if (Headroom < Options_.ThrottleBelow_)
      throttleFor(Now, Serving, Factors);
  return Factors;
}

/// Throttles the images that take the most headroom from \p Serving, until the
/// missing headroom is expected to be regained.
void SpeedControl::throttleFor(TimePoint Now, const std::string &Serving,
                               std::map<std::string, double> &Factors) const {
  const double Headroom = Headrooms_.at(Serving);
  const bool IsMissed = Headroom < HeadroomAtTarget;
  const double MaxFactor =
      IsMissed ? Options_.MaxSpeedFactorWhenMissed_ : Options_.MaxSpeedFactor_;
  const auto LimitFactor = [&Factors](const std::string &Image, double Limit) {
    double &Value = Factors.try_emplace(Image, 1.0).first->second;
    Value = std::min(Value, Limit);
  };
  std::vector<std::pair<double, std::string>> LossesByImage;
  LossesByImage.reserve(Loads_.size());
  for (const auto &[Image, Row] : Loads_)
    LossesByImage.emplace_back(lossOf(Serving, Image) * Row.Share_, Image);
  std::ranges::sort(LossesByImage, std::greater{});
  double MissingHeadroom = Options_.ThrottleTarget_ - Headroom;
  for (const auto &[Loss, Image] : LossesByImage) {
    if (MissingHeadroom <= 0)
      break;
    if (Loss > 0)
      LimitFactor(Image, std::min(MaxFactor,
                                  std::max(0.0, 1 - MissingHeadroom / Loss)));
    MissingHeadroom -= Loss;
  }
  const auto Since = MissedSince_.find(Serving);
  const bool GracePeriodIsOver = Since != MissedSince_.end() &&
                                 Now - Since->second >= Options_.GracePeriod_;
  // The known losses do not explain the missed target, or throttling the images
  // that cause them has not helped.
  if (IsMissed && (MissingHeadroom > 0 || GracePeriodIsOver))
    for (const auto &[Image, Unused] : Loads_)
      LimitFactor(Image, MaxFactor);
}

void SpeedControl::lower(TimePoint Now, Speed &Row, double Factor) const {
  if (Now < Row.NextChangeAt_)
    return;
  Row.NextChangeAt_ = Now + Options_.ChangeInterval_;
  Row.Percent_ = static_cast<std::uint32_t>(std::floor(Row.Percent_ * Factor));
  if (Row.Percent_ < Options_.MinPercent_)
    Row.Percent_ = 0;
}

double SpeedControl::worstLoss(const std::string &Image) const {
  double Worst = 0;
  for (const auto &[Serving, Unused] : Headrooms_)
    Worst = std::max(Worst, lossOf(Serving, Image));
  return Worst;
}

/// Raises the speed of \p Image by one step if each latency-critical image
/// keeps enough headroom.
void SpeedControl::raise(TimePoint Now, const std::string &Image) {
  Speed &Row = Speeds_[Image];
  const std::uint32_t Next =
      std::min(FullPercent, Row.Percent_ + Options_.RaiseStepPercent_);
  const double AddedShare =
      Loads_.at(Image).FullShare_ * (Next - Row.Percent_) / FullPercent;
  const bool KeepsHeadroom =
      std::ranges::all_of(Headrooms_, [&](const auto &Entry) {
        return Entry.second - lossOf(Entry.first, Image) * AddedShare >=
               Options_.MinHeadroomAfterRaise_;
      });
  if (!KeepsHeadroom || Next == Row.Percent_)
    return;
  for (auto &[Serving, Headroom] : Headrooms_)
    Headroom -= lossOf(Serving, Image) * AddedShare;
  Row.NextChangeAt_ = Now + Options_.ChangeInterval_;
  Row.Percent_ = Next;
}

std::uint32_t SpeedControl::speedPercent(const std::string &Image) const {
  const auto It = Speeds_.find(Image);
  return It == Speeds_.end() ? FullPercent : It->second.Percent_;
}

} // namespace dragonfly::decide
