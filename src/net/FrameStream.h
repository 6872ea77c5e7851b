/// One open TCP connection that carries frames both ways.
#ifndef DRAGONFLY_SRC_NET_FRAMESTREAM_H
#define DRAGONFLY_SRC_NET_FRAMESTREAM_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/wire/Frame.h"

#include <boost/asio/ip/tcp.hpp>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

namespace dragonfly::net {

/// Reads frames, and writes queued bytes in as few writes as possible.
class FrameStream : public std::enable_shared_from_this<FrameStream> {
public:
  struct Hooks {
    std::function<void(wire::Frame)> OnFrame_;
    /// Called once, when the connection has closed for any reason but
    /// `close()`.
    std::function<void()> OnClosed_;
    /// Called with the memory held for received bytes, and the part of it that
    /// is held for a frame that is not whole yet.
    std::function<void(std::size_t Held, std::size_t Incomplete)> OnHeld_;
    /// Called as queued bytes are handed to the socket.
    std::function<void()> OnWriting_;
    /// Called with the sequence number of a probe that the peer has answered.
    std::function<void(std::uint64_t)> OnProbeAnswer_;
  };

  FrameStream(boost::asio::ip::tcp::socket Socket, Incarnation Self,
              Hooks Handlers);

  /// Takes no further frames while more than \p Bytes wait for the peer to take
  /// them. For one end of a connection only: two that waited for each other
  /// would never read again.
  void pauseBeyond(std::size_t Bytes) { MaxUntakenBytes_ = Bytes; }
  void start();
  /// Queues the bytes of a frame.
  void write(const std::string &Bytes);
  /// Asks the peer's stream to answer at once, whatever its owner does.
  void probe(std::uint64_t Sequence);
  /// Sends what is queued and then the end of the stream. Frames that come
  /// later have no effect; the stream closes when the peer does.
  void finish();
  bool finishing() const { return Finishing_; }
  /// Closes without calling OnClosed_.
  void close();
  /// Closes as if the peer had.
  void fail();
  bool open() const { return Open_; }
  std::size_t queuedBytes() const { return Waiting_.size() + Writing_.size(); }
  /// When the socket last took bytes and had no room for those behind them, or
  /// gave bytes of a frame that is not whole yet.
  TimePoint progressAt() const { return ProgressAt_; }
  /// Returns how many calls in a row, with this one, have found that nothing
  /// had come since the call before.
  int countIdleSweep() {
    IdleSweeps_ = std::exchange(Heard_, false) ? 0 : IdleSweeps_ + 1;
    return IdleSweeps_;
  }

  /// When the last whole frame had come, or the stream had been opened.
  TimePoint lastFrameAt() const { return LastFrameAt_; }
  /// Whether the peer has sent a whole frame.
  bool hasTakenFrame() const { return Peer_ != Incarnation(); }

private:
  void read();
  void flush();
  /// Reads on where that had paused and enough bytes have left.
  void resume();
  /// Returns how much of what is being written is left.
  std::size_t bytesToWrite(std::size_t Taken);
  void onReadable();
  void take(std::string_view Bytes);
  /// Hands over the whole frames that have arrived, and reads on.
  void takeFrames();
  bool isPaused() const { return queuedBytes() > MaxUntakenBytes_; }
  void reportHeld(bool HasTakenFrame);
  void takeFrame(wire::Frame Value);
  void sendProbe(wire::FrameKind Kind, std::uint64_t Sequence);
  /// Ends the sending direction once all bytes have left.
  void endSending();
  bool checkSender(const wire::Frame &Value);

  boost::asio::ip::tcp::socket Socket_;
  Incarnation Self_;
  Hooks Hooks_;
  wire::FrameReader Reader_;
  Incarnation Peer_;
  std::string Waiting_;
  std::string Writing_;
  std::size_t MaxUntakenBytes_ = std::numeric_limits<std::size_t>::max();
  /// Nothing is read until queued bytes have left.
  bool Paused_ = false;
  TimePoint ProgressAt_;
  TimePoint LastFrameAt_ = Clock::now();
  bool Heard_ = false;
  int IdleSweeps_ = 0;
  bool Open_ = true;
  bool Finishing_ = false;
};

} // namespace dragonfly::net

#endif // DRAGONFLY_SRC_NET_FRAMESTREAM_H
