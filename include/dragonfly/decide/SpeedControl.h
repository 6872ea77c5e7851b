/// Chooses how fast runs on spare processors may work beside runs that serve.
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

/// The headroom of a run that serves is its target over its tail latency: 1 at
/// the target, more below it.
struct SpeedControlOptions {
  /// Between two changes; the worker's figures cover half a second.
  Duration ChangeInterval_ = std::chrono::milliseconds(250);
  /// Below it, who disturbs is slowed down until this much is left: a tail
  /// latency of 0.92 of its target, and of 0.8.
  double ThrottleBelow_ = 1.09;
  double ThrottleTarget_ = 1.25;
  /// Speeds are raised while at least this much is left afterwards: 0.85 of the
  /// target.
  double MinHeadroomAfterRaise_ = 1.18;
  /// Percentage points by which a speed is raised: back to full speed within
  /// the few seconds in which interference is known to change.
  std::uint32_t RaiseStepPercent_ = 25;
  /// Below this the runs are paused.
  std::uint32_t MinPercent_ = 8;
  /// A change keeps at most this much of the speed of a run that is slowed
  /// down, and of one beside a missed target: what is known may be too low.
  double MaxKeptShare_ = 0.8;
  double MaxKeptShareWhenMissed_ = 0.5;
  /// A target that is missed for so long despite that slows down all images;
  /// well within the four seconds that the platform allows.
  Duration GracePeriod_ = std::chrono::milliseconds(1200);
};

/// The speeds of one worker, per image. Lowers at once and raises in steps,
/// since a missed target costs more than the spare work.
class SpeedControl {
public:
  explicit SpeedControl(SpeedControlOptions Options = {}) : Options_(Options) {}

  /// Notes that \p Image takes \p LossPerShare from the headroom of \p Serving
  /// for the whole of the worker's processors.
  void setLoss(const std::string &Serving, const std::string &Image,
               double LossPerShare);

  /// The next update counts a run of \p Image that uses \p Share of the
  /// worker's processors, and would use \p FullShare at full speed.
  void addRun(const std::string &Image, double Share, double FullShare);
  /// The next update counts a run of \p Image that serves with a tail latency
  /// of \p Ratio of its target.
  void addServingRun(const std::string &Image, double Ratio);
  /// Chooses the speeds from what was counted since the last update.
  void update(TimePoint Now);

  /// Share of full speed, in percent.
  std::uint32_t speedPercent(const std::string &Image) const;
  /// The worst tail latency of the last update, over its target.
  double worstLatencyRatio() const { return WorstRatio_; }

private:
  struct Speed {
    std::uint32_t Percent_ = 100;
    TimePoint ChangeAt_;
  };
  struct Load {
    double Share_ = 0;
    double FullShare_ = 0;
  };

  double lossOf(const std::string &Serving, const std::string &Image) const;
  void noteMissed(TimePoint Now);
  /// What each image keeps of its speed, from 0 to 1.
  std::map<std::string, double> keptSpeeds(TimePoint Now) const;
  void lowerFor(TimePoint Now, const std::string &Serving,
                std::map<std::string, double> &Kept) const;
  void lower(TimePoint Now, Speed &Row, double Kept) const;
  void raise(TimePoint Now, const std::string &Image);
  double worstLoss(const std::string &Image) const;

  SpeedControlOptions Options_;
  std::map<std::pair<std::string, std::string>, double> Losses_;
  std::map<std::string, Speed> Speeds_;
  std::map<std::string, Load> Loads_;
  /// The least headroom of each image that serves.
  std::map<std::string, double> Headrooms_;
  /// Since when an image has missed its target.
  std::map<std::string, TimePoint> MissedSince_;
  double WorstRatio_ = 0;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_SPEEDCONTROL_H
