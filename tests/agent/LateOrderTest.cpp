/// Orders that a worker leaves unanswered and carries out seconds later, after
/// its lease or its life has ended.
#include "agent/AgentFixture.h"

#include <catch2/catch.hpp>

namespace dragonfly::agent {
namespace {

const jobs::RunName Late = makeRun(7);

bool isToldEnded(const AgentFixture &On, const jobs::RunName &Run) {
  return std::ranges::find(On.Leader_->Ends_, Run, &wire::EndReport::Run_) !=
         On.Leader_->Ends_.end();
}

/// Orders the start of `Late`, which the worker carries out after \p Delay.
void orderLateStart(AgentFixture &On, Duration Delay) {
  On.Worker_->setOrderDelay(Delay);
  On.Leader_->order({.Starts_ = {{.Run_ = Late}}});
  On.run(milliseconds(100));
}

/// The worker carries out \p Next soon after it was ordered.
void requireBackToWork(AgentFixture &On, const jobs::RunName &Next) {
  On.Leader_->order({.Starts_ = {{.Run_ = Next}}});
  CHECK(On.isStartedWithin(Next, milliseconds(100)));
}

} // namespace

// Guards against two runs of one task: a start without an answer was dropped
// with the lease of its silent worker, and was carried out under the next lease
// while the task ran elsewhere.
TEST_CASE("a start that is carried out after its lease has no effect",
          "[agent][worker][late]") {
  AgentFixture On;
  On.startRuns(1);
  orderLateStart(On, seconds(9));
  On.Worker_->setSilent(true);
  REQUIRE(On.runUntil([&] { return isToldEnded(On, Late); }, seconds(8)));
  On.Worker_->setSilent(false);

  SECTION("stops are answered") {
    On.Worker_->setOrderDelay({});
    On.run(milliseconds(1500));
    requireBackToWork(On, makeRun(8));
  }
  SECTION("stops get no answer either for a while") {
    On.run(seconds(4));
    On.Worker_->setOrderDelay({});
    On.run(milliseconds(1500));
    requireBackToWork(On, makeRun(8));
  }
  On.run(seconds(8));
  CHECK(On.Worker_->starts(Late) == 0);
  CHECK(On.Worker_->isRunning(makeRun(8)));
}

// Guards against idle workers: stops that get no answer must not hold up a
// worker that answers lists.
TEST_CASE("a worker that answers no stops is back at work under a new token",
          "[agent][worker][late]") {
  AgentFixture On;
  On.startRuns(1);
  orderLateStart(On, seconds(9));
  On.Worker_->setSilent(true);
  REQUIRE(On.runUntil([&] { return isToldEnded(On, Late); }, seconds(8)));
  On.Worker_->setSilent(false);
  const auto Took = On.runUntil(
      [&] { return !On.Leader_->Reports_.back().Silent_; }, seconds(5));
  REQUIRE(Took);
  // At most 0.8 s for an open call, a pause of 0.25 s, 0.3 s for stops, 0.1 s
  // for the open list, and a tick.
  CHECK(*Took <= milliseconds(1500));
  CHECK(On.Leader_->Hellos_.size() == 2);
  On.Worker_->setOrderDelay({});
  requireBackToWork(On, makeRun(8));
  On.run(seconds(8));
  CHECK(On.Worker_->starts(Late) == 0);
  CHECK(On.Worker_->isRunning(makeRun(8)));
  CHECK(On.Leader_->Hellos_.size() == 2);
}

// Guards against UNASKED: a start that is carried out late, after the row, the
// job and the agent's process that sent it have gone.
TEST_CASE("a late start of an agent's process that has gone has no effect",
          "[agent][worker][late]") {
  AgentFixture On;
  On.startRuns(1);
  orderLateStart(On, seconds(12));
  On.Worker_->setOrderDelay({});
  On.restartAgent();
  On.announce(On.Worker_->announce());
  REQUIRE(
      On.runUntil([&] { return On.Leader_->isReconciled("w1"); }, seconds(3)));
  On.run(seconds(14));
  CHECK(On.Worker_->starts(Late) == 0);
  CHECK(On.Worker_->isRunning(makeRun(0)));
}

// Guards against UNASKED: a stop that its worker did not hear, or whose session
// ended, leaves the run at work. A stop may take 3 s, and 0.9 s at the worker.
TEST_CASE("a stop outlives the session that brought it",
          "[agent][worker][late]") {
  AgentFixture On;
  On.startRuns(2);
  SECTION("the worker is silent for a while") {
    On.Worker_->setSilent(true);
    On.Leader_->order({.Stops_ = {makeRun(1)}});
    On.run(milliseconds(1500));
    On.Worker_->setSilent(false);
  }
  SECTION("the session changes") {
    On.Worker_->setSilent(true);
    On.Leader_->order({.Stops_ = {makeRun(1)}});
    On.run(milliseconds(300));
    On.Leader_->refuseSession();
    On.run(milliseconds(1000));
    On.Worker_->setSilent(false);
  }
  SECTION("control falls silent") {
    On.Leader_->order({.Stops_ = {makeRun(1)}});
    On.run(milliseconds(10));
    On.Leader_->setSilent(true);
  }
  SECTION("a report is open") {
    On.Leader_->holdAcks();
    On.Worker_->finish(makeRun(0));
    On.run(milliseconds(50));
    On.Leader_->order({.Stops_ = {makeRun(1)}});
  }
  SECTION("the worker leaves") {
    On.announceDraining();
    On.Leader_->order({.Stops_ = {makeRun(1)}});
  }
  CHECK(On.runUntil([&] { return !On.Worker_->isRunning(makeRun(1)); },
                    milliseconds(2400)));
}

// Guards against LOST of a lasting task: while a worker answers lists, its
// lease goes on, and a start that neither a list nor a stop settled was never
// told as ended. A task has to run again within 6 s of its last run.
TEST_CASE("a start that stops do not settle ends though the lease goes on",
          "[agent][worker][late]") {
  AgentFixture On;
  On.startRuns(1);
  orderLateStart(On, seconds(12));
  REQUIRE(On.runUntil([&] { return isToldEnded(On, Late); }, seconds(5)));
  On.Worker_->setOrderDelay({});
  requireBackToWork(On, makeRun(8));
  On.run(seconds(13));
  CHECK(On.Worker_->starts(Late) == 0);
  CHECK(On.Worker_->starts(makeRun(0)) == 1);
  CHECK(On.Worker_->isRunning(makeRun(0)));
  CHECK(On.Worker_->isRunning(makeRun(8)));
}

// Guards against two runs of one task: control took the lease for expired while
// it did not hear of the agent, and the agent renewed it before an earlier
// start was settled.
TEST_CASE("a start that is carried out after a loss of control has no effect",
          "[agent][worker][late]") {
  AgentFixture On;
  On.startRuns(1);
  orderLateStart(On, seconds(9));
  On.run(milliseconds(1900));
  On.Leader_->setSilent(true);
  On.run(seconds(5));
  REQUIRE(On.Worker_->running() == 0);
  On.Leader_->setSilent(false);
  On.Leader_->refuseSession();
  On.run(seconds(3));
  On.Worker_->setOrderDelay({});
  On.run(milliseconds(1500));
  requireBackToWork(On, makeRun(8));
  On.run(seconds(8));
  CHECK(On.Worker_->starts(Late) == 0);
  CHECK(On.Worker_->isRunning(makeRun(8)));
}

// Guards against two runs of one task: a run was reported as ended although the
// worker's next life had carried out its late start, because a report to an
// earlier leader was still open when that life listed it.
TEST_CASE("a run that the next life lists is not reported as ended",
          "[agent][worker][late]") {
  AgentFixture On;
  On.startRuns(1);
  orderLateStart(On, milliseconds(700));
  On.Leader_->loseReports();
  On.run(milliseconds(500));
  On.Worker_->restart("w1", 20);
  On.run(milliseconds(200));
  REQUIRE(On.Worker_->isRunning(Late));
  On.announce(On.Worker_->announce());
  On.run(seconds(3));
  CHECK(On.Worker_->starts(Late) == 1);
  CHECK(isToldEnded(On, Late) != On.Worker_->isRunning(Late));
}

// Guards against two runs of one task: the first list of a session was believed
// also where control had recorded the end of a run that a new life had carried
// out late.
TEST_CASE("a run whose end control has recorded is stopped with the first list",
          "[agent][worker][late]") {
  AgentFixture On;
  On.startRuns(1);
  orderLateStart(On, milliseconds(6900));
  On.Worker_->setSilent(true);
  REQUIRE(On.runUntil([&] { return isToldEnded(On, Late); }, seconds(6)));
  On.Worker_->setOrderDelay({});
  On.run(milliseconds(500));
  On.Worker_->restart("w1", 20);
  On.Worker_->setSilent(false);
  REQUIRE(On.isStartedWithin(Late, seconds(3)));
  On.announce(On.Worker_->announce());
  const auto Took = On.runUntil([&] { return !On.Worker_->isRunning(Late); },
                                milliseconds(500));
  REQUIRE(Took);
  CHECK(*Took <= milliseconds(100));
}

// Guards against two runs of one task: until control had registered a worker's
// next life, that life carried out late starts of the one before.
TEST_CASE("a next life without a session carries out no earlier start",
          "[agent][worker][late]") {
  AgentFixture On;
  On.startRuns(1);
  orderLateStart(On, milliseconds(1500));
  On.Leader_->setSilent(true);
  On.run(milliseconds(500));
  On.restartWorker("w1", 20);
  On.run(seconds(3));
  CHECK(On.Worker_->starts(Late) == 0);
  On.Leader_->setSilent(false);
  On.Worker_->setOrderDelay({});
  REQUIRE(On.runUntil(
      [&] {
        return On.Leader_->isReconciled("w1") &&
               On.Leader_->Hellos_.back().Born_ == 20;
      },
      seconds(3)));
  requireBackToWork(On, makeRun(8));
}

// Guards against two runs of one task: the probe of another writer's worker
// waited for its timeout while the worker's next life was not called.
TEST_CASE("a next life is called while a probe of another worker is open",
          "[agent][worker][late]") {
  AgentFixture On;
  On.startRuns(1);
  On.Worker_->setSilent(true);
  On.announce(foreign("nowhere", 7));
  On.run(milliseconds(100));
  const std::uint64_t Token = On.Leader_->Hellos_.size();
  On.Worker_->setSilent(false);
  On.restartWorker("w1", 20);
  On.run(milliseconds(50));
  CHECK(On.Worker_->fence() > Token);
}

// Guards against workers that are never removed: a start without an answer is
// settled by no stop once its worker has left.
TEST_CASE("a worker that leaves with an unsettled start is reported as gone",
          "[agent][worker][late]") {
  AgentFixture On;
  On.startRuns(1);
  orderLateStart(On, seconds(9));
  On.Agent_->departed("w1");
  On.Worker_->setSilent(true);
  const auto Took =
      On.runUntil([&] { return !On.Leader_->Gone_.empty(); }, seconds(8));
  REQUIRE(Took);
  CHECK(On.Leader_->Gone_.front().Worker_ == "w1");
}

// Guards against late restarts: an agent that could not settle a start renamed
// itself after its worker's departure, opened no session under that name, and
// control ignored its notice until the worker's lease had run out.
TEST_CASE("a departure is told by the process that control knows",
          "[agent][worker][late]") {
  AgentFixture On;
  On.startRuns(1);
  orderLateStart(On, seconds(20));
  On.Agent_->departed("w1");
  On.run(seconds(6));
  On.Worker_->setSilent(true);
  REQUIRE(On.runUntil([&] { return !On.Leader_->Gone_.empty(); }, seconds(8)));
  CHECK(On.Leader_->Gone_.front().Agent_ == On.Leader_->Hellos_.back().Agent_);
}

// Guards against two runs of one task: an agent that had been told of a worker
// on another VM told control that it is gone.
TEST_CASE("only a worker that was on the VM is reported as gone",
          "[agent][worker]") {
  AgentFixture On;
  On.announce(foreign("w9", 20));
  On.run(milliseconds(300));
  On.announce(On.Worker_->announce());
  REQUIRE(On.runUntil([&] { return On.Leader_->isReconciled("w1"); },
                      milliseconds(200)));
  On.run(seconds(1));
  CHECK(On.Leader_->Gone_.empty());
}

// Guards against idle workers: the first start of a life is the first call that
// grants a lease there.
TEST_CASE("a worker that is back takes its first start at once",
          "[agent][worker][late]") {
  AgentFixture On;
  On.startRuns(1);
  On.run(seconds(6));
  On.restartWorker("w1", 20);
  REQUIRE(On.runUntil(
      [&] {
        return On.Leader_->isReconciled("w1") &&
               On.Leader_->Hellos_.back().Born_ == 20;
      },
      seconds(1)));
  requireBackToWork(On, makeRun(8));
}

} // namespace dragonfly::agent
