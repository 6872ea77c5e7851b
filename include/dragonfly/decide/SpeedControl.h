/// Chooses how fast runs on spare processors may work beside runs that serve.
#ifndef DRAGONFLY_DECIDE_SPEEDCONTROL_H
#define DRAGONFLY_DECIDE_SPEEDCONTROL_H

#include "dragonfly/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <utility>

namespace dragonfly::decide {

/// All ratios are tail latency over its target.
struct SpeedControlOptions {
  /// Between two changes; the worker's figures cover half a second.
  Duration Period_ = std::chrono::milliseconds(250);
  /// Above these the speed is halved, or lowered by a fifth; below the third it
  /// is raised.
  double HalveAbove_ = 1.0;
  double LowerAbove_ = 0.92;
  double RaiseBelow_ = 0.85;
  /// Percentage points by which it is raised: back to full speed within the
  /// few seconds in which interference is known to change.
  std::uint32_t RaiseStep_ = 25;
  /// Below this the runs are paused.
  std::uint32_t LeastPercent_ = 8;
  /// Images that cause at least this share of the largest image's part of a
  /// rise are slowed down with it.
  double BlamedPart_ = 0.3;
  /// Where known disturbances explain less than this share of a rise, all
  /// images are slowed down.
  double ExplainedPart_ = 0.5;
  /// A ratio without disturbance; what is above it has a cause.
  double QuietRatio_ = 0.45;
  /// A target that is missed for so long despite that slows down all images;
  /// well within the four seconds that the platform allows.
  Duration Patience_ = std::chrono::milliseconds(1200);
};

/// The speeds of one worker, per image. Lowers quickly and raises slowly, since
/// a missed target costs more than the spare work.
class SpeedControl {
public:
  explicit SpeedControl(SpeedControlOptions Options = {}) : Options_(Options) {}

  /// Notes that \p Image raises the ratio of \p Serving by \p RisePerShare for
  /// the whole of the worker's processors.
  void disturbs(const std::string &Serving, const std::string &Image,
                double RisePerShare);

  /// The next update counts a run of \p Image that uses \p Share of the
  /// worker's processors.
  void runs(const std::string &Image, double Share);
  /// The next update counts a run of \p Image that serves at \p Ratio.
  void serves(const std::string &Image, double Ratio);
  /// Chooses the speeds from what was counted since the last update.
  void update(TimePoint Now);

  /// Share of full speed, in percent.
  std::uint32_t percentOf(const std::string &Image) const;
  /// The worst ratio of the last update.
  double worstRatio() const { return WorstRatio_; }

private:
  struct Speed {
    std::uint32_t Percent_ = 100;
    TimePoint ChangeAt_;
  };

  void adjust(TimePoint Now, Speed &Row, double Ratio) const;
  /// The ratio that the speed of \p Image is to answer.
  double ratioFor(TimePoint Now, const std::string &Image);

  SpeedControlOptions Options_;
  std::map<std::pair<std::string, std::string>, double> Disturbances_;
  std::map<std::string, Speed> Speeds_;
  std::map<std::string, double> Shares_;
  std::map<std::string, double> Ratios_;
  /// Since when an image has missed its target.
  std::map<std::string, TimePoint> MissedSince_;
  double WorstRatio_ = 0;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_SPEEDCONTROL_H
