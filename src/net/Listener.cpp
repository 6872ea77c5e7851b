#include "net/Listener.h"

#include "net/Sockets.h"

#include <boost/asio/io_context.hpp>

#include <utility>

namespace dragonfly::net {
namespace {

/// Pause before accepting is tried again where there was no room.
constexpr Duration RetryDelay = std::chrono::milliseconds(20);
/// One connection a turn is not enough: a server whose turns take milliseconds
/// would fall behind when hundreds of peers reconnect at once, until each has
/// given up before it is accepted.
constexpr int MaxConnectionsATurn = 256;

} // namespace

Listener::Listener(EventLoop &Loop, const Endpoint &Where, Hooks Handlers)
    : Loop_(Loop), Hooks_(std::move(Handlers)), Acceptor_(Loop.context()) {
  listenOn(Acceptor_, Where);
}

void Listener::start() { accept(); }

void Listener::accept() {
  if (!Hooks_.HasRoom_()) {
    retryLater();
    return;
  }
  // An accepted connection is handed over at once: one that waited in a handler
  // would be dropped if the loop stopped.
  Acceptor_.async_wait(boost::asio::ip::tcp::acceptor::wait_read,
                       [Weak = weak_from_this()](const auto &Failure) {
                         const auto Self = Weak.lock();
                         if (Failure || !Self || !Self->Acceptor_.is_open())
                           return;
                         if (Self->acceptWaiting())
                           Self->accept();
                         else
                           Self->retryLater();
                       });
}

bool Listener::acceptWaiting() {
  for (int Count = 0; Count < MaxConnectionsATurn; ++Count) {
    if (!Acceptor_.is_open() || !Hooks_.HasRoom_())
      return true;
    boost::system::error_code Fault;
    Socket Peer(Acceptor_.get_executor());
    Acceptor_.accept(Peer, Fault);
    if (Fault)
      return Fault == boost::asio::error::would_block ||
             Fault == boost::asio::error::connection_aborted;
    Hooks_.OnAccepted_(std::move(Peer));
  }
  return true;
}

void Listener::retryLater() {
  Retry_ = Loop_.after(RetryDelay, [Weak = weak_from_this()] {
    const auto Self = Weak.lock();
    if (Self && Self->Acceptor_.is_open())
      Self->accept();
  });
}

void Listener::close() {
  Retry_.cancel();
  boost::system::error_code Ignored;
  Acceptor_.close(Ignored);
}

Endpoint Listener::endpoint() const {
  return fromAsio(Acceptor_.local_endpoint());
}

} // namespace dragonfly::net
