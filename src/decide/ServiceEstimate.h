/// A running estimate of the time for which one kind of request holds a slot.
#ifndef DRAGONFLY_SRC_DECIDE_SERVICEESTIMATE_H
#define DRAGONFLY_SRC_DECIDE_SERVICEESTIMATE_H

#include "dragonfly/base/Clock.h"

#include <cmath>

namespace dragonfly::decide {

/// Exponentially weighted mean and mean absolute deviation of service times.
class ServiceEstimate {
public:
  explicit ServiceEstimate(Duration InitialEstimate)
      : Mean_(static_cast<double>(InitialEstimate.count())) {}

  void record(Duration Service) {
    const double Error = static_cast<double>(Service.count()) - Mean_;
    Mean_ += SmoothingFactor * Error;
    Deviation_ += SmoothingFactor * (std::abs(Error) - Deviation_);
  }

  Duration mean() const { return toDuration(Mean_); }
  /// The mean plus two mean deviations, which few requests exceed.
  Duration upperEstimate() const { return toDuration(Mean_ + 2 * Deviation_); }

private:
  static constexpr double SmoothingFactor = 0.05;

  static Duration toDuration(double Nanoseconds) {
    return Duration(static_cast<Duration::rep>(Nanoseconds));
  }

  double Mean_;          ///< In nanoseconds.
  double Deviation_ = 0; ///< In nanoseconds.
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_SERVICEESTIMATE_H
