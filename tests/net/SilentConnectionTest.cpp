/// Connections that go silent for good, without a reset, while new ones to the
/// same peer work.
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/FrameClient.h"
#include "dragonfly/net/FrameServer.h"
#include "net/PausedLoop.h"
#include "net/SilentRelay.h"

#include <catch2/catch.hpp>

#include <functional>
#include <optional>
#include <vector>

using namespace dragonfly;
using namespace dragonfly::net;
using namespace std::chrono_literals;

namespace {

const Endpoint AnyPort{.Address_ = "127.0.0.1", .Port_ = 0};
/// Within this a silent connection is replaced: less than the time after which
/// machines count as in touch again, less an election and a new session.
constexpr Duration Bound = 1s;

/// A server behind a relay. It counts frames and answers requests, but holds
/// those of `FetchUpstreams`.
struct Peers {
  Peers()
      : Server_(Loop_,
                {.Listen_ = AnyPort,
                 .Self_ = {2},
                 .OnMessage_ =
                     [this](const wire::Message &Value, FrameReplier Reply) {
                       ++Received_;
                       if (std::holds_alternative<wire::FetchUpstreams>(Value))
                         Held_.push_back(std::move(Reply));
                       else
                         Reply.answer(wire::Lists{});
                     }}),
        Relay_(Loop_, Server_.endpoint()),
        Client_(Loop_, {.Peer_ = Relay_.endpoint(), .Self_ = {1}}) {
    pollSome(Loop_);
    REQUIRE(Client_.connected());
  }

  /// Moves the clock by \p Time in steps of 10 ms, with \p Step before each.
  void run(Duration Time, const std::function<void()> &Step = [] {}) {
    constexpr Duration StepTime = 10ms;
    for (Duration Past{}; Past < Time; Past += StepTime) {
      Step();
      pollSome(Loop_);
      Clock::advance(StepTime);
      pollSome(Loop_);
    }
  }

  std::optional<CallStatus> call(Duration Time, Duration Timeout = 10s) {
    std::optional<CallStatus> Status;
    Client_.call(wire::FetchLists{}, Timeout,
                 [&Status](const CallResult &End) { Status = End.Status_; });
    run(Time);
    return Status;
  }

  EventLoop Loop_;
  std::size_t Received_ = 0;
  std::vector<FrameReplier> Held_;
  FrameServer Server_;
  SilentRelay Relay_;
  FrameClient Client_;
};

} // namespace

// Guards against LOST: nothing noticed that a link which carries only frames
// without an answer had gone silent, so that a group had no leader for good.
TEST_CASE("frames without an answer arrive again after a connection has gone "
          "silent",
          "[net][silent]") {
  const PausedClock Paused;
  Peers Two;
  const auto Send = [&Two] { Two.Client_.send(wire::FetchLists{}); };
  Two.run(3s, Send);
  REQUIRE(Two.Relay_.accepted() == 1);
  SECTION("in both directions") { Two.Relay_.silence(); }
  SECTION("from the client") { Two.Relay_.silence(true, false); }
  // One period of the check of such frames more.
  Two.run(Bound + 1s, Send);
  const std::size_t Before = Two.Received_;
  Two.run(100ms, Send);
  CHECK(Two.Received_ >= Before + 9);
  CHECK(Two.Relay_.accepted() == 2);
}

// Guards against LOST: a call with a long timeout waited all of it on a
// connection that had gone silent.
TEST_CASE("a call on a silent connection ends as lost, and the next one is "
          "answered",
          "[net][silent]") {
  const PausedClock Paused;
  Peers Two;
  SECTION("in both directions, idle before") { Two.Relay_.silence(); }
  SECTION("from the client") { Two.Relay_.silence(true, false); }
  SECTION("from the server") { Two.Relay_.silence(false, true); }
  SECTION("in both directions, busy before") {
    Two.run(1s, [&Two] {
      Two.Client_.call(wire::FetchLists{}, 1s, [](const CallResult &) {});
    });
    Two.Relay_.silence();
  }
  CHECK(Two.call(Bound) == CallStatus::Lost);
  CHECK(Two.Client_.connected());
  CHECK(Two.call(20ms) == CallStatus::Answered);
  CHECK(Two.Relay_.accepted() == 2);
}

// Guards against a crash: the new connection may close in the moment between
// its answer and the replacement of the silent one.
TEST_CASE("a silent connection whose successor closes gets another one",
          "[net][silent]") {
  const PausedClock Paused;
  Peers Two;
  Two.Relay_.silence();
  std::optional<CallStatus> Status;
  Two.Client_.call(wire::FetchLists{}, 10s,
                   [&](const CallResult &End) { Status = End.Status_; });
  Two.run(500ms);
  REQUIRE(Two.Relay_.accepted() == 2);
  Two.Relay_.closeNewest();
  Two.run(Bound);
  CHECK(Status == CallStatus::Lost);
  CHECK(Two.Relay_.accepted() == 3);
  CHECK(Two.call(20ms) == CallStatus::Answered);
}

// Guards against LOST: the connection that was to prove that the peer runs had
// gone silent as well, and was waited for for 5 s.
TEST_CASE("a silent connection whose successor is silent gets another one",
          "[net][silent]") {
  const PausedClock Paused;
  Peers Two;
  Two.Relay_.silence();
  Two.Relay_.admit(NewConnections::Swallowed);
  std::optional<CallStatus> Status;
  Two.Client_.call(wire::FetchLists{}, 10s,
                   [&](const CallResult &End) { Status = End.Status_; });
  Two.run(500ms);
  REQUIRE(Two.Relay_.accepted() == 2);
  Two.Relay_.admit(NewConnections::Forwarded);
  // A second connection has one second to answer.
  Two.run(Bound + 1s);
  CHECK(Status == CallStatus::Lost);
  CHECK(Two.Relay_.accepted() == 3);
  CHECK(Two.call(20ms) == CallStatus::Answered);
}

// Guards against LOST: a call whose answer takes long found out only at its end
// that its connection had gone silent meanwhile.
TEST_CASE("a connection that goes silent while a call waits is noticed",
          "[net][silent]") {
  const PausedClock Paused;
  Peers Two;
  std::optional<CallStatus> Status;
  Two.Client_.call(wire::FetchUpstreams{}, 60s,
                   [&](const CallResult &End) { Status = End.Status_; });
  Two.run(5s);
  REQUIRE_FALSE(Status);
  REQUIRE(Two.Relay_.accepted() == 1);
  Two.Relay_.silence();
  // One period of the check of a connection that only waits more.
  Two.run(Bound + 2s);
  CHECK(Status == CallStatus::Lost);
}

// Guards against LOST: parts that still came hid that no request arrived, so
// that a session went on over which nothing could be reported.
TEST_CASE("parts that come do not hide that requests do not arrive",
          "[net][silent]") {
  const PausedClock Paused;
  Peers Two;
  std::optional<CallStatus> Stream;
  Two.Client_.call(
      wire::FetchUpstreams{}, 2s,
      [&](const CallResult &End) { Stream = End.Status_; },
      [](const wire::Message &) {});
  const auto Part = [&Two] {
    for (const FrameReplier &Each : Two.Held_)
      Each.part(wire::Upstreams{});
  };
  Two.run(1s, Part);
  REQUIRE_FALSE(Stream);
  Two.Relay_.silence(true, false);
  std::optional<CallStatus> Report;
  Two.Client_.call(wire::FetchLists{}, 10s,
                   [&](const CallResult &End) { Report = End.Status_; });
  Two.run(Bound, Part);
  CHECK(Report == CallStatus::Lost);
  CHECK(Stream == CallStatus::Lost);
}

// Guards against LOST: a peer that is frozen for seconds has received what was
// sent to it, and answers once it goes on.
TEST_CASE("a frozen peer keeps its connection and the calls on it",
          "[net][silent]") {
  const PausedClock Paused;
  EventLoop Mine;
  EventLoop Theirs;
  std::size_t Received = 0;
  FrameServer Server(Theirs, {.Listen_ = AnyPort,
                              .Self_ = {2},
                              .OnMessage_ = [&](const wire::Message &,
                                                const FrameReplier &Reply) {
                                ++Received;
                                Reply.answer(wire::Lists{});
                              }});
  FrameClient Client(Mine, {.Peer_ = Server.endpoint(), .Self_ = {1}});
  pollSome(Mine);
  pollSome(Theirs);
  std::optional<CallStatus> Status;
  Client.call(wire::FetchLists{}, 10s,
              [&](const CallResult &End) { Status = End.Status_; });
  for (int Step = 0; Step < 500; ++Step) {
    Client.send(wire::FetchLists{});
    pollSome(Mine);
    Clock::advance(10ms);
  }
  CHECK_FALSE(Status);
  for (int Step = 0; Step < 100; ++Step) {
    pollSome(Theirs);
    pollSome(Mine);
    Clock::advance(10ms);
  }
  CHECK(Status == CallStatus::Answered);
  CHECK(Received == 501);
  CHECK(Server.connections() == 1);
}

// Guards against LOST: a process that has itself been frozen runs its timers
// before it reads the answers that have come meanwhile.
TEST_CASE("a client that was frozen itself keeps its connection",
          "[net][silent]") {
  const PausedClock Paused;
  Peers Two;
  std::optional<CallStatus> Status;
  Two.Client_.call(wire::FetchUpstreams{}, 120s,
                   [&](const CallResult &End) { Status = End.Status_; });
  for (int Freeze = 0; Freeze < 20; ++Freeze) {
    Clock::advance(3s);
    Two.run(300ms);
  }
  CHECK_FALSE(Status);
  CHECK(Two.Relay_.accepted() <= 21);
  CHECK(Two.Server_.connections() == 1);
  REQUIRE(Two.Held_.size() == 1);
  Two.Held_.front().answer(wire::Upstreams{});
  Two.run(20ms);
  CHECK(Status == CallStatus::Answered);
}

// Guards against LOST: a server that keeps its end of each connection that went
// silent refuses new ones once it holds as many as it may.
TEST_CASE("the accepting side frees its end of a silent connection",
          "[net][silent]") {
  const PausedClock Paused;
  Peers Two;
  for (int Count = 0; Count < 3; ++Count) {
    Two.Relay_.silence();
    REQUIRE(Two.call(Bound) == CallStatus::Lost);
  }
  REQUIRE(Two.Server_.connections() == 4);
  const auto Use = [&Two] { Two.Client_.send(wire::FetchLists{}); };
  for (int Seconds = 0; Seconds < 36; ++Seconds) {
    Use();
    Two.run(1s);
  }
  CHECK(Two.Server_.connections() == 1);
  CHECK(Two.call(20ms) == CallStatus::Answered);
}

TEST_CASE("an idle connection sends nothing, is closed, and opens when needed",
          "[net][silent]") {
  const PausedClock Paused;
  Peers Two;
  REQUIRE(Two.call(500ms) == CallStatus::Answered);
  const std::size_t Bytes = Two.Relay_.bytesFromCallers();
  Two.run(15s);
  CHECK(Two.Client_.connected());
  Two.run(10s);
  CHECK(Two.Relay_.bytesFromCallers() == Bytes);
  CHECK_FALSE(Two.Client_.connected());
  CHECK(Two.Server_.connections() == 0);
  SECTION("by a call") { CHECK(Two.call(500ms) == CallStatus::Answered); }
  SECTION("by a frame without an answer") {
    const std::size_t Before = Two.Received_;
    Two.Client_.send(wire::FetchLists{});
    Two.run(500ms);
    CHECK(Two.Received_ == Before + 1);
  }
}
