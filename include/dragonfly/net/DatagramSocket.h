/// Sends and receives single frames over UDP.
#ifndef DRAGONFLY_NET_DATAGRAMSOCKET_H
#define DRAGONFLY_NET_DATAGRAMSOCKET_H

#include "dragonfly/base/Ids.h"
#include "dragonfly/net/Endpoint.h"
#include "dragonfly/wire/Messages.h"

#include <functional>
#include <memory>

namespace dragonfly::net {

class EventLoop;

struct DatagramOptions {
  Endpoint Listen_;
  Incarnation Self_;
  std::function<void(const Endpoint &From, wire::Message)> OnMessage_;
};

/// One UDP socket. Datagrams that are no frames are dropped and logged.
class DatagramSocket {
public:
  /// Binds. Throws NetError(CannotListen).
  DatagramSocket(EventLoop &Loop, DatagramOptions Options);
  ~DatagramSocket();

  /// Sends without any promise of arrival.
  void send(const Endpoint &To, const wire::Message &Value);
  Endpoint endpoint() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace dragonfly::net

#endif // DRAGONFLY_NET_DATAGRAMSOCKET_H
