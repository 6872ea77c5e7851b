/// Chooses an upstream for each request, ejects outliers and limits retries.
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

/// The latest announcement of one upstream.
struct UpstreamRow {
  std::string Name_;
  Incarnation Incarnation_;
  std::string AvailabilityZone_;
  std::uint32_t Slots_ = 0;
  std::uint32_t FreeSlots_ = 0;
  bool Draining_ = false;
  /// Slots assigned to this entry, if the slots are divided among entries.
  std::optional<std::uint32_t> SlotShare_ = std::nullopt;
};

/// Result of an attempt on an upstream, as far as routing uses it.
enum class AttemptResult : std::uint8_t {
  Answered,
  Refused, ///< The agent had no free slot; doesn't count as a failure.
  Gone,    ///< The incarnation leaves or has left; it gets no more requests.
  Failed   ///< The upstream failed, disconnected or timed out.
};

struct RouterOptions {
  std::string AvailabilityZone_;
  std::uint64_t Seed_ = 1;
  /// Retries and hedges allowed per thousand requests.
  std::uint32_t RetryPermille_ = 100;
  /// Largest share of upstreams ejected at once, in thousandths.
  std::uint32_t MaxEjectedPermille_ = 500;
  /// Duration of the first ejection; doubles with each consecutive one.
  Duration BaseEjectionTime_ = std::chrono::seconds(5);
  /// Upper limit on the duration of an ejection.
  Duration MaxEjectionTime_ = std::chrono::seconds(60);
  /// Consecutive failures after which an upstream is ejected.
  std::uint32_t ConsecutiveFailuresToEject_ = 3;
  /// Latency above which an upstream is ejected, in thousandths of the median
  /// over all upstreams.
  std::uint32_t SlowLatencyPermille_ = 5000;
};

/// Index of an upstream in the router's table; not reused while attempts on
/// that upstream are in progress.
using UpstreamIndex = std::uint32_t;

/// Number of a request kind with latency statistics of its own, below
/// `MaxRoutedKinds`.
using RoutedKind = std::uint32_t;
inline constexpr RoutedKind MaxRoutedKinds = 16;

/// Request routing of one entry. `pick()` doesn't allocate.
class Router {
public:
  explicit Router(RouterOptions Options);
  Router(Router &&) noexcept;
  Router &operator=(Router &&) noexcept;
  ~Router();

  /// Replaces the table of upstreams. The state of an upstream with the same
  /// name and incarnation is kept.
  void setUpstreams(std::span<const UpstreamRow> Rows);
  const UpstreamRow &upstream(UpstreamIndex Upstream) const;
  /// Returns the number of indices in use or free for reuse.
  std::size_t size() const;

  /// Returns an upstream other than those in \p Exclude, or nothing if none
  /// accepts work. Skips draining and ejected upstreams, except that an ejected
  /// one is returned once its probe is due.
  std::optional<UpstreamIndex> pick(TimePoint Now,
                                    std::span<const UpstreamIndex> Exclude);
  /// Records the start of an attempt; each needs one `recordResult()`.
  void recordStart(TimePoint Now, UpstreamIndex Upstream);
  /// Records the end of an attempt. \p Latency is compared with the mean of
  /// \p Kind.
  void recordResult(TimePoint Now, UpstreamIndex Upstream, AttemptResult Result,
                    Duration Latency, RoutedKind Kind = 0);
  /// Credits a first attempt to the retry budget.
  void countRequest();
  /// Withdraws one retry from the budget; returns false if it is exhausted.
  bool tryConsumeRetry();
  /// Returns the delay after which to hedge a request, the 95th percentile of
  /// the kind's latencies, or nothing while there are too few samples.
  std::optional<Duration> hedgeDelay(RoutedKind Kind = 0) const;
  /// Returns the total slots of all upstreams that accept work, counting only
  /// this entry's share where slots are divided; the capacity for admission.
  std::uint32_t usableSlots() const;
  /// Returns whether an upstream is ejected; \p Now is unused.
  bool isEjected(TimePoint Now, UpstreamIndex Upstream) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_ROUTER_H
