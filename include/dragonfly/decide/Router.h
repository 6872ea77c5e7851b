/// Chooses the upstream for a request, ejects outliers and bounds retries.
#ifndef DRAGONFLY_DECIDE_ROUTER_H
#define DRAGONFLY_DECIDE_ROUTER_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Ids.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace dragonfly::decide {

/// One upstream as it was last announced.
struct UpstreamRow {
  std::string Name_;
  Incarnation Incarnation_;
  std::string AvailabilityZone_;
  std::uint32_t Slots_ = 0;
  std::uint32_t FreeSlots_ = 0;
  bool Draining_ = false;
  /// Slots that belong to this entry, where they are divided among entries.
  std::optional<std::uint32_t> SlotShare_ = std::nullopt;
};

/// How an attempt on an upstream ended, as far as routing cares.
enum class AttemptResult : std::uint8_t {
  Answered,
  Refused, ///< The agent had no room; not a fault of the upstream.
  Gone,    ///< That incarnation leaves or has left; no request goes there.
  Failed   ///< It failed, broke off or did not answer in time.
};

struct RouterOptions {
  std::string AvailabilityZone_;
  std::uint64_t Seed_ = 1;
  /// Retries and hedges as a share of requests, in thousandths.
  std::uint32_t RetryPermille_ = 100;
  /// Most of the upstreams that may be ejected at once, in thousandths.
  std::uint32_t MaxEjectedPermille_ = 500;
  /// First ejection; doubles with each that follows.
  Duration BaseEjectionTime_ = std::chrono::seconds(5);
  /// Longest ejection.
  Duration MaxEjectionTime_ = std::chrono::seconds(60);
  /// Failures in a row that eject.
  std::uint32_t ConsecutiveFailuresToEject_ = 3;
  /// Latency that ejects, in thousandths of the median upstream's.
  std::uint32_t SlowLatencyPermille_ = 5000;
};

/// Position of an upstream in the router's table; it stays with that upstream
/// until nothing is in progress there.
using UpstreamIndex = std::uint32_t;

/// Numbers the kinds whose latencies differ, below `MaxRoutedKinds`.
using RoutedKind = std::uint32_t;
inline constexpr RoutedKind MaxRoutedKinds = 16;

/// Routing of one entry. `pick()` allocates nothing.
class Router {
public:
  explicit Router(RouterOptions Options);
  Router(Router &&) noexcept;
  Router &operator=(Router &&) noexcept;
  ~Router();

  /// Replaces the table; what is known of a name and incarnation is kept.
  void setUpstreams(std::span<const UpstreamRow> Rows);
  const UpstreamRow &upstream(UpstreamIndex Upstream) const;
  std::size_t size() const;

  /// Returns an upstream other than those in \p Exclude, or nothing where none
  /// may take work. Draining and ejected ones are passed over.
  std::optional<UpstreamIndex> pick(TimePoint Now,
                                    std::span<const UpstreamIndex> Exclude);
  /// Tells that an attempt begins; pair it with `recordResult()`.
  void recordStart(TimePoint Now, UpstreamIndex Upstream);
  /// \p Kind tells whose usual latency \p Latency is compared with.
  void recordResult(TimePoint Now, UpstreamIndex Upstream, AttemptResult Result,
                    Duration Latency, RoutedKind Kind = 0);
  /// Counts a first attempt towards the retry budget.
  void countRequest();
  /// Takes one retry from the budget, if there is one.
  bool tryConsumeRetry();
  /// Returns after how long a hedge of a request is worth sending, or nothing
  /// while too little is known.
  std::optional<Duration> hedgeDelay(RoutedKind Kind = 0) const;
  /// Slots of all upstreams that may take work, as far as they belong to this
  /// entry; what its admission may fill.
  std::uint32_t usableSlots() const;
  bool isEjected(TimePoint Now, UpstreamIndex Upstream) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_ROUTER_H
