/// The waiting requests of one kind, shared fairly between customers.
#ifndef DRAGONFLY_SRC_DECIDE_KINDQUEUE_H
#define DRAGONFLY_SRC_DECIDE_KINDQUEUE_H

#include "dragonfly/base/Clock.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <optional>
#include <set>
#include <vector>

namespace dragonfly::decide {

/// Position of a customer or a request in its table.
using RowIndex = std::uint32_t;

/// A waiting request in the order of its deadline.
struct QueuedRequest {
  TimePoint Deadline_;
  /// Order of arrival, to break ties.
  std::uint64_t Arrival_ = 0;
  RowIndex Customer_ = 0;
  RowIndex Request_ = 0;

  auto operator<=>(const QueuedRequest &) const = default;
};

/// Earliest deadline first among customers that are within their equal share
/// of the kind's slots, then among all. A customer with many waiting requests
/// thus cannot hold up one with few.
class KindQueue {
public:
  void push(const QueuedRequest &Request);
  void erase(const QueuedRequest &Request);

  /// Returns the request to dispatch next, where the kind has \p Slots.
  /// \p MayRun tells whether a customer's plan allows another one.
  std::optional<QueuedRequest>
  next(std::uint32_t Slots, const std::function<bool(RowIndex)> &MayRun) const;

  /// Returns the request with the earliest deadline of all.
  std::optional<QueuedRequest> earliest() const;
  /// Returns the latest request of the customer with the most waiting ones.
  std::optional<QueuedRequest> latestOfLargest() const;

  void started(RowIndex Customer) { ++share(Customer).InProgress_; }
  void ended(RowIndex Customer) { --share(Customer).InProgress_; }

  std::size_t size() const { return Order_.size(); }
  std::size_t waitingOf(RowIndex Customer) const;
  /// Customers with a request that waits.
  std::size_t activeCustomers() const { return Active_.size(); }

private:
  struct Share {
    std::set<QueuedRequest> Waiting_;
    std::uint32_t InProgress_ = 0;
  };

  Share &share(RowIndex Customer);

  std::set<QueuedRequest> Order_;
  std::deque<Share> Shares_;
  std::set<RowIndex> Active_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_KINDQUEUE_H
