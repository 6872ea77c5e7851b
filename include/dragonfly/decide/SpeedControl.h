/// Chooses how fast runs on spare processors may work beside runs that serve.
#ifndef DRAGONFLY_DECIDE_SPEEDCONTROL_H
#define DRAGONFLY_DECIDE_SPEEDCONTROL_H

#include "dragonfly/base/Clock.h"

#include <chrono>
#include <cstdint>

namespace dragonfly::decide {

struct SpeedControlOptions {
  /// Between two changes; the worker's figures cover half a second.
  Duration Period_ = std::chrono::milliseconds(250);
  /// Tail latency as a share of its target, in thousandths: above these the
  /// speed is halved, or lowered by a fifth; below the third it is raised.
  std::uint32_t HalveAbovePermille_ = 1000;
  std::uint32_t LowerAbovePermille_ = 850;
  std::uint32_t RaiseBelowPermille_ = 700;
  /// Percentage points by which it is raised: back to full speed within the
  /// few seconds in which interference is known to change.
  std::uint32_t RaiseStep_ = 10;
  /// Below this the runs are paused.
  std::uint32_t LeastPercent_ = 8;
};

/// Lowers quickly and raises slowly, since a missed target costs more than the
/// spare work. A share of one worker, for all of its runs on spare processors.
class SpeedControl {
public:
  explicit SpeedControl(SpeedControlOptions Options = {}) : Options_(Options) {}

  /// Takes the worst ratio of tail latency to target on the worker, in
  /// thousandths, or 0 where nothing serves there. Returns the share of full
  /// speed, in percent.
  std::uint32_t update(TimePoint Now, std::uint32_t WorstPermille);

private:
  SpeedControlOptions Options_;
  std::uint32_t Percent_ = 100;
  TimePoint ChangeAt_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_SPEEDCONTROL_H
