/// One open TCP connection that carries frames both ways.
#ifndef DRAGONFLY_SRC_NET_FRAMESTREAM_H
#define DRAGONFLY_SRC_NET_FRAMESTREAM_H

#include "dragonfly/wire/Frame.h"

#include <boost/asio/ip/tcp.hpp>

#include <array>
#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace dragonfly::net {

/// Reads frames, and writes queued bytes in as few writes as possible.
class FrameStream : public std::enable_shared_from_this<FrameStream> {
public:
  struct Hooks {
    std::function<void(wire::Frame)> OnFrame_;
    /// Called once, when the connection has closed for any reason but
    /// `close()`.
    std::function<void()> OnClosed_;
    /// Called as queued bytes are handed to the socket.
    std::function<void()> OnWriting_;
  };

  FrameStream(boost::asio::ip::tcp::socket Socket, Hooks Handlers);

  void start();
  /// Queues the bytes of a frame.
  void write(const std::string &Bytes);
  /// Closes without calling OnClosed_.
  void close();
  bool open() const { return Open_; }
  std::size_t queuedBytes() const { return Waiting_.size() + Writing_.size(); }

private:
  void read();
  void flush();
  void take(std::size_t Size);
  void fail();
  bool checkSender(const wire::Frame &Value);

  static constexpr std::size_t ReadBytes = 64U << 10U;

  boost::asio::ip::tcp::socket Socket_;
  Hooks Hooks_;
  wire::FrameReader Reader_;
  Incarnation Peer_;
  std::string Waiting_;
  std::string Writing_;
  bool Open_ = true;
  std::array<char, ReadBytes> Buffer_{};
};

} // namespace dragonfly::net

#endif // DRAGONFLY_SRC_NET_FRAMESTREAM_H
