/// A pool of HTTP/1.1 connections to one server.
#ifndef DRAGONFLY_NET_HTTPCLIENT_H
#define DRAGONFLY_NET_HTTPCLIENT_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/net/Endpoint.h"
#include "dragonfly/net/FrameClient.h"
#include "dragonfly/net/HttpMessage.h"

#include <cstddef>
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

/// Requests to one server. A request on a kept connection that the server has
/// closed in the meantime is retried only where it provably never arrived.
class HttpClient {
public:
  using Handler = std::function<void(HttpResult)>;
  using ChunkHandler = std::function<void(std::string)>;

  HttpClient(EventLoop &Loop, HttpClientOptions Options);
  ~HttpClient();

  /// Sends \p Request; with \p OnChunk the body is handed over as it arrives,
  /// each piece restarting the timeout, and is not collected.
  void request(HttpRequest Request, Duration Timeout, Handler OnEnd,
               ChunkHandler OnChunk = {});
  std::size_t openConnections() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace dragonfly::net

#endif // DRAGONFLY_NET_HTTPCLIENT_H
