/// HTTP connections that go silent for good, without a reset, while new ones to
/// the same peer work.
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/HttpClient.h"
#include "dragonfly/net/HttpServer.h"
#include "net/PausedLoop.h"
#include "net/SilentRelay.h"

#include <catch2/catch.hpp>

#include <optional>
#include <utility>
#include <vector>

using namespace dragonfly;
using namespace dragonfly::net;
using namespace std::chrono_literals;

namespace {

const Endpoint AnyPort{.Address_ = "127.0.0.1", .Port_ = 0};

} // namespace

// Guards against LOST: each start on a worker whose idle connections had all
// gone silent took the next of them, and ended with its timeout.
TEST_CASE(
    "after one timeout a pool uses no other connection that may be silent",
    "[net][silent]") {
  const PausedClock Paused;
  EventLoop Loop;
  std::vector<HttpReplier> Held;
  bool Holds = true;
  HttpServer Server(
      Loop, {.Listen_ = AnyPort,
             .OnRequest_ = [&](const HttpRequest &, const HttpReplier &To) {
               if (Holds)
                 Held.push_back(To);
               else
                 To.reply({});
             }});
  SilentRelay Relay(Loop, Server.endpoint());
  HttpClient Client(Loop, {.Peer_ = Relay.endpoint()});
  constexpr std::size_t Idle = 5;
  std::size_t Answered = 0;
  for (std::size_t Count = 0; Count < Idle; ++Count)
    Client.request({}, 5s, [&](const HttpResult &End) {
      Answered += End.Status_ == CallStatus::Answered ? 1 : 0;
    });
  pollSome(Loop);
  for (const HttpReplier &Each : std::exchange(Held, {}))
    Each.reply({});
  pollSome(Loop);
  REQUIRE(Answered == Idle);
  REQUIRE(Client.openConnections() == Idle);
  Holds = false;
  Relay.silence();
  Clock::advance(1s);
  std::vector<CallStatus> Ends;
  for (int Count = 0; Count < 3; ++Count) {
    Client.request({}, 500ms,
                   [&](const HttpResult &End) { Ends.push_back(End.Status_); });
    for (int Step = 0; Step < 60; ++Step) {
      pollSome(Loop);
      Clock::advance(10ms);
    }
  }
  CHECK(Ends == std::vector{CallStatus::TimedOut, CallStatus::Answered,
                            CallStatus::Answered});
  CHECK(Client.openConnections() == 1);
}

// Guards against LOST: a worker that is slow on one connection and answers on
// the others keeps them.
TEST_CASE("a slow answer costs no connection on which others have come since",
          "[net][silent]") {
  const PausedClock Paused;
  EventLoop Loop;
  std::vector<HttpReplier> Held;
  HttpServer Server(Loop, {.Listen_ = AnyPort,
                           .OnRequest_ = [&](const HttpRequest &Request,
                                             const HttpReplier &To) {
                             if (Request.Target_ == "/slow")
                               Held.push_back(To);
                             else
                               To.reply({});
                           }});
  HttpClient Client(Loop, {.Peer_ = Server.endpoint()});
  std::optional<CallStatus> Slow;
  Client.request({.Target_ = "/slow"}, 500ms,
                 [&](const HttpResult &End) { Slow = End.Status_; });
  for (int Step = 0; Step < 60; ++Step) {
    Client.request({}, 500ms, [](const HttpResult &) {});
    pollSome(Loop);
    Clock::advance(10ms);
  }
  CHECK(Slow == CallStatus::TimedOut);
  CHECK(Client.openConnections() == 1);
}

// Guards against LOST: an answer that is written to a silent connection keeps
// no end of it open.
TEST_CASE("a server frees a caller's connection that has gone silent",
          "[net][silent]") {
  const PausedClock Paused;
  EventLoop Loop;
  HttpServer Server(
      Loop, {.Listen_ = AnyPort,
             .OnRequest_ = [](const HttpRequest &, const HttpReplier &To) {
               To.reply({});
             }});
  SilentRelay Relay(Loop, Server.endpoint());
  HttpClient Client(Loop, {.Peer_ = Relay.endpoint()});
  bool Answered = false;
  Client.request({}, 5s, [&](const HttpResult &) { Answered = true; });
  pollSome(Loop);
  REQUIRE(Answered);
  SECTION("between requests") { Relay.silence(); }
  SECTION("with an answer on its way") {
    Relay.silence(/*FromCallers=*/false, /*ToCallers=*/true);
    Client.request({}, 500ms, [](const HttpResult &) {});
  }
  for (int Step = 0; Step < 310; ++Step) {
    pollSome(Loop);
    Clock::advance(100ms);
  }
  pollSome(Loop);
  CHECK(Server.openConnections() == 0);
}
