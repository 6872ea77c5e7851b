#include "dragonfly/decide/StopSchedule.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::decide;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start(100s);
constexpr StopBounds Bounds{
    .ServeTime_ = 2s, .Bound_ = 5s, .CloseTime_ = 200ms};

} // namespace

TEST_CASE("a stop that is not asked for does not advance", "[decide][stop]") {
  StopSchedule Schedule(Bounds);
  CHECK(Schedule.advance(Start + 1h, 0) == StopPhase::Running);
}

TEST_CASE("a stop serves for its time and then waits for what is unfinished",
          "[decide][stop]") {
  StopSchedule Schedule(Bounds);
  Schedule.begin(Start);
  CHECK(Schedule.advance(Start + 1999ms, 0) == StopPhase::Serving);
  CHECK(Schedule.advance(Start + 2s, 3) == StopPhase::Refusing);
  CHECK(Schedule.advance(Start + 3s, 1) == StopPhase::Refusing);
  CHECK(Schedule.advance(Start + 3s, 0) == StopPhase::Closing);
  CHECK(Schedule.advance(Start + 3s, 2) == StopPhase::Closing);
  CHECK(Schedule.advance(Start + 3s, 0) == StopPhase::Ended);
  CHECK_FALSE(Schedule.isCutOff());
}

TEST_CASE("a repeated request to stop does not prolong the stop",
          "[decide][stop]") {
  StopSchedule Schedule(Bounds);
  Schedule.begin(Start);
  Schedule.begin(Start + 1s);
  CHECK(Schedule.advance(Start + 2s, 0) == StopPhase::Refusing);
}

TEST_CASE("the bound of a stop cuts off what is unfinished", "[decide][stop]") {
  StopSchedule Schedule(Bounds);
  Schedule.begin(Start);
  Schedule.advance(Start + 2s, 1);
  CHECK(Schedule.advance(Start + 4999ms, 1) == StopPhase::Refusing);
  CHECK(Schedule.advance(Start + 5s, 1) == StopPhase::Closing);
  CHECK(Schedule.isCutOff());
  CHECK(Schedule.advance(Start + 5199ms, 1) == StopPhase::Closing);
  CHECK(Schedule.advance(Start + 5200ms, 1) == StopPhase::Ended);
}

TEST_CASE("a bound before the end of the serving time goes first",
          "[decide][stop]") {
  StopSchedule Schedule({.ServeTime_ = 2s, .Bound_ = 1s});
  Schedule.begin(Start);
  CHECK(Schedule.advance(Start + 1s, 1) == StopPhase::Refusing);
  CHECK(Schedule.advance(Start + 1s, 1) == StopPhase::Closing);
  CHECK(Schedule.isCutOff());
}
