#include "dragonfly/decide/RunMove.h"

#include <algorithm>

namespace dragonfly::decide {

bool shouldMoveRun(const ThrottledRun &Run, const RunMoveOptions &Options) {
  if (Run.SpeedPercent_ > Options.MaxPercent_ ||
      Run.ThrottledFor_ < Options.GracePeriod_)
    return false;
  constexpr std::int64_t FullPercent = 100;
  const std::int64_t SpeedPercent =
      std::max(Run.SpeedPercent_, Options.MinPercent_);
  const Duration RemainingTimeHere =
      Run.RemainingTime_ * FullPercent / SpeedPercent;
  return RemainingTimeHere > Run.RemainingTime_ + 2 * Options.MoveCost_;
}

} // namespace dragonfly::decide
