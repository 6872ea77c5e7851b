/// Corrects declared sizes and run times by what was measured before.
#ifndef DRAGONFLY_SRC_DECIDE_LEARNTNEEDS_H
#define DRAGONFLY_SRC_DECIDE_LEARNTNEEDS_H

#include "decide/LogHistogram.h"
#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Resources.h"

#include <cstdint>
#include <vector>

namespace dragonfly::decide {

/// Numbers a pair of customer and kind.
using GroupIndex = std::uint32_t;

/// Quantiles of the ratio between measured and declared values of each group.
class LearntNeeds {
public:
  /// \p ProcessorQuantile is the quantile of usage that is reserved.
  explicit LearntNeeds(double ProcessorQuantile)
      : ProcessorQuantile_(ProcessorQuantile) {}

  /// Takes the highest usage of one stay.
  void recordUsage(GroupIndex Group, const Resources &Declared,
                   const Resources &Usage);
  void recordRunTime(GroupIndex Group, Duration Declared, Duration Measured);

  /// Returns what to reserve for a task of the group. Accelerators stay as
  /// declared; the rest never falls under a share of what was declared.
  Resources corrected(GroupIndex Group, const Resources &Declared) const;
  /// Returns the median run time to expect.
  Duration corrected(GroupIndex Group, Duration Declared) const;

private:
  struct Ratios {
    LogHistogram Processors_;
    LogHistogram Memory_;
    LogHistogram RunTime_;
  };

  Ratios &ratios(GroupIndex Group);

  double ProcessorQuantile_;
  std::vector<Ratios> Groups_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_LEARNTNEEDS_H
