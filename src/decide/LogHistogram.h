/// A histogram with logarithmic buckets in which older values decay.
#ifndef DRAGONFLY_SRC_DECIDE_LOGHISTOGRAM_H
#define DRAGONFLY_SRC_DECIDE_LOGHISTOGRAM_H

#include <array>
#include <cstddef>
#include <cstdint>

namespace dragonfly::decide {

/// Estimates quantiles of positive values to within one bucket, a factor of
/// 2^(1/4). Has a fixed size; neither recording nor reading allocates.
class LogHistogram {
public:
  /// Records a value; values below 1 count as 1.
  void record(double Value);

  /// Returns the upper edge of the bucket that holds quantile \p Quantile
  /// (0 to 1), or 0 if nothing was recorded.
  double quantile(double Quantile) const;

  /// Number of values recorded, where older values count less.
  std::uint32_t weight() const { return Weight_; }

private:
  static constexpr std::size_t Buckets = 160;
  static constexpr double BucketsPerDoubling = 4;
  /// Weight at which all counts are halved.
  static constexpr std::uint32_t HalvingWeight = 4096;

  void halveCounts();

  std::array<std::uint16_t, Buckets> Counts_{};
  std::uint32_t Weight_ = 0;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_LOGHISTOGRAM_H
