#include "support/StandIn.h"

#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/HttpClient.h"

#include <catch2/catch.hpp>

#include <optional>
#include <string>

using namespace dragonfly;
using namespace dragonfly::standin;
using namespace std::chrono_literals;

namespace {

constexpr Duration Patience = 10s;

struct Fixture {
  explicit Fixture(Behaviour Start = {.ServiceTime_ = 0ms})
      : Upstream_(Loop_, {.Listen_ = {.Address_ = "127.0.0.1"},
                          .Behaviour_ = Start,
                          .WatchKinds_ = {"line-watch"}}),
        Client_(Loop_, {.Peer_ = Upstream_.endpoint()}) {}

  net::HttpResult call(net::HttpRequest Request) {
    std::optional<net::HttpResult> Result;
    Client_.request(std::move(Request), Patience,
                    [&Result](net::HttpResult R) { Result = std::move(R); });
    while (!Result)
      Loop_.poll();
    return *Result;
  }

  net::HttpResult run(const std::string &Id, const std::string &Kind) {
    return call({.Method_ = "POST",
                 .Target_ = "/run",
                 .Headers_ = {{"Dragonfly-Customer", "a"},
                              {"Dragonfly-Kind", Kind},
                              {"Dragonfly-Request-Id", Id}},
                 .Body_ = "nuts"});
  }

  net::EventLoop Loop_;
  StandIn Upstream_;
  net::HttpClient Client_;
};

} // namespace

TEST_CASE("the answer is to its own request and runs are counted",
          "[standin][http]") {
  Fixture Under;
  const auto Answer = Under.run("r1", "belt-check");
  REQUIRE(Answer.Status_ == net::CallStatus::Answered);
  CHECK(Answer.Response_.Status_ == 200);
  CHECK(Answer.Response_.Body_.find("\"request_id\":\"r1\"") !=
        std::string::npos);
  Under.run("r1", "belt-check");
  const auto Runs = Under.call({.Target_ = "/stand-in/runs"});
  CHECK(Runs.Response_.Body_.find("\"count\":2") != std::string::npos);
}

TEST_CASE("a watch is answered in parts", "[standin][http]") {
  Fixture Under;
  const auto Answer = Under.run("w1", "line-watch");
  CHECK(Answer.Response_.Body_.find("\"parts_left\":3") != std::string::npos);
  CHECK(Answer.Response_.Body_.find("\"parts_left\":0") != std::string::npos);
}

TEST_CASE("behaviour can be steered", "[standin][http]") {
  Fixture Under;
  Under.call({.Method_ = "PUT",
              .Target_ = "/stand-in",
              .Body_ = R"({"fail":true,"healthy":false})"});
  CHECK(Under.run("r1", "belt-check").Response_.Status_ == 500);
  CHECK(Under.call({.Target_ = "/healthz"}).Response_.Status_ == 503);
}

TEST_CASE("a task starts only under a lease", "[standin][http]") {
  Fixture Under;
  const net::HttpRequest Start{
      .Method_ = "POST",
      .Target_ = "/worker/tasks/7/start",
      .Body_ = R"({"epoch":1,"kind":"lot-review","milli_processors":500})"};
  CHECK(Under.call(Start).Response_.Status_ == 409);
  const auto Until = (Clock::now() + 1h).time_since_epoch().count();
  Under.call({.Method_ = "PUT",
              .Target_ = "/worker/lease",
              .Body_ = "{\"until_ns\":" + std::to_string(Until) + "}"});
  CHECK(Under.call(Start).Response_.Status_ == 200);
  const auto Tasks = Under.call({.Target_ = "/worker/tasks"});
  CHECK(Tasks.Response_.Body_.find("\"state\":\"running\"") !=
        std::string::npos);
}

TEST_CASE("a draining stand-in refuses and finishes", "[standin][http]") {
  Fixture Under;
  bool Drained = false;
  Under.Upstream_.drain([&Drained] { Drained = true; });
  CHECK(Under.run("r1", "belt-check").Response_.Status_ == 503);
  CHECK(Under.call({.Target_ = "/healthz"}).Response_.Status_ == 503);
  CHECK(Drained);
}
