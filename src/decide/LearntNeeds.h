/// Corrects declared resource needs and run times by past measurements.
#ifndef DRAGONFLY_SRC_DECIDE_LEARNTNEEDS_H
#define DRAGONFLY_SRC_DECIDE_LEARNTNEEDS_H

#include "decide/LogHistogram.h"
#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Resources.h"

#include <cstdint>
#include <vector>

namespace dragonfly::decide {

/// Identifies a pair of customer and kind.
using GroupIndex = std::uint32_t;

/// Histograms of the ratio of measured to declared values, per group.
class LearntNeeds {
public:
  /// \p ProcessorQuantile is the quantile of processor usage to reserve.
  explicit LearntNeeds(double ProcessorQuantile)
      : ProcessorQuantile_(ProcessorQuantile) {}

  /// Records the peak usage of one placement.
  void recordUsage(GroupIndex Group, const Resources &Declared,
                   const Resources &Usage);
  void recordRunTime(GroupIndex Group, Duration Declared, Duration Measured);

  /// Returns the resources to reserve for a task of the group. Accelerators
  /// stay as declared; the rest is at least a tenth of the declared amount.
  Resources corrected(GroupIndex Group, const Resources &Declared) const;
  /// Returns the declared run time, scaled by the median ratio of the group.
  Duration corrected(GroupIndex Group, Duration Declared) const;

private:
  struct Ratios {
    LogHistogram Processors_;
    LogHistogram Memory_;
    LogHistogram RunTime_;
  };

  Ratios &ratiosFor(GroupIndex Group);

  double ProcessorQuantile_;
  std::vector<Ratios> Groups_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_LEARNTNEEDS_H
