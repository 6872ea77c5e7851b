/// Forwards TCP connections on loopback, and harms them.
#ifndef DRAGONFLY_TESTS_SOAK_LOOPBACKPROXY_H
#define DRAGONFLY_TESTS_SOAK_LOOPBACKPROXY_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/net/Endpoint.h"
#include "dragonfly/net/EventLoop.h"

#include <memory>

namespace dragonfly::soak {

class LoopbackProxy {
public:
  /// What is done to the bytes of each direction, on open and new connections.
  struct Harm {
    Duration Delay_{};
    /// Bytes in that direction are read and dropped, without a reset.
    bool CutsRequests_ = false;
    bool CutsAnswers_ = false;
    /// New connections are closed at once.
    bool Refuses_ = false;
  };

  /// Starts to listen. Throws boost::system::system_error.
  LoopbackProxy(net::EventLoop &Loop, const net::Endpoint &Listen,
                const net::Endpoint &Target);
  ~LoopbackProxy();

  void setHarm(Harm Value);
  /// Resets all open connections.
  void reset();

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace dragonfly::soak

#endif // DRAGONFLY_TESTS_SOAK_LOOPBACKPROXY_H
