/// Which heartbeats of one life count as the worker's newest, and whether the
/// worker drains.
#include "dragonfly/decide/HeartbeatOrder.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <limits>
#include <random>
#include <vector>

namespace dragonfly::decide {
namespace {

using namespace std::chrono_literals;

constexpr Duration Period = 1100ms;

/// A worker that has sent heartbeats up to number 20.
class Heartbeats {
public:
  Heartbeats() {
    Order_.begin(false);
    for (int I = 0; I < 20; ++I)
      own();
  }

  /// The worker's next heartbeat, one period after the one before it.
  HeartbeatPlace own(bool IsDraining = false) {
    wait(Period);
    return at(++Number_, IsDraining);
  }
  /// Another heartbeat that arrives now.
  HeartbeatPlace at(std::uint64_t Number, bool IsDraining = false) {
    return Order_.add(Now_, Number, IsDraining);
  }
  void wait(Duration Time) { Now_ += Time; }
  /// The worker's heartbeats until the drain is over, or nothing after 10.
  std::optional<int> untilReady() {
    for (int I = 1; I <= 10; ++I) {
      own();
      if (!isDraining())
        return I;
    }
    return std::nullopt;
  }

  bool isDraining() const { return Order_.isDraining(); }
  std::uint64_t newest() const { return Order_.newestNumber(); }
  std::uint64_t number() const { return Number_; }

private:
  HeartbeatOrder Order_{{.Period_ = Period}};
  TimePoint Now_ = TimePoint(100s);
  std::uint64_t Number_ = 0;
};

/// How far ahead of the worker's numbers another writer's may be.
std::uint64_t anyLead() {
  return GENERATE(as<std::uint64_t>(), 0, 1, 2, 3, 10, 50, 100, 101, 1000,
                  1'000'000'000, std::numeric_limits<std::uint64_t>::max() / 2);
}

} // namespace

// Guards against LOST: the worker stayed closed for as many of its heartbeats
// as another writer's number was ahead.
TEST_CASE("a drain that the worker contradicts ends however far ahead it is",
          "[decide][heartbeats]") {
  const std::uint64_t Lead = anyLead();
  const int Times = GENERATE(1, 3, 5);
  const Duration Gap = GENERATE(as<Duration>(), 0ms, 500ms, 1100ms);
  CAPTURE(Lead, Times, Gap.count());
  Heartbeats On;
  for (int I = 0; I < Times; ++I) {
    On.at(On.number() + Lead + static_cast<std::uint64_t>(I), true);
    CHECK(On.isDraining());
    On.wait(Gap);
  }
  const auto Took = On.untilReady();
  REQUIRE(Took);
  CHECK(*Took <= 3);
  // One message that nobody repeats costs no more than its contradiction.
  if (Times == 1)
    CHECK(*Took == 2);
}

// Guards against DRAIN: a notice of the worker was acknowledged and ignored,
// since another writer's number was ahead of it.
TEST_CASE("a drain counts at once whatever its number is",
          "[decide][heartbeats]") {
  const std::uint64_t Lead = anyLead();
  const int Times = GENERATE(1, 3);
  CAPTURE(Lead, Times);
  Heartbeats On;
  for (int I = 0; I < Times; ++I)
    On.at(On.number() + Lead + static_cast<std::uint64_t>(I));
  On.own(true);
  CHECK(On.isDraining());
}

// Guards against DRAIN: heartbeats from before the notice, which a frozen agent
// finds in its queue in any order, opened the worker again.
TEST_CASE("late heartbeats end no drain", "[decide][heartbeats]") {
  const int Queued = GENERATE(1, 2, 5, 30, 150);
  const unsigned Seed = GENERATE(range(1U, 6U));
  CAPTURE(Queued, Seed);
  Heartbeats On;
  std::vector<std::uint64_t> Numbers;
  for (int I = 1; I <= Queued; ++I)
    Numbers.push_back(On.number() + static_cast<std::uint64_t>(I));
  const std::uint64_t Notice = Numbers.back() + 1;
  Numbers.push_back(Notice);
  std::ranges::shuffle(Numbers, std::mt19937(Seed));
  On.wait(Queued * Period);
  for (const std::uint64_t Number : Numbers)
    On.at(Number, Number == Notice);
  CHECK(On.isDraining());
  CHECK(On.newest() == Notice);
  // The worker says no more before it ends.
  On.wait(10 * Period);
  CHECK(On.isDraining());
}

// Guards against DRAIN: one message of another writer opened a worker that
// drains.
TEST_CASE("a single heartbeat ends no drain", "[decide][heartbeats]") {
  const std::uint64_t Lead = anyLead();
  CAPTURE(Lead);
  Heartbeats On;
  for (int I = 0; I < 5; ++I) {
    On.own(true);
    On.at(On.number() + Lead);
    CHECK(On.isDraining());
  }
}

TEST_CASE("heartbeats of a worker in order are the newest",
          "[decide][heartbeats]") {
  Heartbeats On;
  CHECK(On.own() == HeartbeatPlace::Newest);
  On.wait(60s);
  CHECK(On.own() == HeartbeatPlace::Newest);
  // Calls that got no answer use up numbers.
  CHECK(On.at(On.number() + 40) == HeartbeatPlace::Newest);
}

// Guards against LIMIT: a late heartbeat, or a copy, counted as a newer one.
TEST_CASE("late heartbeats and copies are not the newest",
          "[decide][heartbeats]") {
  Heartbeats On;
  const std::uint64_t Newest = On.number();
  for (const std::uint64_t Back : {5U, 4U, 3U, 2U, 1U, 0U})
    CHECK(On.at(Newest - Back) == HeartbeatPlace::Late);
  On.wait(Period);
  CHECK(On.at(Newest) == HeartbeatPlace::Late);
  CHECK(On.own() == HeartbeatPlace::Newest);
  SECTION("one late heartbeat, delivered again and again") {
    for (int I = 0; I < 10; ++I) {
      On.wait(Period);
      CHECK(On.at(Newest - 3) == HeartbeatPlace::Late);
    }
  }
  SECTION("two that are far apart") {
    CHECK(On.at(Newest - 3) == HeartbeatPlace::Late);
    On.wait(4 * Period);
    CHECK(On.at(Newest - 2) == HeartbeatPlace::Late);
  }
}

// Guards against LOST: a high number was given up only once the worker's own
// had caught up with it.
TEST_CASE("a worker's own heartbeats overrule a number ahead of them",
          "[decide][heartbeats]") {
  const std::uint64_t Lead =
      GENERATE(as<std::uint64_t>(), 5, 50, 100, 101, 1'000'000'000);
  CAPTURE(Lead);
  Heartbeats On;
  On.at(On.number() + Lead);
  SECTION("after one") {
    CHECK(On.own() == HeartbeatPlace::Late);
    CHECK(On.own() == HeartbeatPlace::Restarted);
  }
  SECTION("after one that was gone on from") {
    On.at(On.number() + Lead + 1);
    CHECK(On.own() == HeartbeatPlace::Late);
    CHECK(On.own() == HeartbeatPlace::Late);
    CHECK(On.own() == HeartbeatPlace::Restarted);
  }
  SECTION("while the other writer goes on") {
    int Restarts = 0;
    for (int I = 0; I < 10; ++I) {
      Restarts += On.own() == HeartbeatPlace::Restarted ? 1 : 0;
      On.at(On.number() + Lead + 10);
    }
    CHECK(Restarts >= 3);
  }
  CHECK(On.own() != HeartbeatPlace::Restarted);
}

} // namespace dragonfly::decide
