/// Raw peers for the HTTP tests.
#ifndef DRAGONFLY_TESTS_NET_HTTPPEERS_H
#define DRAGONFLY_TESTS_NET_HTTPPEERS_H

#include "dragonfly/net/Endpoint.h"
#include "dragonfly/net/EventLoop.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace dragonfly::net {

using boost::asio::ip::tcp;

/// Polls that a loopback exchange may take at most.
inline constexpr int MaxPolls = 2000000;

/// Evaluates \p Done until it holds; it is not evaluated again after that.
template <typename Condition> bool pollUntil(EventLoop &Loop, Condition Done) {
  for (int Poll = 0; Poll < MaxPolls; ++Poll) {
    if (Done())
      return true;
    Loop.poll();
  }
  return false;
}

inline const Endpoint AnyPort{.Address_ = "127.0.0.1", .Port_ = 0};

inline tcp::endpoint asioEndpoint(const Endpoint &At) {
  return {boost::asio::ip::make_address(At.Address_), At.Port_};
}

/// A caller that writes and reads raw bytes.
class RawCaller {
public:
  RawCaller(EventLoop &Loop, const Endpoint &At)
      : Loop_(Loop), Socket_(Loop.context()) {
    Socket_.connect(asioEndpoint(At));
    Socket_.non_blocking(true);
  }

  void write(std::string_view Bytes) {
    while (!Bytes.empty()) {
      boost::system::error_code Failure;
      const std::size_t Sent = Socket_.write_some(
          boost::asio::buffer(Bytes.data(), Bytes.size()), Failure);
      Bytes.remove_prefix(Sent);
      Loop_.poll();
      if (Failure && Failure != boost::asio::error::would_block)
        return;
    }
  }

  /// Writes what fits into the socket at once; the server does not read yet.
  void send(std::string_view Bytes) {
    boost::system::error_code Ignored;
    Socket_.write_some(boost::asio::buffer(Bytes.data(), Bytes.size()),
                       Ignored);
  }

  /// Returns all bytes that have come so far.
  const std::string &received() {
    char Piece[4096];
    boost::system::error_code Failure;
    while (const std::size_t Bytes =
               Socket_.read_some(boost::asio::buffer(Piece), Failure))
      Received_.append(Piece, Bytes);
    Ended_ = Ended_ || (Failure && Failure != boost::asio::error::would_block);
    WasReset_ = WasReset_ || Failure == boost::asio::error::connection_reset;
    return Received_;
  }

  /// True once reading has failed because the server reset the connection.
  bool wasReset() const { return WasReset_; }

  bool waitFor(std::string_view Text) {
    return pollUntil(
        Loop_, [&] { return received().find(Text) != std::string::npos; });
  }

  bool waitForEnd() {
    return pollUntil(Loop_, [&] {
      received();
      return Ended_;
    });
  }

  void close() { Socket_.close(); }

private:
  EventLoop &Loop_;
  tcp::socket Socket_;
  std::string Received_;
  bool Ended_ = false;
  bool WasReset_ = false;
};

/// A server that does as scripted: takes bytes, answers with raw ones.
class RawServer {
public:
  explicit RawServer(EventLoop &Loop)
      : Loop_(Loop), Acceptor_(Loop.context(), asioEndpoint(AnyPort)) {}

  Endpoint endpoint() const {
    return {"127.0.0.1", Acceptor_.local_endpoint().port()};
  }

  /// Accepts and reads a whole request head.
  bool takeRequest() {
    if (!Socket_) {
      Acceptor_.non_blocking(true);
      Socket_.emplace(Loop_.context());
      if (!pollUntil(Loop_, [&] {
            boost::system::error_code Failure;
            Acceptor_.accept(*Socket_, Failure);
            return !Failure;
          }))
        return false;
      ++Accepted_;
      Socket_->non_blocking(true);
    }
    std::string Head;
    return pollUntil(Loop_, [&] {
      char Byte = 0;
      boost::system::error_code Failure;
      while (Socket_->read_some(boost::asio::buffer(&Byte, 1), Failure) == 1)
        Head += Byte;
      return Head.find("\r\n\r\n") != std::string::npos;
    });
  }

  void write(std::string_view Bytes) {
    boost::asio::write(*Socket_, boost::asio::buffer(Bytes));
  }

  void close() { Socket_.reset(); }
  int accepted() const { return Accepted_; }

private:
  EventLoop &Loop_;
  tcp::acceptor Acceptor_;
  std::optional<tcp::socket> Socket_;
  int Accepted_ = 0;
};

} // namespace dragonfly::net

#endif // DRAGONFLY_TESTS_NET_HTTPPEERS_H
