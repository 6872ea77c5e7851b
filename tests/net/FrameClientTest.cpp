#include "dragonfly/net/FrameClient.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/FrameServer.h"

#include <catch2/catch.hpp>

#include <optional>
#include <utility>
#include <vector>

using namespace dragonfly;
using namespace dragonfly::net;
using namespace std::chrono_literals;

namespace {

const Endpoint AnyPort{.Address_ = "127.0.0.1", .Port_ = 0};

template <typename Condition> void runUntil(EventLoop &Loop, Condition Done) {
  constexpr std::size_t MaxPolls = 2'000'000;
  for (std::size_t Polls = 0; !Done() && Polls < MaxPolls; ++Polls)
    Loop.poll();
  REQUIRE(Done());
}

} // namespace

TEST_CASE("answers reach their own callers in any order", "[net][frames]") {
  EventLoop Loop;
  std::vector<std::pair<std::uint64_t, FrameReplier>> Held;
  FrameServer Server(
      Loop, {.Listen_ = AnyPort,
             .Self_ = {2},
             .OnMessage_ = [&](wire::Message Value, FrameReplier Reply) {
               Held.emplace_back(
                   std::get<wire::FetchUpstreams>(Value).KnownVersion_, Reply);
             }});
  FrameClient Client(Loop, {.Peer_ = Server.endpoint(), .Self_ = {1}});
  std::vector<std::uint64_t> Answers(3);
  std::size_t Ended = 0;
  for (std::uint64_t Call = 0; Call < 3; ++Call)
    Client.call(wire::FetchUpstreams{.KnownVersion_ = Call}, 5s,
                [&, Call](CallResult Result) {
                  REQUIRE(Result.Status_ == CallStatus::Answered);
                  Answers[Call] =
                      std::get<wire::Upstreams>(Result.Answer_).Version_;
                  ++Ended;
                });
  runUntil(Loop, [&] { return Held.size() == 3; });
  for (auto It = Held.rbegin(); It != Held.rend(); ++It)
    It->second.answer(wire::Upstreams{.Version_ = It->first + 100});
  runUntil(Loop, [&] { return Ended == 3; });
  REQUIRE(Answers == std::vector<std::uint64_t>{100, 101, 102});
}

TEST_CASE("a call ends as lost or never sent, truthfully", "[net][frames]") {
  EventLoop Loop;
  std::size_t Received = 0;
  std::optional<FrameServer> Server;
  Server.emplace(
      Loop, FrameServerOptions{.Listen_ = AnyPort,
                               .Self_ = {2},
                               .OnMessage_ = [&](auto, auto) { ++Received; }});
  FrameClient Client(Loop, {.Peer_ = Server->endpoint(), .Self_ = {1}});
  std::optional<CallStatus> First;
  Client.call(wire::FetchLists{}, 5s,
              [&](CallResult Result) { First = Result.Status_; });
  runUntil(Loop, [&] { return Received == 1; });
  Server.reset();
  runUntil(Loop, [&] { return First.has_value(); });
  REQUIRE(First == CallStatus::Lost);
  std::optional<CallStatus> Second;
  Client.call(wire::FetchLists{}, 5s,
              [&](CallResult Result) { Second = Result.Status_; });
  REQUIRE(!Second);
  runUntil(Loop, [&] { return Second.has_value(); });
  REQUIRE(Second == CallStatus::NeverSent);
}

TEST_CASE("a silent peer ends calls by timeout on the paused clock",
          "[net][frames]") {
  Clock::pause(TimePoint(1s));
  {
    EventLoop Loop;
    std::vector<FrameReplier> Held;
    FrameServer Server(Loop,
                       {.Listen_ = AnyPort,
                        .Self_ = {2},
                        .OnMessage_ = [&](wire::Message, FrameReplier Reply) {
                          Held.push_back(Reply);
                        }});
    FrameClient Client(Loop, {.Peer_ = Server.endpoint(), .Self_ = {1}});
    std::optional<CallStatus> Status;
    Client.call(wire::FetchLists{}, 200ms,
                [&](CallResult Result) { Status = Result.Status_; });
    runUntil(Loop, [&] { return Held.size() == 1; });
    Clock::advance(199ms);
    Loop.poll();
    REQUIRE(!Status);
    Clock::advance(1ms);
    runUntil(Loop, [&] { return Status.has_value(); });
    REQUIRE(Status == CallStatus::TimedOut);
    REQUIRE(!Client.connected());
  }
  Clock::resume();
}
