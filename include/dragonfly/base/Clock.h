/// The clock of the runtime. Every timer and every decision reads it; tests
/// pause it and advance it by hand.
#ifndef DRAGONFLY_BASE_CLOCK_H
#define DRAGONFLY_BASE_CLOCK_H

#include <chrono>
#include <cstdint>

namespace dragonfly {

/// A steady clock that satisfies the standard's Clock requirements, so that it
/// can drive `boost::asio::basic_waitable_timer`.
class Clock {
public:
  using rep = std::int64_t;
  using period = std::nano;
  using duration = std::chrono::nanoseconds;
  using time_point = std::chrono::time_point<Clock>;
  static constexpr bool is_steady = true;

  /// Returns the steady time, time spent suspended included, or the paused time
  /// while the clock is paused.
  static time_point now() noexcept;

  /// Stops the clock at \p At. Until `resume()` only `advance()` moves it.
  static void pause(time_point At) noexcept;

  /// Moves a paused clock forward; has no effect on a running one.
  static void advance(duration By) noexcept;

  static bool paused() noexcept;

  /// Lets the clock follow the steady time again.
  static void resume() noexcept;
};

using Duration = Clock::duration;
using TimePoint = Clock::time_point;

/// Returns \p Value in fractional milliseconds, for reports.
constexpr double toMilliseconds(Duration Value) {
  return std::chrono::duration<double, std::milli>(Value).count();
}

} // namespace dragonfly

#endif // DRAGONFLY_BASE_CLOCK_H
