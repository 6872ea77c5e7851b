/// Estimates how much one kind of work slows down another on the same VM.
#ifndef DRAGONFLY_SRC_DECIDE_INTERFERENCE_H
#define DRAGONFLY_SRC_DECIDE_INTERFERENCE_H

#include <cstdint>
#include <span>
#include <vector>

namespace dragonfly::decide {

/// Numbers a kind; 0 stands for the latency-critical requests of a VM.
using KindIndex = std::uint32_t;
inline constexpr KindIndex RequestsKind = 0;

/// What tasks of one kind use on one VM, as a share of its processors.
struct KindLoad {
  KindIndex Kind_ = 0;
  double Load_ = 0;
};

struct InterferenceOptions {
  /// How many standard deviations an estimate is raised by while little is
  /// known of a pair.
  double CautionDeviations_ = 0;
  /// What is expected of a pair that was never seen.
  double PriorMean_ = 0.5;
  double PriorDeviation_ = 0.5;
};

/// Slowdown per unit of load, for each pair of kinds, fitted online to the
/// slowdown that was seen where several kinds ran together.
class Interference {
public:
  /// \p Risk is how many standard deviations an estimate is raised by.
  explicit Interference(double Risk)
      : Interference(InterferenceOptions{.CautionDeviations_ = Risk}) {}
  explicit Interference(InterferenceOptions Options) : Options_(Options) {}

  /// Takes how much slower than alone \p Victim ran beside \p Loads; 0 is
  /// undisturbed, 1 is twice as long. \p Noise is the standard deviation of the
  /// reading: small loads tell little where it is large.
  void observe(KindIndex Victim, std::span<const KindLoad> Loads,
               double Slowdown, double Noise = 0);

  /// Returns the slowdown of \p Victim per unit of load of \p Aggressor,
  /// raised while little is known of the pair.
  double conservativeSlowdown(KindIndex Victim, KindIndex Aggressor) const;

  /// Returns the slowdown of \p Victim beside \p Loads, not raised.
  double expectedSlowdown(KindIndex Victim,
                          std::span<const KindLoad> Loads) const;

  /// What was learnt of a pair.
  struct PairEstimate {
    double Mean_ = 0;
    double ReadingWeight_ = 0;
  };

  PairEstimate estimateOf(KindIndex Victim, KindIndex Aggressor) const;
  /// Takes what another one has learnt of a pair.
  void restore(KindIndex Victim, KindIndex Aggressor, PairEstimate Learnt) {
    pair(Victim, Aggressor) = Learnt;
  }

  /// Returns what \p Load of \p Kind adds to the slowdown of \p Mates, and
  /// they to it, weighted by their loads.
  double addedSlowdown(KindIndex Kind, double Load,
                       std::span<const KindLoad> Mates) const;

private:
  PairEstimate &pair(KindIndex Victim, KindIndex Aggressor);

  InterferenceOptions Options_;
  std::vector<std::vector<PairEstimate>> Pairs_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_INTERFERENCE_H
