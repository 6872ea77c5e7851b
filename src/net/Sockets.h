/// Conversions and options shared by everything that opens a socket.
#ifndef DRAGONFLY_SRC_NET_SOCKETS_H
#define DRAGONFLY_SRC_NET_SOCKETS_H

#include "dragonfly/net/Endpoint.h"
#include "dragonfly/net/NetError.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

namespace dragonfly::net {

/// Returns \p Value as an Asio endpoint of \p Protocol.
template <typename Protocol>
typename Protocol::endpoint toAsio(const Endpoint &Value) {
  return {boost::asio::ip::make_address(Value.Address_), Value.Port_};
}

template <typename AsioEndpoint> Endpoint fromAsio(const AsioEndpoint &Value) {
  return {.Address_ = Value.address().to_string(), .Port_ = Value.port()};
}

/// Opens, binds and listens. Throws NetError(CannotListen).
inline void listenOn(boost::asio::ip::tcp::acceptor &Acceptor,
                     const Endpoint &Where) {
  using boost::asio::ip::tcp;
  try {
    const tcp::endpoint At = toAsio<tcp>(Where);
    Acceptor.open(At.protocol());
    Acceptor.set_option(tcp::acceptor::reuse_address(true));
    Acceptor.bind(At);
    Acceptor.listen();
    Acceptor.non_blocking(true);
  } catch (const boost::system::system_error &Fault) {
    throw NetError(NetFault::CannotListen,
                   Where.text() + ": " + Fault.code().message());
  }
}

/// Sends small writes at once and notices a peer that is gone.
inline void tuneStream(boost::asio::ip::tcp::socket &Socket) {
  boost::system::error_code Ignored;
  Socket.set_option(boost::asio::ip::tcp::no_delay(true), Ignored);
  Socket.set_option(boost::asio::socket_base::keep_alive(true), Ignored);
}

} // namespace dragonfly::net

#endif // DRAGONFLY_SRC_NET_SOCKETS_H
