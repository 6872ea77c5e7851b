/// What the router has learnt of one upstream.
#ifndef DRAGONFLY_SRC_DECIDE_UPSTREAMSTATE_H
#define DRAGONFLY_SRC_DECIDE_UPSTREAMSTATE_H

#include "dragonfly/decide/Router.h"

#include <algorithm>

namespace dragonfly::decide {

/// One row of the router's table.
struct UpstreamState {
  UpstreamRow Row_;
  /// False once it is no longer announced.
  bool Listed_ = true;
  /// True once an attempt found that this incarnation has left.
  bool Gone_ = false;
  /// Attempts of this entry in progress, now and as it was last announced.
  std::uint32_t InProgress_ = 0;
  std::uint32_t InProgressAtRow_ = 0;
  /// Latency relative to what is usual for the kinds asked of it.
  double RelativeLatency_ = 1;
  TimePoint AnsweredAt_{};
  std::uint32_t Samples_ = 0;
  /// Share of attempts that failed lately, 0 to 1.
  double FailureShare_ = 0;
  std::uint32_t FailuresInRow_ = 0;
  /// Ejections in a row, without a success between them.
  std::uint32_t Ejections_ = 0;
  bool Ejected_ = false;
  TimePoint ProbeAt_{};
  bool Probing_ = false;

  /// Slots that this entry may fill.
  std::uint32_t slots() const { return Row_.SlotShare_.value_or(Row_.Slots_); }

  /// Slots in use: this entry's own where they are divided, else as announced,
  /// corrected by what this entry began since.
  std::uint32_t busy() const {
    if (Row_.SlotShare_)
      return InProgress_;
    const std::uint32_t Announced =
        Row_.Slots_ - std::min(Row_.FreeSlots_, Row_.Slots_);
    const std::uint32_t Now = Announced + InProgress_;
    const std::uint32_t Others =
        Now > InProgressAtRow_ ? Now - InProgressAtRow_ : 0;
    return std::max(InProgress_, Others);
  }

  bool hasRoom() const { return busy() < slots(); }

  /// Relative latency, of which less is believed the older it is.
  double latencyAt(TimePoint Now) const {
    using Seconds = std::chrono::duration<double>;
    const double Age = Seconds(Now - AnsweredAt_) / Seconds(ForgetAfter);
    return RelativeLatency_ + (1 - RelativeLatency_) * std::min(Age, 1.0);
  }

  /// Lower is better: latency weighed by occupancy.
  double score(TimePoint Now) const {
    const double Slots = std::max(slots(), 1U);
    const double Occupied = static_cast<double>(busy()) / Slots;
    const double Full = hasRoom() ? 0 : FullPenalty * Occupied;
    return latencyAt(Now) * (1 + OccupancyWeight * Occupied * Occupied) + Full;
  }

  static constexpr double OccupancyWeight = 4;
  static constexpr double FullPenalty = 1000;
  static constexpr Duration ForgetAfter = std::chrono::seconds(5);
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_UPSTREAMSTATE_H
