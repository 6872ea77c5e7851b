/// Calls the operators' interface of control, whichever replica leads.
#ifndef DRAGONFLY_CTL_CONTROLCLIENT_H
#define DRAGONFLY_CTL_CONTROLCLIENT_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/net/Endpoint.h"
#include "dragonfly/net/HttpMessage.h"

#include <cstdint>
#include <memory>
#include <vector>

namespace dragonfly::net {
class EventLoop;
} // namespace dragonfly::net

namespace dragonfly::ctl {

/// What is known at the end of a call.
enum class CallEnd : std::uint8_t {
  Answered,    ///< A replica answered with something else than a redirect.
  Unavailable, ///< No replica can have acted on the call.
  Unknown      ///< A replica may have acted on the call; no answer came.
};

struct ControlAnswer {
  CallEnd End_ = CallEnd::Unavailable;
  net::HttpResponse Response_;
};

struct ControlClientOptions {
  /// Operators' addresses of the replicas.
  std::vector<net::Endpoint> Control_;
  /// For one try at one replica.
  Duration TryTimeout_ = std::chrono::seconds(3);
  /// Between two tries.
  Duration RetryDelay_ = std::chrono::milliseconds(200);
  std::uint32_t MaxTries_ = 30;
};

/// A blocking client that runs the loop while it waits. A call is sent again
/// until it is answered, so it must be safe to repeat.
class ControlClient {
public:
  ControlClient(net::EventLoop &Loop, ControlClientOptions Options);
  ~ControlClient();

  /// Follows redirects to the leader and tries the replicas in turn.
  ControlAnswer call(const net::HttpRequest &Request);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace dragonfly::ctl

#endif // DRAGONFLY_CTL_CONTROLCLIENT_H
