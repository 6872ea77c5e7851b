/// Gives load back to workers that return to service, by steps.
#ifndef DRAGONFLY_DECIDE_SLOWSTART_H
#define DRAGONFLY_DECIDE_SLOWSTART_H

#include "dragonfly/base/Clock.h"

#include <chrono>
#include <cstdint>

namespace dragonfly::decide {

struct SlowStartOptions {
  /// Share of a worker's processors that starts may use at first.
  std::int64_t FirstPermille_ = 250;
  /// Number of steps in which the rest follows.
  std::int64_t Steps_ = 3;
  /// Shortest time until the whole worker is used.
  Duration MinTime_ = std::chrono::seconds(2);
};

/// Returns the share of a worker's processors, in thousandths, that may be in
/// use \p Returned after it has returned to service, if it stays cold for
/// another \p ColdTimeLeft.
std::int64_t slowStartPermille(Duration Returned, Duration ColdTimeLeft,
                               const SlowStartOptions &Options = {});

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_SLOWSTART_H
