/// Measures with their bounds, over several seeds.
#ifndef DRAGONFLY_BENCH_SUPPORT_MEASURE_H
#define DRAGONFLY_BENCH_SUPPORT_MEASURE_H

#include "support/Statistics.h"

#include <cstdint>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::bench {

enum class BoundSide : std::uint8_t {
  AtMost,
  AtLeast,
  Unbounded ///< Shown only.
};

/// One measure of one deployment: a value per seed, of the shipped systems and
/// of a baseline where there is one.
struct Measure {
  std::string Name_;
  /// The bound in the words of the requirement.
  std::string Bound_;
  BoundSide Side_ = BoundSide::AtMost;
  double Limit_ = 0;
  std::vector<double> Values_;
  std::string Baseline_;
  std::vector<double> BaselineValues_;

  double median() const { return medianOf(Values_); }

  bool met() const {
    switch (Side_) {
    case BoundSide::AtMost:
      return median() <= Limit_;
    case BoundSide::AtLeast:
      return median() >= Limit_;
    case BoundSide::Unbounded:
      break;
    }
    return true;
  }
};

using Measures = std::vector<Measure>;
using Seeds = std::vector<std::uint64_t>;

} // namespace dragonfly::bench

#endif // DRAGONFLY_BENCH_SUPPORT_MEASURE_H
