/// What an entry decides by, as hooks: the shipped systems or a baseline.
#ifndef DRAGONFLY_BENCH_SUPPORT_ENTRYPOLICY_H
#define DRAGONFLY_BENCH_SUPPORT_ENTRYPOLICY_H

#include "dragonfly/decide/Admission.h"
#include "dragonfly/decide/Router.h"
#include "support/Deployment.h"

#include <functional>
#include <optional>
#include <span>
#include <vector>

namespace dragonfly::bench {

struct EntryPolicy {
  std::function<void(std::vector<decide::CustomerPolicy>)> SetCustomers_;
  std::function<void(std::uint32_t)> SetCapacity_;
  std::function<decide::RequestHandle(TimePoint,
                                      const decide::AdmissionRequest &)>
      Offer_;
  std::function<void(TimePoint, decide::RequestHandle, Duration)> Finish_;
  std::function<void(decide::RequestHandle)> Cancel_;
  /// Lets a request wait again; where empty it is refused.
  std::function<void(TimePoint, decide::RequestHandle)> PutBack_;
  std::function<std::vector<decide::AdmissionCommand>(TimePoint)> Tick_;

  std::function<void(std::span<const decide::UpstreamRow>)> SetUpstreams_;
  std::function<std::optional<decide::UpstreamIndex>(
      TimePoint, std::span<const decide::UpstreamIndex>)>
      Pick_;
  std::function<void(TimePoint, decide::UpstreamIndex)> Started_;
  std::function<void(TimePoint, decide::UpstreamIndex, decide::AttemptResult,
                     Duration, decide::RoutedKind)>
      Finished_;
  std::function<void()> CountRequest_;
  std::function<bool()> TakeRetry_;
  /// Slots that admission may fill, where the router tells.
  std::function<std::uint32_t()> Slots_;
  /// Upstreams that are ejected now.
  std::function<std::size_t(TimePoint)> Ejected_;
};

/// Makes the policy of the entry numbered \p Entry.
using EntryPolicyMaker = std::function<EntryPolicy(
    const Deployment &, std::size_t Entry, std::uint64_t Seed)>;

/// Returns the zone of the entry or worker numbered \p Index.
std::string zoneName(const Deployment &Site, std::size_t Index);

EntryPolicy shippedEntry(const Deployment &Site, std::size_t Entry,
                         std::uint64_t Seed);
EntryPolicy randomUpstream(const Deployment &Site, std::size_t Entry,
                           std::uint64_t Seed);
EntryPolicy leastConnections(const Deployment &Site, std::size_t Entry,
                             std::uint64_t Seed);
EntryPolicy oneSharedQueue(const Deployment &Site, std::size_t Entry,
                           std::uint64_t Seed);
EntryPolicy noRetryBudget(const Deployment &Site, std::size_t Entry,
                          std::uint64_t Seed);

} // namespace dragonfly::bench

#endif // DRAGONFLY_BENCH_SUPPORT_ENTRYPOLICY_H
