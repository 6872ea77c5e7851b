/// Learns the interference between images: how much tail latency headroom
/// latency-critical tasks lose to batch tasks on the same worker.
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

/// The processor load of one image's batch tasks on a worker.
struct ImageLoad {
  std::string_view Image_;
  /// Fraction of the worker's processors that is used.
  double ProcessorShare_ = 0;
};

/// Tail latency of one latency-critical job on one worker.
struct TailLatencyReading {
  std::string_view Worker_;
  std::string_view Job_;
  std::string_view Image_;
  /// Tail latency divided by its target.
  double LatencyRatio_ = 0;
};

/// The learned headroom loss of a latency-critical image beside a batch image.
struct HeadroomLoss {
  std::string ServingImage_;
  std::string BatchImage_;
  /// Headroom lost if the batch image uses all of the worker's processors.
  double LossPerWorker_ = 0;
  /// Weighted number of readings behind the estimate.
  double ReadingCount_ = 0;
};

struct TailInterferenceOptions {
  /// Number of prior standard deviations that `conservativeLoss` adds to the
  /// estimate of a pair without readings; shrinks as readings arrive.
  double CautionDeviations_ = 1.5;
  /// Expected headroom loss per whole worker of a pair without readings. In
  /// production loads two pairs of images in three cost nothing and the others
  /// 12 to 17. The prior is 0 because a job's baseline headroom is also
  /// estimated from readings beside such pairs.
  double PriorLoss_ = 0;
  double PriorDeviation_ = 6;
  /// Baseline headroom of an image without readings: a tail latency of 0.4 of
  /// its target.
  double DefaultHeadroom_ = 2.5;
  /// A pair is reported again once its loss per worker has changed by this much
  /// or its number of readings has doubled.
  double ReportThreshold_ = 1.0;
  /// Weight of the newest reading without batch load in the moving average of
  /// an image's baseline headroom.
  double BaselineWeight_ = 0.05;
  /// Loads below this fraction of the worker's processors are ignored.
  double MinShare_ = 0.005;
  /// Standard deviation of a headroom reading, relative to its value.
  double ReadingNoise_ = 0.1;
  /// Older readings are not used for a job's baseline headroom. The load of a
  /// job changes by a tenth of its full variation in this time.
  Duration MaxReadingAge_ = std::chrono::milliseconds(1200);
};

/// Estimates the headroom loss of each pair of images from tail latency
/// readings.
///
/// The headroom of a latency-critical task is its latency target divided by its
/// tail latency: 1 at the target, more below it. Tail latency grows with
/// 1 / (1 - utilization), so a given batch load takes the same headroom at
/// every utilization.
///
/// The load of a job is the same on all of its workers. The baseline headroom
/// of the job is therefore its headroom on any worker plus the loss that is
/// expected there; a lower headroom on one worker is attributed to the batch
/// tasks on that worker.
class TailInterference {
public:
  explicit TailInterference(TailInterferenceOptions Options = {});
  ~TailInterference();

  /// Updates the estimates with a reading taken while \p Loads ran on the
  /// worker.
  void observe(TimePoint Now, const TailLatencyReading &Reading,
               std::span<const ImageLoad> Loads);

  /// Returns the headroom that \p Image loses to \p Load, raised by a margin
  /// that shrinks as readings of the pair arrive.
  double conservativeLoss(std::string_view Image, const ImageLoad &Load) const;
  /// Returns the headroom that \p Image is expected to lose to \p Loads.
  double expectedLoss(std::string_view Image,
                      std::span<const ImageLoad> Loads) const;
  /// Returns the headroom that \p Job, which runs \p Image, has on a worker
  /// without batch tasks.
  double baselineHeadroom(TimePoint Now, std::string_view Job,
                          std::string_view Image) const;
  /// Returns the pairs that have changed by `ReportThreshold_`, or whose number
  /// of readings has doubled, since they were last returned or restored.
  std::vector<HeadroomLoss> consumeChangedLosses();
  /// Sets the estimate of a pair to one learned by an earlier leader.
  void restore(const HeadroomLoss &Row);

  /// Removes readings older than `MaxReadingAge_` and jobs without readings.
  void removeExpiredReadings(TimePoint Now);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_TAILINTERFERENCE_H
