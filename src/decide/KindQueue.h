/// The waiting requests of one kind, scheduled fairly between customers.
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

/// Index of a customer or a request in its table.
using RowIndex = std::uint32_t;

/// A waiting request, ordered by deadline.
struct QueuedRequest {
  TimePoint Deadline_;
  /// Arrival number, which breaks ties.
  std::uint64_t Arrival_ = 0;
  RowIndex Customer_ = 0;
  RowIndex Request_ = 0;

  auto operator<=>(const QueuedRequest &) const = default;
};

/// Schedules the earliest deadline first among customers that use less than an
/// equal share of the kind's slots, then among all customers. A customer with
/// many waiting requests thus can't delay one with few.
class KindQueue {
public:
  void push(const QueuedRequest &Request);
  void erase(const QueuedRequest &Request);

  /// Returns the request to dispatch next if the kind has \p Slots in all, or
  /// nothing. \p PlanAllows returns whether a customer's plan allows one more
  /// request in progress.
  std::optional<QueuedRequest>
  next(std::uint32_t Slots,
       const std::function<bool(RowIndex)> &PlanAllows) const;

  /// Returns the request with the earliest deadline of all customers.
  std::optional<QueuedRequest> earliest() const;
  /// Returns the request with the latest deadline of the customer with the
  /// most waiting requests.
  std::optional<QueuedRequest> latestOfLongestQueue() const;

  void recordStart(RowIndex Customer) { ++customerQueue(Customer).InProgress_; }
  void recordEnd(RowIndex Customer) { --customerQueue(Customer).InProgress_; }

  std::size_t size() const { return ByDeadline_.size(); }
  std::size_t waitingCount(RowIndex Customer) const;
  /// Number of customers with at least one waiting request.
  std::size_t waitingCustomerCount() const { return WaitingCustomers_.size(); }

private:
  struct CustomerQueue {
    std::set<QueuedRequest> Waiting_;
    std::uint32_t InProgress_ = 0;
  };

  CustomerQueue &customerQueue(RowIndex Customer);

  std::set<QueuedRequest> ByDeadline_;
  std::deque<CustomerQueue> CustomerQueues_;
  std::set<RowIndex> WaitingCustomers_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_KINDQUEUE_H
