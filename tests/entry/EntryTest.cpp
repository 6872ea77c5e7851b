#include "dragonfly/entry/Entry.h"

#include "dragonfly/agent/Agent.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/HttpClient.h"
#include "support/FakeControl.h"
#include "support/LocalDeployment.h"
#include "support/StandIn.h"

#include <catch2/catch.hpp>

#include <list>
#include <optional>

using namespace dragonfly;
using namespace dragonfly::standin;

namespace {

const net::Endpoint AnyPort{.Address_ = "127.0.0.1", .Port_ = 0};

/// Pauses the clock for as long as it lives.
struct PausedClock {
  PausedClock() { Clock::pause(TimePoint(std::chrono::hours(1))); }
  ~PausedClock() { Clock::resume(); }
};

/// Entry, agent, upstream and control in one loop on the paused clock.
class Deployment {
public:
  Deployment()
      : Control_(Loop_, {.Listen_ = AnyPort,
                         .Plans_ = LocalPlans,
                         .Purchases_ = LocalPurchases}),
        Upstream_(Loop_, {.Listen_ = AnyPort, .WatchKinds_ = {"watch"}}),
        Agent_(Loop_,
               localAgent(1, Control_.endpoint(), Upstream_.endpoint(), 8)),
        Entry_(Loop_, localEntry(Control_.endpoint())),
        Caller_(Loop_, {.Peer_ = Entry_.endpoint()}) {
    REQUIRE(until([this] { return Entry_.ready(); }));
  }

  template <typename Condition> bool until(Condition Done) {
    for (int Step = 0; Step < 60000 && !Done(); ++Step) {
      while (Loop_.poll() > 0) {
      }
      Clock::advance(std::chrono::milliseconds(1));
    }
    return Done();
  }

  net::HttpResult &send(const std::string &Kind, const std::string &Id,
                        const std::string &Method = "POST",
                        const std::string &Target = "/v1/requests") {
    Results_.emplace_back();
    const auto It = std::prev(Results_.end());
    Caller_.request({.Method_ = Method,
                     .Target_ = Target,
                     .Headers_ = {{"Dragonfly-Customer", "acme"},
                                  {"Dragonfly-Kind", Kind},
                                  {"Idempotency-Key", Id}}},
                    std::chrono::seconds(60),
                    [It](net::HttpResult Result) { *It = std::move(Result); });
    return *It;
  }

  static bool ended(const net::HttpResult &Result) {
    return Result.Status_ == net::CallStatus::Answered;
  }

  PausedClock Paused_;
  net::EventLoop Loop_;
  FakeControl Control_;
  StandIn Upstream_;
  agent::Agent Agent_;
  entry::Entry Entry_;
  net::HttpClient Caller_;
  std::list<net::HttpResult> Results_;
};

} // namespace

TEST_CASE("each kind passes through entry and agent and is counted once",
          "[entry][path]") {
  Deployment Local;
  for (const std::string Kind : {"check", "review", "watch"}) {
    INFO(Kind);
    const net::HttpResult &End = Local.send(Kind, "id-" + Kind);
    REQUIRE(Local.until([&] { return Deployment::ended(End); }));
    CHECK(End.Response_.Status_ == 200);
    CHECK(End.Response_.header("Dragonfly-Outcome") == "completed");
    CHECK(End.Response_.Body_.find("\"id-" + Kind + "\"") != std::string::npos);
  }
  CHECK(Local.until([&] { return Local.Control_.countedRequests() == 3; }));
}

TEST_CASE("a withdrawn customer is refused once the list is in force",
          "[entry][configuration]") {
  Deployment Local;
  Local.Control_.setLists(LocalPlans, R"({"purchases":[]})");
  int Number = 0;
  REQUIRE(Local.until([&] {
    const net::HttpResult &End =
        Local.send("check", "r" + std::to_string(++Number));
    REQUIRE(Local.until([&] { return Deployment::ended(End); }));
    return End.Response_.Status_ == 403;
  }));
  CHECK(Local.Results_.back().Response_.Body_.find("unknown-customer") !=
        std::string::npos);
}

TEST_CASE("a stop finishes the request in progress and hands over receipts",
          "[entry][drain]") {
  Deployment Local;
  const net::HttpResult &End = Local.send("check", "last");
  std::optional<entry::StopResult> Stopped;
  Local.Entry_.stop([&](entry::StopResult Result) { Stopped = Result; });
  CHECK_FALSE(Local.Entry_.ready());
  const net::HttpResult &Ready = Local.send("", "", "GET", "/readyz");
  REQUIRE(Local.until([&] { return Stopped.has_value(); }));
  CHECK(*Stopped == entry::StopResult::Finished);
  REQUIRE(Deployment::ended(End));
  CHECK(End.Response_.Status_ == 200);
  REQUIRE(Deployment::ended(Ready));
  CHECK(Ready.Response_.Status_ == 503);
  CHECK(Local.Control_.countedRequests() == 1);
}

TEST_CASE("callers that are slow or oversized hold no slot of an upstream",
          "[entry][callers]") {
  Deployment Local;
  net::HttpClient Large(Local.Loop_, {.Peer_ = Local.Entry_.endpoint()});
  std::uint16_t Status = 0;
  Large.request({.Method_ = "POST",
                 .Target_ = "/v1/requests",
                 .Body_ = std::string(2U << 20U, 'x')},
                std::chrono::seconds(5), [&](const net::HttpResult &Result) {
                  Status = Result.Response_.Status_;
                });
  REQUIRE(Local.until([&] { return Status != 0; }));
  CHECK(Status == 413);
  CHECK(Local.Control_.countedRequests() == 0);
}

TEST_CASE("what an entry tells about itself and refuses", "[entry][api]") {
  struct Row {
    std::string Method_;
    std::string Target_;
    std::uint16_t Status_;
    std::string_view Body_;
  };
  const std::vector<Row> Rows{
      {"GET", "/healthz", 200, "healthy"},
      {"GET", "/readyz", 200, "ready"},
      {"GET", "/v1/histograms", 200, "rows"},
      {"GET", "/nothing", 404, "unknown-path"},
      {"PUT", "/v1/requests", 405, "method-not-allowed"},
      {"POST", "/v1/requests", 400, "missing-request-id"},
  };
  Deployment Local;
  for (const Row &Case : Rows) {
    INFO(Case.Method_ << " " << Case.Target_);
    const net::HttpResult &End =
        Local.send("check", "", Case.Method_, Case.Target_);
    REQUIRE(Local.until([&] { return Deployment::ended(End); }));
    CHECK(End.Response_.Status_ == Case.Status_);
    CHECK(End.Response_.Body_.find(Case.Body_) != std::string::npos);
  }
}
