#include "decide/Interference.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace dragonfly::decide {
namespace {

/// Lower bound of the learning rate, so that the estimates follow changes of
/// the interference after many readings.
constexpr double MinLearningRate = 0.05;
/// Readings are ignored if the Euclidean norm of their loads is below this.
constexpr double MinLoadNorm = 0.01;

} // namespace

Interference::PairEstimate &Interference::findOrAddPair(KindIndex Victim,
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
  double SquaredNorm = 0;
  for (const KindLoad &Load : Loads) {
    Expected += findOrAddPair(Victim, Load.Kind_).Mean_ * Load.Load_;
    SquaredNorm += Load.Load_ * Load.Load_;
  }
  if (SquaredNorm < MinLoadNorm * MinLoadNorm)
    return;
  const double RelativeNoise = Noise / Options_.PriorDeviation_;
  SquaredNorm += RelativeNoise * RelativeNoise;
  const double Error = Slowdown - Expected;
  for (const KindLoad &Load : Loads) {
    PairEstimate &Row = findOrAddPair(Victim, Load.Kind_);
    const double Rate = std::max(MinLearningRate, 1 / (2 + Row.ReadingWeight_));
    Row.Mean_ =
        std::max(0.0, Row.Mean_ + Rate * Error * Load.Load_ / SquaredNorm);
    Row.ReadingWeight_ += Load.Load_ / std::sqrt(SquaredNorm);
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
                                   std::span<const KindLoad> Neighbors) const {
  return std::accumulate(Neighbors.begin(), Neighbors.end(), 0.0,
                         [&](double Sum, const KindLoad &Neighbor) {
                           const double MutualSlowdown =
                               conservativeSlowdown(Neighbor.Kind_, Kind) +
                               conservativeSlowdown(Kind, Neighbor.Kind_);
                           return Sum + MutualSlowdown * Load * Neighbor.Load_;
                         });
}

} // namespace dragonfly::decide
