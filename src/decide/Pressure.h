/// Decides when to throttle, unthrottle or checkpoint the tasks of a worker.
#ifndef DRAGONFLY_SRC_DECIDE_PRESSURE_H
#define DRAGONFLY_SRC_DECIDE_PRESSURE_H

#include "dragonfly/base/Clock.h"

#include <chrono>
#include <cstdint>

namespace dragonfly::decide {

enum class PressureAction : std::uint8_t {
  None,
  Throttle,
  Checkpoint,
  Unthrottle
};

/// Limits on resource pressure. Above the high ones tasks are throttled or
/// checkpointed, below the low one they are unthrottled.
struct PressureLimits {
  /// Expected processor usage allowed beyond the capacity, as a share of the
  /// capacity. Processors can be shared, which only slows the work down.
  double ProcessorOversubscription_ = 0;
  /// Above this share of used memory a task is evicted, because memory cannot
  /// be throttled.
  double MaxMemoryShare_ = 0.97;
  /// Slowdown of latency-critical requests, in thousandths; 1000 means
  /// undisturbed.
  std::uint32_t HighSlowdownPermille_ = 1600;
  std::uint32_t LowSlowdownPermille_ = 1250;
  /// Highest predicted slowdown at which a task may still be started.
  std::uint32_t MaxStartSlowdownPermille_ = 1400;
  /// Grace period for throttling to take effect before a task is checkpointed.
  Duration ThrottleGrace_ = std::chrono::seconds(6);
  /// How long the slowdown must stay below the low limit before a task is
  /// unthrottled; also the pause after a checkpoint for memory.
  Duration RecoveryTime_ = std::chrono::seconds(3);
};

/// A measurement of the resource pressure on a worker.
struct PressureReading {
  /// Used memory as a share of the capacity.
  double MemoryShare_ = 0;
  std::uint32_t SlowdownPermille_ = 1000;
};

/// The pressure on one worker, with hysteresis in level and in time.
class Pressure {
public:
  /// Evaluates a reading and returns the action that is due. An action is
  /// followed by a pause in which the result is None.
  PressureAction nextAction(TimePoint Now, const PressureLimits &Limits,
                            const PressureReading &Reading) {
    const bool High = Reading.SlowdownPermille_ > Limits.HighSlowdownPermille_;
    const bool Low = Reading.SlowdownPermille_ < Limits.LowSlowdownPermille_;
    HighSince_ = High ? periodStart(HighSince_, Now) : TimePoint::max();
    LowSince_ = Low ? periodStart(LowSince_, Now) : TimePoint::max();
    if (Now < NextActionAt_)
      return PressureAction::None;
    if (Reading.MemoryShare_ > Limits.MaxMemoryShare_)
      return actAndPause(Now, Limits.RecoveryTime_, PressureAction::Checkpoint);
    if (High && Now - HighSince_ >= Limits.ThrottleGrace_)
      return actAndPause(Now, Limits.ThrottleGrace_,
                         PressureAction::Checkpoint);
    if (High)
      return actAndPause(Now, Limits.ThrottleGrace_ / 4,
                         PressureAction::Throttle);
    if (Low && Now - LowSince_ >= Limits.RecoveryTime_)
      return actAndPause(Now, Limits.RecoveryTime_, PressureAction::Unthrottle);
    return PressureAction::None;
  }

private:
  static TimePoint periodStart(TimePoint Since, TimePoint Now) {
    return Since == TimePoint::max() ? Now : Since;
  }

  PressureAction actAndPause(TimePoint Now, Duration Pause,
                             PressureAction Action) {
    NextActionAt_ = Now + Pause;
    return Action;
  }

  TimePoint HighSince_ = TimePoint::max();
  TimePoint LowSince_ = TimePoint::max();
  TimePoint NextActionAt_{};
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_PRESSURE_H
