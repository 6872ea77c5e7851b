/// Latency statistics of one request kind, used for routing and hedging.
#ifndef DRAGONFLY_SRC_DECIDE_KINDLATENCY_H
#define DRAGONFLY_SRC_DECIDE_KINDLATENCY_H

#include "decide/LogHistogram.h"
#include "dragonfly/base/Clock.h"

#include <chrono>
#include <optional>

namespace dragonfly::decide {

/// Mean and quantiles of a kind's latencies over all upstreams.
class KindLatency {
public:
  /// Records a latency and returns its ratio to the kind's mean.
  double record(Duration Latency) {
    const auto Nanoseconds = static_cast<double>(Latency.count());
    Mean_ = Microseconds_.weight() == 0
                ? Nanoseconds
                : Mean_ + SmoothingFactor * (Nanoseconds - Mean_);
    Microseconds_.record(Nanoseconds / NanosecondsPerMicrosecond);
    return Mean_ > 0 ? Nanoseconds / Mean_ : 1.0;
  }

  /// Returns the 95th percentile of the latencies, or nothing while too few
  /// have been recorded.
  std::optional<Duration> hedgeDelay() const {
    if (Microseconds_.weight() < MinSamples)
      return std::nullopt;
    const double Microseconds = Microseconds_.quantile(HedgeQuantile);
    return Duration(
        static_cast<Duration::rep>(Microseconds * NanosecondsPerMicrosecond));
  }

private:
  static constexpr double SmoothingFactor = 0.01;
  static constexpr double NanosecondsPerMicrosecond = 1000;
  static constexpr double HedgeQuantile = 0.95;
  static constexpr std::uint32_t MinSamples = 50;

  double Mean_ = 0; ///< Exponentially weighted, in nanoseconds.
  LogHistogram Microseconds_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_KINDLATENCY_H
