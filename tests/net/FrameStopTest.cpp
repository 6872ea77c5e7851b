#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/FrameClient.h"
#include "dragonfly/net/FrameServer.h"
#include "net/HttpPeers.h"
#include "net/PausedLoop.h"

#include <catch2/catch.hpp>

#include <memory>
#include <optional>
#include <vector>

using namespace dragonfly;
using namespace dragonfly::net;
using namespace std::chrono_literals;

// Guards against calls beyond the bound of frame connections that count as lost
// although they have not run.
TEST_CASE("a call on a frame connection beyond the bound is refused",
          "[net][frames][stop]") {
  EventLoop Loop;
  std::size_t Handled = 0;
  FrameServer Server(
      Loop, {.Listen_ = AnyPort,
             .Self_ = {2},
             .MaxConnections_ = 1,
             .OnMessage_ = [&](const wire::Message &, const FrameReplier &To) {
               ++Handled;
               To.answer(wire::Upstreams{});
             }});
  constexpr std::size_t Peers = 100;
  std::vector<std::unique_ptr<FrameClient>> Clients;
  std::size_t Answered = 0;
  std::size_t Refused = 0;
  std::size_t Ended = 0;
  for (std::size_t I = 0; I < Peers; ++I) {
    Clients.push_back(std::make_unique<FrameClient>(
        Loop,
        FrameClientOptions{.Peer_ = Server.endpoint(), .Self_ = {I + 10}}));
    Clients.back()->call(
        wire::FetchUpstreams{}, 10s, [&](const CallResult &Result) {
          ++Ended;
          if (Result.Status_ != CallStatus::Answered)
            return;
          ++Answered;
          const auto *Why = std::get_if<wire::Refusal>(&Result.Answer_);
          Refused += Why != nullptr && Why->Reason_ == Reason::QueueFull;
        });
  }
  REQUIRE(pollUntil(Loop, [&] { return Ended == Peers; }));
  CHECK(Answered == Peers);
  CHECK(Refused == Peers - Handled);
  CHECK(Handled == 1);
}

// Guards against answers that are lost because a process ends while they are
// queued, or resets a connection on which more has come.
TEST_CASE("queued answers leave before a frame server has ended",
          "[net][frames][stop]") {
  EventLoop Loop;
  constexpr std::size_t LargeBytes = 3U << 20U;
  std::optional<FrameReplier> Pending;
  std::size_t Handled = 0;
  FrameServer Server(
      Loop, {.Listen_ = AnyPort,
             .Self_ = {2},
             .OnMessage_ = [&](const wire::Message &, FrameReplier To) {
               ++Handled;
               Pending = std::move(To);
             }});
  FrameClient Client(Loop, {.Peer_ = Server.endpoint(), .Self_ = {1}});
  std::optional<CallResult> First;
  std::optional<CallStatus> Second;
  Client.call(wire::FetchUpstreams{}, 10s,
              [&](CallResult Result) { First = std::move(Result); });
  REQUIRE(pollUntil(Loop, [&] { return Pending.has_value(); }));
  Pending->answer(
      wire::CurrentConfiguration{.Document_ = std::string(LargeBytes, 'x')});
  Client.call(wire::FetchUpstreams{}, 10s,
              [&](const CallResult &Result) { Second = Result.Status_; });
  Server.finish();
  REQUIRE(pollUntil(Loop, [&] { return First && Second; }));
  CHECK(First->Status_ == CallStatus::Answered);
  CHECK(*Second != CallStatus::Answered);
  CHECK(Handled == 1);
  CHECK(pollUntil(Loop, [&] { return Server.connections() == 0; }));
}
