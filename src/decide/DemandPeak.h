/// The recent peak of how many slots one kind wanted at once.
#ifndef DRAGONFLY_SRC_DECIDE_DEMANDPEAK_H
#define DRAGONFLY_SRC_DECIDE_DEMANDPEAK_H

#include "dragonfly/base/Clock.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace dragonfly::decide {

/// A maximum that decays with a fixed half-life.
class DemandPeak {
public:
  void observe(TimePoint Now, double Demand) {
    Peak_ = std::max(at(Now), Demand);
    At_ = Now;
  }

  double at(TimePoint Now) const {
    using Seconds = std::chrono::duration<double>;
    return Peak_ * std::exp2(-Seconds(Now - At_) / Seconds(HalfLife));
  }

private:
  static constexpr Duration HalfLife = std::chrono::seconds(5);

  double Peak_ = 0;
  TimePoint At_{};
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_DEMANDPEAK_H
