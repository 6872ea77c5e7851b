/// Distributions of durations and counters per customer and kind.
#ifndef DRAGONFLY_BASE_HISTOGRAM_H
#define DRAGONFLY_BASE_HISTOGRAM_H

#include "dragonfly/base/Clock.h"

#include <cstdint>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly {

/// A summary of recorded durations.
struct HistogramSummary {
  std::uint64_t Count_ = 0;
  Duration Mean_{};
  Duration Max_{};
  Duration P50_{};
  Duration P90_{};
  Duration P99_{};
  Duration P999_{};
};

/// Records durations in bounded memory and constant time. Count, mean and
/// maximum are exact, and so are the quantiles of the first 64 durations.
/// Beyond them the quantiles are estimates of the extended P-square algorithm:
/// for a stationary distribution within 2% at P50 and P90, 5% at P99 and 15% at
/// P999.
class Histogram {
public:
  Histogram();
  Histogram(Histogram &&) noexcept;
  Histogram &operator=(Histogram &&) noexcept;
  ~Histogram();

  void record(Duration Value);
  HistogramSummary summary() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

/// Names one histogram of a table.
struct HistogramKey {
  std::string Customer_;
  std::string Kind_;

  auto operator<=>(const HistogramKey &) const = default;
};

/// Histograms per customer and kind. Customers beyond a bound share one row,
/// called "other".
class HistogramTable {
public:
  explicit HistogramTable(std::size_t MaxRows = 2048);
  ~HistogramTable();

  void record(const HistogramKey &Key, Duration Value);
  /// Returns the rows in ascending order of key.
  std::vector<std::pair<HistogramKey, HistogramSummary>> rows() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

/// Returns the rows as JSON, durations in milliseconds:
/// {"rows":[{"customer","kind","count","mean_ms","p50_ms",...}]}.
std::string printHistograms(const HistogramTable &Table);

} // namespace dragonfly

#endif // DRAGONFLY_BASE_HISTOGRAM_H
