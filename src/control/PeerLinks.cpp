#include "control/PeerLinks.h"

#include "dragonfly/base/Log.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/NetError.h"
#include "dragonfly/wire/Frame.h"

namespace dragonfly::control {
namespace {

/// A leader sends a heartbeat each 100 ms and gets an answer to each.
constexpr Duration AnswerTime = std::chrono::milliseconds(200);

/// Longer messages leave in parts of this size.
constexpr std::size_t PartBytes = 32U << 10U;
/// Two parts; what the system holds delays heartbeats.
constexpr std::size_t SendBufferBytes = 2 * PartBytes;
/// Messages in parts that wait for one link. The log sends one at a time; more
/// are repetitions.
constexpr std::size_t MaxLeaving = 2;

} // namespace

void PeerLinks::send(ReplicaId To, const wire::Message &Value) {
  net::FrameClient *Client = linkTo(To);
  if (Client == nullptr)
    return;
  Client->send(Value);
  recordSent(To, Links_[To]);
}

void PeerLinks::sendTraffic(ReplicaId To, std::string Bytes) {
  if (Bytes.size() <= PartBytes) {
    send(To,
         wire::ReplicaTraffic{.From_ = Replica_, .Bytes_ = std::move(Bytes)});
    return;
  }
  const net::FrameClient *Client = linkTo(To);
  Link &Row = Links_[To];
  if (Client == nullptr || !Client->connected() ||
      Row.Leaving_.size() >= MaxLeaving)
    return;
  Row.Leaving_.push_back(
      {.Number_ = ++LastNumber_, .Bytes_ = std::move(Bytes)});
  sendParts(To, Row);
}

bool PeerLinks::isSending(ReplicaId To) const {
  const auto Found = Links_.find(To);
  return Found != Links_.end() && !Found->second.Leaving_.empty();
}

std::size_t PeerLinks::waitingBytes() const {
  std::size_t Sum = 0;
  for (const auto &[To, Row] : Links_) {
    Sum += Row.Client_ ? Row.Client_->queuedBytes() : 0;
    for (const Parted &Each : Row.Leaving_)
      Sum += Each.Bytes_.size() - Each.Sent_;
  }
  return Sum;
}

void PeerLinks::sendParts(ReplicaId To, Link &Row) {
  if (!Row.Client_ || !Row.Client_->connected())
    Row.Leaving_.clear();
  while (!Row.Leaving_.empty() && Row.Client_->queuedBytes() < PartBytes) {
    Parted &Next = Row.Leaving_.front();
    send(To, wire::ReplicaPart{.From_ = Replica_,
                               .Number_ = Next.Number_,
                               .Offset_ = Next.Sent_,
                               .TotalBytes_ = Next.Bytes_.size(),
                               .Bytes_ =
                                   Next.Bytes_.substr(Next.Sent_, PartBytes)});
    Next.Sent_ += PartBytes;
    if (Next.Sent_ >= Next.Bytes_.size())
      Row.Leaving_.pop_front();
  }
}

std::optional<std::string> PeerLinks::takePart(wire::ReplicaPart Part) {
  Parted &Held = Links_[Part.From_].Arriving_;
  const bool Hostile = Part.TotalBytes_ > wire::MaxPayloadBytes ||
                       Part.Bytes_.size() > Part.TotalBytes_;
  if (Hostile || Part.Offset_ == 0)
    Held = {.Number_ = Part.Number_, .Bytes_ = {}};
  if (Hostile || Part.Number_ != Held.Number_ ||
      Part.Offset_ != Held.Bytes_.size())
    return std::nullopt;
  Held.Bytes_ += Part.Bytes_;
  if (Held.Bytes_.size() < Part.TotalBytes_)
    return std::nullopt;
  return std::exchange(Held, {}).Bytes_;
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
  for (auto &[To, Row] : Links_)
    sendParts(To, Row);
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
                                .SendBufferBytes_ = SendBufferBytes,
                                .VerifiesOneWay_ = false});
  } catch (const net::NetError &) {
    // The link to the last usable address stays.
    logEvent(Event::ReplicaAddressRejected,
             {{"replica", To.Value_}, {"address", Row.Address_}});
  }
}

} // namespace dragonfly::control
