#include "decide/LogHistogram.h"

#include <algorithm>
#include <cmath>
#include <numeric>

namespace dragonfly::decide {

void LogHistogram::record(double Value) {
  const double Position = std::log2(std::max(Value, 1.0)) * BucketsPerDoubling;
  const auto Bucket = std::min(static_cast<std::size_t>(Position), Buckets - 1);
  ++Counts_[Bucket];
  if (++Weight_ >= HalvingWeight)
    halveCounts();
}

double LogHistogram::quantile(double Quantile) const {
  if (Weight_ == 0)
    return 0;
  const double TargetWeight = Quantile * Weight_;
  double CumulativeWeight = 0;
  for (std::size_t Bucket = 0; Bucket < Buckets; ++Bucket) {
    CumulativeWeight += Counts_[Bucket];
    if (CumulativeWeight >= TargetWeight && Counts_[Bucket] > 0)
      return std::exp2(static_cast<double>(Bucket + 1) / BucketsPerDoubling);
  }
  return std::exp2(Buckets / BucketsPerDoubling);
}

void LogHistogram::halveCounts() {
  std::ranges::for_each(Counts_, [](std::uint16_t &Count) { Count /= 2; });
  Weight_ = std::accumulate(Counts_.begin(), Counts_.end(), 0U);
}

} // namespace dragonfly::decide
