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
  Router Value(std::move(Options));
  Value.setUpstreams(makeRows(Count));
  return Value;
}

/// Sends \p Count requests one after another; upstreams in \p Bad fail.
std::map<UpstreamIndex, int> drive(Router &Value, TimePoint &Now, int Count,
                                   const std::vector<UpstreamIndex> &Bad) {
  std::map<UpstreamIndex, int> Sent;
  for (int Step = 0; Step < Count; ++Step, Now += 1ms) {
    const auto Pick = Value.pick(Now, {});
    if (!Pick)
      continue;
    ++Sent[*Pick];
    Value.recordStart(Now, *Pick);
    const bool Fails = std::ranges::find(Bad, *Pick) != Bad.end();
    Value.recordResult(Now, *Pick,
                       Fails ? AttemptResult::Failed : AttemptResult::Answered,
                       2ms);
  }
  return Sent;
}

} // namespace

TEST_CASE("the entry's own zone goes first", "[decide][router]") {
  Router Value = makeRouter(8);
  TimePoint Now = Start;
  for (const auto &[Index, Count] : drive(Value, Now, 200, {}))
    REQUIRE(Value.upstream(Index).AvailabilityZone_ == "z0");
}

TEST_CASE("a full zone overflows to the others", "[decide][router]") {
  Router Value = makeRouter(8);
  std::size_t Far = 0;
  for (int Step = 0; Step < 64; ++Step) {
    const auto Pick = Value.pick(Start, {});
    REQUIRE(Pick);
    Value.recordStart(Start, *Pick);
    Far += Value.upstream(*Pick).AvailabilityZone_ == "z0" ? 0 : 1;
  }
  REQUIRE(Far >= 40);
}

TEST_CASE("excluded and draining upstreams are passed over",
          "[decide][router]") {
  Router Value({.AvailabilityZone_ = "z0"});
  auto Rows = makeRows(3);
  Rows[1].Draining_ = true;
  Value.setUpstreams(Rows);
  const std::vector<UpstreamIndex> Exclude{0};
  for (int Step = 0; Step < 50; ++Step)
    REQUIRE(Value.upstream(*Value.pick(Start, Exclude)).Name_ == "w2");
  const std::vector<UpstreamIndex> All{0, 2};
  REQUIRE_FALSE(Value.pick(Start, All));
}

TEST_CASE("an upstream that fails everything is ejected and probed sparingly",
          "[decide][router]") {
  Router Value = makeRouter(11);
  TimePoint Now = Start;
  drive(Value, Now, 5000, {0});
  REQUIRE(Value.isEjected(Now, 0));
  const auto Sent = drive(Value, Now, 60000, {0});
  const int Bad = Sent.contains(0) ? Sent.at(0) : 0;
  REQUIRE(Bad >= 1);
  REQUIRE(Bad <= 6);
}

TEST_CASE("an ejected upstream returns after a good probe",
          "[decide][router]") {
  Router Value = makeRouter(4);
  TimePoint Now = Start;
  drive(Value, Now, 100, {0});
  REQUIRE(Value.isEjected(Now, 0));
  Now += 6s;
  drive(Value, Now, 100, {});
  REQUIRE_FALSE(Value.isEjected(Now, 0));
}

TEST_CASE("half the fleet failing does not eject all", "[decide][router]") {
  Router Value = makeRouter(10);
  TimePoint Now = Start;
  drive(Value, Now, 2000, {0, 1, 2, 3, 4, 5, 6, 7, 8, 9});
  std::size_t Ejected = 0;
  for (UpstreamIndex Index = 0; Index < 10; ++Index)
    Ejected += Value.isEjected(Now, Index) ? 1 : 0;
  REQUIRE(Ejected == 5);
  REQUIRE(Value.pick(Now, {}));
}

TEST_CASE("a much slower upstream is ejected", "[decide][router]") {
  Router Value = makeRouter(4, {.AvailabilityZone_ = "none"});
  TimePoint Now = Start;
  for (int Step = 0; Step < 4000; ++Step, Now += 1ms) {
    const UpstreamIndex Index = static_cast<UpstreamIndex>(Step % 4);
    Value.recordStart(Now, Index);
    Value.recordResult(Now, Index, AttemptResult::Answered,
                       Index == 2 ? 100ms : 2ms);
  }
  REQUIRE(Value.isEjected(Now, 2));
  REQUIRE_FALSE(Value.isEjected(Now, 1));
}

TEST_CASE("a refusal is no failure", "[decide][router]") {
  Router Value = makeRouter(4);
  for (int Step = 0; Step < 100; ++Step) {
    Value.recordStart(Start, 1);
    Value.recordResult(Start, 1, AttemptResult::Refused, 1ms);
  }
  REQUIRE_FALSE(Value.isEjected(Start, 1));
}

TEST_CASE("retries stay within their share of the requests",
          "[decide][router]") {
  Router Value = makeRouter(4);
  int Retries = 0;
  for (int Step = 0; Step < 10000; ++Step) {
    Value.countRequest();
    Retries += Value.tryConsumeRetry() ? 1 : 0;
  }
  REQUIRE(Retries >= 1000);
  REQUIRE(Retries <= 1010);
}

TEST_CASE("the hedge delay follows the kind's own latencies",
          "[decide][router]") {
  Router Value = makeRouter(4);
  REQUIRE_FALSE(Value.hedgeDelay(0));
  for (int Step = 0; Step < 200; ++Step) {
    Value.recordStart(Start, 1);
    Value.recordResult(Start, 1, AttemptResult::Answered, 2ms, 0);
    Value.recordStart(Start, 1);
    Value.recordResult(Start, 1, AttemptResult::Answered, 200ms, 1);
  }
  REQUIRE(*Value.hedgeDelay(0) >= 2ms);
  REQUIRE(*Value.hedgeDelay(0) <= 3ms);
  REQUIRE(*Value.hedgeDelay(1) >= 200ms);
}

TEST_CASE("a position stays with its upstream while work is in progress",
          "[decide][router]") {
  Router Value = makeRouter(3);
  Value.recordStart(Start, 1);
  auto Rows = makeRows(4);
  Rows.erase(Rows.begin() + 1);
  Value.setUpstreams(Rows);
  REQUIRE(Value.upstream(1).Name_ == "w1");
  Value.recordResult(Start, 1, AttemptResult::Answered, 2ms);
  Rows = makeRows(5);
  Rows.erase(Rows.begin() + 1);
  Value.setUpstreams(Rows);
  REQUIRE(Value.upstream(1).Name_ == "w4");
}

TEST_CASE("an incarnation that has gone gets nothing until the next one",
          "[decide][router]") {
  Router Value = makeRouter(2);
  Value.recordStart(Start, 0);
  Value.recordResult(Start, 0, AttemptResult::Gone, 0ms);
  Value.setUpstreams(makeRows(2));
  TimePoint Now = Start;
  CHECK(drive(Value, Now, 50, {}).count(0) == 0);
  auto Rows = makeRows(2);
  Rows[0].Incarnation_ = {77};
  Value.setUpstreams(Rows);
  const auto Sent = drive(Value, Now, 50, {});
  CHECK(std::ranges::any_of(Sent, [&Value](const auto &Each) {
    return Value.upstream(Each.first).Incarnation_ == Incarnation{77};
  }));
}
