/// Keeps receipts of ended requests until control has them durably.
#ifndef DRAGONFLY_LINK_RECEIPTKEEPER_H
#define DRAGONFLY_LINK_RECEIPTKEEPER_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/net/FrameClient.h"
#include "dragonfly/wire/Messages.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace dragonfly::net {
class EventLoop;
} // namespace dragonfly::net

namespace dragonfly::link {

struct ReceiptKeeperOptions {
  /// Name and incarnation of the process that holds the receipts.
  std::string Holder_;
  Incarnation Incarnation_;
  /// Receipts kept at most; `full()` is true from there.
  std::size_t MaxRows_ = 65536;
  /// Receipts of one batch.
  std::size_t BatchRows_ = 512;
  /// How long receipts gather before a batch leaves, and between tries.
  Duration Period_ = std::chrono::milliseconds(100);
  Duration Timeout_ = std::chrono::seconds(2);
  /// Calls the leader of control.
  std::function<void(wire::Message, Duration, net::FrameClient::Handler)>
      CallLeader_;
};

/// The receipts of one process. A batch that was not acknowledged is sent
/// again, unchanged and first; control merges receipts as a set.
class ReceiptKeeper {
public:
  ReceiptKeeper(net::EventLoop &Loop, ReceiptKeeperOptions Options);
  ~ReceiptKeeper();

  void add(wire::Receipt Row);
  /// Receipts that are not acknowledged yet.
  std::size_t pending() const;
  /// True where no more may be kept; new work must be refused.
  bool full() const;
  /// Sends without waiting and calls \p OnEmpty once nothing is pending.
  void flush(std::function<void()> OnEmpty);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace dragonfly::link

#endif // DRAGONFLY_LINK_RECEIPTKEEPER_H
