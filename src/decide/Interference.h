/// Estimates how much tasks of one kind slow down those of another kind on the
/// same VM.
#ifndef DRAGONFLY_SRC_DECIDE_INTERFERENCE_H
#define DRAGONFLY_SRC_DECIDE_INTERFERENCE_H

#include <cstdint>
#include <span>
#include <vector>

namespace dragonfly::decide {

/// Index of a kind of task; 0 is the latency-critical requests of a VM.
using KindIndex = std::uint32_t;
inline constexpr KindIndex RequestsKind = 0;

/// Processor load of one kind of task on one VM.
struct KindLoad {
  KindIndex Kind_ = 0;
  /// Fraction of the VM's processors that is used.
  double Load_ = 0;
};

struct InterferenceOptions {
  /// Number of prior standard deviations that `conservativeSlowdown` adds to
  /// the estimate of a pair without readings; shrinks as readings arrive.
  double CautionDeviations_ = 0;
  /// Slowdown per unit of load that is expected of a pair without readings.
  double PriorMean_ = 0.5;
  /// Standard deviation of the prior.
  double PriorDeviation_ = 0.5;
};

/// Estimates the slowdown per unit of load of each pair of kinds by online
/// linear regression over readings taken while several kinds ran together.
class Interference {
public:
  /// Uses \p CautionDeviations and the default prior.
  explicit Interference(double CautionDeviations)
      : Interference(
            InterferenceOptions{.CautionDeviations_ = CautionDeviations}) {}
  explicit Interference(InterferenceOptions Options) : Options_(Options) {}

  /// Updates the estimates with the \p Slowdown of \p Victim beside \p Loads; 0
  /// is as fast as alone, 1 takes twice as long. \p Noise is the standard
  /// deviation of the reading; the larger it is, the less a reading beside
  /// small loads changes the estimates.
  void observe(KindIndex Victim, std::span<const KindLoad> Loads,
               double Slowdown, double Noise = 0);

  /// Returns the slowdown of \p Victim per unit of load of \p Aggressor, raised
  /// by a margin that shrinks as readings of the pair arrive.
  double conservativeSlowdown(KindIndex Victim, KindIndex Aggressor) const;

  /// Returns the expected slowdown of \p Victim beside \p Loads, without a
  /// margin.
  double expectedSlowdown(KindIndex Victim,
                          std::span<const KindLoad> Loads) const;

  struct PairEstimate {
    /// Slowdown per unit of load.
    double Mean_ = 0;
    /// Number of readings, each weighted by the aggressor's load relative to
    /// all loads and the noise of the reading.
    double ReadingWeight_ = 0;
  };

  PairEstimate estimateOf(KindIndex Victim, KindIndex Aggressor) const;
  /// Sets the estimate of a pair to one learned elsewhere.
  void restore(KindIndex Victim, KindIndex Aggressor, PairEstimate Estimate) {
    findOrAddPair(Victim, Aggressor) = Estimate;
  }

  /// Returns the slowdown that \p Load of \p Kind adds to \p Neighbors plus the
  /// slowdown that they add to it, each weighted by both loads.
  double addedSlowdown(KindIndex Kind, double Load,
                       std::span<const KindLoad> Neighbors) const;

private:
  PairEstimate &findOrAddPair(KindIndex Victim, KindIndex Aggressor);

  InterferenceOptions Options_;
  /// By victim, then by aggressor.
  std::vector<std::vector<PairEstimate>> Pairs_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_INTERFERENCE_H
