/// Learns how much runs on spare processors disturb runs that serve on the same
/// worker, for each pair of images.
#ifndef DRAGONFLY_DECIDE_TAILINTERFERENCE_H
#define DRAGONFLY_DECIDE_TAILINTERFERENCE_H

#include "dragonfly/base/Clock.h"

#include <chrono>
#include <cstddef>
#include <memory>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonfly::decide {

/// What runs of one image on spare processors use on a worker.
struct ImageLoad {
  std::string_view Image_;
  /// Share of the worker's processors.
  double ProcessorShare_ = 0;
};

/// The tail latency that the runs of one job have on one worker.
struct TailLatencyReading {
  std::string_view Worker_;
  std::string_view Job_;
  std::string_view Image_;
  /// Tail latency over its target.
  double LatencyRatio_ = 0;
};

/// What was learnt of a pair of images.
struct HeadroomLoss {
  std::string ServingImage_;
  std::string BatchImage_;
  /// Headroom lost per whole worker's processors.
  double LossPerWorker_ = 0;
  /// How many readings that rests on.
  double ReadingCount_ = 0;
};

struct TailInterferenceOptions {
  /// How many standard deviations a pair's effect is raised by while little is
  /// known of it.
  double CautionDeviations_ = 1.5;
  /// Headroom lost per whole worker: on the users' days two pairs of images in
  /// three cost nothing and the others 12 to 17. A pair that was never seen is
  /// expected to cost nothing, since a job's headroom is told from readings
  /// beside such pairs too.
  double PriorLoss_ = 0;
  double PriorDeviation_ = 6;
  /// Headroom of a job of which nothing is known: a tail latency of 0.4 of its
  /// target.
  double DefaultHeadroom_ = 2.5;
  /// A pair is told again once its effect has moved by this much, or its
  /// readings have doubled.
  double ReportThreshold_ = 1.0;
  /// Weight of the newest undisturbed reading in an image's quiet headroom.
  double BaselineWeight_ = 0.05;
  /// Loads below this share disturb nobody.
  double MinShare_ = 0.005;
  /// Standard deviation of a reading, as a share of it.
  double ReadingNoise_ = 0.1;
  /// Readings count for a job's headroom for so long: its load moves by a tenth
  /// of its swing in that time.
  Duration MaxReadingAge_ = std::chrono::milliseconds(1200);
};

/// The headroom of a run that serves is its target over its tail latency: 1 at
/// the target, more below it. Tail latency grows with 1 / (1 - utilization), so
/// that what other runs add to the utilization takes the same from the headroom
/// at every load.
///
/// The load of a job is the same on all of its workers. Its headroom there,
/// with what neighbours take there added, therefore tells what it would be
/// undisturbed, and what is missing elsewhere is the doing of neighbours.
class TailInterference {
public:
  explicit TailInterference(TailInterferenceOptions Options = {});
  ~TailInterference();

  /// Takes a reading beside \p Loads.
  void observe(TimePoint Now, const TailLatencyReading &Reading,
               std::span<const ImageLoad> Loads);

  /// How much headroom \p Load takes from \p Image, cautiously.
  double conservativeLoss(std::string_view Image, const ImageLoad &Load) const;
  /// How much headroom \p Loads are expected to take from \p Image.
  double expectedLoss(std::string_view Image,
                      std::span<const ImageLoad> Loads) const;
  /// The headroom that \p Job, of \p Image, has where nobody disturbs it.
  double baselineHeadroom(TimePoint Now, std::string_view Job,
                          std::string_view Image) const;
  /// Pairs whose effect has changed since the last call by as much as matters.
  std::vector<HeadroomLoss> consumeChangedLosses();
  /// Takes what another leader has learnt.
  void restore(const HeadroomLoss &Row);

  /// Forgets jobs that were not read lately.
  void removeExpiredReadings(TimePoint Now);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_TAILINTERFERENCE_H
