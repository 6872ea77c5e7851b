/// The hooks of UpstreamHooks over HTTP, as docs/DESIGN.md describes the
/// upstream's and the worker's interface.
#ifndef DRAGONFLY_SRC_AGENT_HTTPUPSTREAM_H
#define DRAGONFLY_SRC_AGENT_HTTPUPSTREAM_H

#include "dragonfly/agent/UpstreamHooks.h"
#include "dragonfly/net/HttpClient.h"

namespace dragonfly::agent {

/// Requests to one upstream and its worker.
class HttpUpstream {
public:
  /// \p Connections bounds the connections for requests; the worker's
  /// interface has its own.
  HttpUpstream(net::EventLoop &Loop, const net::Endpoint &Peer,
               std::size_t Connections);

  /// The hooks refer to this object, which must outlive them.
  UpstreamHooks hooks();

private:
  std::uint64_t run(const wire::Execute &Request, Duration Timeout,
                    std::function<void(RunResult)> OnEnd,
                    std::function<void(std::string)> OnPart);
  void order(const wire::TaskDirective &Order,
             std::function<void(OrderResult)> OnEnd);
  void list(std::function<void(std::optional<std::vector<WorkerTask>>)> OnEnd);
  void lease(TimePoint Until);
  void usage(std::function<void(std::optional<Resources>)> OnEnd);
  void health(std::function<void(bool)> OnEnd);

  net::HttpClient Requests_;
  net::HttpClient Worker_;
};

} // namespace dragonfly::agent

#endif // DRAGONFLY_SRC_AGENT_HTTPUPSTREAM_H
