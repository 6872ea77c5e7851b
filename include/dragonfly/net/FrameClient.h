/// A connection to one of the system's other processes that carries many
/// requests at once and reconnects by itself.
#ifndef DRAGONFLY_NET_FRAMECLIENT_H
#define DRAGONFLY_NET_FRAMECLIENT_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Ids.h"
#include "dragonfly/net/Endpoint.h"
#include "dragonfly/wire/Messages.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>

namespace dragonfly::net {

class EventLoop;

enum class CallStatus : std::uint8_t {
  Answered,  ///< `Answer_` holds the peer's answer.
  NeverSent, ///< No byte of the request left this process.
  Lost,      ///< The connection broke after bytes had left.
  TimedOut   ///< No answer in time; a later one is dropped and counted.
};

struct CallResult {
  CallStatus Status_ = CallStatus::NeverSent;
  wire::Message Answer_;
};

struct FrameClientOptions {
  Endpoint Peer_;
  Incarnation Self_;
  Duration ConnectTimeout_ = std::chrono::milliseconds(500);
  /// Delay before the first reconnect; doubles up to MaxBackoff_ until the peer
  /// answers, or keeps a connection for MaxBackoff_.
  Duration MinBackoff_ = std::chrono::milliseconds(20);
  Duration MaxBackoff_ = std::chrono::seconds(1);
  /// Bytes queued to the peer beyond which calls end as NeverSent.
  std::size_t MaxQueuedBytes_ = 32U << 20U;
  /// A connection on which nothing has been sent for so long, and no call is
  /// open, is closed until it is needed again.
  Duration IdleTime_ = std::chrono::seconds(20);
  /// Bytes that the system may hold for the peer; 0 leaves that to the system.
  /// What it holds delays whatever is sent next.
  std::size_t SendBufferBytes_ = 0;
  /// Where false, the owner knows by other ways whether frames without an
  /// answer arrive, and calls `verify()`.
  bool VerifiesOneWay_ = true;
};

/// Calls to one peer. Each call's handler runs exactly once, never from
/// within `call()`. A connection that has gone silent while the peer runs is
/// replaced by a new one; a frozen or slow peer keeps its connection.
class FrameClient {
public:
  using Handler = std::function<void(CallResult)>;
  using PartHandler = std::function<void(wire::Message)>;

  FrameClient(EventLoop &Loop, FrameClientOptions Options);
  /// Ends what is pending as NeverSent or Lost, without calling handlers.
  ~FrameClient();

  /// Sends \p Request; \p OnPart takes the parts of a streamed answer, each of
  /// which restarts the timeout.
  void call(const wire::Message &Request, Duration Timeout, Handler OnEnd,
            PartHandler OnPart = {});
  /// Sends a frame that has no answer, if the connection is open or idle.
  void send(const wire::Message &Value);

  /// Finds out whether the connection still works, unless that is being done.
  void verify();

  /// Connects without waiting for the backoff, as the peer is known to be up.
  /// However often it is called, attempts begin at least MinBackoff_ apart. An
  /// open connection stays.
  void reconnectNow();

  bool connected() const;
  std::size_t pendingCalls() const;
  /// Bytes queued to the peer that it has not taken yet.
  std::size_t queuedBytes() const;
  /// Answers that came after their call had ended, and were dropped.
  std::uint64_t lateAnswers() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace dragonfly::net

#endif // DRAGONFLY_NET_FRAMECLIENT_H
