#include "dragonfly/net/FrameClient.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/FrameServer.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <functional>
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

// Pattern: after a change of leader all agents and entries connect to the new
// one at once, while its turns are long (large/scale-2).
TEST_CASE("a busy server accepts all peers that wait in one turn",
          "[net][frames]") {
  EventLoop Loop;
  std::size_t Received = 0;
  FrameServer Server(Loop, {.Listen_ = AnyPort,
                            .Self_ = {2},
                            .OnMessage_ = [&](auto, auto) { ++Received; }});
  constexpr std::size_t Peers = 100;
  boost::asio::io_context Elsewhere;
  std::vector<boost::asio::ip::tcp::socket> Sockets;
  for (std::size_t I = 0; I < Peers; ++I) {
    Sockets.emplace_back(Elsewhere);
    Sockets.back().connect(
        {boost::asio::ip::make_address("127.0.0.1"), Server.endpoint().Port_});
  }
  // Ten other handlers run in each turn of the loop.
  constexpr std::size_t Others = 10;
  constexpr std::size_t Turns = 5;
  std::function<void()> Work = [&] { boost::asio::post(Loop.context(), Work); };
  for (std::size_t I = 0; I < Others; ++I)
    Work();
  for (std::size_t I = 0; I < Others * Turns; ++I)
    Loop.context().run_one();
  CHECK(Server.connections() == Peers);
}

// Pattern: an overloaded leader accepts connections and answers in none of them
// within the time that callers give it.
TEST_CASE("a peer that accepts and never answers is tried less and less often",
          "[net][frames]") {
  Clock::pause(TimePoint(1s));
  {
    EventLoop Loop;
    std::size_t Received = 0;
    FrameServer Server(Loop, {.Listen_ = AnyPort,
                              .Self_ = {2},
                              .OnMessage_ = [&](auto, auto) { ++Received; }});
    FrameClient Client(Loop, {.Peer_ = Server.endpoint(), .Self_ = {1}});
    std::size_t Connections = 0;
    bool WasConnected = false;
    for (int Step = 0; Step < 2000; ++Step) {
      if (Client.connected() && Client.pendingCalls() == 0)
        Client.call(wire::FetchLists{}, 50ms, [](const CallResult &) {});
      for (int Polls = 0; Polls < 20; ++Polls)
        Loop.poll();
      Connections += !WasConnected && Client.connected() ? 1 : 0;
      WasConnected = Client.connected();
      Clock::advance(5ms);
    }
    // Ten seconds: some tries at first, then about one a second.
    CHECK(Connections >= 10);
    CHECK(Connections <= 20);
  }
  Clock::resume();
}
