#include "link/SocketTransport.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonfly::link {

SocketTransport::SocketTransport(net::EventLoop &Loop,
                                 SocketTransportOptions Options)
    : Options_(std::move(Options)),
      Socket_(Loop, {.Listen_ = Options_.Listen_,
                     .Self_ = Options_.Self_,
                     .OnMessage_ = [this](const net::Endpoint &From,
                                          const wire::Message &Value) {
                       take(From, Value);
                     }}) {
  std::ranges::transform(
      Options_.Replicas_, std::back_inserter(Clients_),
      [&](const net::Endpoint &Replica) {
        return std::make_unique<net::FrameClient>(
            Loop,
            net::FrameClientOptions{.Peer_ = Replica, .Self_ = Options_.Self_});
      });
}

ControlTransport SocketTransport::hooks() {
  return {.Send_ =
              [this](std::size_t Replica, const wire::Heartbeat &Beat) {
                Socket_.send(Options_.Replicas_.at(Replica), Beat);
              },
          .Call_ =
              [this](std::size_t Replica, const wire::Message &Request,
                     Duration Timeout, net::FrameClient::Handler OnEnd) {
                Clients_.at(Replica)->call(Request, Timeout, std::move(OnEnd));
              }};
}

void SocketTransport::take(const net::Endpoint &From,
                           const wire::Message &Value) const {
  const auto It = std::ranges::find(Options_.Replicas_, From);
  const auto *Ack = std::get_if<wire::HeartbeatAck>(&Value);
  if (Ack != nullptr && It != Options_.Replicas_.end())
    Options_.OnAck_(static_cast<std::size_t>(It - Options_.Replicas_.begin()),
                    *Ack);
}

} // namespace dragonfly::link
