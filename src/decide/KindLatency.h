/// What the router knows of the latency of one kind of request.
#ifndef DRAGONFLY_SRC_DECIDE_KINDLATENCY_H
#define DRAGONFLY_SRC_DECIDE_KINDLATENCY_H

#include "decide/LogHistogram.h"
#include "dragonfly/base/Clock.h"

#include <chrono>
#include <optional>

namespace dragonfly::decide {

/// Mean and quantiles of a kind over all upstreams.
class KindLatency {
public:
  /// Records a latency and returns it relative to the kind's mean.
  double record(Duration Latency) {
    const auto Value = static_cast<double>(Latency.count());
    Mean_ = Quantiles_.weight() == 0 ? Value : Mean_ + Gain * (Value - Mean_);
    Quantiles_.record(Value / NanosecondsPerUnit);
    return Mean_ > 0 ? Value / Mean_ : 1.0;
  }

  /// Returns the latency that one in twenty exceeds, where enough is known.
  std::optional<Duration> hedgeDelay() const {
    if (Quantiles_.weight() < LeastSamples)
      return std::nullopt;
    const double Units = Quantiles_.quantile(HedgeQuantile);
    return Duration(static_cast<Duration::rep>(Units * NanosecondsPerUnit));
  }

private:
  static constexpr double Gain = 0.01;
  static constexpr double NanosecondsPerUnit = 1000;
  static constexpr double HedgeQuantile = 0.95;
  static constexpr std::uint32_t LeastSamples = 50;

  double Mean_ = 0;
  LogHistogram Quantiles_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_KINDLATENCY_H
