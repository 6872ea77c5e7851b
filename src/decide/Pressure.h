/// Decides when a worker's tasks must be throttled or checkpointed.
#ifndef DRAGONFLY_SRC_DECIDE_PRESSURE_H
#define DRAGONFLY_SRC_DECIDE_PRESSURE_H

#include "dragonfly/base/Clock.h"

#include <chrono>
#include <cstdint>

namespace dragonfly::decide {

enum class PressureStep : std::uint8_t { None, Throttle, Checkpoint, Release };

/// Bounds between which a worker is left alone.
struct PressureLimits {
  /// Processors that may be expected to be used beyond the capacity, as a share
  /// of it: they can be shared, at the price of time.
  double ProcessorOveruse_ = 0;
  /// Memory cannot be throttled; above this a task has to go.
  double HighMemory_ = 0.97;
  /// Slowdown of latency-critical requests, in thousandths of undisturbed.
  std::uint32_t HighSlowdown_ = 1600;
  std::uint32_t LowSlowdown_ = 1250;
  /// Slowdown that a new task may bring a worker to, as it is predicted.
  std::uint32_t StartSlowdown_ = 1400;
  /// How long throttling may take to help.
  Duration Patience_ = std::chrono::seconds(6);
  /// How long it must be calm before a task is let go.
  Duration Calm_ = std::chrono::seconds(3);
};

/// What was measured on a worker.
struct PressureReading {
  /// Used share of the memory.
  double Memory_ = 0;
  std::uint32_t SlowdownPermille_ = 1000;
};

/// The state of one worker, with hysteresis in level and in time.
class Pressure {
public:
  PressureStep step(TimePoint Now, const PressureLimits &Limits,
                    const PressureReading &Reading) {
    const bool High = Reading.SlowdownPermille_ > Limits.HighSlowdown_;
    const bool Low = Reading.SlowdownPermille_ < Limits.LowSlowdown_;
    HighSince_ = High ? earlier(HighSince_, Now) : TimePoint::max();
    LowSince_ = Low ? earlier(LowSince_, Now) : TimePoint::max();
    if (Now < NotBefore_)
      return PressureStep::None;
    if (Reading.Memory_ > Limits.HighMemory_)
      return taken(Now, Limits.Calm_, PressureStep::Checkpoint);
    if (High && Now - HighSince_ >= Limits.Patience_)
      return taken(Now, Limits.Patience_, PressureStep::Checkpoint);
    if (High)
      return taken(Now, Limits.Patience_ / 4, PressureStep::Throttle);
    if (Low && Now - LowSince_ >= Limits.Calm_)
      return taken(Now, Limits.Calm_, PressureStep::Release);
    return PressureStep::None;
  }

private:
  static TimePoint earlier(TimePoint Since, TimePoint Now) {
    return Since == TimePoint::max() ? Now : Since;
  }

  PressureStep taken(TimePoint Now, Duration Pause, PressureStep Step) {
    NotBefore_ = Now + Pause;
    return Step;
  }

  TimePoint HighSince_ = TimePoint::max();
  TimePoint LowSince_ = TimePoint::max();
  TimePoint NotBefore_{};
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_PRESSURE_H
