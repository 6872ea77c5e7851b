/// Load: several large configurations at once. Guards against a control process
/// that outgrows its machine while it reads them.
#include "untrusted/Group.h"

#include <catch2/catch.hpp>

#include <cstddef>
#include <memory>
#include <string>
#include <vector>

using namespace dragonfly::untrusted;
using dragonfly::platform::Peer;

namespace {

/// Longest body that operators may send.
constexpr std::size_t MaxBodyBytes = std::size_t(4) << 20U;

/// Returns a valid configuration of \p Bytes bytes or a little less, whose
/// fields beside the known ones are \p Filler again and again.
std::string configuration(std::size_t Version, std::size_t Bytes,
                          const std::string &Filler) {
  std::string Body =
      R"({"Version":)" + std::to_string(Version) +
      R"(,"Routes":[{"Name":"checks","Host":"a.example",)"
      R"("PathPrefix":"/checks/","Kind":"unsafe","TimeoutMs":3000,)"
      R"("TargetLatencyMs":250,"Service":"sorting","MaxAttempts":4,)"
      R"("SlackFactor":2.0}],"Services":[{"Name":"sorting"}],"Limits":{},)"
      R"("Extra":[)";
  while (Body.size() + 2 * Filler.size() + 3 < Bytes)
    Body += Filler + ",";
  return Body + Filler + "]}";
}

/// Returns a configuration of \p Bytes bytes at most, with as many routes as
/// they can name.
std::string routes(std::size_t Version, std::size_t Bytes) {
  std::string Body = R"({"Version":)" + std::to_string(Version) +
                     R"(,"Services":[{"Name":"s"}],"Limits":{},"Routes":[)";
  for (std::size_t I = 0;; ++I) {
    const std::string Row = R"({"Name":"r","Host":"a","PathPrefix":"/)" +
                            std::to_string(I) +
                            R"(","TimeoutMs":1,"Service":"s"})";
    if (Body.size() + Row.size() + 3 > Bytes)
      break;
    Body += (I > 0 ? "," : "") + Row;
  }
  return Body + "]}";
}

std::string putRequest(const std::string &Body) {
  return "PUT /v1/config HTTP/1.1\r\nHost: a\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

} // namespace

TEST_CASE("configurations in progress do not use up control's memory",
          "[untrusted][operators]") {
  // Control has twice as much as any other role.
  const Machine Limits{.MemoryMb_ = 96};
  const std::size_t Operators = Limits.MemoryMb_ * BytesPerMb / MaxBodyBytes;
  std::string Filler;
  SECTION("numbers") { Filler = "0"; }
  SECTION("lists") { Filler = "[]"; }
  SECTION("objects") { Filler = R"({"a":{}})"; }
  SECTION("text") { Filler = '"' + std::string(1000, 'x') + '"'; }
  Group On(Limits);
  const std::string Ordinary = jobRequest("GET", jobId(1));
  const Answer Calm = On.call(Ordinary);
  REQUIRE(Calm.Status_ == 410);
  std::vector<std::unique_ptr<Peer>> Open;
  for (std::size_t I = 0; I < Operators; ++I) {
    const std::string Body = configuration(2 + I, MaxBodyBytes, Filler);
    // All three, since only the leader reads a large one.
    for (std::size_t Control = 0; Control < 3; ++Control) {
      Open.push_back(std::make_unique<Peer>(On.controlIp(Control), 8166));
      Open.back()->send(putRequest(Body));
    }
  }
  CHECK(On.callUntil(Ordinary, Calm.Status_).Body_ == Calm.Body_);
  On.check();
}

// A bound on what a configuration holds must leave room for the longest one.
TEST_CASE("the longest configuration is stored in calm",
          "[untrusted][operators]") {
  constexpr std::size_t MaxTries = 100;
  const Machine Limits{.MemoryMb_ = 96};
  Group On(Limits);
  const std::string Request = putRequest(routes(2, MaxBodyBytes));
  int Status = 0;
  for (std::size_t Try = 0; Try < MaxTries && Status != 200; ++Try) {
    const Peer Operator(On.controlIp(Try % 3), 8166);
    Operator.send(Request);
    Status = parseAnswer(Operator.readAnswer()).Status_;
  }
  CHECK(Status == 200);
  On.check();
}

// Guards against checks that take one turn of the loop for many seconds.
TEST_CASE("a configuration of many routes and services is checked at once",
          "[untrusted][operators]") {
  constexpr std::size_t Operators = 4;
  // Half of the body for each; the routes name the last service.
  constexpr std::size_t Services = 100'000;
  std::string Body = R"({"Version":2,"Services":[{"Name":"0"})";
  for (std::size_t I = 1; I < Services; ++I)
    Body += R"(,{"Name":")" + std::to_string(I) + R"("})";
  Body += R"(],"Limits":{},"Routes":[)";
  const std::string Last = std::to_string(Services - 1);
  for (std::size_t I = 0; Body.size() + 100 < MaxBodyBytes; ++I)
    Body += (I > 0 ? "," : "") +
            std::string(R"({"Name":"r","Host":"a","PathPrefix":"/)") +
            std::to_string(I) + R"(","TimeoutMs":1,"Service":")" + Last +
            R"("})";
  Body += "]}";
  const Machine Limits{.MemoryMb_ = 192};
  for (const Target &Server : httpServers()) {
    if (Server.Name_.starts_with("operators")) {
      Crowd On(Server, Limits);
      const std::string Request = putRequest(Body);
      std::vector<const Peer *> Open;
      for (std::size_t I = 0; I < Operators; ++I) {
        Open.push_back(&On.connect());
        Open.back()->send(Request.substr(0, Request.size() - 1));
      }
      for (const Peer *Each : Open)
        Each->send(Request.substr(Request.size() - 1));
      On.check();
    }
  }
}
