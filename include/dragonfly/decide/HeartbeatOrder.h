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
  Newest,   ///< Its number is higher than that of the newest one.
  Late,     ///< Its number is not higher: it is late, or the newest one was not
            ///< the worker's.
  Restarted ///< As late ones, but they have gone on at a worker's pace. It is
            ///< the newest one from now on.
};

/// Judges the heartbeats of one life of a worker, in the order of their
/// arrival.
///
/// A number far ahead does not prove who sent it. What follows does: late
/// heartbeats arrive at once, as from the queue of a process that was frozen,
/// or between newer ones, whereas a worker goes on with one each period and
/// with rising numbers. So the highest number is given up once lower ones have
/// gone on like that.
class HeartbeatOrder {
public:
  explicit HeartbeatOrder(HeartbeatOrderOptions Options = {})
      : Options_(Options) {}

  /// Begins a life with its first heartbeat. The number of that one does not
  /// count, since there is nothing to compare it with.
  void begin(bool IsDraining);
  /// Takes the next heartbeat.
  HeartbeatPlace add(TimePoint Now, std::uint64_t Number, bool IsDraining);

  /// Whether the worker drains. It does from the first heartbeat on that says
  /// so, whatever its number, since the worker may end once that one has been
  /// acknowledged. A single one that says otherwise changes nothing: it may be
  /// late, or another writer's.
  bool isDraining() const { return IsDraining_; }
  /// The number of the newest heartbeat, or 0 before the first one.
  std::uint64_t newestNumber() const { return Newest_.value_or(0); }

private:
  /// Heartbeats that arrive one after another at a worker's pace.
  struct Series {
    std::uint32_t Length_ = 0;
    TimePoint At_;
    std::uint64_t Number_ = 0;
  };

  /// Adds a heartbeat to the series, or begins it anew where it has paused.
  /// One that arrives together with the one before it does not lengthen it.
  void extend(Series &Each, TimePoint Now) const;
  HeartbeatPlace place(TimePoint Now, std::uint64_t Number);

  HeartbeatOrderOptions Options_;
  std::optional<std::uint64_t> Newest_;
  /// The newest heartbeat has gone on from this number.
  std::optional<std::uint64_t> Confirmed_;
  /// Those with rising numbers that are not higher than the newest one.
  Series Behind_;
  bool IsDraining_ = false;
  /// Those that do not drain, since the last one that did.
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
