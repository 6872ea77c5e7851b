/// Bounds the memory that a process holds for requests without a complete
/// response, over all of its listeners.
#ifndef DRAGONFLY_NET_MEMORYBUDGET_H
#define DRAGONFLY_NET_MEMORYBUDGET_H

#include "dragonfly/base/Clock.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <unordered_set>

namespace dragonfly::net {

/// Once the holders together exceed the limit, incomplete requests are dropped:
/// first those that have held the most bytes for the longest time, since they
/// make the least progress. All calls come from the thread of the event loop.
class MemoryBudget {
public:
  /// Limit in bytes where a process is not told its memory limit.
  static constexpr std::size_t DefaultLimit = std::size_t(64) << 20U;

  /// The bytes held for one connection. Counts until it is destroyed.
  class Holder {
  public:
    /// \p Drop has to release the bytes of the incomplete request. It is called
    /// from within `set` of any holder, and may destroy this one.
    Holder(MemoryBudget &Budget, std::function<void()> Drop);
    Holder(const Holder &) = delete;
    Holder &operator=(const Holder &) = delete;
    ~Holder();

    /// Sets the bytes held in all and the part of them that dropping the
    /// incomplete request would release.
    void set(std::size_t Bytes, std::size_t Droppable);

  private:
    friend class MemoryBudget;

    MemoryBudget &Budget_;
    std::function<void()> Drop_;
    std::size_t Bytes_ = 0;
    std::size_t Droppable_ = 0;
    /// When the bytes that could be dropped last were none.
    TimePoint Since_;
  };

  MemoryBudget() = default;
  MemoryBudget(const MemoryBudget &) = delete;
  MemoryBudget &operator=(const MemoryBudget &) = delete;

  void setLimit(std::size_t Bytes) { Limit_ = Bytes; }
  std::size_t limit() const { return Limit_; }
  /// Most memory that the values of one request's body may take while they are
  /// read, in bytes. A configuration of 4 MiB takes up to 26 MB.
  std::size_t valuesLimit() const { return Limit_ + Limit_ / 2; }
  /// Bytes that all holders hold.
  std::size_t bytes() const { return Bytes_; }
  /// Returns whether \p More bytes fit.
  bool hasRoomFor(std::size_t More) const { return Bytes_ + More <= Limit_; }
  /// Requests that were dropped so far.
  std::size_t dropped() const { return Dropped_; }

private:
  void dropUntilBelowLimit();

  std::size_t Limit_ = DefaultLimit;
  std::size_t Bytes_ = 0;
  std::size_t Dropped_ = 0;
  bool Dropping_ = false;
  TimePoint NextLogAt_;
  std::unordered_set<Holder *> Holders_;
};

} // namespace dragonfly::net

#endif // DRAGONFLY_NET_MEMORYBUDGET_H
