/// Rows that are kept until control has them durably.
#ifndef DRAGONFLY_LINK_OUTBOX_H
#define DRAGONFLY_LINK_OUTBOX_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/net/EventLoop.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <deque>
#include <functional>
#include <memory>
#include <utility>
#include <vector>

namespace dragonfly::link {

template <typename Row> struct OutboxOptions {
  /// Rows kept at most; `full()` is true from there.
  std::size_t MaxRows_ = 65536;
  /// Rows of one batch.
  std::size_t BatchRows_ = 512;
  /// How long rows gather before a batch leaves, and between tries.
  Duration Period_ = std::chrono::milliseconds(100);
  /// Sends a batch; the second argument tells whether it is durable.
  std::function<void(std::vector<Row>, std::function<void(bool)>)> Send_;
};

/// Sends rows in batches, one at a time. A batch that was not acknowledged is
/// sent again, unchanged and first, so the receiver must know repeats.
template <typename Row>
class Outbox : public std::enable_shared_from_this<Outbox<Row>> {
public:
  Outbox(net::EventLoop &Loop, OutboxOptions<Row> Options)
      : Loop_(Loop), Options_(std::move(Options)) {
    Sends_ = Loop_.every(Options_.Period_, [this] { send(); });
  }

  void add(Row Value) { Rows_.push_back(std::move(Value)); }
  std::size_t pending() const { return Rows_.size(); }
  bool full() const { return Rows_.size() >= Options_.MaxRows_; }

  /// Sends without waiting and calls \p OnEmpty once nothing is pending.
  void flush(std::function<void()> OnEmpty) {
    if (Rows_.empty()) {
      Loop_.post(std::move(OnEmpty));
      return;
    }
    OnEmpty_ = std::move(OnEmpty);
    send();
  }

  void send() {
    if (Sending_ || Rows_.empty())
      return;
    if (BatchSize_ == 0)
      BatchSize_ = std::min(Rows_.size(), Options_.BatchRows_);
    Sending_ = true;
    Options_.Send_({Rows_.begin(), batchEnd()},
                   [Self = this->weak_from_this()](bool Durable) {
                     if (const auto Box = Self.lock())
                       Box->ended(Durable);
                   });
  }

private:
  auto batchEnd() {
    return Rows_.begin() + static_cast<std::ptrdiff_t>(BatchSize_);
  }

  void ended(bool Durable) {
    Sending_ = false;
    if (!Durable)
      return;
    Rows_.erase(Rows_.begin(), batchEnd());
    BatchSize_ = 0;
    if (Rows_.empty() && OnEmpty_)
      std::exchange(OnEmpty_, nullptr)();
    else if (OnEmpty_ || Rows_.size() >= Options_.BatchRows_)
      send();
  }

  net::EventLoop &Loop_;
  OutboxOptions<Row> Options_;
  std::deque<Row> Rows_;
  /// Rows of the batch that is being tried, from the front; 0 for none.
  std::size_t BatchSize_ = 0;
  bool Sending_ = false;
  std::function<void()> OnEmpty_;
  net::Timer Sends_;
};

} // namespace dragonfly::link

#endif // DRAGONFLY_LINK_OUTBOX_H
