/// The recent peak of one kind's demand for slots.
#ifndef DRAGONFLY_SRC_DECIDE_DEMANDPEAK_H
#define DRAGONFLY_SRC_DECIDE_DEMANDPEAK_H

#include "dragonfly/base/Clock.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace dragonfly::decide {

/// A running maximum that decays with a fixed half-life.
class DemandPeak {
public:
  void observe(TimePoint Now, double Demand) {
    Peak_ = std::max(decayedPeak(Now), Demand);
    ObservedAt_ = Now;
  }

  double decayedPeak(TimePoint Now) const {
    using Seconds = std::chrono::duration<double>;
    return Peak_ * std::exp2(-Seconds(Now - ObservedAt_) / Seconds(HalfLife));
  }

private:
  static constexpr Duration HalfLife = std::chrono::seconds(5);

  double Peak_ = 0;
  TimePoint ObservedAt_{};
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_DEMANDPEAK_H
