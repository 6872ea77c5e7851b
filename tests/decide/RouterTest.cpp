#include "dragonfly/decide/Router.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>

using namespace dragonfly;
using namespace dragonfly::decide;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{100s};

std::vector<UpstreamRow> makeRows(std::size_t Count, std::size_t Zones = 4) {
  std::vector<UpstreamRow> Rows;
  Rows.reserve(Count);
  for (std::size_t Index = 0; Index < Count; ++Index)
    Rows.push_back({.Name_ = "w" + std::to_string(Index),
                    .Incarnation_ = {Index + 1},
                    .AvailabilityZone_ = "z" + std::to_string(Index % Zones),
                    .Slots_ = 8,
                    .FreeSlots_ = 8});
  return Rows;
}

Router makeRouter(std::size_t Count,
                  RouterOptions Options = {.AvailabilityZone_ = "z0"}) {
  Router TestedRouter(std::move(Options));
  TestedRouter.setUpstreams(makeRows(Count));
  return TestedRouter;
}

/// Sends \p Count sequential requests, which fail on the upstreams in
/// \p Failing. Returns the number sent to each upstream.
std::map<UpstreamIndex, int>
sendRequests(Router &TestedRouter, TimePoint &Now, int Count,
             const std::vector<UpstreamIndex> &Failing) {
  std::map<UpstreamIndex, int> Sent;
  for (int Step = 0; Step < Count; ++Step, Now += 1ms) {
    const auto Picked = TestedRouter.pick(Now, {});
    if (!Picked)
      continue;
    ++Sent[*Picked];
    TestedRouter.recordStart(Now, *Picked);
    const bool Fails = std::ranges::find(Failing, *Picked) != Failing.end();
    TestedRouter.recordResult(
        Now, *Picked, Fails ? AttemptResult::Failed : AttemptResult::Answered,
        2ms);
  }
  return Sent;
}

} // namespace

TEST_CASE("upstreams in the entry's own zone are preferred",
          "[decide][router]") {
  Router TestedRouter = makeRouter(8);
  TimePoint Now = Start;
  for (const auto &[Index, Count] : sendRequests(TestedRouter, Now, 200, {}))
    REQUIRE(TestedRouter.upstream(Index).AvailabilityZone_ == "z0");
}

TEST_CASE("requests overflow to other zones when the own zone is full",
          "[decide][router]") {
  Router TestedRouter = makeRouter(8);
  std::size_t OtherZoneCount = 0;
  for (int Step = 0; Step < 64; ++Step) {
    const auto Picked = TestedRouter.pick(Start, {});
    REQUIRE(Picked);
    TestedRouter.recordStart(Start, *Picked);
    OtherZoneCount +=
        TestedRouter.upstream(*Picked).AvailabilityZone_ == "z0" ? 0 : 1;
  }
  REQUIRE(OtherZoneCount >= 40);
}

TEST_CASE("excluded and draining upstreams are not picked",
          "[decide][router]") {
  Router TestedRouter({.AvailabilityZone_ = "z0"});
  auto Rows = makeRows(3);
  Rows[1].Draining_ = true;
  TestedRouter.setUpstreams(Rows);
  const std::vector<UpstreamIndex> Exclude{0};
  for (int Step = 0; Step < 50; ++Step)
    REQUIRE(TestedRouter.upstream(*TestedRouter.pick(Start, Exclude)).Name_ ==
            "w2");
  const std::vector<UpstreamIndex> All{0, 2};
  REQUIRE_FALSE(TestedRouter.pick(Start, All));
}

TEST_CASE("an upstream that fails every request is ejected and rarely probed",
          "[decide][router]") {
  Router TestedRouter = makeRouter(11);
  TimePoint Now = Start;
  sendRequests(TestedRouter, Now, 5000, {0});
  REQUIRE(TestedRouter.isEjected(Now, 0));
  const auto Sent = sendRequests(TestedRouter, Now, 60000, {0});
  const int Probes = Sent.contains(0) ? Sent.at(0) : 0;
  REQUIRE(Probes >= 1);
  REQUIRE(Probes <= 6);
}

TEST_CASE("an ejected upstream returns after a successful probe",
          "[decide][router]") {
  Router TestedRouter = makeRouter(4);
  TimePoint Now = Start;
  sendRequests(TestedRouter, Now, 100, {0});
  REQUIRE(TestedRouter.isEjected(Now, 0));
  Now += 6s;
  sendRequests(TestedRouter, Now, 100, {});
  REQUIRE_FALSE(TestedRouter.isEjected(Now, 0));
}

TEST_CASE("at most half of the upstreams are ejected when all of them fail",
          "[decide][router]") {
  Router TestedRouter = makeRouter(10);
  TimePoint Now = Start;
  sendRequests(TestedRouter, Now, 2000, {0, 1, 2, 3, 4, 5, 6, 7, 8, 9});
  std::size_t Ejected = 0;
  for (UpstreamIndex Index = 0; Index < 10; ++Index)
    Ejected += TestedRouter.isEjected(Now, Index) ? 1 : 0;
  REQUIRE(Ejected == 5);
  REQUIRE(TestedRouter.pick(Now, {}));
}

TEST_CASE("an upstream much slower than the median is ejected",
          "[decide][router]") {
  Router TestedRouter = makeRouter(4, {.AvailabilityZone_ = "none"});
  TimePoint Now = Start;
  for (int Step = 0; Step < 4000; ++Step, Now += 1ms) {
    const UpstreamIndex Index = static_cast<UpstreamIndex>(Step % 4);
    TestedRouter.recordStart(Now, Index);
    TestedRouter.recordResult(Now, Index, AttemptResult::Answered,
                              Index == 2 ? 100ms : 2ms);
  }
  REQUIRE(TestedRouter.isEjected(Now, 2));
  REQUIRE_FALSE(TestedRouter.isEjected(Now, 1));
}

TEST_CASE("refusals do not eject an upstream", "[decide][router]") {
  Router TestedRouter = makeRouter(4);
  for (int Step = 0; Step < 100; ++Step) {
    TestedRouter.recordStart(Start, 1);
    TestedRouter.recordResult(Start, 1, AttemptResult::Refused, 1ms);
  }
  REQUIRE_FALSE(TestedRouter.isEjected(Start, 1));
}

TEST_CASE("retries stay within their configured share of the requests",
          "[decide][router]") {
  Router TestedRouter = makeRouter(4);
  int Retries = 0;
  for (int Step = 0; Step < 10000; ++Step) {
    TestedRouter.countRequest();
    Retries += TestedRouter.tryConsumeRetry() ? 1 : 0;
  }
  REQUIRE(Retries >= 1000);
  REQUIRE(Retries <= 1010);
}

TEST_CASE("the hedge delay follows the latencies of the request's kind",
          "[decide][router]") {
  Router TestedRouter = makeRouter(4);
  REQUIRE_FALSE(TestedRouter.hedgeDelay(0));
  for (int Step = 0; Step < 200; ++Step) {
    TestedRouter.recordStart(Start, 1);
    TestedRouter.recordResult(Start, 1, AttemptResult::Answered, 2ms, 0);
    TestedRouter.recordStart(Start, 1);
    TestedRouter.recordResult(Start, 1, AttemptResult::Answered, 200ms, 1);
  }
  REQUIRE(*TestedRouter.hedgeDelay(0) >= 2ms);
  REQUIRE(*TestedRouter.hedgeDelay(0) <= 3ms);
  REQUIRE(*TestedRouter.hedgeDelay(1) >= 200ms);
}

TEST_CASE("an index stays with its upstream while an attempt is in progress",
          "[decide][router]") {
  Router TestedRouter = makeRouter(3);
  TestedRouter.recordStart(Start, 1);
  auto Rows = makeRows(4);
  Rows.erase(Rows.begin() + 1);
  TestedRouter.setUpstreams(Rows);
  REQUIRE(TestedRouter.upstream(1).Name_ == "w1");
  TestedRouter.recordResult(Start, 1, AttemptResult::Answered, 2ms);
  Rows = makeRows(5);
  Rows.erase(Rows.begin() + 1);
  TestedRouter.setUpstreams(Rows);
  REQUIRE(TestedRouter.upstream(1).Name_ == "w4");
}

TEST_CASE(
    "an upstream that has left gets no request until its next incarnation",
    "[decide][router]") {
  Router TestedRouter = makeRouter(2);
  TestedRouter.recordStart(Start, 0);
  TestedRouter.recordResult(Start, 0, AttemptResult::Gone, 0ms);
  TestedRouter.setUpstreams(makeRows(2));
  TimePoint Now = Start;
  CHECK(sendRequests(TestedRouter, Now, 50, {}).count(0) == 0);
  auto Rows = makeRows(2);
  Rows[0].Incarnation_ = {77};
  TestedRouter.setUpstreams(Rows);
  const auto Sent = sendRequests(TestedRouter, Now, 50, {});
  CHECK(std::ranges::any_of(Sent, [&TestedRouter](const auto &IndexAndCount) {
    return TestedRouter.upstream(IndexAndCount.first).Incarnation_ ==
           Incarnation{77};
  }));
}
