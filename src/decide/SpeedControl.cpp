#include "dragonfly/decide/SpeedControl.h"

#include <algorithm>
#include <cmath>

namespace dragonfly::decide {
namespace {

constexpr std::uint32_t FullPercent = 100;
constexpr double HeadroomAtTarget = 1;
/// Lower tail latencies tell no more than this one.
constexpr double LeastRatio = 0.1;

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

void SpeedControl::addServingRun(const std::string &Image, double Ratio) {
  const double Headroom = 1 / std::max(Ratio, LeastRatio);
  const auto [It, IsNew] = Headrooms_.try_emplace(Image, Headroom);
  It->second = std::min(It->second, Headroom);
}

double SpeedControl::lossOf(const std::string &Serving,
                            const std::string &Image) const {
  const auto It = Losses_.find({Serving, Image});
  return It == Losses_.end() ? 0.0 : It->second;
}

void SpeedControl::noteMissed(TimePoint Now) {
  WorstRatio_ = 0;
  for (const auto &[Image, Headroom] : Headrooms_) {
    WorstRatio_ = std::max(WorstRatio_, 1 / Headroom);
    if (Headroom < HeadroomAtTarget)
      MissedSince_.try_emplace(Image, Now);
    else
      MissedSince_.erase(Image);
  }
  std::erase_if(MissedSince_, [this](const auto &Each) {
    return !Headrooms_.contains(Each.first);
  });
}

void SpeedControl::update(TimePoint Now) {
  noteMissed(Now);
  const std::map<std::string, double> Kept = keptSpeeds(Now);
  std::vector<std::string> MayRise;
  MayRise.reserve(Loads_.size());
  for (const auto &[Image, Unused] : Loads_)
    if (const auto It = Kept.find(Image); It != Kept.end())
      lower(Now, Speeds_[Image], It->second);
    else if (Now >= Speeds_[Image].ChangeAt_)
      MayRise.push_back(Image);
  // Each one that is raised leaves less for the next: the calm ones go first.
  std::ranges::sort(MayRise, {}, [this](const std::string &Image) {
    return worstLoss(Image);
  });
  for (const std::string &Image : MayRise)
    raise(Now, Image);
  std::erase_if(Speeds_, [this](const auto &Each) {
    return !Loads_.contains(Each.first);
  });
  Loads_.clear();
  Headrooms_.clear();
}

std::map<std::string, double> SpeedControl::keptSpeeds(TimePoint Now) const {
  std::map<std::string, double> Kept;
  for (const auto &[Serving, Headroom] : Headrooms_)
    if (Headroom < Options_.ThrottleBelow_)
      lowerFor(Now, Serving, Kept);
  return Kept;
}

/// Takes the missing headroom from the images that disturb \p Serving most.
void SpeedControl::lowerFor(TimePoint Now, const std::string &Serving,
                            std::map<std::string, double> &Kept) const {
  const double Headroom = Headrooms_.at(Serving);
  const bool IsMissed = Headroom < HeadroomAtTarget;
  const double Most =
      IsMissed ? Options_.MaxKeptShareWhenMissed_ : Options_.MaxKeptShare_;
  const auto Lower = [&Kept](const std::string &Image, double Share) {
    double &Value = Kept.try_emplace(Image, 1.0).first->second;
    Value = std::min(Value, Share);
  };
  std::vector<std::pair<double, std::string>> Parts;
  Parts.reserve(Loads_.size());
  for (const auto &[Image, Row] : Loads_)
    Parts.emplace_back(lossOf(Serving, Image) * Row.Share_, Image);
  std::ranges::sort(Parts, std::greater{});
  double Missing = Options_.ThrottleTarget_ - Headroom;
  for (const auto &[Part, Image] : Parts) {
    if (Missing <= 0)
      break;
    if (Part > 0)
      Lower(Image, std::min(Most, std::max(0.0, 1 - Missing / Part)));
    Missing -= Part;
  }
  const auto Since = MissedSince_.find(Serving);
  const bool HasFailed = Since != MissedSince_.end() &&
                         Now - Since->second >= Options_.GracePeriod_;
  // What is known does not explain it, or did not help.
  if (IsMissed && (Missing > 0 || HasFailed))
    for (const auto &[Image, Unused] : Loads_)
      Lower(Image, Most);
}

void SpeedControl::lower(TimePoint Now, Speed &Row, double Kept) const {
  if (Now < Row.ChangeAt_)
    return;
  Row.ChangeAt_ = Now + Options_.ChangeInterval_;
  Row.Percent_ = static_cast<std::uint32_t>(std::floor(Row.Percent_ * Kept));
  if (Row.Percent_ < Options_.MinPercent_)
    Row.Percent_ = 0;
}

double SpeedControl::worstLoss(const std::string &Image) const {
  double Worst = 0;
  for (const auto &[Serving, Unused] : Headrooms_)
    Worst = std::max(Worst, lossOf(Serving, Image));
  return Worst;
}

/// Raises the speed of \p Image if every run that serves keeps enough headroom.
void SpeedControl::raise(TimePoint Now, const std::string &Image) {
  Speed &Row = Speeds_[Image];
  const std::uint32_t Next =
      std::min(FullPercent, Row.Percent_ + Options_.RaiseStepPercent_);
  const double Added =
      Loads_.at(Image).FullShare_ * (Next - Row.Percent_) / FullPercent;
  const bool HasRoom = std::ranges::all_of(Headrooms_, [&](const auto &Each) {
    return Each.second - lossOf(Each.first, Image) * Added >=
           Options_.MinHeadroomAfterRaise_;
  });
  if (!HasRoom || Next == Row.Percent_)
    return;
  for (auto &[Serving, Headroom] : Headrooms_)
    Headroom -= lossOf(Serving, Image) * Added;
  Row.ChangeAt_ = Now + Options_.ChangeInterval_;
  Row.Percent_ = Next;
}

std::uint32_t SpeedControl::speedPercent(const std::string &Image) const {
  const auto It = Speeds_.find(Image);
  return It == Speeds_.end() ? FullPercent : It->second.Percent_;
}

} // namespace dragonfly::decide
