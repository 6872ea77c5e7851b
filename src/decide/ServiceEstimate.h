/// A running estimate of how long one kind of request occupies a slot.
#ifndef DRAGONFLY_SRC_DECIDE_SERVICEESTIMATE_H
#define DRAGONFLY_SRC_DECIDE_SERVICEESTIMATE_H

#include "dragonfly/base/Clock.h"

#include <cmath>

namespace dragonfly::decide {

/// Exponentially weighted mean and mean deviation of service times.
class ServiceEstimate {
public:
  explicit ServiceEstimate(Duration FirstGuess)
      : Mean_(static_cast<double>(FirstGuess.count())) {}

  void record(Duration Service) {
    const double Error = static_cast<double>(Service.count()) - Mean_;
    Mean_ += Gain * Error;
    Deviation_ += Gain * (std::abs(Error) - Deviation_);
  }

  Duration mean() const { return asDuration(Mean_); }
  /// A service time that few requests exceed.
  Duration high() const { return asDuration(Mean_ + 2 * Deviation_); }

private:
  static constexpr double Gain = 0.05;

  static Duration asDuration(double Nanoseconds) {
    return Duration(static_cast<Duration::rep>(Nanoseconds));
  }

  double Mean_;
  double Deviation_ = 0;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_SERVICEESTIMATE_H
