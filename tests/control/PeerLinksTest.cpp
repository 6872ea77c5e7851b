/// What becomes of a link when its replica's address changes.
#include "control/PeerLinks.h"

#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/FrameServer.h"

#include <catch2/catch.hpp>

namespace dragonfly::control {
namespace {

constexpr ReplicaId Peer{2};

/// A replica that counts what reaches it.
struct Listener {
  explicit Listener(net::EventLoop &Loop)
      : Server_(Loop, {.Listen_ = {.Address_ = "127.0.0.1", .Port_ = 0},
                       .Self_ = {2},
                       .OnMessage_ = [this](auto, auto) { ++Received_; }}) {}

  std::size_t Received_ = 0;
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

// Guards against RECOVER: an address that cannot be parsed ended the process
// that was to send there.
TEST_CASE("a malformed address opens no link", "[control][links]") {
  net::EventLoop Loop;
  PeerLinks Links(Loop, {1}, [](ReplicaId) { return "nowhere"; });
  CHECK_NOTHROW(sendSome(Loop, Links));
  CHECK_NOTHROW(Links.heardFrom(Peer));
}

} // namespace dragonfly::control
