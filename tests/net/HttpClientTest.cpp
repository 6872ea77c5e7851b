#include "dragonfly/net/HttpClient.h"
#include "dragonfly/net/HttpServer.h"
#include "net/HttpPeers.h"

#include <catch2/catch.hpp>

#include <optional>
#include <vector>

using namespace dragonfly;
using namespace dragonfly::net;

TEST_CASE("a request may name a host of its own", "[net][http]") {
  EventLoop Loop;
  std::string Host;
  HttpServer Server(Loop, {.Listen_ = {"127.0.0.1", 0},
                           .OnRequest_ = [&Host](const HttpRequest &Request,
                                                 const HttpReplier &To) {
                             Host = Request.header("Host");
                             To.reply({});
                           }});
  HttpClient Client(Loop, {.Peer_ = Server.endpoint()});
  for (const std::string Expected : {"a.example", ""}) {
    bool Ended = false;
    HttpRequest Request;
    if (!Expected.empty())
      Request.Headers_ = {{.Name_ = "Host", .Value_ = Expected}};
    Client.request(Request, std::chrono::seconds(1),
                   [&Ended](const HttpResult &) { Ended = true; });
    REQUIRE(pollUntil(Loop, [&Ended] { return Ended; }));
    CHECK(Host == (Expected.empty() ? Server.endpoint().text() : Expected));
  }
}

TEST_CASE("how a request towards an upstream ends for each fault",
          "[net][http][contract]") {
  struct Row {
    std::string_view Name_;
    std::string_view Answer_;
    bool Close_;
    CallStatus Expected_;
  };
  const std::vector<Row> Rows{
      {"whole", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", false,
       CallStatus::Answered},
      {"truncated body", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok", true,
       CallStatus::Lost},
      {"truncated head", "HTTP/1.1 200 OK\r\nConte", true, CallStatus::Lost},
      {"closed without answer", "", true, CallStatus::Lost},
      {"no HTTP", "what?\r\n\r\n", false, CallStatus::Lost},
      {"wrong version", "HTTP/3.0 200 OK\r\n\r\n", false, CallStatus::Lost},
      {"oversized body", "HTTP/1.1 200 OK\r\nContent-Length: 99999\r\n\r\n",
       false, CallStatus::Lost},
      {"chunks cut short",
       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n", true,
       CallStatus::Lost},
      {"end marked by the close only", "HTTP/1.1 200 OK\r\n\r\nok", true,
       CallStatus::Lost},
      {"silent", "", false, CallStatus::TimedOut},
      {"slow", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\no", false,
       CallStatus::TimedOut},
  };
  for (const Row &Case : Rows) {
    INFO(Case.Name_);
    Clock::pause(TimePoint(std::chrono::hours(1)));
    EventLoop Loop;
    RawServer Server(Loop);
    HttpClient Client(Loop,
                      {.Peer_ = Server.endpoint(), .MaxBodyBytes_ = 1000});
    std::optional<HttpResult> End;
    int Ends = 0;
    Client.request({}, std::chrono::seconds(1), [&](HttpResult Result) {
      End = std::move(Result);
      ++Ends;
    });
    REQUIRE(Server.takeRequest());
    Server.write(Case.Answer_);
    if (Case.Close_)
      Server.close();
    if (Case.Expected_ == CallStatus::TimedOut) {
      Loop.poll();
      Clock::advance(std::chrono::seconds(2));
    }
    REQUIRE(pollUntil(Loop, [&] { return End.has_value(); }));
    CHECK(End->Status_ == Case.Expected_);
    CHECK(Ends == 1);
    CHECK(Server.accepted() == 1);
  }
  Clock::resume();
}

TEST_CASE("a kept connection that the server closed is not written to",
          "[net][http][contract]") {
  EventLoop Loop;
  RawServer Server(Loop);
  HttpClient Client(Loop, {.Peer_ = Server.endpoint()});
  constexpr std::string_view Ok =
      "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
  int Answered = 0;
  const auto Count = [&](const HttpResult &Result) {
    Answered += Result.Status_ == CallStatus::Answered ? 1 : 0;
  };
  Client.request({}, std::chrono::seconds(5), Count);
  REQUIRE(Server.takeRequest());
  Server.write(Ok);
  REQUIRE(pollUntil(Loop, [&] { return Answered == 1; }));
  Server.close();
  Client.request({}, std::chrono::seconds(5), Count);
  REQUIRE(Server.takeRequest());
  Server.write(Ok);
  REQUIRE(pollUntil(Loop, [&] { return Answered == 2; }));
  CHECK(Server.accepted() == 2);
}

TEST_CASE("a request that no server takes was never sent", "[net][http]") {
  EventLoop Loop;
  Endpoint Closed;
  {
    RawServer Gone(Loop);
    Closed = Gone.endpoint();
  }
  HttpClient Client(Loop, {.Peer_ = Closed});
  std::optional<HttpResult> End;
  Client.request({}, std::chrono::seconds(5),
                 [&](HttpResult Result) { End = std::move(Result); });
  CHECK_FALSE(End);
  REQUIRE(pollUntil(Loop, [&] { return End.has_value(); }));
  CHECK(End->Status_ == CallStatus::NeverSent);
}

TEST_CASE("a cancelled request closes its connection and ends silently",
          "[net][http]") {
  EventLoop Loop;
  RawServer Server(Loop);
  HttpClient Client(Loop, {.Peer_ = Server.endpoint()});
  bool Ended = false;
  const auto Number = Client.request({}, std::chrono::seconds(5),
                                     [&](const HttpResult &) { Ended = true; });
  REQUIRE(Server.takeRequest());
  Client.cancel(Number);
  for (int Poll = 0; Poll < 100; ++Poll)
    Loop.poll();
  CHECK_FALSE(Ended);
  CHECK(Client.openConnections() == 0);
}
