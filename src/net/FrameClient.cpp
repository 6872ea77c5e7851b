#include "net/FrameClientImpl.h"

#include <utility>

namespace dragonfly::net {

void FrameClient::Impl::openSecond() {
  dropSecond();
  SecondSocket_ = std::make_shared<tcp::socket>(Context_);
  SecondSocket_->async_connect(
      toAsio<tcp>(Options_.Peer_),
      [Self = weak_from_this(), Socket = SecondSocket_](const auto &Fault) {
        const auto Client = Self.lock();
        if (!Fault && Client && Client->SecondSocket_ == Socket)
          Client->secondConnected();
      });
}

void FrameClient::Impl::perform(SilenceAction Due) {
  switch (Due) {
  case SilenceAction::None:
    break;
  case SilenceAction::Probe:
    sendProbe(*Stream_);
    break;
  case SilenceAction::OpenSecond:
    openSecond();
    break;
  case SilenceAction::Replace:
    replace();
  }
}

void FrameClient::Impl::replace() {
  logEvent(Event::ConnectionSilent, {{"peer", Options_.Peer_.text()},
                                     {"calls", Calls_.size()},
                                     {"queued_bytes", Stream_->queuedBytes()}});
  Stream_->close();
  use(std::exchange(Second_, nullptr));
  endCalls();
}

FrameClient::FrameClient(EventLoop &Loop, FrameClientOptions Options)
    : Impl_(std::make_shared<Impl>(Loop, std::move(Options))) {
  Impl_->connect();
}

FrameClient::~FrameClient() { Impl_->close(); }

void FrameClient::call(const wire::Message &Request, Duration Timeout,
                       Handler OnEnd, PartHandler OnPart) {
  Impl_->call(Request, Timeout, std::move(OnEnd), std::move(OnPart));
}

void FrameClient::send(const wire::Message &Value) { Impl_->send(Value); }

void FrameClient::verify() { Impl_->verify(); }

void FrameClient::reconnectNow() { Impl_->reconnectNow(); }

bool FrameClient::connected() const { return Impl_->Link_ == Impl::Link::Open; }

std::size_t FrameClient::pendingCalls() const { return Impl_->Calls_.size(); }

std::size_t FrameClient::queuedBytes() const {
  return Impl_->Stream_ ? Impl_->Stream_->queuedBytes() : 0;
}

std::uint64_t FrameClient::lateAnswers() const { return Impl_->LateAnswers_; }

} // namespace dragonfly::net
