#include "decide/Interference.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace dragonfly::decide {
namespace {

/// Least step of the fit, so that it follows a drift.
constexpr double LeastRate = 0.05;
/// Loads below this tell nothing.
constexpr double LeastLoad = 0.01;

} // namespace

Interference::PairEstimate &Interference::pair(KindIndex Victim,
                                               KindIndex Aggressor) {
  if (Pairs_.size() <= Victim)
    Pairs_.resize(Victim + 1);
  std::vector<PairEstimate> &Row = Pairs_[Victim];
  if (Row.size() <= Aggressor)
    Row.resize(Aggressor + 1, PairEstimate{.Mean_ = Options_.PriorMean_});
  return Row[Aggressor];
}

void Interference::observe(KindIndex Victim, std::span<const KindLoad> Loads,
                           double Slowdown, double Noise) {
  double Expected = 0;
  double Norm = 0;
  for (const KindLoad &Load : Loads) {
    Expected += pair(Victim, Load.Kind_).Mean_ * Load.Load_;
    Norm += Load.Load_ * Load.Load_;
  }
  if (Norm < LeastLoad * LeastLoad)
    return;
  const double Blur = Noise / Options_.PriorDeviation_;
  Norm += Blur * Blur;
  const double Error = Slowdown - Expected;
  for (const KindLoad &Load : Loads) {
    PairEstimate &Row = pair(Victim, Load.Kind_);
    const double Rate = std::max(LeastRate, 1 / (2 + Row.ReadingWeight_));
    Row.Mean_ = std::max(0.0, Row.Mean_ + Rate * Error * Load.Load_ / Norm);
    Row.ReadingWeight_ += Load.Load_ / std::sqrt(Norm);
  }
}

Interference::PairEstimate Interference::estimateOf(KindIndex Victim,
                                                    KindIndex Aggressor) const {
  if (Victim < Pairs_.size() && Aggressor < Pairs_[Victim].size())
    return Pairs_[Victim][Aggressor];
  return {.Mean_ = Options_.PriorMean_};
}

double Interference::expectedSlowdown(KindIndex Victim,
                                      std::span<const KindLoad> Loads) const {
  return std::accumulate(
      Loads.begin(), Loads.end(), 0.0, [&](double Sum, const KindLoad &Load) {
        return Sum + estimateOf(Victim, Load.Kind_).Mean_ * Load.Load_;
      });
}

double Interference::conservativeSlowdown(KindIndex Victim,
                                          KindIndex Aggressor) const {
  const PairEstimate Row = estimateOf(Victim, Aggressor);
  return Row.Mean_ + Options_.CautionDeviations_ * Options_.PriorDeviation_ /
                         std::sqrt(1 + Row.ReadingWeight_);
}

double Interference::addedSlowdown(KindIndex Kind, double Load,
                                   std::span<const KindLoad> Mates) const {
  return std::accumulate(
      Mates.begin(), Mates.end(), 0.0, [&](double Sum, const KindLoad &Mate) {
        const double Both = conservativeSlowdown(Mate.Kind_, Kind) +
                            conservativeSlowdown(Kind, Mate.Kind_);
        return Sum + Both * Load * Mate.Load_;
      });
}

} // namespace dragonfly::decide
