/// Accepts connections from the system's other processes and answers their
/// frames, in any order.
#ifndef DRAGONFLY_NET_FRAMESERVER_H
#define DRAGONFLY_NET_FRAMESERVER_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Ids.h"
#include "dragonfly/net/Endpoint.h"
#include "dragonfly/net/GracefulStop.h"
#include "dragonfly/wire/Messages.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace dragonfly::net {

class EventLoop;

/// Answers one request. May outlive the connection, when it has no effect.
class FrameReplier {
public:
  struct State;
  explicit FrameReplier(std::shared_ptr<State> Request);

  /// Sends one part of a streamed answer; more follow.
  void part(const wire::Message &Value) const;
  /// Sends the last or only answer.
  void answer(const wire::Message &Value) const;
  /// False once the peer is gone.
  bool connected() const;
  /// Bytes queued to the peer that it has not taken yet.
  std::size_t queuedBytes() const;

private:
  std::shared_ptr<State> State_;
};

struct FrameServerOptions {
  Endpoint Listen_;
  Incarnation Self_;
  /// On each further connection the first request is refused.
  std::size_t MaxConnections_ = 1024;
  /// A connection on which nothing has come for so long is closed; that of a
  /// client which uses or needs it is never idle for more than a few seconds.
  Duration IdleTimeout_ = std::chrono::seconds(30);
  /// Called for each request and each one-way frame.
  std::function<void(wire::Message, FrameReplier)> OnMessage_;
};

/// Listens for frames on one endpoint.
class FrameServer {
public:
  /// Starts to listen. Throws NetError(CannotListen).
  FrameServer(EventLoop &Loop, FrameServerOptions Options);
  ~FrameServer();

  /// Ends all connections behind what is queued on them, and accepts no more.
  /// Requests that come later are not handled.
  void finish();
  /// Closes every connection.
  void close();
  /// The port in use, where the options left it 0.
  Endpoint endpoint() const;
  /// Number of open connections.
  std::size_t connections() const;
  /// This server in the stop of its process; it must outlive the stop. The
  /// owner refuses what comes while the stop goes on.
  StopPart stopPart(std::string Name);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace dragonfly::net

#endif // DRAGONFLY_NET_FRAMESERVER_H
