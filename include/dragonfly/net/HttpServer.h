/// HTTP/1.1 towards callers, operators and the platform.
#ifndef DRAGONFLY_NET_HTTPSERVER_H
#define DRAGONFLY_NET_HTTPSERVER_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/net/Endpoint.h"
#include "dragonfly/net/GracefulStop.h"
#include "dragonfly/net/HttpMessage.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace dragonfly::net {

class EventLoop;

/// Answers one HTTP request. May outlive the connection, when it has no
/// effect. Answers of one connection leave in the order of its requests.
class HttpReplier {
public:
  struct State;
  explicit HttpReplier(std::shared_ptr<State> Request);

  /// Counts memory that the request takes, beside its own bytes, until it has
  /// its whole response. Returns false, and counts nothing, where the process
  /// has no room for \p Bytes.
  bool hold(std::size_t Bytes) const;
  /// Sends a whole response.
  void reply(HttpResponse Response) const;
  /// Starts a chunked response; its body is ignored.
  void beginChunks(HttpResponse Head) const;
  void chunk(std::string_view Bytes) const;
  void endChunks() const;
  /// Closes the connection in the middle of a chunked response, so that the
  /// caller can tell that it is not whole.
  void abort() const;
  /// Called once if the caller goes away before the response has left.
  void onGone(std::function<void()> Handler) const;
  /// Bytes queued to the caller that it has not taken yet.
  std::size_t queuedBytes() const;

private:
  std::shared_ptr<State> State_;
};

struct HttpServerOptions {
  /// Names the server in log lines.
  std::string Name_ = "http";
  Endpoint Listen_;
  /// Fewer where the process has few descriptors. A further connection takes
  /// the place of the one that has waited for a whole request for longest;
  /// where all are in use its request is refused with 503.
  std::size_t MaxConnections_ = 1024;
  std::size_t MaxHeaderBytes_ = 16U << 10U;
  std::size_t MaxBodyBytes_ = 1U << 20U;
  /// For a whole request to arrive, and between requests.
  Duration IdleTimeout_ = std::chrono::seconds(30);
  /// For the caller to take queued bytes.
  Duration WriteTimeout_ = std::chrono::seconds(30);
  /// Where callers are sent to when this process stops: elsewhere at once, or
  /// back to it.
  std::chrono::seconds RetryAfterStop_{0};
  /// Where false, connections wait in the system's queue until
  /// `startAccepting()`.
  bool AcceptAtOnce_ = true;
  /// Where set, called with the head of a request whose body has not arrived
  /// whole, and with the length that the head gives for the body, 0 where it
  /// gives none. A response that it returns is sent at once; the body is
  /// discarded and the connection closed.
  std::function<std::optional<HttpResponse>(const HttpRequest &Head,
                                            std::uint64_t BodyBytes)>
      OnHead_;
  std::function<void(HttpRequest, HttpReplier)> OnRequest_;
};

/// Listens for HTTP on one endpoint.
class HttpServer {
public:
  /// Starts to listen. Throws NetError(CannotListen).
  HttpServer(EventLoop &Loop, HttpServerOptions Options);
  ~HttpServer();

  /// Has an effect once, and only where `AcceptAtOnce_` was false.
  void startAccepting();
  /// Requests are served on, but answers say that their connections close.
  void closeAfterAnswers();
  /// Finishes what has been read. A caller that sends nothing, or connects from
  /// now on, is told with 503 that its next request will not run.
  void refuseNew();
  /// Answers each request in progress with 504, and refuses the rest.
  void cutOff();
  /// Connections with a request in progress, idle, or with a last answer that
  /// the caller has not taken.
  std::size_t openConnections() const;
  /// This server in the stop of its process; it must outlive the stop.
  StopPart stopPart();
  Endpoint endpoint() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace dragonfly::net

#endif // DRAGONFLY_NET_HTTPSERVER_H
