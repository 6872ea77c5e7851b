#include "net/FrameStream.h"

#include "dragonfly/base/Log.h"
#include "net/Sockets.h"

#include <boost/asio/write.hpp>

#include <array>
#include <utility>

namespace dragonfly::net {
namespace {

constexpr std::size_t ReadBytes = 64U << 10U;

} // namespace

FrameStream::FrameStream(boost::asio::ip::tcp::socket Socket, Incarnation Self,
                         Hooks Handlers)
    : Socket_(std::move(Socket)), Self_(Self), Hooks_(std::move(Handlers)) {
  tuneStream(Socket_);
  boost::system::error_code Ignored;
  Socket_.non_blocking(true, Ignored);
}

void FrameStream::start() { read(); }

void FrameStream::write(const std::string &Bytes) {
  if (!Open_ || Finishing_)
    return;
  Waiting_ += Bytes;
  if (Writing_.empty())
    flush();
}

void FrameStream::probe(std::uint64_t Sequence) {
  sendProbe(wire::FrameKind::Probe, Sequence);
}

void FrameStream::sendProbe(wire::FrameKind Kind, std::uint64_t Sequence) {
  write(wire::encodeFrame({.Kind_ = Kind,
                           .Sender_ = Self_,
                           .Sequence_ = Sequence,
                           .Message_ = {}}));
}

void FrameStream::finish() {
  if (!Open_ || std::exchange(Finishing_, true))
    return;
  if (queuedBytes() == 0)
    endSending();
}

void FrameStream::endSending() {
  boost::system::error_code Ignored;
  Socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_send, Ignored);
}

void FrameStream::close() {
  Open_ = false;
  // The stream lives on until its pending handlers have run.
  if (Hooks_.OnHeld_)
    Hooks_.OnHeld_(0, 0);
  boost::system::error_code Ignored;
  Socket_.close(Ignored);
}

void FrameStream::read() {
  Socket_.async_wait(boost::asio::ip::tcp::socket::wait_read,
                     [Self = shared_from_this()](const auto &Fault) {
                       if (!Self->Open_)
                         return;
                       if (Fault)
                         Self->fail();
                       else
                         Self->onReadable();
                     });
}

void FrameStream::onReadable() {
  // Shared by all streams: an idle one holds no buffer.
  thread_local std::array<char, ReadBytes> Scratch;
  boost::system::error_code Fault;
  const std::size_t Size =
      Socket_.read_some(boost::asio::buffer(Scratch), Fault);
  if (Fault == boost::asio::error::would_block)
    read();
  else if (Fault)
    fail();
  else
    take({Scratch.data(), Size});
}

void FrameStream::take(std::string_view Bytes) {
  Heard_ = true;
  if (Finishing_) {
    read();
    return;
  }
  Reader_.feed(Bytes);
  takeFrames();
}

void FrameStream::takeFrames() {
  bool HasTakenFrame = false;
  try {
    while (!isPaused()) {
      auto Value = Reader_.next();
      if (!Value)
        break;
      if (!checkSender(*Value))
        return;
      HasTakenFrame = true;
      LastFrameAt_ = Clock::now();
      takeFrame(std::move(*Value));
      if (!Open_ || Finishing_)
        break;
    }
  } catch (const wire::FrameError &Fault) {
    logEvent(Event::FrameRejected, {{"fault", Fault.type()}});
    fail();
    return;
  }
  if (!Open_)
    return;
  if (Reader_.pendingBytes() > 0)
    ProgressAt_ = Clock::now();
  Reader_.shrink();
  reportHeld(HasTakenFrame);
  Paused_ = isPaused();
  if (Open_ && !Paused_)
    read();
}

void FrameStream::takeFrame(wire::Frame Value) {
  if (Value.Kind_ == wire::FrameKind::Probe)
    sendProbe(wire::FrameKind::ProbeAnswer, Value.Sequence_);
  else if (Value.Kind_ != wire::FrameKind::ProbeAnswer)
    Hooks_.OnFrame_(std::move(Value));
  else if (Hooks_.OnProbeAnswer_)
    Hooks_.OnProbeAnswer_(Value.Sequence_);
}

/// All frames of one connection come from one incarnation of the peer.
bool FrameStream::checkSender(const wire::Frame &Value) {
  if (!Peer_)
    Peer_ = Value.Sender_;
  if (Peer_ == Value.Sender_)
    return true;
  logEvent(Event::FrameRejected, {{"fault", "wrong-incarnation"}});
  fail();
  return false;
}

void FrameStream::flush() {
  Writing_.swap(Waiting_);
  if (Hooks_.OnWriting_)
    Hooks_.OnWriting_();
  boost::asio::async_write(
      Socket_, boost::asio::buffer(Writing_),
      [Self = shared_from_this()](const auto &Fault, std::size_t Taken) {
        return Fault ? 0 : Self->bytesToWrite(Taken);
      },
      [Self = shared_from_this()](const auto &Fault, std::size_t) {
        Self->Writing_.clear();
        if (!Self->Open_)
          return;
        if (Fault)
          Self->fail();
        else if (!Self->Waiting_.empty())
          Self->flush();
        else if (Self->Finishing_)
          Self->endSending();
        Self->resume();
      });
}

void FrameStream::resume() {
  if (!Open_ || !Paused_ || isPaused())
    return;
  Paused_ = false;
  if (Finishing_)
    read();
  else
    takeFrames();
}

std::size_t FrameStream::bytesToWrite(std::size_t Taken) {
  const std::size_t Left = Writing_.size() - Taken;
  if (Taken > 0 && Left > 0)
    ProgressAt_ = Clock::now();
  // A peer that takes answers is not idle, though nothing is read from it.
  Heard_ = Heard_ || (Paused_ && Taken > 0);
  return Left;
}

/// A frame that is not whole counts as begun when the one before it was taken.
void FrameStream::reportHeld(bool HasTakenFrame) {
  if (!Hooks_.OnHeld_)
    return;
  const std::size_t Held = Reader_.heldBytes();
  if (HasTakenFrame)
    Hooks_.OnHeld_(Held, 0);
  if (Open_ && Reader_.pendingBytes() > 0)
    Hooks_.OnHeld_(Held, Held);
}

void FrameStream::fail() {
  if (!Open_)
    return;
  close();
  if (const auto Handler = std::exchange(Hooks_.OnClosed_, nullptr))
    Handler();
}

} // namespace dragonfly::net
