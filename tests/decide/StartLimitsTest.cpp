/// Load: a few workers fail every run that they start, while their health
/// checks pass. Their runs end sooner than others, so that they have room
/// first.
#include "dragonfly/decide/StartLimits.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace dragonfly::decide {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{seconds(100)};

PlacementWorker limitedWorker(const std::string &Name, std::uint32_t Failures) {
  return {.Name_ = Name,
          .Service_ = "s",
          .FailuresInRow_ = Failures,
          .StartsLeft_ = 0};
}

} // namespace

// Guards against a worker that fails everything and takes the waiting tasks of
// the whole service, one attempt of each.
TEST_CASE("a worker that fails runs in a row gets one run after a pause",
          "[decide][jobs]") {
  StartLimits Limits;
  Limits.recordFailure(Start, "w1", 1);
  CHECK_FALSE(Limits.limitOf(Start, "w1"));
  Limits.recordFailure(Start, "w1", 2);
  REQUIRE(Limits.limitOf(Start, "w1"));
  CHECK(Limits.limitOf(Start, "w1")->OpenStarts_ == 0);
  CHECK(Limits.limitOf(Start + milliseconds(300), "w1")->OpenStarts_ == 1);

  SECTION("and after a longer one each time that it fails again") {
    Limits.recordFailure(Start + milliseconds(300), "w1", 3);
    CHECK(Limits.limitOf(Start + milliseconds(700), "w1")->OpenStarts_ == 0);
    CHECK(Limits.limitOf(Start + milliseconds(900), "w1")->OpenStarts_ == 1);
  }
  SECTION("and its pause is as long for many runs that fail together") {
    for (std::uint32_t I = 3; I < 20; ++I)
      Limits.recordFailure(Start + milliseconds(10), "w1", I);
    CHECK(Limits.limitOf(Start + milliseconds(300), "w1")->OpenStarts_ == 1);
  }
  SECTION("and no more for runs that it had begun before") {
    Limits.recordFinished(Start - milliseconds(1), "w1");
    CHECK(Limits.limitOf(Start + milliseconds(300), "w1")->OpenStarts_ == 1);
    CHECK(Limits.isFailing(Start + milliseconds(300), "w1"));
  }
  SECTION("and is as any other ten seconds later") {
    CHECK(Limits.limitOf(Start + seconds(9), "w1"));
    CHECK_FALSE(Limits.limitOf(Start + seconds(10), "w1"));
    CHECK_FALSE(Limits.isFailing(Start + seconds(10), "w1"));
  }
  SECTION("and twice as many with each run that finishes") {
    Limits.recordFinished(Start + milliseconds(250), "w1");
    CHECK(Limits.limitOf(Start + milliseconds(300), "w1")->OpenStarts_ == 2);
    Limits.recordFinished(Start + milliseconds(250), "w1");
    CHECK(Limits.limitOf(Start + milliseconds(300), "w1")->OpenStarts_ == 4);
    Limits.recordFinished(Start + milliseconds(250), "w1");
    CHECK_FALSE(Limits.limitOf(Start + milliseconds(300), "w1"));
  }
}

// Guards against a service that is closed by jobs which fail everywhere.
TEST_CASE("a third of a service's workers is limited at most",
          "[decide][jobs]") {
  std::vector<PlacementWorker> Workers;
  Workers.reserve(6);
  for (std::uint32_t I = 0; I < 6; ++I)
    Workers.push_back(limitedWorker("w" + std::to_string(I), I + 2));
  liftExcessLimits(Workers);
  CHECK(std::ranges::count_if(Workers, [](const PlacementWorker &Row) {
          return Row.StartsLeft_.has_value();
        }) == 2);
  CHECK(Workers[5].StartsLeft_);
  CHECK(Workers[4].StartsLeft_);

  std::vector<PlacementWorker> Single{limitedWorker("w1", 9)};
  liftExcessLimits(Single);
  CHECK_FALSE(Single.front().StartsLeft_);
}

} // namespace dragonfly::decide
