/// Load: for some seconds most short jobs ask for data in one rack, which has
/// room for a part of them.
#include "dragonfly/decide/LocalityWait.h"

#include <catch2/catch.hpp>

namespace dragonfly::decide {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{seconds(100)};

/// One processor is wanted; a run takes 1 s near its data and 3 s elsewhere.
LocalityRequest request() {
  return {.RunTime_ = seconds(1),
          .RemoteFactor_ = 3,
          .WantedMilliProcessors_ = 1000,
          .FreedMilliProcessorsPerSecond_ = 10000,
          .TimeLeft_ = seconds(10)};
}

LocalityChoice choose(const LocalityRequest &Task) {
  return decideLocality(Task).Choice_;
}

} // namespace

// Guards against tasks that run three times as long elsewhere although a place
// near their data is about to become free.
TEST_CASE("a task waits while that is expected to end it sooner",
          "[decide][locality]") {
  LocalityRequest Task = request();
  const LocalityDecision Decision = decideLocality(Task);
  CHECK(Decision.Choice_ == LocalityChoice::Wait);
  CHECK(Decision.ExpectedWait_ == milliseconds(100));
  CHECK(Decision.RemoteLoss_ == seconds(2));

  SECTION("but not for a rack in which nothing becomes free") {
    Task.FreedMilliProcessorsPerSecond_ = 0;
    CHECK(choose(Task) == LocalityChoice::RunRemotely);
  }
  SECTION("but not where the data can be read from anywhere as fast") {
    Task.RemoteFactor_ = 1;
    CHECK(choose(Task) == LocalityChoice::RunRemotely);
  }
  SECTION("but no longer than it would lose elsewhere") {
    Task.WaitedFor_ = milliseconds(1900);
    CHECK(choose(Task) == LocalityChoice::Wait);
    Task.WaitedFor_ = milliseconds(2000);
    CHECK(choose(Task) == LocalityChoice::RunRemotely);
  }
}

// Guards against a queue at a hot rack: the tasks at its end would wait longer
// than they lose elsewhere.
TEST_CASE("a hot rack sheds the tasks that it cannot serve soon enough",
          "[decide][locality]") {
  LocalityRequest Task = request();
  std::int64_t Waiting = 0;
  for (int I = 0; I < 100; ++I) {
    Task.WantedMilliProcessors_ = (Waiting + 1) * 1000;
    if (choose(Task) == LocalityChoice::Wait)
      ++Waiting;
  }
  CHECK(Waiting == 19);
}

// Guards against jobs that miss their objective for a wait that took longer
// than expected, although the place elsewhere was in time.
TEST_CASE("a task does not risk its job's objective for a wait",
          "[decide][locality]") {
  LocalityRequest Task = request();
  // Expected to end after 2.5 s near its data and after 3 s elsewhere.
  Task.WantedMilliProcessors_ = 15000;
  CHECK(choose(Task) == LocalityChoice::Wait);
  Task.TimeLeft_ = milliseconds(3500);
  CHECK(choose(Task) == LocalityChoice::RunRemotely);
  SECTION("and takes the sooner end where the other is late") {
    Task.TimeLeft_ = milliseconds(2800);
    CHECK(choose(Task) == LocalityChoice::Wait);
    Task.TimeLeft_ = -seconds(1);
    CHECK(choose(Task) == LocalityChoice::Wait);
  }
}

TEST_CASE("the rate at which runs free processors is learnt by rack",
          "[decide][locality]") {
  ReleaseRates Rates;
  CHECK(Rates.perSecond(Start, "r1") == 0);
  TimePoint Now = Start;
  for (int I = 0; I < 100; ++I, Now += milliseconds(100))
    Rates.record(Now, "r1", 1000);
  CHECK(Rates.perSecond(Now, "r1") == Approx(10000).epsilon(0.05));
  CHECK(Rates.perSecond(Now, "r2") == 0);
  CHECK(Rates.perSecond(Now + seconds(3), "r1") ==
        Approx(10000.0 / 8).epsilon(0.05));
}

} // namespace dragonfly::decide
