#include "dragonfly/decide/HeartbeatOrder.h"

namespace dragonfly::decide {
namespace {

/// Periods after which a series has paused: two heartbeats in a row are lost.
constexpr int MaxPeriodsBetween = 3;

/// Heartbeats in a row after which lower numbers count: one more where the
/// higher number has been gone on from, which one message cannot do.
constexpr std::uint32_t OverrulingHeartbeats = 2;
constexpr std::uint32_t OverrulingHeartbeatsIfConfirmed = 3;

/// Heartbeats in a row, the last one not late, that end a drain.
constexpr std::uint32_t ReadyHeartbeats = 2;

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
  if (Place != HeartbeatPlace::Late && Ready_.Length_ >= ReadyHeartbeats)
    IsDraining_ = false;
  return Place;
}

HeartbeatPlace HeartbeatOrder::place(TimePoint Now, std::uint64_t Number) {
  if (!Newest_ || Number > *Newest_) {
    Confirmed_ = Newest_;
    Newest_ = Number;
    return HeartbeatPlace::Newest;
  }
  const bool IsCopy = Behind_.Length_ > 0 && Number == Behind_.Number_;
  if (IsCopy)
    return HeartbeatPlace::Late;
  if (Number < Behind_.Number_)
    Behind_ = {};
  extend(Behind_, Now);
  Behind_.Number_ = Number;
  const bool IsConfirmed = Confirmed_ && Number <= *Confirmed_;
  if (Behind_.Length_ <
      (IsConfirmed ? OverrulingHeartbeatsIfConfirmed : OverrulingHeartbeats))
    return HeartbeatPlace::Late;
  Newest_ = Number;
  Confirmed_.reset();
  Behind_ = {};
  return HeartbeatPlace::Restarted;
}

void HeartbeatOrder::extend(Series &Each, TimePoint Now) const {
  const Duration Since = Now - Each.At_;
  if (Each.Length_ > 0 && Since < Options_.Period_ / 2)
    return;
  if (Since > MaxPeriodsBetween * Options_.Period_)
    Each.Length_ = 0;
  ++Each.Length_;
  Each.At_ = Now;
}

} // namespace dragonfly::decide
