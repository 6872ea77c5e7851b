#include "dragonfly/base/Clock.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace std::chrono_literals;

TEST_CASE("a paused clock moves only when advanced", "[base][clock]") {
  Clock::pause(TimePoint(5s));
  REQUIRE(Clock::now() == TimePoint(5s));
  Clock::advance(250ms);
  REQUIRE(Clock::now() == TimePoint(5250ms));
  Clock::resume();
  REQUIRE(Clock::now() != TimePoint(5250ms));
}
