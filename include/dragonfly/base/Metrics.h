/// Counters, gauges and latency histograms of a process, as text.
#ifndef DRAGONFLY_BASE_METRICS_H
#define DRAGONFLY_BASE_METRICS_H

#include "dragonfly/base/Clock.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace dragonfly {

/// The metrics of one process. Names are lower case with underscores; a label
/// tells rows of one name apart, such as a queue or an outcome.
class Metrics {
public:
  Metrics();
  ~Metrics();

  void count(std::string_view Name, std::string_view Label = {},
             std::uint64_t By = 1);
  void set(std::string_view Name, std::string_view Label, double Value);
  /// Records a duration in the histogram \p Name of \p Label.
  void record(std::string_view Name, std::string_view Label, Duration Value);

  /// Returns one line for each row: `name{label="..."} value`; a histogram has
  /// a count and quantiles in milliseconds.
  std::string text() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace dragonfly

#endif // DRAGONFLY_BASE_METRICS_H
