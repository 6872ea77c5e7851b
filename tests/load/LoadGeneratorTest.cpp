#include "support/LoadGenerator.h"

#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/HttpServer.h"
#include "dragonfly/settings/ReadSettings.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace dragonfly;
using namespace dragonfly::load;

namespace {

const net::Endpoint AnyPort{.Address_ = "127.0.0.1", .Port_ = 0};

/// Runs \p Plan to its end on the paused clock.
std::vector<LoadResult> runPaused(net::EventLoop &Loop, const LoadPlan &Plan) {
  std::optional<std::vector<LoadResult>> Results;
  const LoadGenerator Load(Loop, Plan, [&](std::vector<LoadResult> Rows) {
    Results = std::move(Rows);
  });
  for (int Poll = 0; Poll < 100000 && !Results; ++Poll) {
    Loop.poll();
    Clock::advance(std::chrono::microseconds(500));
  }
  REQUIRE(Results);
  return *Results;
}

} // namespace

TEST_CASE("each answer is counted by its outcome and checked to be its own",
          "[load][generator]") {
  Clock::pause(TimePoint(std::chrono::hours(1)));
  {
    net::EventLoop Loop;
    std::uint64_t Asked = 0;
    const net::HttpServer Server(
        Loop,
        {.Listen_ = AnyPort,
         .OnRequest_ = [&](const net::HttpRequest &Request,
                           const net::HttpReplier &Replier) {
           const bool Own = Request.header("Dragonfly-Kind") == "own";
           const std::string Outcomes[] = {"completed", "refused-not-run",
                                           "unknown"};
           Replier.reply(
               {.Headers_ = {{"Dragonfly-Outcome",
                              Own ? Outcomes[Asked++ % 3] : "completed"}},
                .Body_ =
                    Own ? R"({"request_id":")" +
                              std::string(Request.header("Idempotency-Key")) +
                              "\"}"
                        : "another"});
         }});
    LoadPlan Plan{
        .Targets_ = {Server.endpoint()},
        .Rows_ = {{.Customer_ = "acme", .Kind_ = "own", .RatePerSecond_ = 300},
                  {.Customer_ = "acme",
                   .Kind_ = "wrong",
                   .RatePerSecond_ = 100}},
        .Length_ = std::chrono::seconds(1)};
    const std::vector<LoadResult> Rows = runPaused(Loop, Plan);
    REQUIRE(Rows.size() == 2);
    CHECK(Rows[0].Sent_ > 200);
    CHECK(Rows[0].Sent_ ==
          Rows[0].Completed_ + Rows[0].Refused_ + Rows[0].Unknown_);
    CHECK(Rows[0].Refused_ == (Rows[0].Sent_ + 1) / 3);
    CHECK(Rows[0].Mismatched_ == 0);
    CHECK(Rows[1].Mismatched_ == Rows[1].Completed_);
    CHECK_FALSE(nothingLost(Rows));
  }
  Clock::resume();
}

TEST_CASE("a request without an answer is sent elsewhere under its id",
          "[load][generator]") {
  Clock::pause(TimePoint(std::chrono::hours(1)));
  {
    net::EventLoop Loop;
    std::string FirstId;
    std::string SecondId;
    const net::HttpServer Breaks(
        Loop, {.Listen_ = AnyPort,
               .OnRequest_ = [&](const net::HttpRequest &Request,
                                 const net::HttpReplier &Replier) {
                 FirstId = Request.header("Idempotency-Key");
                 Replier.abort();
               }});
    const net::HttpServer Serves(
        Loop,
        {.Listen_ = AnyPort,
         .OnRequest_ = [&](const net::HttpRequest &Request,
                           const net::HttpReplier &Replier) {
           SecondId = Request.header("Idempotency-Key");
           Replier.reply({.Headers_ = {{"Dragonfly-Outcome", "completed"}},
                          .Body_ = "\"" + SecondId + "\""});
         }});
    LoadPlan Plan{.Targets_ = {Breaks.endpoint(), Serves.endpoint()},
                  .Rows_ = {{.Customer_ = "acme", .Kind_ = "check"}},
                  .MaxRequests_ = 1};
    const std::vector<LoadResult> Rows = runPaused(Loop, Plan);
    CHECK(Rows[0].Completed_ == 1);
    CHECK(FirstId == SecondId);
    CHECK(nothingLost(Rows));
    Plan.Targets_ = {Breaks.endpoint()};
    CHECK(runPaused(Loop, Plan)[0].Lost_ == 1);
  }
  Clock::resume();
}

TEST_CASE("a file of load is read with every fault", "[load][plan]") {
  LoadPlan Plan;
  readLoad(R"({"seconds":2,"rows":[{"customer":"a","kind":"k",
              "rate_per_second":5.5,"deadline_ms":20}]})",
           Plan);
  REQUIRE(Plan.Rows_.size() == 1);
  CHECK(Plan.Length_ == std::chrono::seconds(2));
  CHECK(Plan.Rows_[0].Deadline_ == std::chrono::milliseconds(20));
  try {
    readLoad(R"({"second":2,"rows":[{"kind":"k","rate_per_second":-1}]})",
             Plan);
    FAIL("accepted");
  } catch (const settings::SettingsError &Failure) {
    REQUIRE(Failure.faults().size() == 3);
    CHECK(Failure.faults()[0].Path_ == "/rows/0/customer");
    CHECK(Failure.faults()[1].Path_ == "/rows/0/rate_per_second");
    CHECK(Failure.faults()[2].Path_ == "/second");
  }
}
