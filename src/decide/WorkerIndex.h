/// Index of workers by free processors, to find candidates for a task quickly.
#ifndef DRAGONFLY_SRC_DECIDE_WORKERINDEX_H
#define DRAGONFLY_SRC_DECIDE_WORKERINDEX_H

#include "dragonfly/base/Random.h"
#include "dragonfly/base/Resources.h"

#include <array>
#include <cstdint>
#include <functional>
#include <vector>

namespace dragonfly::decide {

/// Position of a worker in PlacementState::Workers_.
using WorkerNumber = std::uint32_t;

/// Buckets of workers by free processors, separate for workers with and without
/// free accelerators. Moving a worker takes constant time; the time of a
/// look-up is bounded by its inspection limit, not by the number of workers.
class WorkerIndex {
public:
  /// Adds \p Worker or moves it to the bucket for \p Free.
  void update(WorkerNumber Worker, const Resources &Free);
  void remove(WorkerNumber Worker);

  /// Calls \p Visit with workers that may have room for \p Need until it
  /// returns false or \p Limit workers were visited. The first bucket and the
  /// first worker of each bucket are random.
  void visit(const Resources &Need, RandomEngine &Random, std::size_t Limit,
             const std::function<bool(WorkerNumber)> &Visit) const;

private:
  static constexpr std::size_t BucketCount = 64;
  static constexpr std::size_t NoBucket = ~std::size_t{0};

  struct Location {
    std::size_t Bucket_ = NoBucket;
    std::size_t Position_ = 0;
  };

  static std::size_t bucketFor(std::int64_t MilliProcessors);

  /// All buckets without free accelerators, then all with.
  std::array<std::vector<WorkerNumber>, 2 * BucketCount> Buckets_;
  std::vector<Location> Locations_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_WORKERINDEX_H
