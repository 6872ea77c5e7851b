/// Limits the starts on workers whose runs fail one after another.
#ifndef DRAGONFLY_DECIDE_STARTLIMITS_H
#define DRAGONFLY_DECIDE_STARTLIMITS_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/decide/JobPlacement.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonfly::decide {

struct StartLimitsOptions {
  /// Failures in a row from which on a worker is limited. One failure may be
  /// the task's own fault.
  std::uint32_t FailuresInRow_ = 2;
  /// Pause after a failure on a limited worker; doubles with each further
  /// failure up to the maximum.
  Duration FirstPause_ = std::chrono::milliseconds(250);
  Duration MaxPause_ = std::chrono::milliseconds(2000);
  /// A worker that may have this many open starts is no longer limited.
  std::uint32_t FullLimit_ = 8;
  /// After this time without a failure a worker counts as any other.
  Duration MemoryTime_ = std::chrono::seconds(10);
  /// Of so many workers of a service one at most is limited, so that failures
  /// that have another cause than the workers do not close the service.
  std::size_t WorkersPerLimited_ = 3;
};

/// Keeps the number of starts that each failing worker may have open. A worker
/// that fails every run ends runs sooner than others and would get the most
/// work. A limited worker starts with one run after a pause, and may have twice
/// as many open with each run that finishes.
class StartLimits {
public:
  struct Limit {
    /// Starts since `Since_` that may be open at the same time.
    std::uint32_t OpenStarts_ = 0;
    TimePoint Since_;
  };

  explicit StartLimits(StartLimitsOptions Options = {}) : Options_(Options) {}

  void clear() {
    Rows_.clear();
    FailedAt_.clear();
  }
  /// Records a run that finished. One that was started at \p StartedAt, before
  /// the last failure, tells nothing of the worker since then.
  void recordFinished(TimePoint StartedAt, const std::string &Worker);
  /// Records a run that failed or stalled, \p FailuresInRow of which have ended
  /// so without a finished one in between.
  void recordFailure(TimePoint Now, const std::string &Worker,
                     std::uint32_t FailuresInRow);
  template <typename Predicate> void removeWorkersIf(Predicate Removed) {
    std::erase_if(
        Rows_, [&Removed](const auto &Entry) { return Removed(Entry.first); });
  }

  /// Returns whether a run has failed within `MemoryTime_` and none that was
  /// started since has finished.
  bool isFailing(TimePoint Now, const std::string &Worker) const;
  /// Returns the limit of the worker, or nothing if it has none.
  std::optional<Limit> limitOf(TimePoint Now, const std::string &Worker) const;

private:
  struct Row {
    std::uint32_t OpenStarts_ = 1;
    TimePoint Since_;
    Duration Pause_{};
    TimePoint PausedUntil_;
  };

  StartLimitsOptions Options_;
  /// Limited workers.
  std::map<std::string, Row> Rows_;
  /// Times of the last failures.
  std::map<std::string, TimePoint> FailedAt_;
};

/// Removes the limits of the workers of a service with the fewest failures in a
/// row where more than one in \p WorkersPerLimited has one.
void liftExcessLimits(
    std::vector<PlacementWorker> &Workers,
    std::size_t WorkersPerLimited = StartLimitsOptions().WorkersPerLimited_);

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_STARTLIMITS_H
