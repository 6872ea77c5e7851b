/// What proves to an agent that a run has ended or has not begun. Each case
/// breaks one link of "at most one run of a task at a time".
#include "agent/AgentFixture.h"

#include <catch2/catch.hpp>

namespace dragonfly::agent {
namespace {

using jobs::RunEnd;
using jobs::RunName;

const RunName Late = makeRun(7);

std::size_t toldEnds(const AgentFixture &On, const RunName &Run) {
  return static_cast<std::size_t>(
      std::ranges::count(On.Leader_->Ends_, Run, &wire::EndReport::Run_));
}

/// Ends of \p Run in reports on the newest session.
std::size_t toldInNewestSession(const AgentFixture &On, const RunName &Run) {
  std::size_t Count = 0;
  for (const wire::WorkerReport &Report : On.Leader_->Reports_)
    if (Report.Session_ == On.Leader_->Reports_.back().Session_)
      Count += static_cast<std::size_t>(
          std::ranges::count(Report.Ends_, Run, &wire::EndReport::Run_));
  return Count;
}

/// Runs for \p By; no run is at work that the leader was told has ended.
void runChecked(AgentFixture &On, Duration By) {
  for (const TimePoint End = Clock::now() + By; Clock::now() < End;) {
    On.run(milliseconds(5));
    for (const wire::EndReport &Each : On.Leader_->Ends_)
      REQUIRE_FALSE(On.Worker_->isRunning(Each.Run_));
  }
}

/// The run is at work or reported as ended, and began once at most.
void requireSettled(AgentFixture &On, const RunName &Run) {
  CHECK(On.Worker_->starts(Run) <= 1);
  CHECK((toldEnds(On, Run) > 0) != On.Worker_->isRunning(Run));
}

/// Lets time pass while the agent gets no processor.
void freeze(Duration By) { Clock::advance(By); }

} // namespace

// Guards against two runs of one task: an agent that wakes up carries out an
// order whose task runs elsewhere since the lease has run out.
TEST_CASE("an order that waited for a frozen agent starts under no old lease",
          "[agent][worker][chain]") {
  AgentFixture On;
  On.startRuns(1);
  const Duration Pause = GENERATE(seconds(1), seconds(3), seconds(6));
  On.Leader_->order({.Starts_ = {{.Run_ = Late}}});
  freeze(Pause);
  runChecked(On, seconds(5));
  requireSettled(On, Late);
  requireSettled(On, makeRun(0));
  if (Pause > seconds(4)) {
    CHECK(On.Worker_->starts(Late) == 0);
    CHECK(toldEnds(On, makeRun(0)) > 0);
  } else {
    CHECK(On.Worker_->isRunning(makeRun(0)));
  }
}

// Guards against two runs of one task: a start that was open while the agent
// was frozen is carried out under the lease that it grants after it wakes up.
TEST_CASE("a start that was open while the agent was frozen begins once",
          "[agent][worker][chain]") {
  AgentFixture On;
  On.startRuns(1);
  const Duration Pause = GENERATE(seconds(1), seconds(3), seconds(6));
  const Duration Delay = GENERATE(milliseconds(300), milliseconds(7000));
  On.Worker_->setOrderDelay(Delay);
  On.Leader_->order({.Starts_ = {{.Run_ = Late}}});
  On.run(milliseconds(30));
  freeze(Pause);
  On.Worker_->setOrderDelay({});
  runChecked(On, seconds(9));
  requireSettled(On, Late);
  requireSettled(On, makeRun(0));
  if (Pause > seconds(4))
    CHECK(On.Worker_->starts(Late) == 0);
}

// Guards against two runs of one task: control places the runs of an agent that
// it does not hear 4 s after its last report, whatever the worker's clock says.
TEST_CASE("runs end with their lease on a worker with a slow or fast clock",
          "[agent][worker][chain]") {
  AgentFixture On;
  On.Worker_->setClockPermille(GENERATE(980, 1000, 1020));
  On.startRuns(1);
  On.run(seconds(GENERATE(0, 20)));

  SECTION("control falls silent") {
    // The deadline that a start names counts for all that runs there.
    On.Leader_->order({.Starts_ = {{.Run_ = Late}}});
    REQUIRE(On.isStartedWithin(Late, milliseconds(100)));
    On.Leader_->setSilent(true);
    On.run(On.Leader_->LeaseTerm_);
    CHECK(On.Worker_->running() == 0);
    CHECK(On.Worker_->starts(Late) == 1);
  }
  SECTION("the worker falls silent") {
    On.Worker_->setSilent(true);
    runChecked(On, seconds(6));
    CHECK(toldEnds(On, makeRun(0)) == 1);
  }
}

// Guards against a start after a run has ended as done: an end is lost with the
// acknowledgement of its report, and the worker is told to forget it.
TEST_CASE("an end is told again until it is durable, and is kept until then",
          "[agent][worker][chain]") {
  AgentFixture On;
  On.startRuns(1);
  SECTION("the leader is silent") {
    On.Leader_->setSilent(true);
    On.Worker_->finish(makeRun(0));
    // Longer than an open report without the end, and one with it.
    On.run(milliseconds(3700));
    CHECK(On.Worker_->keptEnds() == 1);
    On.Leader_->setSilent(false);
    On.run(seconds(3));
    CHECK(toldEnds(On, makeRun(0)) == 1);
  }
  SECTION("the report gets no answer") {
    On.Leader_->holdAcks();
    On.Worker_->finish(makeRun(0));
    On.run(milliseconds(2500));
    REQUIRE(toldEnds(On, makeRun(0)) > 0);
    CHECK(On.Worker_->keptEnds() == 1);
    On.Leader_->loseAcks();
    const std::size_t Before = toldEnds(On, makeRun(0));
    On.run(seconds(3));
    CHECK(toldEnds(On, makeRun(0)) > Before);
  }
  SECTION("the leader is lost before it has recorded the end") {
    On.Leader_->holdAcks();
    On.Worker_->finish(makeRun(0));
    On.run(milliseconds(800));
    REQUIRE(toldEnds(On, makeRun(0)) == 1);
    CHECK(On.Worker_->keptEnds() == 1);
    On.Leader_->loseAcks();
    On.Leader_->refuseSession();
    On.run(seconds(3));
    CHECK(On.Leader_->Hellos_.size() == 2);
    CHECK(toldInNewestSession(On, makeRun(0)) > 0);
  }
  for (const wire::EndReport &Each : On.Leader_->Ends_)
    CHECK(Each.How_ == RunEnd::Finished);
  CHECK(On.Worker_->keptEnds() == 0);
}

// Guards against a lost end: the answer to a report of an earlier life is taken
// for one to ends that the current life's session has not told.
TEST_CASE("an answer to a report of an earlier life drops no end",
          "[agent][worker][chain]") {
  AgentFixture On;
  On.startRuns(3);
  On.Leader_->holdAcks();
  On.Worker_->finish(makeRun(0));
  On.run(milliseconds(500));
  REQUIRE(toldEnds(On, makeRun(0)) == 1);
  On.Worker_->finish(makeRun(1));
  On.run(milliseconds(150));
  On.restartWorker("w1", 20);
  REQUIRE(On.runUntil([&] { return On.Leader_->Hellos_.size() == 2; },
                      milliseconds(300)));
  On.Leader_->releaseAcks();
  runChecked(On, seconds(3));
  REQUIRE(On.Leader_->isReconciled("w1"));
  for (std::uint32_t I = 0; I < 3; ++I) {
    CAPTURE(I);
    CHECK(toldInNewestSession(On, makeRun(I)) == 1);
  }
}

// Guards against a lost end: the answer to a report counts only the ends that
// the report held, not those that have come since.
TEST_CASE("an answer to a report drops no end that came after it",
          "[agent][worker][chain]") {
  AgentFixture On;
  On.startRuns(2);
  On.Leader_->holdAcks();
  On.Worker_->finish(makeRun(0));
  On.run(milliseconds(500));
  On.Worker_->finish(makeRun(1));
  On.run(milliseconds(200));
  REQUIRE(toldEnds(On, makeRun(1)) == 0);
  On.Leader_->releaseAcks();
  On.run(seconds(1));
  CHECK(toldEnds(On, makeRun(0)) == 1);
  CHECK(toldEnds(On, makeRun(1)) == 1);
  CHECK(On.Worker_->keptEnds() == 0);
}

// Guards against two runs of one task: control ends what the first report of a
// session does not list, and the list was made before the session.
TEST_CASE("a list that an earlier session asked for begins no report",
          "[agent][worker][chain]") {
  AgentFixture On;
  On.startRuns(1);
  On.Worker_->setListDelay(milliseconds(600));
  // The old list is on its way for longer or shorter.
  On.run(milliseconds(GENERATE(2000, 2150, 2300, 2450)));
  On.Leader_->refuseSession();
  REQUIRE(
      On.runUntil([&] { return On.Leader_->Hellos_.size() == 2; }, seconds(1)));
  const std::size_t Before = On.Leader_->Reports_.size();
  const auto Took = On.runUntil(
      [&] { return On.Leader_->Reports_.size() > Before; }, seconds(3));
  REQUIRE(Took);
  CHECK(*Took >= milliseconds(600));
  CHECK(On.Leader_->reportedRuns() == std::vector{makeRun(0)});
}

// Guards against two runs of one task: the next life has begun a run while the
// agent takes it for the life before.
TEST_CASE("a start that the next life has answered is one run",
          "[agent][worker][chain]") {
  AgentFixture On;
  On.startRuns(1);
  On.Worker_->restart("w1", 20);
  On.Leader_->order({.Starts_ = {{.Run_ = Late}}});
  REQUIRE(On.isStartedWithin(Late, milliseconds(100)));
  On.run(milliseconds(GENERATE(0, 600, 2000)));
  On.announce(On.Worker_->announce());
  runChecked(On, seconds(4));
  requireSettled(On, Late);
  CHECK(toldEnds(On, makeRun(0)) == 1);
}

// Guards against two runs of one task: a reborn worker shortens the deadline of
// the life before only to the longest that it takes.
TEST_CASE("a run of a next life that is not announced is not told as ended",
          "[agent][worker][chain]") {
  AgentFixture On;
  On.startRuns(1);
  On.run(seconds(20));
  On.Worker_->restart("w1", 20);
  On.Leader_->order({.Starts_ = {{.Run_ = Late}}});
  REQUIRE(On.isStartedWithin(Late, milliseconds(100)));
  runChecked(On, seconds(8));
}

// Guards against needless stops: a late announcement of an earlier life reaches
// a new agent, and the worker's list is taken for that of an unknown life.
TEST_CASE("a late announcement of an earlier life stops no runs",
          "[agent][worker][chain]") {
  AgentFixture On;
  On.startRuns(2);
  On.restartAgent();
  On.announce(foreign("w1", 5));
  On.run(milliseconds(600));
  On.announce(On.Worker_->announce());
  runChecked(On, seconds(6));
  CHECK(On.Worker_->running() == 2);
  CHECK(On.Leader_->Ends_.empty());
}

// Guards against two runs of one task: a stop that the next life has confirmed
// counts for nothing of the life before, and its runs end once.
TEST_CASE("a stop that the next life has confirmed ends each run once",
          "[agent][worker][chain]") {
  AgentFixture On;
  On.startRuns(2);
  On.Worker_->restart("w1", 20);
  On.Leader_->order({.Stops_ = {makeRun(0)}});
  On.run(milliseconds(GENERATE(50, 600)));
  On.announce(On.Worker_->announce());
  runChecked(On, seconds(3));
  CHECK(toldEnds(On, makeRun(0)) == 1);
  CHECK(toldEnds(On, makeRun(1)) == 1);
}

// Guards against two runs of one task: an order begins its run once, however
// often it arrives.
TEST_CASE("an order that arrives again begins no second run",
          "[agent][worker][chain]") {
  AgentFixture On;
  On.startRuns(1);
  const auto OrderAgain = [&] {
    On.Leader_->order({.Starts_ = {{.Run_ = makeRun(0)}}});
    runChecked(On, seconds(2));
    CHECK(On.Worker_->starts(makeRun(0)) == 1);
  };
  SECTION("while it runs") {
    OrderAgain();
    CHECK(On.Worker_->isRunning(makeRun(0)));
    CHECK(toldEnds(On, makeRun(0)) == 0);
  }
  SECTION("with its stop") {
    On.Leader_->order({.Stops_ = {makeRun(0)}});
    OrderAgain();
    CHECK(On.Leader_->Ends_.front().How_ == RunEnd::Stopped);
  }
  SECTION("after its end") {
    On.Worker_->finish(makeRun(0));
    On.run(milliseconds(GENERATE(5, 1000)));
    OrderAgain();
    CHECK(On.Leader_->Ends_.front().How_ == RunEnd::Finished);
  }
}

} // namespace dragonfly::agent
