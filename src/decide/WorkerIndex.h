/// Workers in order of their free processors, to find candidates quickly.
#ifndef DRAGONFLY_SRC_DECIDE_WORKERINDEX_H
#define DRAGONFLY_SRC_DECIDE_WORKERINDEX_H

#include "dragonfly/base/Random.h"
#include "dragonfly/base/Resources.h"

#include <array>
#include <cstdint>
#include <functional>
#include <vector>

namespace dragonfly::decide {

using WorkerIndexValue = std::uint32_t;

/// Buckets of workers by free processors, apart for those with and without
/// free accelerators. Moving a worker takes constant time; a look-up takes
/// time bounded by what it may inspect, not by the number of workers.
class WorkerIndex {
public:
  /// Puts \p Worker where \p Free belongs.
  void set(WorkerIndexValue Worker, const Resources &Free);
  void remove(WorkerIndexValue Worker);

  /// Calls \p Visit with workers that may hold \p Need until it returns false
  /// or \p Limit workers were inspected. Starts at random in each bucket.
  void visit(const Resources &Need, RandomEngine &Random, std::size_t Limit,
             const std::function<bool(WorkerIndexValue)> &Visit) const;

private:
  static constexpr std::size_t Buckets = 64;
  static constexpr std::size_t Nowhere = ~std::size_t{0};

  struct Place {
    std::size_t Bucket_ = Nowhere;
    std::size_t Position_ = 0;
  };

  static std::size_t bucketOf(std::int64_t MilliProcessors);

  /// Plain workers first, then those with a free accelerator.
  std::array<std::vector<WorkerIndexValue>, 2 * Buckets> Rows_;
  std::vector<Place> Places_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_WORKERINDEX_H
