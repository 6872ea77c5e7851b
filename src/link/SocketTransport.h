/// The transport of a ControlLink over sockets: UDP for heartbeats, one TCP
/// connection to each replica for calls.
#ifndef DRAGONFLY_SRC_LINK_SOCKETTRANSPORT_H
#define DRAGONFLY_SRC_LINK_SOCKETTRANSPORT_H

#include "dragonfly/link/ControlLink.h"
#include "dragonfly/net/DatagramSocket.h"

#include <memory>
#include <vector>

namespace dragonfly::link {

struct SocketTransportOptions {
  net::Endpoint Listen_;
  std::vector<net::Endpoint> Replicas_;
  Incarnation Self_;
  /// Called with each acknowledgement that came from a replica.
  std::function<void(std::size_t Replica, const wire::HeartbeatAck &)> OnAck_;
};

/// Sockets of one process towards control.
class SocketTransport {
public:
  /// Throws NetError(CannotListen).
  SocketTransport(net::EventLoop &Loop, SocketTransportOptions Options);

  /// The hooks refer to this object, which must outlive them.
  ControlTransport hooks();

private:
  void take(const net::Endpoint &From, const wire::Message &Value) const;

  SocketTransportOptions Options_;
  std::vector<std::unique_ptr<net::FrameClient>> Clients_;
  net::DatagramSocket Socket_;
};

} // namespace dragonfly::link

#endif // DRAGONFLY_SRC_LINK_SOCKETTRANSPORT_H
