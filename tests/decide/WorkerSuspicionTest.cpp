#include "dragonfly/decide/WorkerSuspicion.h"

#include <catch2/catch.hpp>

namespace dragonfly::decide {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{seconds(100)};

} // namespace

// A worker passes its health check but fails every run that it starts.
TEST_CASE("a worker that fails three runs in a row is suspect",
          "[decide][jobs]") {
  WorkerSuspicion Workers;
  for (int I = 0; I < 3; ++I)
    Workers.recordFailure(Start + milliseconds(100 * I), "w1");
  CHECK(Workers.isSuspect(Start + milliseconds(300), "w1"));
  CHECK_FALSE(Workers.isSuspect(Start, "w2"));

  SECTION("until some seconds have passed without a run") {
    CHECK(Workers.isSuspect(Start + seconds(3), "w1"));
    CHECK_FALSE(Workers.isSuspect(Start + seconds(7), "w1"));
  }
  SECTION("and becomes suspect again at its next failures") {
    CHECK_FALSE(Workers.isSuspect(Start + seconds(7), "w1"));
    for (int I = 0; I < 2; ++I)
      Workers.recordFailure(Start + seconds(7), "w1");
    CHECK(Workers.isSuspect(Start + seconds(7), "w1"));
  }
}

// A fifth of a queue's jobs always fail. Their failures must not make the
// worker suspect.
TEST_CASE("a worker that finishes most of its runs is not suspect",
          "[decide][jobs]") {
  WorkerSuspicion Workers;
  for (int I = 0; I < 200; ++I) {
    const TimePoint Now = Start + milliseconds(50 * I);
    if (I % 5 == 0)
      Workers.recordFailure(Now, "w1");
    else
      Workers.recordSuccess(Now, "w1");
    CHECK_FALSE(Workers.isSuspect(Now, "w1"));
  }
}

} // namespace dragonfly::decide
