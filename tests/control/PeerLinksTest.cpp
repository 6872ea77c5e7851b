/// What becomes of a link when its replica's address changes.
#include "control/PeerLinks.h"

#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/FrameServer.h"
#include "dragonfly/wire/Frame.h"
#include "net/PausedLoop.h"
#include "net/SilentRelay.h"

#include <catch2/catch.hpp>

#include <optional>
#include <utility>

namespace dragonfly::control {
namespace {

constexpr ReplicaId Peer{2};
const net::Endpoint AnyPort{.Address_ = "127.0.0.1", .Port_ = 0};

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
  PeerLinks Links(Loop, {1}, {1}, [&](ReplicaId) { return Address; });
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
  PeerLinks Links(Loop, {1}, {1},
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
  PeerLinks Links(Loop, {1}, {1}, [](ReplicaId) { return "nowhere"; });
  CHECK_NOTHROW(sendSome(Loop, Links));
  CHECK_NOTHROW(Links.heardFrom(Peer));
}

/// Two replicas that send to each other over links that a relay carries.
struct Pair {
  explicit Pair(net::EventLoop &Loop)
      : Loop_(Loop),
        First_(Loop, {.Listen_ = AnyPort,
                      .Self_ = {1},
                      .OnMessage_ =
                          [this](const wire::Message &Value, auto) {
                            take(Value, FirstLinks_, FirstGot_);
                          }}),
        Second_(Loop,
                {.Listen_ = AnyPort,
                 .Self_ = {2},
                 .OnMessage_ =
                     [this](const wire::Message &Value, auto) {
                       take(Value, SecondLinks_, SecondGot_);
                       if (std::holds_alternative<wire::ReplicaTraffic>(Value))
                         SecondLinks_.send({1},
                                           wire::ReplicaTraffic{.From_ = {2}});
                     }}),
        ToFirst_(Loop, First_.endpoint()), ToSecond_(Loop, Second_.endpoint()),
        FirstLinks_(Loop, {1}, {1},
                    [this](ReplicaId) { return ToSecond_.endpoint().text(); }),
        SecondLinks_(Loop, {2}, {2},
                     [this](ReplicaId) { return ToFirst_.endpoint().text(); }) {
  }

  static void take(const wire::Message &Value, PeerLinks &Links,
                   std::size_t &Got) {
    if (const auto *Traffic = std::get_if<wire::ReplicaTraffic>(&Value)) {
      ++Got;
      Links.heardFrom(Traffic->From_);
    } else if (const auto *Doubt = std::get_if<wire::ReplicaUnheard>(&Value)) {
      Links.unheardBy(Doubt->From_);
    }
  }

  /// Lets the first send a message every 100 ms, as a leader does. The second
  /// only answers, as a follower does.
  void run(Duration Time) {
    constexpr Duration StepTime = std::chrono::milliseconds(10);
    constexpr int StepsPerMessage = 10;
    for (Duration Past{}; Past < Time; Past += StepTime) {
      if (Step_++ % StepsPerMessage == 0)
        FirstLinks_.send({2}, wire::ReplicaTraffic{.From_ = {1}});
      net::pollSome(Loop_);
      FirstLinks_.tick(Clock::now());
      SecondLinks_.tick(Clock::now());
      Clock::advance(StepTime);
    }
  }

  net::EventLoop &Loop_;
  std::size_t FirstGot_ = 0;
  std::size_t SecondGot_ = 0;
  int Step_ = 0;
  net::FrameServer First_;
  net::FrameServer Second_;
  net::SilentRelay ToFirst_;
  net::SilentRelay ToSecond_;
  PeerLinks FirstLinks_;
  PeerLinks SecondLinks_;
};

// Guards against LOST: links between replicas went silent for good, and the
// group had no leader from then on ("is to last and doesn't run").
TEST_CASE("links that go silent carry messages again before an election ends",
          "[control][links]") {
  const net::PausedClock Paused;
  net::EventLoop Loop;
  Pair Two(Loop);
  Two.run(std::chrono::seconds(2));
  REQUIRE(Two.ToFirst_.accepted() == 1);
  REQUIRE(Two.ToSecond_.accepted() == 1);
  SECTION("both") {
    Two.ToFirst_.silence();
    Two.ToSecond_.silence();
  }
  SECTION("one, whose sender goes on hearing its peer") {
    Two.ToFirst_.silence();
  }
  SECTION("one direction of each") {
    Two.ToFirst_.silence(true, false);
    Two.ToSecond_.silence(true, false);
  }
  SECTION("again, right after they have been replaced") {
    Two.ToFirst_.silence();
    Two.ToSecond_.silence();
    Two.run(std::chrono::milliseconds(700));
    Two.ToFirst_.silence();
    Two.ToSecond_.silence();
  }
  Two.run(std::chrono::milliseconds(800));
  const std::size_t First = Two.FirstGot_;
  const std::size_t Second = Two.SecondGot_;
  Two.run(std::chrono::milliseconds(500));
  CHECK(Two.FirstGot_ >= First + 4);
  CHECK(Two.SecondGot_ >= Second + 4);
}

// Guards against more traffic on links that work.
TEST_CASE("links between replicas that hear each other carry no probes",
          "[control][links]") {
  const net::PausedClock Paused;
  net::EventLoop Loop;
  Pair Two(Loop);
  Two.run(std::chrono::seconds(1));
  const std::size_t Before = Two.ToSecond_.bytesFromCallers();
  const std::size_t Got = Two.SecondGot_;
  Two.run(std::chrono::seconds(5));
  const std::size_t Messages = Two.SecondGot_ - Got;
  REQUIRE(Messages == 50);
  const std::size_t FrameBytes =
      wire::encodeFrame({.Message_ = wire::ReplicaTraffic{.From_ = {1}}})
          .size();
  CHECK(Two.ToSecond_.bytesFromCallers() - Before == Messages * FrameBytes);
}

// Guards against a message that is put together from parts of two, after a
// connection was replaced in the middle of it.
TEST_CASE("a message in parts is whole or lost", "[control][links]") {
  net::EventLoop Loop;
  PeerLinks Links(Loop, {1}, {1}, [](ReplicaId) { return ""; });
  const auto Take = [&](std::uint64_t Number, std::uint64_t Offset,
                        std::uint64_t Total, std::string Bytes) {
    return Links.takePart({.From_ = Peer,
                           .Number_ = Number,
                           .Offset_ = Offset,
                           .TotalBytes_ = Total,
                           .Bytes_ = std::move(Bytes)});
  };
  CHECK_FALSE(Take(1, 0, 4, "ab"));
  CHECK(Take(1, 2, 4, "cd") == "abcd");
  CHECK_FALSE(Take(1, 2, 4, "cd"));

  CHECK_FALSE(Take(2, 0, 6, "ab"));
  CHECK_FALSE(Take(2, 4, 6, "ef"));
  CHECK_FALSE(Take(3, 2, 4, "cd"));
  CHECK_FALSE(Take(4, 0, 4, "gh"));
  CHECK(Take(4, 2, 4, "ij") == "ghij");

  // A new process of the peer counts from 1 again.
  CHECK_FALSE(Take(1, 0, 4, "kl"));
  CHECK(Take(1, 2, 4, "mn") == "klmn");
  CHECK_FALSE(Take(2, 0, wire::MaxPayloadBytes + 1ULL, "ab"));
  CHECK_FALSE(Take(3, 0, 1, "ab"));
}

// Guards against memory that grows with each message for a replica that is
// gone: 135 MB of 260 were queued for members that had been replaced.
TEST_CASE("messages for a silent replica do not pile up", "[control][links]") {
  const net::PausedClock Paused;
  net::EventLoop Loop;
  const Listener Gone(Loop);
  net::SilentRelay Relay(Loop, Gone.Server_.endpoint());
  PeerLinks Links(Loop, {1}, {1},
                  [&](ReplicaId) { return Relay.endpoint().text(); });
  sendSome(Loop, Links);
  Relay.limitRate(1);
  constexpr std::size_t Large = 1U << 20U;
  for (int Count = 0; Count < 100; ++Count) {
    Links.sendTraffic(Peer, std::string(Large, 'x'));
    net::pollSome(Loop);
  }
  CHECK(Links.isSending(Peer));
  CHECK(Links.waitingBytes() <= 2 * Large);
}

} // namespace dragonfly::control
