/// Heartbeats that another writer sends under the worker's own id and birth,
/// and the worker's own ones that come late, after a freeze or a rebirth.
#include "agent/AgentFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <functional>
#include <random>
#include <vector>

namespace dragonfly::agent {
namespace {

constexpr Duration HeartbeatPeriod = milliseconds(1100);

/// Returns a copy of the worker's newest heartbeat with a number that is ahead.
/// The worker does not miss a number for it.
WorkerAnnouncement ahead(const WorkerAnnouncement &Newest, std::uint64_t Lead) {
  WorkerAnnouncement Value = Newest;
  Value.Sequence_ += Lead;
  return Value;
}

/// Returns the worker's first heartbeat after \p Count others in time.
WorkerAnnouncement ownAfter(AgentFixture &On, int Count) {
  for (int I = 0; I < Count; ++I) {
    On.announce(On.Worker_->announce());
    On.run(HeartbeatPeriod);
  }
  const WorkerAnnouncement Newest = On.Worker_->announce();
  On.announce(Newest);
  return Newest;
}

/// Announces copies of \p Newest, as \p Change makes them, with the numbers
/// from
/// \p Lead ahead on.
void announceAhead(AgentFixture &On, const WorkerAnnouncement &Newest,
                   std::uint64_t Lead, std::uint64_t Times,
                   const std::function<void(WorkerAnnouncement &)> &Change) {
  for (std::uint64_t I = 0; I < Times; ++I) {
    WorkerAnnouncement Value = ahead(Newest, Lead + I);
    Change(Value);
    On.announce(Value);
    On.run(milliseconds(50));
  }
}

bool isDraining(AgentFixture &On) {
  On.run(milliseconds(500));
  return On.Leader_->Reports_.back().Draining_;
}

} // namespace

// Guards against LOST (review/11): a drain with a number of up to 100 ahead
// closed the worker for as many of its own heartbeats, which said `ready`.
TEST_CASE("a drain ahead of the worker's own heartbeats closes it for a moment",
          "[agent][worker][foreign]") {
  const std::uint64_t Lead =
      GENERATE(as<std::uint64_t>(), 0, 1, 2, 50, 100, 101, 1'000'000'000);
  const std::uint64_t Times = GENERATE(as<std::uint64_t>(), 1, 3);
  CAPTURE(Lead, Times);
  AgentFixture On;
  On.startRuns(1);
  announceAhead(On, ownAfter(On, 3), Lead, Times,
                [](WorkerAnnouncement &Value) { Value.Draining_ = true; });
  CHECK(isDraining(On));
  ownAfter(On, 2);
  CHECK_FALSE(isDraining(On));
  On.Leader_->order({.Starts_ = {{.Run_ = makeRun(7)}}});
  CHECK(On.isStartedWithin(makeRun(7), milliseconds(200)));
  CHECK(On.Worker_->isRunning(makeRun(0)));
}

// Guards against DRAIN (review/11, the path that was not run): the worker's
// notice was acknowledged and had no effect, since a foreign `ready` was ahead.
TEST_CASE("the worker's notice counts behind another writer's number",
          "[agent][worker][foreign]") {
  const std::uint64_t Lead =
      GENERATE(as<std::uint64_t>(), 0, 1, 50, 100, 101, 1'000'000'000);
  const std::uint64_t Times = GENERATE(as<std::uint64_t>(), 1, 3);
  CAPTURE(Lead, Times);
  AgentFixture On;
  On.startRuns(1);
  const WorkerAnnouncement Newest = ownAfter(On, 3);
  for (std::uint64_t I = 0; I < Times; ++I)
    On.announce(ahead(Newest, Lead + I));
  On.announceDraining();
  CHECK(isDraining(On));
  On.Leader_->order({.Starts_ = {{.Run_ = makeRun(7)}}});
  CHECK_FALSE(On.isStartedWithin(makeRun(7), seconds(3)));
}

// Guards against LOST: three heartbeats without room, whose number was ahead,
// left the worker without room until its own numbers had caught up.
TEST_CASE("a capacity ahead of the worker's own heartbeats counts for a moment",
          "[agent][worker][foreign]") {
  const std::uint64_t Lead =
      GENERATE(as<std::uint64_t>(), 1, 50, 100, 1'000'000'000);
  const std::uint64_t Times = GENERATE(as<std::uint64_t>(), 1, 3);
  CAPTURE(Lead, Times);
  AgentFixture On;
  On.startRuns(1);
  announceAhead(On, ownAfter(On, 3), Lead, Times,
                [](WorkerAnnouncement &Value) { Value.Capacity_ = {}; });
  On.run(milliseconds(50));
  CHECK(On.toldMilliProcessors() == 0);
  ownAfter(On, 4);
  On.run(milliseconds(100));
  CHECK(On.toldMilliProcessors() == 4000);
}

// Guards against idle workers: times that another writer states would be told
// to control for as long as its number is ahead.
TEST_CASE("times ahead of the worker's own heartbeats count for a moment",
          "[agent][worker][foreign]") {
  const std::uint64_t Lead =
      GENERATE(as<std::uint64_t>(), 1, 50, 1'000'000'000);
  CAPTURE(Lead);
  AgentFixture On;
  On.startRuns(1);
  WorkerAnnouncement Value = ahead(ownAfter(On, 3), Lead);
  SECTION("cold for an hour") {
    Value.ColdTimeLeft_ = std::chrono::hours(1);
    On.announce(Value);
    ownAfter(On, 2);
    On.run(milliseconds(500));
    CHECK(On.Leader_->Reports_.back().ColdTimeLeft_ == Duration::zero());
  }
  SECTION("an hour until a worker leaves that drains") {
    Value.Draining_ = true;
    Value.DrainTimeLeft_ = std::chrono::hours(1);
    On.announce(Value);
    On.announceDraining();
    CHECK(isDraining(On));
    CHECK(On.Leader_->Reports_.back().DrainTimeLeft_ == Duration::zero());
  }
}

// Guards against DRAIN: one `ready` of another writer, with a number ahead,
// opened a worker that drains.
TEST_CASE("a single heartbeat does not open a worker that drains",
          "[agent][worker][foreign]") {
  const std::uint64_t Lead =
      GENERATE(as<std::uint64_t>(), 1, 50, 1'000'000'000);
  CAPTURE(Lead);
  AgentFixture On;
  On.startRuns(1);
  const WorkerAnnouncement Newest = ownAfter(On, 3);
  On.announceDraining();
  On.run(milliseconds(500));
  On.announce(ahead(Newest, Lead + 1));
  CHECK(isDraining(On));
}

// Guards against DRAIN: an agent that was frozen finds the notice and the
// heartbeats before it in its queue, in any order.
TEST_CASE("heartbeats that waited for a frozen agent end no drain",
          "[agent][worker][foreign]") {
  const int Queued = GENERATE(2, 20, 150);
  const unsigned Seed = GENERATE(1U, 2U, 3U);
  CAPTURE(Queued, Seed);
  AgentFixture On;
  On.startRuns(1);
  ownAfter(On, 3);
  std::vector<WorkerAnnouncement> Queue;
  Queue.reserve(static_cast<std::size_t>(Queued) + 1);
  for (int I = 0; I < Queued; ++I)
    Queue.push_back(On.Worker_->announce());
  WorkerAnnouncement Notice = On.Worker_->announce();
  Notice.Draining_ = true;
  Queue.push_back(Notice);
  std::ranges::shuffle(Queue, std::mt19937(Seed));
  // The clock counts a freeze as well.
  Clock::advance(Queued * HeartbeatPeriod);
  for (const WorkerAnnouncement &Each : Queue)
    On.announce(Each);
  CHECK(isDraining(On));
  On.announceDraining();
  CHECK(isDraining(On));
}

// Guards against LOST and DRAIN across a rebirth under the same id: numbers
// begin anew, and late heartbeats of the life before say nothing of this one.
TEST_CASE("a worker that is reborn under its id is believed from 1 on",
          "[agent][worker][foreign]") {
  AgentFixture On;
  On.startRuns(1);
  const WorkerAnnouncement Newest = ownAfter(On, 20);
  On.restartWorker("w1", 20);
  REQUIRE(
      On.runUntil([&] { return On.Leader_->isReconciled("w1"); }, seconds(3)));
  WorkerAnnouncement Late = ahead(Newest, 1);
  Late.Draining_ = true;
  On.announce(Late);
  CHECK_FALSE(isDraining(On));
  On.Leader_->order({.Starts_ = {{.Run_ = makeRun(7)}}});
  CHECK(On.isStartedWithin(makeRun(7), seconds(1)));
  On.announceDraining();
  CHECK(isDraining(On));
}

} // namespace dragonfly::agent
