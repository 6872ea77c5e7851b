/// Sizes, kinds and weights of the two deployments, for the benches.
#ifndef DRAGONFLY_BENCH_SUPPORT_DEPLOYMENT_H
#define DRAGONFLY_BENCH_SUPPORT_DEPLOYMENT_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Resources.h"
#include "dragonfly/decide/Placement.h"

#include <cstdint>
#include <string>
#include <vector>

namespace dragonfly::bench {

/// Positions of the kinds in every deployment's table.
inline constexpr std::size_t UrgentKind = 0;
inline constexpr std::size_t DeadlineKind = 1;
inline constexpr std::size_t WatchKind = 2;

/// One kind of request as the fake workers serve it.
struct RequestKind {
  std::string Name_;
  std::uint32_t FloorPermille_ = 0;
  Duration MeanService_{};
  /// Spread of the service time, as the deviation of its logarithm.
  double Spread_ = 0.3;
  Duration Deadline_{};
  bool Idempotent_ = true;
  /// Slots that are occupied on average without a flood, as a share of all.
  double Load_ = 0;
};

struct Deployment {
  std::string Name_;
  std::size_t Workers_ = 11;
  std::size_t Entries_ = 3;
  std::size_t Zones_ = 4;
  std::size_t WorkersPerRack_ = 3;
  std::uint32_t Slots_ = 8;
  Resources Capacity_;
  Duration ZoneDelay_{};
  Duration ClientDelay_{};
  std::vector<RequestKind> Kinds_;
  /// Requests of one kind that may wait at one entry.
  std::size_t QueueLimit_ = 2000;
  decide::PlacementOptions Placement_;
};

Deployment makeNotbandet();
Deployment makeSiamSpoke();

} // namespace dragonfly::bench

#endif // DRAGONFLY_BENCH_SUPPORT_DEPLOYMENT_H
