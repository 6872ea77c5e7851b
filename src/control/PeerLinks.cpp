#include "control/PeerLinks.h"

#include "dragonfly/base/Log.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/NetError.h"

namespace dragonfly::control {

void PeerLinks::send(ReplicaId To, const wire::Message &Value) {
  if (net::FrameClient *Client = linkTo(To))
    Client->send(Value);
}

void PeerLinks::heardFrom(ReplicaId From) {
  if (!Links_.contains(From))
    return;
  if (net::FrameClient *Client = linkTo(From))
    Client->reconnectNow();
}

void PeerLinks::announcedBy(ReplicaId From, StoreId Store) {
  Link &Row = Links_[From];
  const StoreId Before = std::exchange(Row.Store_, Store);
  if (Before && Before != Store)
    Row = {.Store_ = Store};
  heardFrom(From);
}

net::FrameClient *PeerLinks::linkTo(ReplicaId To) {
  std::string Address = Find_(To);
  Link &Row = Links_[To];
  if (!Address.empty() && Address != Row.Address_) {
    Row.Address_ = std::move(Address);
    connect(To, Row);
  }
  return Row.Client_.get();
}

void PeerLinks::connect(ReplicaId To, Link &Row) const {
  try {
    Row.Client_ = std::make_unique<net::FrameClient>(
        Loop_, net::FrameClientOptions{
                   .Peer_ = net::Endpoint::make(Row.Address_), .Self_ = Self_});
  } catch (const net::NetError &) {
    // The link to the last usable address stays.
    logEvent(Event::ReplicaAddressRejected,
             {{"replica", To.Value_}, {"address", Row.Address_}});
  }
}

} // namespace dragonfly::control
