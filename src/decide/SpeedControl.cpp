#include "dragonfly/decide/SpeedControl.h"

#include <algorithm>

namespace dragonfly::decide {

void SpeedControl::disturbs(const std::string &Serving,
                            const std::string &Image, double RisePerShare) {
  Disturbances_[{Serving, Image}] = RisePerShare;
}

void SpeedControl::runs(const std::string &Image, double Share) {
  Shares_[Image] += Share;
}

void SpeedControl::serves(const std::string &Image, double Ratio) {
  double &Worst = Ratios_[Image];
  Worst = std::max(Worst, Ratio);
}

void SpeedControl::update(TimePoint Now) {
  WorstRatio_ = 0;
  for (const auto &[Image, Ratio] : Ratios_) {
    WorstRatio_ = std::max(WorstRatio_, Ratio);
    if (Ratio > Options_.HalveAbove_)
      MissedSince_.try_emplace(Image, Now);
    else
      MissedSince_.erase(Image);
  }
  for (const auto &[Image, Share] : Shares_)
    adjust(Now, Speeds_[Image], ratioFor(Now, Image));
  std::erase_if(Speeds_, [this](const auto &Each) {
    return !Shares_.contains(Each.first);
  });
  Shares_.clear();
  Ratios_.clear();
}

double SpeedControl::ratioFor(TimePoint Now, const std::string &Image) {
  double Answer = 0;
  for (const auto &[Serving, Ratio] : Ratios_) {
    double Sum = 0;
    double Largest = 0;
    double Own = 0;
    for (const auto &[Other, Share] : Shares_) {
      const auto It = Disturbances_.find({Serving, Other});
      const double Part = It == Disturbances_.end() ? 0.0 : It->second * Share;
      Sum += Part;
      Largest = std::max(Largest, Part);
      if (Other == Image)
        Own = Part;
    }
    const double Rise = Ratio - Options_.QuietRatio_;
    const auto Missed = MissedSince_.find(Serving);
    const bool Blamed = Own >= Options_.BlamedPart_ * Largest ||
                        Sum < Options_.ExplainedPart_ * Rise ||
                        (Missed != MissedSince_.end() &&
                         Now - Missed->second >= Options_.Patience_);
    // Who is not blamed is not slowed down, and not raised into trouble.
    Answer = std::max(Answer,
                      Blamed ? Ratio : std::min(Ratio, Options_.LowerAbove_));
  }
  return Answer;
}

void SpeedControl::adjust(TimePoint Now, Speed &Row, double Ratio) const {
  constexpr std::uint32_t Full = 100;
  if (Now < Row.ChangeAt_)
    return;
  Row.ChangeAt_ = Now + Options_.Period_;
  if (Ratio <= 0)
    Row.Percent_ = Full;
  else if (Ratio > Options_.HalveAbove_)
    Row.Percent_ /= 2;
  else if (Ratio > Options_.LowerAbove_)
    Row.Percent_ = Row.Percent_ * 4 / 5;
  else if (Ratio < Options_.RaiseBelow_)
    Row.Percent_ = std::min(Full, Row.Percent_ + Options_.RaiseStep_);
  if (Ratio > Options_.LowerAbove_ && Row.Percent_ < Options_.LeastPercent_)
    Row.Percent_ = 0;
}

std::uint32_t SpeedControl::percentOf(const std::string &Image) const {
  constexpr std::uint32_t Full = 100;
  const auto It = Speeds_.find(Image);
  return It == Speeds_.end() ? Full : It->second.Percent_;
}

} // namespace dragonfly::decide
