/// The HTTP interface for callers and for the balancer; docs/API.md is its
/// page.
#ifndef DRAGONFLY_ENTRY_CALLERINTERFACE_H
#define DRAGONFLY_ENTRY_CALLERINTERFACE_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/net/FrameClient.h"
#include "dragonfly/net/HttpMessage.h"
#include "dragonfly/net/HttpServer.h"
#include "dragonfly/wire/Messages.h"

#include <functional>
#include <memory>

namespace dragonfly {
class HistogramTable;
} // namespace dragonfly

namespace dragonfly::entry {

class Gateway;
struct Answer;

struct CallerInterfaceOptions {
  /// True while the balancer should send callers here.
  std::function<bool()> Ready_;
  /// Asks control about requests that this entry does not know.
  std::function<void(wire::Message, Duration Timeout,
                     net::FrameClient::Handler OnEnd)>
      CallControl_;
};

/// Turns HTTP requests into calls of a gateway, which it does not own.
class CallerInterface {
public:
  CallerInterface(Gateway &Requests, const HistogramTable &Latencies,
                  CallerInterfaceOptions Options);
  ~CallerInterface();

  /// Answers one HTTP request, now or later.
  void handle(net::HttpRequest Request, const net::HttpReplier &Replier);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

/// Returns the response that tells a caller \p End.
net::HttpResponse toResponse(const Answer &End);

} // namespace dragonfly::entry

#endif // DRAGONFLY_ENTRY_CALLERINTERFACE_H
