/// Prints measures as a table, as JSON and as plots.
#ifndef DRAGONFLY_BENCH_SUPPORT_REPORT_H
#define DRAGONFLY_BENCH_SUPPORT_REPORT_H

#include "support/Measure.h"

#include <string>

namespace dragonfly::bench {

/// Returns rows with median, spread, bound and whether it is met.
std::string tableOf(const std::string &Site, const Measures &Rows);

/// Returns the measures of one deployment as a JSON object.
std::string jsonOf(const std::string &Site, const Measures &Rows);

/// Returns an SVG picture of one measure: a dot per seed, the median, the bound
/// and the baseline.
std::string plotOf(const std::string &Site, const Measure &Row);

} // namespace dragonfly::bench

#endif // DRAGONFLY_BENCH_SUPPORT_REPORT_H
