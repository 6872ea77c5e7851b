/// The phases of a graceful stop.
#ifndef DRAGONFLY_DECIDE_STOPSCHEDULE_H
#define DRAGONFLY_DECIDE_STOPSCHEDULE_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/EnumTable.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>

namespace dragonfly::decide {

enum class StopPhase : std::uint8_t {
  Running,
  Serving,  ///< Requests are served; answers say that connections close.
  Refusing, ///< What was read is finished; anything new is refused.
  Closing,  ///< All is answered or cut off; peers take their last answers.
  Ended
};

struct StopBounds {
  /// Time after the signal in which new requests are still served.
  Duration ServeTime_{};
  /// Time after the signal at which what is unfinished is cut off.
  Duration Bound_ = std::chrono::seconds(20);
  /// Time that peers have to take their last answers.
  Duration CloseTime_ = std::chrono::milliseconds(200);
};

/// Decides when a stop goes on to its next phase.
class StopSchedule {
public:
  explicit StopSchedule(StopBounds Bounds) : Bounds_(Bounds) {}

  /// Has an effect once.
  void begin(TimePoint Now);
  /// Moves on by one phase at most, and returns the phase in force.
  /// \p Unfinished counts requests and answers that keep the process.
  StopPhase advance(TimePoint Now, std::size_t Unfinished);
  StopPhase phase() const { return Phase_; }
  /// True once the bound has cut something off.
  bool isCutOff() const { return IsCutOff_; }

private:
  StopBounds Bounds_;
  StopPhase Phase_ = StopPhase::Running;
  TimePoint BeganAt_;
  TimePoint ClosingAt_;
  bool IsCutOff_ = false;
};

} // namespace dragonfly::decide

namespace dragonfly {

template <> struct EnumTable<decide::StopPhase> {
  static constexpr std::array<EnumName<decide::StopPhase>, 5> Rows{{
      {decide::StopPhase::Running, "running"},
      {decide::StopPhase::Serving, "serving"},
      {decide::StopPhase::Refusing, "refusing"},
      {decide::StopPhase::Closing, "closing"},
      {decide::StopPhase::Ended, "ended"},
  }};
};

} // namespace dragonfly

#endif // DRAGONFLY_DECIDE_STOPSCHEDULE_H
