#include "dragonfly/decide/LocalityWait.h"

#include <algorithm>
#include <cmath>
#include <numbers>

namespace dragonfly::decide {
namespace {

/// A wait may take this many times as long as expected: places near the data
/// come free at random.
constexpr int WaitRiskFactor = 2;
/// Longer waits count as this one.
constexpr double MaxSeconds = 3600;

double secondsOf(Duration Value) { return toMilliseconds(Value) / 1000; }

Duration fromSeconds(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(std::clamp(Seconds, 0.0, MaxSeconds)));
}

} // namespace

LocalityDecision decideLocality(const LocalityRequest &Task) {
  LocalityDecision Result{
      .ExpectedWait_ =
          fromSeconds(Task.FreedMilliProcessorsPerSecond_ > 0
                          ? static_cast<double>(Task.WantedMilliProcessors_) /
                                Task.FreedMilliProcessorsPerSecond_
                          : MaxSeconds),
      .RemoteLoss_ =
          fromSeconds((Task.RemoteFactor_ - 1) * secondsOf(Task.RunTime_))};
  const bool RemoteIsOnTime =
      Task.RunTime_ + Result.RemoteLoss_ <= Task.TimeLeft_;
  const bool WaitIsOnTime =
      WaitRiskFactor * Result.ExpectedWait_ + Task.RunTime_ <= Task.TimeLeft_;
  const bool Pays = Result.ExpectedWait_ < Result.RemoteLoss_ &&
                    Task.WaitedFor_ < Result.RemoteLoss_;
  if (Pays && (WaitIsOnTime || !RemoteIsOnTime))
    Result.Choice_ = LocalityChoice::Wait;
  return Result;
}

double ReleaseRates::decayedSum(TimePoint Now, const Row &Rate) const {
  return Rate.Sum_ * std::exp2(-toMilliseconds(Now - Rate.UpdatedAt_) /
                               toMilliseconds(Options_.HalfLife_));
}

void ReleaseRates::record(TimePoint Now, std::string_view Rack,
                          std::int64_t MilliProcessors) {
  auto It = Rows_.find(Rack);
  if (It == Rows_.end())
    It = Rows_.emplace(std::string(Rack), Row{.UpdatedAt_ = Now}).first;
  It->second = {.Sum_ = decayedSum(Now, It->second) +
                        static_cast<double>(MilliProcessors),
                .UpdatedAt_ = Now};
}

/// In a steady state the decayed sum is the rate times the mean lifetime of an
/// exponential decay, which is the half-life divided by ln 2.
double ReleaseRates::perSecond(TimePoint Now, std::string_view Rack) const {
  const auto It = Rows_.find(Rack);
  if (It == Rows_.end())
    return 0;
  return decayedSum(Now, It->second) * std::numbers::ln2 /
         secondsOf(Options_.HalfLife_);
}

} // namespace dragonfly::decide
