#include "dragonfly/net/HttpServer.h"
#include "dragonfly/net/HttpClient.h"
#include "net/HttpPeers.h"
#include "net/PausedLoop.h"

#include <catch2/catch.hpp>

#include <optional>
#include <vector>

using namespace dragonfly;
using namespace dragonfly::net;

namespace {

constexpr std::string_view SmallGet = "GET /x HTTP/1.1\r\nHost: a\r\n\r\n";

} // namespace

TEST_CASE("requests and answers pass whole and connections are kept",
          "[net][http]") {
  EventLoop Loop;
  HttpServer Server(
      Loop,
      {.Listen_ = AnyPort,
       .OnRequest_ = [](HttpRequest Request, HttpReplier Replier) {
         Replier.reply(
             {.Status_ = 201,
              .ContentType_ = "text/plain",
              .Headers_ = {{"X-Kind", std::string(Request.header("x-kind"))}},
              .Body_ = Request.Method_ + Request.Target_ + Request.Body_});
       }});
  HttpClient Client(Loop, {.Peer_ = Server.endpoint(), .MaxConnections_ = 2});
  const std::string Large(300000, 'q');
  int Ended = 0;
  for (int Number = 0; Number < 20; ++Number)
    Client.request({.Method_ = "POST",
                    .Target_ = "/p",
                    .Headers_ = {{"X-Kind", "belt"}},
                    .Body_ = Large},
                   std::chrono::seconds(5), [&](HttpResult Result) {
                     REQUIRE(Result.Status_ == CallStatus::Answered);
                     CHECK(Result.Response_.Status_ == 201);
                     CHECK(Result.Response_.Body_ == "POST/p" + Large);
                     CHECK(Result.Response_.header("X-KIND") == "belt");
                     ++Ended;
                   });
  REQUIRE(pollUntil(Loop, [&] { return Ended == 20; }));
  CHECK(Server.openConnections() == 2);
}

TEST_CASE("pipelined answers leave in the order of their requests",
          "[net][http]") {
  EventLoop Loop;
  std::vector<HttpReplier> Pending;
  HttpServer Server(Loop, {.Listen_ = AnyPort,
                           .OnRequest_ = [&](HttpRequest, HttpReplier Replier) {
                             Pending.push_back(std::move(Replier));
                           }});
  RawCaller Caller(Loop, Server.endpoint());
  Caller.write(std::string(SmallGet) + std::string(SmallGet) +
               std::string(SmallGet));
  REQUIRE(pollUntil(Loop, [&] { return Pending.size() == 3; }));
  Pending[2].reply({.Body_ = "third"});
  Pending[1].beginChunks({});
  Pending[1].chunk("second");
  Pending[1].endChunks();
  CHECK(Caller.received().empty());
  Pending[0].reply({.Body_ = "first"});
  REQUIRE(Caller.waitFor("third"));
  const std::string Bytes = Caller.received();
  CHECK(Bytes.find("first") < Bytes.find("second"));
  CHECK(Bytes.find("second") < Bytes.find("third"));
}

TEST_CASE("chunks arrive as they are sent and a broken stream is seen",
          "[net][http]") {
  EventLoop Loop;
  std::optional<HttpReplier> Pending;
  HttpServer Server(Loop, {.Listen_ = AnyPort,
                           .OnRequest_ = [&](HttpRequest, HttpReplier Replier) {
                             Pending = std::move(Replier);
                           }});
  HttpClient Client(Loop, {.Peer_ = Server.endpoint()});
  std::string Parts;
  std::optional<HttpResult> End;
  Client.request(
      {}, std::chrono::seconds(5),
      [&](HttpResult Result) { End = std::move(Result); },
      [&](std::string Part) { Parts += Part; });
  REQUIRE(pollUntil(Loop, [&] { return Pending.has_value(); }));
  Pending->beginChunks({});
  Pending->chunk("one,");
  REQUIRE(pollUntil(Loop, [&] { return Parts == "one,"; }));
  Pending->chunk("two");
  SECTION("whole") {
    Pending->endChunks();
    REQUIRE(pollUntil(Loop, [&] { return End.has_value(); }));
    CHECK(End->Status_ == CallStatus::Answered);
    CHECK(Parts == "one,two");
  }
  SECTION("broken off") {
    REQUIRE(pollUntil(Loop, [&] { return Parts == "one,two"; }));
    Pending->abort();
    REQUIRE(pollUntil(Loop, [&] { return End.has_value(); }));
    CHECK(End->Status_ == CallStatus::Lost);
  }
}

TEST_CASE("bad callers are answered or cut off", "[net][http][callers]") {
  struct Row {
    std::string_view Name_;
    std::string Sent_;
    std::string_view Expected_;
  };
  const std::vector<Row> Rows{
      {"no HTTP", "hello\r\n\r\n", "HTTP/1.1 400"},
      {"oversized header",
       "GET / HTTP/1.1\r\nX: " + std::string(5000, 'x') + "\r\n\r\n",
       "HTTP/1.1 431"},
      {"oversized body announced",
       "POST / HTTP/1.1\r\nContent-Length: 100000\r\n\r\n", "HTTP/1.1 413"},
      {"oversized body in chunks",
       "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\n2000\r\n" +
           std::string(0x2000, 'b') + "\r\n",
       "HTTP/1.1 413"},
      {"both lengths",
       "POST / HTTP/1.1\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabc",
       "HTTP/1.1 400"},
  };
  EventLoop Loop;
  int Handled = 0;
  HttpServer Server(Loop, {.Listen_ = AnyPort,
                           .MaxHeaderBytes_ = 4096,
                           .MaxBodyBytes_ = 4096,
                           .OnRequest_ = [&](HttpRequest, HttpReplier Replier) {
                             ++Handled;
                             Replier.reply({});
                           }});
  for (const Row &Case : Rows) {
    INFO(Case.Name_);
    RawCaller Caller(Loop, Server.endpoint());
    Caller.write(Case.Sent_);
    CHECK(Caller.waitFor(Case.Expected_));
    CHECK(Caller.received().find("refused-not-run") != std::string::npos);
    CHECK(Caller.waitForEnd());
  }
  CHECK(Handled == 0);
}

TEST_CASE("slow senders and slow readers are closed after their time",
          "[net][http][callers]") {
  Clock::pause(TimePoint(std::chrono::hours(1)));
  {
    EventLoop Loop;
    bool Gone = false;
    std::optional<HttpReplier> Pending;
    HttpServer Server(Loop,
                      {.Listen_ = AnyPort,
                       .IdleTimeout_ = std::chrono::seconds(2),
                       .WriteTimeout_ = std::chrono::seconds(2),
                       .OnRequest_ = [&](HttpRequest, HttpReplier Replier) {
                         Replier.onGone([&] { Gone = true; });
                         Pending = std::move(Replier);
                       }});
    RawCaller Caller(Loop, Server.endpoint());
    REQUIRE(pollUntil(Loop, [&] { return Server.openConnections() == 1; }));
    SECTION("a slow sender") {
      Caller.write("POST / HTTP/1.1\r\n");
      Clock::advance(std::chrono::milliseconds(1500));
      Caller.write("Content-Length: 3\r\n");
      Clock::advance(std::chrono::milliseconds(1500));
      CHECK(Caller.waitForEnd());
      CHECK_FALSE(Pending);
    }
    SECTION("a request in progress is not idle") {
      Caller.write(SmallGet);
      REQUIRE(pollUntil(Loop, [&] { return Pending.has_value(); }));
      Clock::advance(std::chrono::seconds(100));
      for (int Poll = 0; Poll < 100; ++Poll)
        Loop.poll();
      Pending->reply({.Body_ = "late"});
      CHECK(Caller.waitFor("late"));
    }
    SECTION("a slow reader") {
      Caller.write(SmallGet);
      REQUIRE(pollUntil(Loop, [&] { return Pending.has_value(); }));
      Pending->beginChunks({});
      for (int Part = 0; Part < 64; ++Part)
        Pending->chunk(std::string(1U << 18U, 'x'));
      for (int Poll = 0; Poll < 1000; ++Poll)
        Loop.poll();
      CHECK(Pending->queuedBytes() > 0);
      Clock::advance(std::chrono::seconds(3));
      CHECK(pollUntil(Loop, [&] { return Gone; }));
      CHECK(Server.openConnections() == 0);
    }
  }
  Clock::resume();
}

// A request that has arrived whole keeps its answer, whoever comes.
TEST_CASE("connections beyond the bound are refused while all are in use",
          "[net][http][callers]") {
  EventLoop Loop;
  std::vector<HttpReplier> Pending;
  HttpServer Server(Loop, {.Listen_ = AnyPort,
                           .MaxConnections_ = 2,
                           .OnRequest_ = [&](HttpRequest, HttpReplier Replier) {
                             Pending.push_back(std::move(Replier));
                           }});
  RawCaller First(Loop, Server.endpoint());
  RawCaller Second(Loop, Server.endpoint());
  First.write(SmallGet);
  Second.write(SmallGet);
  REQUIRE(pollUntil(Loop, [&] { return Pending.size() == 2; }));
  RawCaller Third(Loop, Server.endpoint());
  CHECK(Third.waitFor("HTTP/1.1 503"));
  CHECK(Third.waitForEnd());
  Pending[0].reply({.Body_ = "served"});
  CHECK(First.waitFor("served"));
}

TEST_CASE("a newcomer takes the place of who waits for longest",
          "[net][http][callers]") {
  const PausedClock Paused;
  EventLoop Loop;
  std::vector<HttpReplier> Pending;
  HttpServer Server(Loop, {.Listen_ = AnyPort,
                           .MaxConnections_ = 3,
                           .OnRequest_ = [&](HttpRequest, HttpReplier Replier) {
                             Pending.push_back(std::move(Replier));
                           }});
  const auto IsOpen = [&](std::size_t Count) {
    return pollUntil(Loop, [&] { return Server.openConnections() == Count; });
  };
  // In use since before the others came.
  RawCaller Busy(Loop, Server.endpoint());
  Busy.write(SmallGet);
  REQUIRE(pollUntil(Loop, [&] { return Pending.size() == 1; }));
  Clock::advance(std::chrono::milliseconds(10));
  // Behind with its head for longer than the silent one has been there.
  RawCaller Slow(Loop, Server.endpoint());
  REQUIRE(IsOpen(2));
  Slow.write(SmallGet.substr(0, SmallGet.size() / 2));
  Clock::advance(std::chrono::milliseconds(10));
  RawCaller Silent(Loop, Server.endpoint());
  REQUIRE(IsOpen(3));
  RawCaller Newcomer(Loop, Server.endpoint());
  CHECK(Slow.waitFor("too-many-connections"));
  CHECK(Slow.waitForEnd());
  Newcomer.write(SmallGet);
  REQUIRE(pollUntil(Loop, [&] { return Pending.size() == 2; }));
  RawCaller Next(Loop, Server.endpoint());
  CHECK(Silent.waitFor("Retry-After: 1"));
  CHECK(Silent.waitForEnd());
  Pending[0].reply({.Body_ = "first"});
  CHECK(Busy.waitFor("first"));
  Pending[1].reply({.Body_ = "second"});
  CHECK(Newcomer.waitFor("second"));
  CHECK(Loop.connectionLimits().counts().Displaced_ == 2);
}

TEST_CASE("a caller that goes away is noticed", "[net][http]") {
  EventLoop Loop;
  bool Gone = false;
  std::optional<HttpReplier> Pending;
  HttpServer Server(Loop, {.Listen_ = AnyPort,
                           .OnRequest_ = [&](HttpRequest, HttpReplier Replier) {
                             Replier.onGone([&] { Gone = true; });
                             Pending = std::move(Replier);
                           }});
  RawCaller Caller(Loop, Server.endpoint());
  Caller.write(SmallGet);
  REQUIRE(pollUntil(Loop, [&] { return Pending.has_value(); }));
  Caller.close();
  CHECK(pollUntil(Loop, [&] { return Gone; }));
  Pending->reply({.Body_ = "nobody"});
}

TEST_CASE("a stop lets answers in progress leave and then closes",
          "[net][http][drain]") {
  EventLoop Loop;
  std::optional<HttpReplier> Pending;
  HttpServer Server(Loop, {.Listen_ = AnyPort,
                           .OnRequest_ = [&](HttpRequest, HttpReplier Replier) {
                             Pending = std::move(Replier);
                           }});
  RawCaller Idle(Loop, Server.endpoint());
  RawCaller Busy(Loop, Server.endpoint());
  Busy.write(SmallGet);
  REQUIRE(pollUntil(Loop, [&] { return Pending.has_value(); }));
  REQUIRE(pollUntil(Loop, [&] { return Server.openConnections() == 2; }));
  Server.refuseNew();
  CHECK(Idle.waitForEnd());
  Pending->reply({.Body_ = "finished"});
  CHECK(Busy.waitFor("finished"));
  CHECK(Busy.received().find("Connection: close") != std::string::npos);
  CHECK(Busy.waitForEnd());
  Idle.close();
  Busy.close();
  CHECK(pollUntil(Loop, [&] { return Server.openConnections() == 0; }));
}
