/// Decides when a run that is slowed down should go on on another worker.
#ifndef DRAGONFLY_DECIDE_RUNMOVE_H
#define DRAGONFLY_DECIDE_RUNMOVE_H

#include "dragonfly/base/Clock.h"

#include <chrono>
#include <cstdint>

namespace dragonfly::decide {

/// A run on spare processors whose step makes checkpoints.
struct ThrottledRun {
  /// What is left of it at full speed.
  Duration RemainingTime_{};
  /// Share of full speed, in percent.
  std::uint32_t SpeedPercent_ = 100;
  /// Since it was slowed down below `RunMoveOptions::MaxPercent_`.
  Duration ThrottledFor_{};
};

struct RunMoveOptions {
  /// Faster runs stay where they are.
  std::uint32_t MaxPercent_ = 50;
  /// Speeds that were lowered for a short peak of the load are back by then:
  /// `SpeedControl` raises them from the lowest to the highest within a second.
  Duration GracePeriod_ = std::chrono::milliseconds(800);
  /// From the order to stop to work on another worker: 0.2 s for the stop, 0.2
  /// s for its report and the next order, 0.6 s to restore the checkpoint on
  /// the slowest of the users' deployments.
  Duration MoveCost_ = std::chrono::milliseconds(1000);
  /// A paused run is expected to go on at this speed, in percent.
  std::uint32_t MinPercent_ = 10;
};

/// Returns whether the run is expected to end sooner elsewhere, even if it has
/// to pay the cost of the move twice.
bool shouldMoveRun(const ThrottledRun &Run, const RunMoveOptions &Options = {});

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_RUNMOVE_H
