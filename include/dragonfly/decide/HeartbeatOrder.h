/// Tells a worker's own heartbeats from late ones and from those of another
/// writer that names the same worker.
#ifndef DRAGONFLY_DECIDE_HEARTBEATORDER_H
#define DRAGONFLY_DECIDE_HEARTBEATORDER_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/EnumTable.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <optional>

namespace dragonfly::decide {

struct HeartbeatOrderOptions {
  /// Between two heartbeats of a worker.
  Duration Period_ = std::chrono::milliseconds(1100);
};

enum class HeartbeatPlace : std::uint8_t {
  Newest,   ///< Its sequence number is the highest of the life.
  Late,     ///< Its number is not the highest. Either it arrived late, or the
            ///< highest number is not the worker's.
  Restarted ///< Its number is not the highest, but heartbeats with lower
            ///< numbers have arrived like a worker's own: it is the newest from
            ///< now on.
};

/// Orders the heartbeats of one life of a worker as they arrive.
///
/// Anybody can send a heartbeat in a worker's name, with any number, so that a
/// number alone proves nothing. The arrival pattern does: late heartbeats
/// arrive in a burst, as from the queue of a frozen process, or between newer
/// ones, whereas a worker sends one in each period, with rising numbers. The
/// highest number is therefore dropped once lower ones have arrived like that.
class HeartbeatOrder {
public:
  explicit HeartbeatOrder(HeartbeatOrderOptions Options = {})
      : Options_(Options) {}

  /// Begins a life with its first heartbeat, whose number is ignored: there is
  /// nothing to compare it with.
  void begin(bool IsDraining);
  /// Adds the next heartbeat to arrive.
  HeartbeatPlace add(TimePoint Now, std::uint64_t Number, bool IsDraining);

  /// Whether the worker drains. Any heartbeat that says so begins a drain,
  /// whatever its number: the worker may end once it has been acknowledged. A
  /// single one that says otherwise does not end it, since that one may be late
  /// or another writer's.
  bool isDraining() const { return IsDraining_; }
  /// The number of the newest heartbeat, or 0 before the first one.
  std::uint64_t newestNumber() const { return Newest_.value_or(0); }

private:
  /// Heartbeats that arrive one after another in a worker's period.
  struct Series {
    std::uint32_t Length_ = 0;
    TimePoint LastAt_;
    std::uint64_t LastNumber_ = 0;
  };

  /// Counts a heartbeat in \p Each, which starts anew after a pause. Those that
  /// arrive together count as one.
  void extend(Series &Each, TimePoint Now) const;
  HeartbeatPlace place(TimePoint Now, std::uint64_t Number);

  HeartbeatOrderOptions Options_;
  std::optional<std::uint64_t> Newest_;
  /// The newest number before `Newest_`, which a further heartbeat has
  /// exceeded.
  std::optional<std::uint64_t> Exceeded_;
  /// Late heartbeats with rising numbers.
  Series Late_;
  bool IsDraining_ = false;
  /// Heartbeats that do not announce a drain, since the last one that did.
  Series Ready_;
};

} // namespace dragonfly::decide

namespace dragonfly {

template <> struct EnumTable<decide::HeartbeatPlace> {
  using Place = decide::HeartbeatPlace;
  static constexpr std::array<EnumName<Place>, 3> Rows{{
      {Place::Newest, "newest"},
      {Place::Late, "late"},
      {Place::Restarted, "restarted"},
  }};
};

} // namespace dragonfly

#endif // DRAGONFLY_DECIDE_HEARTBEATORDER_H
