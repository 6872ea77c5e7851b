/// Keeps an entry or an agent in touch with control: heartbeats over UDP to
/// every replica, the configuration lease, newer lists, and calls to the
/// leader over TCP.
#ifndef DRAGONFLY_LINK_CONTROLLINK_H
#define DRAGONFLY_LINK_CONTROLLINK_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/decide/ConfigurationLease.h"
#include "dragonfly/net/Endpoint.h"
#include "dragonfly/net/FrameClient.h"
#include "dragonfly/wire/Messages.h"

#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <vector>

namespace dragonfly::net {
class EventLoop;
} // namespace dragonfly::net

namespace dragonfly::link {

/// How a link reaches control's replicas, which are numbered from 0.
struct ControlTransport {
  /// Sends a heartbeat; it may be lost, doubled or late.
  std::function<void(std::size_t Replica, const wire::Heartbeat &)> Send_;
  /// Calls one replica. The handler runs once, later, and is never called
  /// where the link has gone.
  std::function<void(std::size_t Replica, const wire::Message &, Duration,
                     net::FrameClient::Handler)>
      Call_;
};

struct ControlLinkOptions {
  /// Used in place of sockets, where set.
  ControlTransport Transport_;
  /// Where heartbeats leave from and acknowledgements arrive, over UDP.
  net::Endpoint Listen_;
  /// Frame addresses of all control replicas.
  std::vector<net::Endpoint> Replicas_;
  Duration HeartbeatPeriod_ = std::chrono::milliseconds(500);
  /// How long the configuration lease runs from a heartbeat.
  Duration LeaseTerm_ = std::chrono::seconds(3);
  /// Who sends: role, name, incarnation, place and address.
  wire::Heartbeat Identity_;
  /// Fills in what changes from one heartbeat to the next.
  std::function<void(wire::Heartbeat &)> OnHeartbeat_;
  /// Puts newer lists in force before it returns. Never called with a version
  /// older than one it was called with before.
  std::function<void(const wire::Lists &)> OnLists_;
  /// Called with each acknowledgement of the leader.
  std::function<void(const wire::HeartbeatAck &)> OnLeaderAck_;
};

/// The link of one process. All handlers run on the loop.
class ControlLink {
public:
  /// Throws NetError(CannotListen).
  ControlLink(net::EventLoop &Loop, ControlLinkOptions Options);
  ~ControlLink();

  /// True while the process may take new work under its lists.
  bool configurationFresh() const;

  /// The versions of the lists that are in force here.
  const decide::ListVersions &inForce() const;

  /// Calls the leader. Where a replica says that another one leads, the call
  /// goes there; where none is known, to the replicas in turn. Ends within
  /// \p Timeout, as Answered unless no leader answered.
  void callLeader(wire::Message Request, Duration Timeout,
                  net::FrameClient::Handler OnEnd);

  /// Takes the acknowledgement of one replica, where `Transport_` was set.
  void acknowledged(std::size_t Replica, const wire::HeartbeatAck &Ack);

  /// Sends a heartbeat at once, such as when draining begins.
  void beat();

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace dragonfly::link

#endif // DRAGONFLY_LINK_CONTROLLINK_H
