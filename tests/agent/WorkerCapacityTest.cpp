/// What an agent makes of a worker whose capacity changes.
#include "agent/AgentFixture.h"

#include <catch2/catch.hpp>

namespace dragonfly::agent {

// Guards against LIMIT: a smaller capacity counted only once it was announced
// twice, and never where it was another one with each heartbeat.
TEST_CASE("a smaller capacity counts at once", "[agent][worker][capacity]") {
  AgentFixture On;
  On.startRuns(2);
  REQUIRE(On.toldMilliProcessors() == 4000);

  SECTION("announced once") {
    On.announceCapacity(2000, milliseconds(100));
    CHECK(On.toldMilliProcessors() == 2000);
  }
  SECTION("in one resource, while another one grows") {
    On.Worker_->setCapacity(8000, 1024, 1);
    On.announce(On.Worker_->announce());
    On.run(milliseconds(100));
    CHECK(On.Leader_->Hellos_.back().Capacity_ ==
          Resources{.MilliProcessors_ = 4000, .MemoryMib_ = 1024});
  }
  SECTION("another one with each heartbeat") {
    for (const std::int64_t Capacity : {3500, 3000, 2500, 2000, 1500}) {
      On.announceCapacity(Capacity, milliseconds(1300));
      CHECK(On.toldMilliProcessors() == Capacity);
    }
  }
  SECTION("announced before the agent was restarted") {
    On.announceCapacity(2000, milliseconds(100));
    On.restartAgent();
    On.announceCapacity(2000, milliseconds(100));
    CHECK(On.toldMilliProcessors() == 2000);
  }
  CHECK(On.Worker_->running() == 2);
  CHECK(On.Leader_->Ends_.empty());
}

// Guards against LIMIT: a larger capacity may be another writer's, or that of a
// heartbeat that came late or twice.
TEST_CASE("a larger capacity counts once the next announcement covers it",
          "[agent][worker][capacity]") {
  AgentFixture On;
  On.startRuns(2);
  On.announceCapacity(2000, milliseconds(1300));
  On.announceCapacity(2000, milliseconds(1300));
  REQUIRE(On.toldMilliProcessors() == 2000);

  SECTION("announced twice") {
    On.announceCapacity(4000, milliseconds(1300));
    CHECK(On.toldMilliProcessors() == 2000);
    On.announceCapacity(4000, milliseconds(100));
    CHECK(On.toldMilliProcessors() == 4000);
  }
  SECTION("another one with each heartbeat") {
    On.announceCapacity(3000, milliseconds(1300));
    On.announceCapacity(3500, milliseconds(1300));
    CHECK(On.toldMilliProcessors() == 3000);
    On.announceCapacity(4000, milliseconds(1300));
    CHECK(On.toldMilliProcessors() == 3500);
  }
  SECTION("one heartbeat that comes twice") {
    On.Worker_->setCapacity(4000);
    const WorkerAnnouncement Value = On.Worker_->announce();
    On.announce(Value);
    On.announce(Value);
    On.run(milliseconds(100));
    CHECK(On.toldMilliProcessors() == 2000);
  }
  SECTION("heartbeats that come late") {
    On.Worker_->setCapacity(4000);
    const WorkerAnnouncement First = On.Worker_->announce();
    const WorkerAnnouncement Second = On.Worker_->announce();
    On.announceCapacity(2000, milliseconds(100));
    On.announce(First);
    On.announce(Second);
    On.run(milliseconds(100));
    CHECK(On.toldMilliProcessors() == 2000);
  }
  SECTION("announced by another writer, with another service") {
    On.announce(foreign("w1", 10));
    On.run(milliseconds(100));
    CHECK(On.toldMilliProcessors() == 2000);
  }
  CHECK(On.Worker_->running() == 2);
}

// Guards against LIMIT: a worker was silent for a moment and had announced
// meanwhile that it has less room. Once it answered, its agent repeated a
// start.
TEST_CASE("a start from before the capacity shrank is not tried again",
          "[agent][worker][capacity]") {
  AgentFixture On;
  On.startRuns(2);
  On.orderUnansweredStart(makeRun(7));
  SECTION("control answers") {}
  SECTION("control does not answer") { On.Leader_->setSilent(true); }
  On.announceCapacity(2000, milliseconds(300));
  On.Worker_->setSilent(false);
  CHECK_FALSE(On.isStartedWithin(makeRun(7), seconds(2)));
  CHECK(On.Worker_->running() == 2);
  On.Leader_->setSilent(false);
  REQUIRE(On.runUntil([&] { return !On.Leader_->Ends_.empty(); }, seconds(5)));
  On.requireOnlyEnd(makeRun(7), jobs::RunEnd::NotStarted);
}

// Guards against LIMIT: a start that was ordered for the larger capacity may
// arrive after the smaller one has been announced.
TEST_CASE("a start that arrives after the capacity shrank is not carried out",
          "[agent][worker][capacity]") {
  AgentFixture On;
  On.startRuns(2);
  On.Leader_->order({.Starts_ = {{.Run_ = makeRun(7)}}});
  On.announceCapacity(2000, seconds(4));
  CHECK_FALSE(On.Worker_->isRunning(makeRun(7)));
  CHECK(On.Worker_->running() == 2);
}

// Guards against DRAIN: a heartbeat that announced another capacity together
// with the drain was passed over as another writer's.
TEST_CASE("a worker that drains and shrinks at once drains",
          "[agent][worker][capacity]") {
  AgentFixture On;
  On.startRuns(1);
  On.Worker_->setCapacity(2000);
  On.announceDraining();
  On.run(milliseconds(1200));
  CHECK(On.Leader_->Reports_.back().Draining_);
  CHECK(On.toldMilliProcessors() == 2000);
}

// Guards against seconds of idle workers: a worker whose capacity changes goes
// on working.
TEST_CASE("a worker whose capacity changes takes starts at once",
          "[agent][worker][capacity]") {
  AgentFixture On;
  // A list call waits longer where nothing runs.
  const auto [Runs, Limit] = GENERATE(std::pair(2U, 500), std::pair(0U, 1100));
  INFO(Runs << " runs");
  On.startRuns(Runs);
  const auto StartsWithin = [&On](std::uint32_t Index) {
    const TimePoint Began = Clock::now();
    REQUIRE(On.runUntil([&] { return On.Leader_->isReconciled("w1"); },
                        seconds(3)));
    On.Leader_->order({.Starts_ = {{.Run_ = makeRun(Index)}}});
    REQUIRE(On.runUntil([&] { return On.Worker_->isRunning(makeRun(Index)); },
                        seconds(3)));
    return toMilliseconds(Clock::now() - Began);
  };
  On.announceCapacity(3000, milliseconds(10));
  CHECK(StartsWithin(7) <= Limit);
  On.run(milliseconds(1300));
  On.announceCapacity(4000, milliseconds(1300));
  On.announceCapacity(4000, milliseconds(10));
  CHECK(StartsWithin(8) <= Limit);
  CHECK(On.toldMilliProcessors() == 4000);
  CHECK(On.Worker_->running() == Runs + 2);
  CHECK(On.Leader_->Ends_.empty());
}

} // namespace dragonfly::agent
