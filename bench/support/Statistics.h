/// Quantiles and spreads of measured values.
#ifndef DRAGONFLY_BENCH_SUPPORT_STATISTICS_H
#define DRAGONFLY_BENCH_SUPPORT_STATISTICS_H

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <vector>

namespace dragonfly::bench {

/// Returns quantile \p Quantile (0 to 1) of \p Values, or 0 of none.
inline double quantileOf(std::vector<double> Values, double Quantile) {
  if (Values.empty())
    return 0;
  const auto Rank = static_cast<std::size_t>(
      std::ceil(Quantile * static_cast<double>(Values.size())));
  const std::size_t At =
      std::min(Values.size(), std::max<std::size_t>(1, Rank));
  const auto Middle = Values.begin() + static_cast<std::ptrdiff_t>(At - 1);
  std::ranges::nth_element(Values, Middle);
  return *Middle;
}

inline double medianOf(const std::vector<double> &Values) {
  return quantileOf(Values, 0.5);
}

/// Returns \p A / \p B, or 1 where both are 0.
inline double ratioOf(double A, double B) {
  if (B == 0)
    return A == 0 ? 1 : HUGE_VAL;
  return A / B;
}

} // namespace dragonfly::bench

#endif // DRAGONFLY_BENCH_SUPPORT_STATISTICS_H
