/// Accepts connections for a server.
#ifndef DRAGONFLY_SRC_NET_LISTENER_H
#define DRAGONFLY_SRC_NET_LISTENER_H

#include "dragonfly/net/Endpoint.h"
#include "dragonfly/net/EventLoop.h"

#include <boost/asio/ip/tcp.hpp>

#include <functional>
#include <memory>

namespace dragonfly::net {

/// Where the server has no room, or the process no descriptor, connections wait
/// in the system's queue.
class Listener : public std::enable_shared_from_this<Listener> {
public:
  using Socket = boost::asio::ip::tcp::socket;

  struct Hooks {
    std::function<bool()> HasRoom_;
    std::function<void(Socket)> OnAccepted_;
  };

  /// Begins to listen, but not to accept. Throws NetError(CannotListen).
  Listener(EventLoop &Loop, const Endpoint &Where, Hooks Handlers);

  void start();
  /// Takes all connections that wait, as far as there is room for them. Returns
  /// false where the system has no descriptor or memory for one.
  bool acceptWaiting();
  void close();
  Endpoint endpoint() const;

private:
  void accept();
  void retryLater();

  EventLoop &Loop_;
  Hooks Hooks_;
  boost::asio::ip::tcp::acceptor Acceptor_;
  Timer Retry_;
};

} // namespace dragonfly::net

#endif // DRAGONFLY_SRC_NET_LISTENER_H
