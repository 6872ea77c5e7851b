/// Decides whether a task waits for a place near its data.
#ifndef DRAGONFLY_DECIDE_LOCALITYWAIT_H
#define DRAGONFLY_DECIDE_LOCALITYWAIT_H

#include "dragonfly/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace dragonfly::decide {

/// A task for which no place near its data is free.
struct LocalityRequest {
  /// Expected run time near the data.
  Duration RunTime_{};
  /// How many times as long the task takes elsewhere.
  double RemoteFactor_ = 1;
  /// Processors, in thousandths, that the tasks which go first and this one
  /// want near the data.
  std::int64_t WantedMilliProcessors_ = 0;
  /// Processors, in thousandths, that become free near the data each second.
  double FreedMilliProcessorsPerSecond_ = 0;
  /// Time that the task has waited for such a place.
  Duration WaitedFor_{};
  /// Time until the job's latency objective, less the critical path of the
  /// steps that follow. Negative where the objective cannot be met any more.
  Duration TimeLeft_{};
};

enum class LocalityChoice : std::uint8_t { Wait, RunRemotely };

struct LocalityDecision {
  LocalityChoice Choice_ = LocalityChoice::RunRemotely;
  Duration ExpectedWait_{};
  /// Additional run time elsewhere.
  Duration RemoteLoss_{};
};

/// Weighs the expected wait against the loss elsewhere. A wait ends at the
/// latest once it has taken as long as the loss, so that a task with a wrong
/// estimate loses twice at most. A task does not wait where the place elsewhere
/// is in time for the job's objective and a wait of twice the expected length
/// is not.
LocalityDecision decideLocality(const LocalityRequest &Task);

struct ReleaseRateOptions {
  /// Half-life of the moving average.
  Duration HalfLife_ = std::chrono::milliseconds(1000);
};

/// Learns at which rate runs that end free processors, by rack.
class ReleaseRates {
public:
  explicit ReleaseRates(ReleaseRateOptions Options = {}) : Options_(Options) {}

  void clear() { Rows_.clear(); }
  void record(TimePoint Now, std::string_view Rack,
              std::int64_t MilliProcessors);
  /// Returns thousandths of a processor per second.
  double perSecond(TimePoint Now, std::string_view Rack) const;

private:
  struct Row {
    double Sum_ = 0;
    TimePoint UpdatedAt_;
  };

  double decayedSum(TimePoint Now, const Row &Rate) const;

  ReleaseRateOptions Options_;
  std::map<std::string, Row, std::less<>> Rows_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_LOCALITYWAIT_H
