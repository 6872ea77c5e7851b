/// The router's state for one upstream.
#ifndef DRAGONFLY_SRC_DECIDE_UPSTREAMSTATE_H
#define DRAGONFLY_SRC_DECIDE_UPSTREAMSTATE_H

#include "dragonfly/decide/Router.h"

#include <algorithm>

namespace dragonfly::decide {

/// One entry of the router's table.
struct UpstreamState {
  UpstreamRow Row_;
  /// False once the upstream is missing from the newest table.
  bool Listed_ = true;
  /// True once an attempt showed that this incarnation leaves or has left.
  bool Departed_ = false;
  /// Attempts of this entry in progress, now and when the upstream was last
  /// announced.
  std::uint32_t InProgress_ = 0;
  std::uint32_t InProgressWhenAnnounced_ = 0;
  /// Ratio of its latencies to the means of the requests' kinds; a moving
  /// average.
  double RelativeLatency_ = 1;
  TimePoint LastAnswerAt_{};
  std::uint32_t SampleCount_ = 0;
  /// Moving average of the failure rate, 0 to 1.
  double FailureRate_ = 0;
  std::uint32_t ConsecutiveFailures_ = 0;
  /// Ejections since the upstream last proved healthy; sets the backoff.
  std::uint32_t ConsecutiveEjections_ = 0;
  bool Ejected_ = false;
  TimePoint ProbeAt_{};
  bool Probing_ = false;

  /// Slots that this entry may use.
  std::uint32_t usableSlots() const {
    return Row_.SlotShare_.value_or(Row_.Slots_);
  }

  /// Returns the slots in use. Where the slots are divided among entries, these
  /// are this entry's attempts; otherwise the announced number, corrected by
  /// the attempts that this entry has started and ended since.
  std::uint32_t busySlots() const {
    if (Row_.SlotShare_)
      return InProgress_;
    const std::uint32_t Announced =
        Row_.Slots_ - std::min(Row_.FreeSlots_, Row_.Slots_);
    const std::uint32_t Sum = Announced + InProgress_;
    const std::uint32_t Corrected =
        Sum > InProgressWhenAnnounced_ ? Sum - InProgressWhenAnnounced_ : 0;
    return std::max(InProgress_, Corrected);
  }

  bool hasRoom() const { return busySlots() < usableSlots(); }

  /// Returns the relative latency, which decays to 1 as the last answer ages.
  double decayedLatency(TimePoint Now) const {
    using Seconds = std::chrono::duration<double>;
    const double AgeRatio =
        Seconds(Now - LastAnswerAt_) / Seconds(LatencyDecayTime);
    return RelativeLatency_ + (1 - RelativeLatency_) * std::min(AgeRatio, 1.0);
  }

  /// Returns the relative latency weighted by occupancy; lower is better. An
  /// upstream without a free slot gets a penalty.
  double score(TimePoint Now) const {
    const double Slots = std::max(usableSlots(), 1U);
    const double Occupancy = static_cast<double>(busySlots()) / Slots;
    const double Penalty = hasRoom() ? 0 : OverloadPenalty * Occupancy;
    return decayedLatency(Now) * (1 + OccupancyWeight * Occupancy * Occupancy) +
           Penalty;
  }

  static constexpr double OccupancyWeight = 4;
  static constexpr double OverloadPenalty = 1000;
  static constexpr Duration LatencyDecayTime = std::chrono::seconds(5);
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_UPSTREAMSTATE_H
