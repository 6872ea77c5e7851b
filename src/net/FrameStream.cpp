#include "net/FrameStream.h"

#include "dragonfly/base/Log.h"
#include "net/Sockets.h"

#include <boost/asio/write.hpp>

#include <utility>

namespace dragonfly::net {

FrameStream::FrameStream(boost::asio::ip::tcp::socket Socket, Hooks Handlers)
    : Socket_(std::move(Socket)), Hooks_(std::move(Handlers)) {
  tuneStream(Socket_);
}

void FrameStream::start() { read(); }

void FrameStream::write(const std::string &Bytes) {
  if (!Open_)
    return;
  Waiting_ += Bytes;
  if (Writing_.empty())
    flush();
}

void FrameStream::close() {
  Open_ = false;
  boost::system::error_code Ignored;
  Socket_.close(Ignored);
}

void FrameStream::read() {
  Socket_.async_read_some(
      boost::asio::buffer(Buffer_),
      [Self = shared_from_this()](const auto &Fault, std::size_t Size) {
        if (!Self->Open_)
          return;
        if (Fault)
          Self->fail();
        else
          Self->take(Size);
      });
}

void FrameStream::take(std::size_t Size) {
  try {
    Reader_.feed({Buffer_.data(), Size});
    while (auto Value = Reader_.next()) {
      if (!checkSender(*Value))
        return;
      Hooks_.OnFrame_(std::move(*Value));
      if (!Open_)
        return;
    }
  } catch (const wire::FrameError &Fault) {
    logEvent(Event::FrameRejected, {{"fault", Fault.type()}});
    fail();
    return;
  }
  read();
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
      [Self = shared_from_this()](const auto &Fault, std::size_t) {
        Self->Writing_.clear();
        if (!Self->Open_)
          return;
        if (Fault)
          Self->fail();
        else if (!Self->Waiting_.empty())
          Self->flush();
      });
}

void FrameStream::fail() {
  close();
  if (const auto Handler = std::exchange(Hooks_.OnClosed_, nullptr))
    Handler();
}

} // namespace dragonfly::net
