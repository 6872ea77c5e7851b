#include "dragonfly/decide/HeartbeatOrder.h"

namespace dragonfly::decide {
namespace {

/// A series starts anew after this pause, in which two heartbeats are missing.
constexpr int MaxPeriodsBetween = 3;

/// Late heartbeats in a series after which the last one counts as the newest.
/// A number that was exceeded takes one more: it has more than one message
/// behind it.
constexpr std::uint32_t RestartLength = 2;
constexpr std::uint32_t RestartLengthIfExceeded = 3;

/// Length of a series, whose last heartbeat is not late, that ends a drain.
constexpr std::uint32_t ReadyLength = 2;

} // namespace

void HeartbeatOrder::begin(bool IsDraining) {
  *this = HeartbeatOrder(Options_);
  IsDraining_ = IsDraining;
}

HeartbeatPlace HeartbeatOrder::add(TimePoint Now, std::uint64_t Number,
                                   bool IsDraining) {
  const HeartbeatPlace Place = place(Now, Number);
  if (IsDraining) {
    IsDraining_ = true;
    Ready_ = {};
    return Place;
  }
  extend(Ready_, Now);
  if (Place != HeartbeatPlace::Late && Ready_.Length_ >= ReadyLength)
    IsDraining_ = false;
  return Place;
}

HeartbeatPlace HeartbeatOrder::place(TimePoint Now, std::uint64_t Number) {
  if (!Newest_ || Number > *Newest_) {
    Exceeded_ = Newest_;
    Newest_ = Number;
    return HeartbeatPlace::Newest;
  }
  const bool IsCopy = Late_.Length_ > 0 && Number == Late_.LastNumber_;
  if (IsCopy)
    return HeartbeatPlace::Late;
  if (Number < Late_.LastNumber_)
    Late_ = {};
  extend(Late_, Now);
  Late_.LastNumber_ = Number;
  const bool IsExceeded = Exceeded_ && Number <= *Exceeded_;
  if (Late_.Length_ < (IsExceeded ? RestartLengthIfExceeded : RestartLength))
    return HeartbeatPlace::Late;
  Newest_ = Number;
  Exceeded_.reset();
  Late_ = {};
  return HeartbeatPlace::Restarted;
}

void HeartbeatOrder::extend(Series &Each, TimePoint Now) const {
  const Duration Since = Now - Each.LastAt_;
  if (Each.Length_ > 0 && Since < Options_.Period_ / 2)
    return;
  if (Since > MaxPeriodsBetween * Options_.Period_)
    Each.Length_ = 0;
  ++Each.Length_;
  Each.LastAt_ = Now;
}

} // namespace dragonfly::decide
