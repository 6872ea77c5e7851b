/// A pool of HTTP/1.1 connections to one server.
#ifndef DRAGONFLY_NET_HTTPCLIENT_H
#define DRAGONFLY_NET_HTTPCLIENT_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/net/Endpoint.h"
#include "dragonfly/net/FrameClient.h"
#include "dragonfly/net/HttpMessage.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace dragonfly::net {

struct HttpResult {
  /// NeverSent only where no byte of the request can have reached the server.
  CallStatus Status_ = CallStatus::NeverSent;
  HttpResponse Response_;
};

struct HttpClientOptions {
  Endpoint Peer_;
  std::size_t MaxConnections_ = 64;
  /// Requests that may wait for a connection; more end as NeverSent.
  std::size_t MaxWaiting_ = 4096;
  Duration ConnectTimeout_ = std::chrono::milliseconds(500);
  std::size_t MaxBodyBytes_ = 8U << 20U;
};

/// Requests to one server, one at a time on each connection. A connection that
/// the server has closed in the meantime is found before a request is written
/// to it; a request of which bytes were written is never sent again. Where one
/// times out, idle connections on which
/// nothing has come either are closed, so that the next request goes over a new
/// one. An answer
/// whose end is marked only by the end of the connection counts as lost, since
/// it can't be told from one that broke off.
class HttpClient {
public:
  using Handler = std::function<void(HttpResult)>;
  using ChunkHandler = std::function<void(std::string)>;

  HttpClient(EventLoop &Loop, HttpClientOptions Options);
  ~HttpClient();

  /// Sends \p Request; with \p OnChunk the body is handed over as it arrives,
  /// each piece restarting the timeout, and is not collected.
  /// Returns a number for `cancel()`.
  std::uint64_t request(HttpRequest Request, Duration Timeout, Handler OnEnd,
                        ChunkHandler OnChunk = {});
  /// Drops a request: its connection is closed and its handler never called.
  /// Has no effect on one that has ended.
  void cancel(std::uint64_t Number);
  std::size_t openConnections() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace dragonfly::net

#endif // DRAGONFLY_NET_HTTPCLIENT_H
