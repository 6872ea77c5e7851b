/// Heartbeats of another writer that copy what the worker says and differ in
/// the capacity and the sequence.
#include "agent/AgentFixture.h"

#include <catch2/catch.hpp>

namespace dragonfly::agent {
namespace {

constexpr std::uint64_t ForeignSequence = 1000000;
/// Between two heartbeats of a worker.
constexpr Duration HeartbeatPeriod = milliseconds(1300);

/// Returns a heartbeat of another writer. The worker's own one with the number
/// that is used up is lost.
WorkerAnnouncement foreign(AgentFixture &On, std::int64_t MilliProcessors,
                           std::uint64_t Sequence = ForeignSequence) {
  WorkerAnnouncement Value = On.Worker_->announce();
  Value.Capacity_.MilliProcessors_ = MilliProcessors;
  Value.Sequence_ = Sequence;
  return Value;
}

WorkerAnnouncement draining(AgentFixture &On) {
  WorkerAnnouncement Value = On.Worker_->announce();
  Value.Draining_ = true;
  return Value;
}

} // namespace

// Guards against LIMIT and DRAIN: after one heartbeat of another writer with
// another capacity and a sequence far ahead, none of the worker's counted.
TEST_CASE("another writer's capacity does not lock the worker out",
          "[agent][worker][capacity]") {
  AgentFixture On;
  On.startRuns(2);
  const std::int64_t Capacity = GENERATE(1000, 16000);
  const int Times = GENERATE(1, 3);
  INFO(Times << " with " << Capacity);
  // Before each one of the worker.
  for (int I = 0; I < Times; ++I) {
    On.announceCapacity(4000, HeartbeatPeriod);
    On.announce(foreign(On, Capacity, ForeignSequence + I));
    On.run(milliseconds(100));
    CHECK(On.toldMilliProcessors() == std::min<std::int64_t>(Capacity, 4000));
  }

  SECTION("a smaller capacity counts at once") {
    On.announceCapacity(500, milliseconds(100));
    CHECK(On.toldMilliProcessors() == 500);
  }
  SECTION("the worker's own capacity counts with its second heartbeat") {
    On.announceCapacity(4000, HeartbeatPeriod);
    On.announceCapacity(4000, milliseconds(100));
    CHECK(On.toldMilliProcessors() == 4000);
    On.announceCapacity(6000, HeartbeatPeriod);
    CHECK(On.toldMilliProcessors() == 4000);
    On.announceCapacity(6000, milliseconds(100));
    CHECK(On.toldMilliProcessors() == 6000);
  }
  SECTION("the worker drains") {
    On.announce(draining(On));
    On.run(milliseconds(100));
    CHECK(On.Leader_->Reports_.back().Draining_);
  }
  SECTION("a notice of departure is contradicted") {
    On.Agent_->departed("w1");
    On.run(milliseconds(1500));
    const std::size_t Hellos = On.Leader_->Hellos_.size();
    On.announceCapacity(4000, HeartbeatPeriod);
    // The open call may wait for a second until it lists.
    On.announceCapacity(4000, milliseconds(1100));
    CHECK(On.Leader_->Hellos_.size() > Hellos);
    CHECK_FALSE(On.Leader_->Reports_.back().Draining_);
    return;
  }
  SECTION("other labels count once only they are announced") {
    for (int I = 0; I < 5; ++I) {
      WorkerAnnouncement Own = On.Worker_->announce();
      Own.Labels_ = {"b"};
      On.announce(Own);
      On.run(HeartbeatPeriod);
    }
    CHECK(On.Leader_->Hellos_.back().Labels_ == std::vector<std::string>{"b"});
  }
  CHECK(On.Worker_->running() == 2);
  CHECK(On.Leader_->Ends_.empty());
}

// Guards against a worker that is idle: another writer announced the drain
// together with another capacity, and the worker's own heartbeats did not undo
// it.
TEST_CASE("a drain that another writer announces is contradicted",
          "[agent][worker][capacity]") {
  AgentFixture On;
  On.startRuns(1);
  WorkerAnnouncement Value = foreign(On, 1000);
  Value.Draining_ = true;
  On.announce(Value);
  On.run(milliseconds(100));
  On.announceCapacity(4000, HeartbeatPeriod);
  On.announceCapacity(4000, milliseconds(1500));
  CHECK_FALSE(On.Leader_->Reports_.back().Draining_);
  On.Leader_->order({.Starts_ = {{.Run_ = makeRun(7)}}});
  On.run(milliseconds(100));
  CHECK(On.Worker_->isRunning(makeRun(7)));
}

// Guards against LIMIT: a new process of an agent took the first heartbeat's
// sequence, and a capacity that is larger than the worker's, for its whole
// life.
TEST_CASE("the first announcement does not lock the worker out",
          "[agent][worker][capacity]") {
  AgentFixture On;
  On.startRuns(2);
  On.restartAgent();
  const std::int64_t Capacity = GENERATE(1000, 4000, 16000);
  INFO(Capacity);
  On.announce(foreign(On, Capacity));
  On.run(milliseconds(500));
  SECTION("the worker's own capacity counts") {
    On.announceCapacity(4000, milliseconds(100));
    CHECK(On.toldMilliProcessors() == std::min<std::int64_t>(Capacity, 4000));
    On.announceCapacity(4000, milliseconds(100));
    CHECK(On.toldMilliProcessors() == 4000);
  }
  SECTION("the worker drains") {
    On.announce(draining(On));
    On.run(milliseconds(1200));
    CHECK(On.Leader_->Reports_.back().Draining_);
  }
  CHECK(On.Worker_->running() == 2);
}

// Guards against DRAIN: the first announcement says that the worker drains, and
// the one before it comes late.
TEST_CASE("a drain that is announced first is not contradicted by a late one",
          "[agent][worker][capacity]") {
  AgentFixture On;
  for (int I = 0; I < 10; ++I)
    On.Worker_->announce();
  const WorkerAnnouncement Late = On.Worker_->announce();
  On.announce(draining(On));
  On.run(milliseconds(1200));
  On.announce(Late);
  On.run(milliseconds(1200));
  CHECK(On.Leader_->Reports_.back().Draining_);
}

// Guards against LIMIT and DRAIN: a heartbeat with another capacity does not
// advance the sequence, so that those before it may still arrive.
TEST_CASE("heartbeats that come after a changed capacity's add nothing",
          "[agent][worker][capacity]") {
  AgentFixture On;
  On.startRuns(2);
  On.announceCapacity(4000, milliseconds(100));
  const std::vector<WorkerAnnouncement> Late = {On.Worker_->announce(),
                                                On.Worker_->announce()};
  SECTION("to the room") {
    On.announceCapacity(1500, milliseconds(100));
    for (const WorkerAnnouncement &Each : Late)
      On.announce(Each);
    On.run(milliseconds(100));
    CHECK(On.toldMilliProcessors() == 1500);
    // Back to work: the worker has its room again with the second heartbeat.
    On.announceCapacity(4000, HeartbeatPeriod);
    CHECK(On.toldMilliProcessors() == 1500);
    On.announceCapacity(4000, milliseconds(100));
    CHECK(On.toldMilliProcessors() == 4000);
  }
  SECTION("to what another writer announces before and after them") {
    const std::uint64_t Sequence = Late[0].Sequence_;
    On.announce(foreign(On, 16000, Sequence + 1));
    WorkerAnnouncement Own = Late[0];
    Own.Capacity_.MilliProcessors_ = 1000;
    On.announce(Own);
    On.announce(foreign(On, 16000, Sequence + 2));
    On.run(milliseconds(100));
    CHECK(On.toldMilliProcessors() == 1000);
  }
  SECTION("to a heartbeat that comes twice") {
    On.Worker_->setCapacity(6000);
    const WorkerAnnouncement Own = On.Worker_->announce();
    On.announce(Own);
    On.announce(Late[1]);
    On.announce(Own);
    On.run(milliseconds(100));
    CHECK(On.toldMilliProcessors() == 4000);
  }
  SECTION("to a worker that drains") {
    On.Worker_->setCapacity(1500);
    On.announce(draining(On));
    for (const WorkerAnnouncement &Each : Late)
      On.announce(Each);
    On.run(milliseconds(1100));
    CHECK(On.Leader_->Reports_.back().Draining_);
  }
  SECTION("to a worker that has departed") {
    On.Worker_->setCapacity(1500);
    On.announce(draining(On));
    On.run(milliseconds(500));
    On.Agent_->departed("w1");
    const std::size_t Hellos = On.Leader_->Hellos_.size();
    for (const WorkerAnnouncement &Each : Late)
      On.announce(Each);
    On.run(milliseconds(1500));
    CHECK(On.Leader_->Hellos_.size() == Hellos);
    CHECK(On.Leader_->Reports_.back().Draining_);
    CHECK(On.Leader_->Gone_.size() == 1);
    return;
  }
  CHECK(On.Worker_->running() == 2);
}

} // namespace dragonfly::agent
