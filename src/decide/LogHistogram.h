/// A histogram over buckets of equal ratio, with older values fading out.
#ifndef DRAGONFLY_SRC_DECIDE_LOGHISTOGRAM_H
#define DRAGONFLY_SRC_DECIDE_LOGHISTOGRAM_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace dragonfly::decide {

/// Estimates quantiles of positive values within a quarter of a power of two.
/// Fixed size; neither recording nor reading allocates.
class LogHistogram {
public:
  /// Takes a value; those below 1 count as 1.
  void record(double Value);

  /// Returns the upper edge of the bucket that holds quantile \p Quantile
  /// (0 to 1), or 0 where nothing was recorded.
  double quantile(double Quantile) const;

  /// Values recorded, older ones at a fading weight.
  std::uint32_t weight() const { return Weight_; }

private:
  static constexpr std::size_t Buckets = 160;
  static constexpr double BucketsPerDoubling = 4;
  /// Weight at which all counts are halved.
  static constexpr std::uint32_t FadeAt = 4096;

  void fade();

  std::array<std::uint16_t, Buckets> Counts_{};
  std::uint32_t Weight_ = 0;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_LOGHISTOGRAM_H
