#include "control/PeerLinks.h"

#include "dragonfly/base/Log.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/NetError.h"

namespace dragonfly::control {
namespace {

/// A leader sends a heartbeat each 100 ms and gets an answer to each.
constexpr Duration AnswerTime = std::chrono::milliseconds(200);

} // namespace

void PeerLinks::send(ReplicaId To, const wire::Message &Value) {
  net::FrameClient *Client = linkTo(To);
  if (Client == nullptr)
    return;
  Client->send(Value);
  recordSent(To, Links_[To]);
}

void PeerLinks::recordSent(ReplicaId To, Link &Row) {
  const TimePoint Now = Clock::now();
  if (!Row.UnansweredSince_)
    Row.UnansweredSince_ = Now;
  const Duration Silent = Now - *Row.UnansweredSince_;
  if (!Row.Client_->connected() || Silent < AnswerTime ||
      Now - Row.DoubtedAt_ < AnswerTime)
    return;
  if (Row.DoubtedAt_ < *Row.UnansweredSince_)
    logEvent(Event::ReplicaUnheard,
             {{"replica", To.Value_},
              {"silent_ms", static_cast<std::uint64_t>(toMilliseconds(Silent))},
              {"queued_bytes", Row.Client_->queuedBytes()}});
  Row.DoubtedAt_ = Now;
  Row.Client_->verify();
  Row.Client_->send(wire::ReplicaUnheard{.From_ = Replica_});
}

void PeerLinks::unheardBy(ReplicaId By) {
  if (!Links_.contains(By))
    return;
  if (net::FrameClient *Client = linkTo(By))
    Client->verify();
}

void PeerLinks::tick(TimePoint Now) {
  for (auto &[From, Row] : Links_)
    if (Row.HeardAt_ && Now - *Row.HeardAt_ >= AnswerTime) {
      Row.HeardAt_.reset();
      verifyAll();
    }
}

/// Those between followers, which are idle until an election, as well.
void PeerLinks::verifyAll() {
  for (const auto &[To, Row] : Links_)
    if (Row.Client_)
      Row.Client_->verify();
}

void PeerLinks::heardFrom(ReplicaId From) {
  if (!Links_.contains(From))
    return;
  Links_[From].UnansweredSince_.reset();
  Links_[From].HeardAt_ = Clock::now();
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
        Loop_,
        net::FrameClientOptions{.Peer_ = net::Endpoint::make(Row.Address_),
                                .Self_ = Self_,
                                .VerifiesOneWay_ = false});
  } catch (const net::NetError &) {
    // The link to the last usable address stays.
    logEvent(Event::ReplicaAddressRejected,
             {{"replica", To.Value_}, {"address", Row.Address_}});
  }
}

} // namespace dragonfly::control
