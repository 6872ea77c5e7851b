#include "control/PeerLinks.h"

#include "dragonfly/net/EventLoop.h"

namespace dragonfly::control {

void PeerLinks::send(ReplicaId To, const wire::Message &Value) {
  std::unique_ptr<net::FrameClient> &Link = Links_[To];
  if (!Link) {
    const std::string Address = Find_(To);
    if (Address.empty())
      return;
    Link = std::make_unique<net::FrameClient>(
        Loop_, net::FrameClientOptions{.Peer_ = net::Endpoint::make(Address),
                                       .Self_ = Self_});
  }
  Link->send(Value);
}

void PeerLinks::heardFrom(ReplicaId From) {
  const auto Found = Links_.find(From);
  if (Found != Links_.end() && Found->second)
    Found->second->reconnectNow();
}

} // namespace dragonfly::control
