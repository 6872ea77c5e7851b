#include "dragonfly/base/LineBudget.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace std::chrono_literals;

// Guards against lines that crowd out others: callers who read a configuration
// again and again had each answer logged.
TEST_CASE("a kind of line is logged a number of times a second", "[log]") {
  LineBudget Lines(2);
  const TimePoint Began(100s);
  CHECK(Lines.take(Began));
  CHECK(Lines.take(Began + 10ms));
  CHECK_FALSE(Lines.take(Began + 20ms));
  CHECK_FALSE(Lines.take(Began + 999ms));
  CHECK(Lines.take(Began + 1s));
}
