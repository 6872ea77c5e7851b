/// The connections of a control replica to the others. What goes over them has
/// no answers, so that a link learns from itself neither that its peer is back
/// nor that it has gone silent.
#ifndef DRAGONFLY_SRC_CONTROL_PEERLINKS_H
#define DRAGONFLY_SRC_CONTROL_PEERLINKS_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Ids.h"
#include "dragonfly/net/FrameClient.h"
#include "dragonfly/wire/Messages.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>

namespace dragonfly::net {
class EventLoop;
} // namespace dragonfly::net

namespace dragonfly::control {

class PeerLinks {
public:
  /// Returns the address of a replica, or an empty text.
  using AddressOf = std::function<std::string(ReplicaId)>;

  PeerLinks(net::EventLoop &Loop, ReplicaId Replica, Incarnation Self,
            AddressOf Find)
      : Loop_(Loop), Replica_(Replica), Self_(Self), Find_(std::move(Find)) {}

  /// Sends \p Value if the link is open. Opens one if there is none, or if the
  /// replica's address has changed.
  void send(ReplicaId To, const wire::Message &Value);
  /// Sends \p Bytes of the replicated log's protocol in the same way. Those
  /// that would hold up what follows them leave in parts, between which other
  /// messages pass.
  void sendTraffic(ReplicaId To, std::string Bytes);
  /// True while parts of a message to \p To have not left.
  bool isSending(ReplicaId To) const;
  /// Bytes that wait in this process for all links.
  std::size_t waitingBytes() const;
  /// Takes a part from another replica. Returns the message once it is whole.
  std::optional<std::string> takePart(wire::ReplicaPart Part);
  /// Called with each message of \p From: it is up, so that its link, if it is
  /// down, is tried now.
  void heardFrom(ReplicaId From);
  /// Sends the next parts. Verifies the links once a replica that was heard has
  /// fallen silent: a follower sends nothing by itself.
  void tick(TimePoint Now);
  /// Called where \p By has told that nothing comes from this replica: the link
  /// to it may be silent although its own messages arrive.
  void unheardBy(ReplicaId By);
  /// Called with each announcement of \p From. One with another data folder
  /// than before replaces an open link as well: the VM may have lost power
  /// without closing it.
  void announcedBy(ReplicaId From, StoreId Store);

private:
  /// A message that leaves or arrives in parts.
  struct Parted {
    std::uint64_t Number_ = 0;
    std::string Bytes_;
    /// Bytes that have left, of those that leave.
    std::size_t Sent_ = 0;
  };

  struct Link {
    /// The newest address, also where it is malformed.
    std::string Address_;
    std::unique_ptr<net::FrameClient> Client_;
    /// The data folder that the replica announced last.
    StoreId Store_;
    /// When the first message left to which none has come back.
    std::optional<TimePoint> UnansweredSince_;
    TimePoint DoubtedAt_;
    /// When the replica was last heard, until its silence has been acted on.
    std::optional<TimePoint> HeardAt_;
    std::deque<Parted> Leaving_;
    Parted Arriving_;
  };

  /// Returns the link to the newest address of \p To, or null.
  net::FrameClient *linkTo(ReplicaId To);
  void connect(ReplicaId To, Link &Row) const;
  /// Notes that a message has left for \p To, and doubts the link where nothing
  /// has come from it for too long.
  void recordSent(ReplicaId To, Link &Row);
  void verifyAll();
  /// Sends parts until some wait in this process.
  void sendParts(ReplicaId To, Link &Row);

  net::EventLoop &Loop_;
  ReplicaId Replica_;
  Incarnation Self_;
  AddressOf Find_;
  std::map<ReplicaId, Link> Links_;
  std::uint64_t LastNumber_ = 0;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_PEERLINKS_H
