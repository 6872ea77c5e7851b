#include "dragonfly/net/DatagramSocket.h"

#include "dragonfly/base/Log.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/wire/Frame.h"
#include "net/Sockets.h"

#include <boost/asio/io_context.hpp>

#include <array>
#include <utility>

namespace dragonfly::net {

using boost::asio::ip::udp;

struct DatagramSocket::Impl : std::enable_shared_from_this<Impl> {
  Impl(EventLoop &Loop, DatagramOptions Options)
      : Options_(std::move(Options)), Socket_(Loop.context()) {
    try {
      const udp::endpoint At = toAsio<udp>(Options_.Listen_);
      Socket_.open(At.protocol());
      Socket_.bind(At);
      Socket_.non_blocking(true);
    } catch (const boost::system::system_error &Fault) {
      throw NetError(NetFault::CannotListen,
                     Options_.Listen_.text() + ": " + Fault.code().message());
    }
  }

  void receive() {
    Socket_.async_receive_from(
        boost::asio::buffer(Buffer_), From_,
        [Self = shared_from_this()](const auto &Fault, std::size_t Size) {
          if (!Self->Socket_.is_open())
            return;
          if (!Fault)
            Self->take({Self->Buffer_.data(), Size});
          if (Self->Socket_.is_open())
            Self->receive();
        });
  }

  void take(std::string_view Bytes) {
    try {
      wire::Frame Value = wire::decodeFrame(Bytes);
      Options_.OnMessage_(fromAsio(From_), std::move(Value.Message_));
    } catch (const wire::FrameError &Fault) {
      logEvent(Event::FrameRejected, {{"fault", Fault.type()}});
    }
  }

  void send(const Endpoint &To, const wire::Message &Value) {
    const std::string Bytes =
        wire::encodeFrame({.Sender_ = Options_.Self_, .Message_ = Value});
    boost::system::error_code Ignored;
    Socket_.send_to(boost::asio::buffer(Bytes), toAsio<udp>(To), 0, Ignored);
  }

  /// Longest datagram that IP can carry.
  static constexpr std::size_t BufferBytes = 64U << 10U;

  DatagramOptions Options_;
  udp::socket Socket_;
  udp::endpoint From_;
  std::array<char, BufferBytes> Buffer_{};
};

DatagramSocket::DatagramSocket(EventLoop &Loop, DatagramOptions Options)
    : Impl_(std::make_shared<Impl>(Loop, std::move(Options))) {
  Impl_->receive();
}

DatagramSocket::~DatagramSocket() {
  boost::system::error_code Ignored;
  Impl_->Socket_.close(Ignored);
}

void DatagramSocket::send(const Endpoint &To, const wire::Message &Value) {
  Impl_->send(To, Value);
}

Endpoint DatagramSocket::endpoint() const {
  return fromAsio(Impl_->Socket_.local_endpoint());
}

} // namespace dragonfly::net
