/// Throttles batch runs that interfere with latency-critical runs on the same
/// worker.
#ifndef DRAGONFLY_DECIDE_SPEEDCONTROL_H
#define DRAGONFLY_DECIDE_SPEEDCONTROL_H

#include "dragonfly/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::decide {

/// The headroom of a latency-critical run is its latency target divided by its
/// tail latency: 1 at the target, more below it.
struct SpeedControlOptions {
  /// Minimum interval between two speed changes of an image. Readings of the
  /// worker cover half a second.
  Duration ChangeInterval_ = std::chrono::milliseconds(250);
  /// Below this headroom, images that interfere are throttled until
  /// `ThrottleTarget_` is expected: tail latencies of 0.92 and 0.8 of the
  /// target.
  double ThrottleBelow_ = 1.09;
  double ThrottleTarget_ = 1.25;
  /// Speeds are raised only if at least this headroom is expected afterwards: a
  /// tail latency of 0.85 of the target.
  double MinHeadroomAfterRaise_ = 1.18;
  /// Percentage points by which a speed is raised at once. Full speed is
  /// reached within a few seconds, in which the interference can change.
  std::uint32_t RaiseStepPercent_ = 25;
  /// Runs whose speed would fall below this percentage are paused.
  std::uint32_t MinPercent_ = 8;
  /// Throttling multiplies a speed by at most this factor, and by the second
  /// one beside a missed target, because the known headroom losses may be too
  /// low.
  double MaxSpeedFactor_ = 0.8;
  double MaxSpeedFactorWhenMissed_ = 0.5;
  /// A target that is missed for this long despite throttling causes all images
  /// to be throttled. The time is well within the four seconds for which the
  /// platform tolerates a miss.
  Duration GracePeriod_ = std::chrono::milliseconds(1200);
};

/// Chooses the speed of each batch image on one worker. Lowers speeds at once
/// and raises them in steps, because a missed latency target costs more than
/// the batch work.
class SpeedControl {
public:
  explicit SpeedControl(SpeedControlOptions Options = {}) : Options_(Options) {}

  /// Sets the headroom that \p Serving loses if \p Image uses all of the
  /// worker's processors.
  void setLoss(const std::string &Serving, const std::string &Image,
               double LossPerShare);

  /// Adds a batch run of \p Image to the next update. The run uses \p Share of
  /// the worker's processors, and \p FullShare at full speed.
  void addRun(const std::string &Image, double Share, double FullShare);
  /// Adds a latency-critical run of \p Image to the next update. Its tail
  /// latency is \p LatencyRatio times its target.
  void addServingRun(const std::string &Image, double LatencyRatio);
  /// Chooses the speeds from the runs added since the last update.
  void update(TimePoint Now);

  /// Returns the speed of \p Image in percent of full speed; 0 is paused.
  std::uint32_t speedPercent(const std::string &Image) const;
  /// Returns the highest ratio of tail latency to target in the last update.
  double worstLatencyRatio() const { return WorstLatencyRatio_; }

private:
  struct Speed {
    std::uint32_t Percent_ = 100;
    /// Earliest time of the next change.
    TimePoint NextChangeAt_;
  };
  struct Load {
    double Share_ = 0;
    double FullShare_ = 0;
  };

  double lossOf(const std::string &Serving, const std::string &Image) const;
  void updateMissedTargets(TimePoint Now);
  /// Returns the factor, from 0 to 1, by which each throttled image is slowed.
  std::map<std::string, double> speedFactors(TimePoint Now) const;
  void throttleFor(TimePoint Now, const std::string &Serving,
                   std::map<std::string, double> &Factors) const;
  void lower(TimePoint Now, Speed &Row, double Factor) const;
  void raise(TimePoint Now, const std::string &Image);
  double worstLoss(const std::string &Image) const;

  SpeedControlOptions Options_;
  /// Headroom loss per whole worker, by latency-critical and batch image.
  std::map<std::pair<std::string, std::string>, double> Losses_;
  std::map<std::string, Speed> Speeds_;
  std::map<std::string, Load> Loads_;
  /// The lowest headroom of each latency-critical image.
  std::map<std::string, double> Headrooms_;
  /// Since when each latency-critical image has missed its target.
  std::map<std::string, TimePoint> MissedSince_;
  double WorstLatencyRatio_ = 0;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_SPEEDCONTROL_H
