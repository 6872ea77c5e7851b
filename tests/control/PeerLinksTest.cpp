/// What becomes of a link when its replica's address changes.
#include "control/PeerLinks.h"

#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/FrameServer.h"

#include <catch2/catch.hpp>

#include <optional>
#include <utility>

namespace dragonfly::control {
namespace {

constexpr ReplicaId Peer{2};

/// A replica that counts what reaches it.
struct Listener {
  explicit Listener(net::EventLoop &Loop)
      : Server_(Loop, {.Listen_ = {.Address_ = "127.0.0.1", .Port_ = 0},
                       .Self_ = {2},
                       .OnMessage_ = [this](auto, net::FrameReplier From) {
                         ++Received_;
                         Last_ = std::move(From);
                       }}) {}

  std::size_t Received_ = 0;
  /// The sender of the last frame, on its connection.
  std::optional<net::FrameReplier> Last_;
  net::FrameServer Server_;
};

/// Sends to the peer a few times; the first frames may find a link that opens.
void sendSome(net::EventLoop &Loop, PeerLinks &Links) {
  constexpr int Frames = 20;
  for (int Count = 0; Count < Frames; ++Count) {
    Links.send(Peer, wire::ReplicaTraffic{.From_ = {1}});
    for (int Polls = 0; Polls < Frames; ++Polls)
      Loop.poll();
  }
}

} // namespace

// Guards against LOST: a link kept the first address of its replica for the
// whole life of the process.
TEST_CASE("a link follows the address of its replica", "[control][links]") {
  net::EventLoop Loop;
  Listener First(Loop);
  Listener Second(Loop);
  std::string Address;
  PeerLinks Links(Loop, {1}, [&](ReplicaId) { return Address; });
  sendSome(Loop, Links);
  Address = First.Server_.endpoint().text();
  sendSome(Loop, Links);
  CHECK(First.Received_ > 0);
  CHECK(First.Server_.connections() == 1);

  SECTION("to another one, with what is sent next") {
    Address = Second.Server_.endpoint().text();
    sendSome(Loop, Links);
    CHECK(Second.Received_ > 0);
    CHECK(First.Server_.connections() == 0);
  }
  SECTION("to another one, when the replica is heard") {
    Address = Second.Server_.endpoint().text();
    Links.heardFrom(Peer);
    for (int Polls = 0; Polls < 100; ++Polls)
      Loop.poll();
    CHECK(Second.Server_.connections() == 1);
  }
  SECTION("but not to none, nor to a malformed one") {
    for (const char *Unusable : {"", "nowhere"}) {
      const std::size_t Before = First.Received_;
      Address = Unusable;
      CHECK_NOTHROW(sendSome(Loop, Links));
      CHECK(First.Received_ > Before);
    }
  }
}

// Guards against LOST: a VM that lost power leaves a link that looks open, over
// which a replica that is back with an empty disk is reached only once a packet
// is sent again.
TEST_CASE("a replica with another data folder is reached by a new link",
          "[control][links]") {
  net::EventLoop Loop;
  Listener Replica(Loop);
  PeerLinks Links(Loop, {1},
                  [&](ReplicaId) { return Replica.Server_.endpoint().text(); });
  Links.announcedBy(Peer, StoreId{7});
  sendSome(Loop, Links);
  REQUIRE(Replica.Last_);
  const net::FrameReplier First = *Replica.Last_;
  Links.announcedBy(Peer, StoreId{7});
  sendSome(Loop, Links);
  CHECK(First.connected());
  const std::size_t Before = Replica.Received_;
  Links.announcedBy(Peer, StoreId{8});
  sendSome(Loop, Links);
  CHECK_FALSE(First.connected());
  CHECK(Replica.Server_.connections() == 1);
  CHECK(Replica.Received_ > Before);
}

// Guards against RECOVER: an address that cannot be parsed ended the process
// that was to send there.
TEST_CASE("a malformed address opens no link", "[control][links]") {
  net::EventLoop Loop;
  PeerLinks Links(Loop, {1}, [](ReplicaId) { return "nowhere"; });
  CHECK_NOTHROW(sendSome(Loop, Links));
  CHECK_NOTHROW(Links.heardFrom(Peer));
}

} // namespace dragonfly::control
