/// Decides when a throttled run should continue on another worker.
#ifndef DRAGONFLY_DECIDE_RUNMOVE_H
#define DRAGONFLY_DECIDE_RUNMOVE_H

#include "dragonfly/base/Clock.h"

#include <chrono>
#include <cstdint>

namespace dragonfly::decide {

/// A run on spare processors whose step writes checkpoints.
struct ThrottledRun {
  /// Remaining run time at full speed.
  Duration RemainingTime_{};
  /// Current speed in percent of full speed.
  std::uint32_t SpeedPercent_ = 100;
  /// Time for which its speed has been at most `RunMoveOptions::MaxPercent_`.
  Duration ThrottledFor_{};
};

struct RunMoveOptions {
  /// Runs at a higher speed, in percent of full speed, are not moved.
  std::uint32_t MaxPercent_ = 50;
  /// Runs that have been throttled for less time are not moved. After a short
  /// load peak `SpeedControl` raises the lowest speed to the highest within a
  /// second.
  Duration GracePeriod_ = std::chrono::milliseconds(800);
  /// Time from the stop order until the run continues on another worker: 0.2 s
  /// to stop, 0.2 s for the report of it and the start order, 0.6 s to restore
  /// the checkpoint on the slowest of the users' deployments.
  Duration MoveCost_ = std::chrono::milliseconds(1000);
  /// Lower speeds, in percent of full speed, count as this one: a paused run is
  /// expected to resume.
  std::uint32_t MinPercent_ = 10;
};

/// Returns whether the run is expected to end sooner on another worker, even if
/// the move takes twice `MoveCost_`.
bool shouldMoveRun(const ThrottledRun &Run, const RunMoveOptions &Options = {});

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_RUNMOVE_H
