/// What HTTP/1.1 promises on one connection, where a caller or another server
/// on the way would otherwise take one message for another.
#include "dragonfly/net/HttpServer.h"
#include "net/HttpPeers.h"

#include <catch2/catch.hpp>

#include <string>
#include <string_view>
#include <vector>

using namespace dragonfly::net;

namespace {

constexpr std::string_view Continue = "HTTP/1.1 100 Continue\r\n\r\n";

/// A server that answers each request with its method and body, once it is told
/// to.
struct EchoServer {
  EchoServer()
      : Server_(Loop_,
                {.Listen_ = AnyPort,
                 .OnRequest_ = [this](HttpRequest Request, HttpReplier To) {
                   Requests_.push_back(std::move(Request));
                   Pending_.push_back(std::move(To));
                   if (!Holds_)
                     answer(Pending_.size() - 1);
                 }}) {}

  void answer(std::size_t Index) {
    Pending_[Index].reply({.Body_ = "<" + Requests_[Index].Method_ + ":" +
                                    Requests_[Index].Body_ + ">"});
  }

  EventLoop Loop_;
  bool Holds_ = false;
  std::vector<HttpRequest> Requests_;
  std::vector<HttpReplier> Pending_;
  HttpServer Server_;
};

} // namespace

TEST_CASE("an answer to HEAD has no body", "[net][http][contract]") {
  EchoServer On;
  RawCaller Caller(On.Loop_, On.Server_.endpoint());
  Caller.write("HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n"
               "GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(Caller.waitFor("<GET:>"));
  const std::string Bytes = Caller.received();
  CHECK(Bytes.find("<HEAD") == std::string::npos);
  CHECK(Bytes.find("Content-Length: 7") != std::string::npos);
  // The second answer begins where the head of the first one ends.
  const std::size_t End = Bytes.find("\r\n\r\n") + 4;
  CHECK(Bytes.substr(End).starts_with("HTTP/1.1 200"));
}

TEST_CASE("a streamed answer to HEAD has no body", "[net][http][contract]") {
  EchoServer On;
  On.Holds_ = true;
  RawCaller Caller(On.Loop_, On.Server_.endpoint());
  Caller.write("HEAD /x HTTP/1.1\r\nHost: a\r\n\r\n"
               "GET /x HTTP/1.1\r\nHost: a\r\n\r\n");
  REQUIRE(pollUntil(On.Loop_, [&] { return On.Pending_.size() == 2; }));
  On.Pending_[0].beginChunks({});
  On.Pending_[0].chunk("part");
  On.Pending_[0].endChunks();
  On.answer(1);
  REQUIRE(Caller.waitFor("<GET:>"));
  const std::string Bytes = Caller.received();
  const std::size_t End = Bytes.find("\r\n\r\n") + 4;
  CHECK(Bytes.substr(End).starts_with("HTTP/1.1 200"));
}

TEST_CASE("a caller that waits for leave to send its body gets it",
          "[net][http][contract]") {
  EchoServer On;
  RawCaller Caller(On.Loop_, On.Server_.endpoint());
  const std::string Head =
      "POST /x HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n"
      "Expect: 100-continue\r\n\r\n";
  SECTION("on an idle connection") {
    Caller.write(Head);
    REQUIRE(Caller.waitFor(Continue));
  }
  SECTION("behind a request without an answer") {
    On.Holds_ = true;
    Caller.write("GET /x HTTP/1.1\r\nHost: a\r\n\r\n" + Head);
    REQUIRE(pollUntil(On.Loop_, [&] { return On.Pending_.size() == 1; }));
    CHECK(Caller.received().empty());
    On.Holds_ = false;
    On.answer(0);
    REQUIRE(Caller.waitFor(Continue));
    CHECK(Caller.received().find("<GET:>") < Caller.received().find(Continue));
  }
  Caller.write("body");
  CHECK(Caller.waitFor("<POST:body>"));
}

// Guards against a request whose body another server takes for the next one.
TEST_CASE("a body whose length can be read in two ways is refused",
          "[net][http][contract]") {
  const std::string Code = GENERATE(
      as<std::string>(), "Transfer-Encoding: xchunked\r\nContent-Length: 4\r\n",
      "Transfer-Encoding: gzip, chunked\r\n", "Transfer-Encoding: identity\r\n",
      "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
      "Transfer-Encoding: chunked, chunked\r\n",
      "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n");
  EchoServer On;
  RawCaller Caller(On.Loop_, On.Server_.endpoint());
  Caller.write("POST /x HTTP/1.1\r\nHost: a\r\n" + Code + "\r\n0\r\n\r\n");
  CHECK(Caller.waitForEnd());
  CHECK(Caller.received().find("refused-not-run") != std::string::npos);
  CHECK(Caller.received().find(" 200 ") == std::string::npos);
  CHECK(On.Requests_.empty());
}

TEST_CASE("a request for more or less than one host is refused",
          "[net][http][contract]") {
  EchoServer On;
  RawCaller Caller(On.Loop_, On.Server_.endpoint());
  SECTION("none") { Caller.write("GET /x HTTP/1.1\r\n\r\n"); }
  SECTION("two") {
    Caller.write("GET /x HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n");
  }
  CHECK(Caller.waitForEnd());
  CHECK(Caller.received().starts_with("HTTP/1.1 400"));
  CHECK(On.Requests_.empty());
}

TEST_CASE("HTTP/1.0 names no host and no transfer coding",
          "[net][http][contract]") {
  EchoServer On;
  RawCaller Caller(On.Loop_, On.Server_.endpoint());
  SECTION("without a host it is served") {
    Caller.write("GET /x HTTP/1.0\r\n\r\n");
    CHECK(Caller.waitFor("<GET:>"));
  }
  SECTION("chunked it is refused") {
    Caller.write("POST /x HTTP/1.0\r\nHost: a\r\n"
                 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n");
    CHECK(Caller.waitForEnd());
    CHECK(Caller.received().find("refused-not-run") != std::string::npos);
    CHECK(On.Requests_.empty());
  }
}
