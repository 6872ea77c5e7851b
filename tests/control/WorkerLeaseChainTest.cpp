/// Tests, at control, each proof that a run has ended before its task starts
/// again.
#include "control/LeaseHost.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace dragonfly::control {

// Guards against two runs of one task: a new leader that counts a lease from
// the last report it knows, or not at all, starts the task while it runs.
TEST_CASE("a new leader waits a whole lease for a worker that does not attach",
          "[control][jobs][chain]") {
  JobCluster Cluster;
  LeaseHost First(Cluster, "w1");
  First.attach();
  Cluster.submit({makeStep()});
  First.report();
  REQUIRE(First.Runs_ == std::vector{makeRun()});
  Cluster.run(milliseconds(GENERATE(0, 1500, 3500)));
  const std::size_t Old = Cluster.leader();
  const int How = GENERATE(0, 1, 2);
  if (How == 0)
    Cluster.kill(Old);
  else if (How == 1)
    Cluster.isolate(Old);
  else
    Cluster.node(Old).transferLeadership();
  const TimePoint Elected = awaitOtherLeader(Cluster, Old);
  LeaseHost Other(Cluster, "w2");
  Other.attach();
  requireStartAfterLease(Cluster, Other, Elected);
}

// Guards against two runs of one task: a leader that grants leases while the
// next one already counts them.
TEST_CASE("no two replicas hold the leader's lease during a planned change",
          "[control][jobs][chain]") {
  JobCluster Cluster;
  for (int Round = 0; Round < 5; ++Round) {
    const std::size_t Old = Cluster.leader();
    Cluster.node(Old).transferLeadership();
    for (int I = 0; I < 500; ++I) {
      Cluster.run(ServiceCluster::Step);
      int Holders = 0;
      for (std::size_t Each = 0; Each < 3; ++Each)
        Holders +=
            Cluster.node(Each).serving() &&
                    Cluster.node(Each).log().holdsLeaderLease(Cluster.now())
                ? 1
                : 0;
      REQUIRE(Holders <= 1);
    }
    CHECK(Cluster.leader() != Old);
  }
}

// Guards against two runs of one task: a worker and its start that were
// recorded just before the leader was lost must be in the next leader's table
// when that counts the leases.
TEST_CASE("a start recorded just before the leader was lost has its lease",
          "[control][jobs][chain]") {
  int Ordered = 0;
  for (milliseconds Offset{0}; Offset <= milliseconds(24);
       Offset += milliseconds(2)) {
    INFO("the leader is lost " << Offset.count() << " ms after the report");
    JobCluster Cluster;
    Cluster.submit({makeStep()});
    LeaseHost First(Cluster, "w1");
    First.Agent_.attach();
    const std::size_t Old = Cluster.leader();
    sendReport(Cluster, Old, First.Agent_, true, {});
    Cluster.run(Offset);
    First.takeStarts();
    Cluster.kill(Old);
    const TimePoint Elected = awaitOtherLeader(Cluster, Old);
    LeaseHost Other(Cluster, "w2");
    Other.attach();
    if (First.Runs_.empty())
      continue;
    ++Ordered;
    requireStartAfterLease(Cluster, Other, Elected);
  }
  CHECK(Ordered > 0);
}

// Guards against two runs of one task: the lease counts from the last report,
// whatever becomes of a hello, which grants nothing.
TEST_CASE("a hello that is recorded late or lost does not shorten a lease",
          "[control][jobs][chain]") {
  JobCluster Cluster;
  LeaseHost First(Cluster, "w1");
  First.attach();
  Cluster.submit({makeStep()});
  First.report();
  REQUIRE(First.Runs_.size() == 1);
  LeaseHost Other(Cluster, "w2");
  Other.attach();
  const TimePoint Renewed = Cluster.now();
  REQUIRE(First.Agent_.report(false, First.Runs_));
  const Duration Delay = milliseconds(GENERATE(10, 500, 1500, 2500));
  const bool Attaches = GENERATE(true, false);
  First.Agent_.disconnect();
  cutAcknowledgements(Cluster, Cluster.leader());
  First.Agent_.attach();
  if (!Attaches)
    First.Agent_.disconnect();
  Cluster.run(Delay);
  Cluster.heal();
  Cluster.leader();
  if (Attaches) {
    First.report();
    REQUIRE(Cluster.now() < Renewed + MaxLease);
    const TimePoint End = Cluster.now() + seconds(6);
    while (Cluster.now() < End) {
      First.report();
      Other.report();
      REQUIRE(Other.Runs_.empty());
    }
    CHECK(First.Agent_.stops().empty());
    CHECK(First.Runs_ == std::vector{makeRun()});
    return;
  }
  while (Cluster.now() < Renewed + MaxLease - milliseconds(400)) {
    Other.report();
    REQUIRE(Other.Runs_.empty());
  }
  while (Other.Runs_.empty() && Cluster.now() < Renewed + seconds(16))
    Other.report();
  CHECK(Cluster.now() >= Renewed + MaxLease);
  CHECK(Other.Runs_ == std::vector{makeRun(2)});
}

// Guards against two runs of one task: a lease that expired while the hello was
// being recorded stays so; what the worker still lists is stopped.
TEST_CASE("a hello recorded after the lease has expired revives no run",
          "[control][jobs][chain]") {
  JobCluster Cluster;
  LeaseHost First(Cluster, "w1");
  First.attach();
  Cluster.submit({makeStep()});
  First.takeStarts();
  LeaseHost Other(Cluster, "w2");
  Other.attach();
  const TimePoint Renewed = Cluster.now();
  REQUIRE(First.Agent_.report(false, First.Runs_));
  Other.report();
  First.Agent_.disconnect();
  while (Cluster.now() < Renewed + milliseconds(4000))
    Other.report();
  Cluster.run(Renewed + milliseconds(4300) - Cluster.now());
  const std::size_t Leader = Cluster.leader();
  cutAcknowledgements(Cluster, Leader);
  // Takes 200 ms, in which the lease expires. A leader that hears nobody for
  // longer gives up.
  First.Agent_.attach();
  CHECK(First.Agent_.session() == 0);
  REQUIRE(Cluster.now() > Renewed + MaxLease);
  Other.takeStarts();
  CHECK(Other.Runs_.empty());
  Cluster.heal();
  Cluster.run(milliseconds(250));
  REQUIRE(Cluster.leader() == Leader);
  CHECK(First.Agent_.session() != 0);
  First.report();
  for (int I = 0; I < 30 && Other.Runs_.empty(); ++I) {
    Other.report();
    // It may not have heard that its run is over.
    First.report();
  }
  CHECK(Other.Runs_ == std::vector{makeRun(2)});
  CHECK(std::ranges::find(First.Agent_.stops(), makeRun()) !=
        First.Agent_.stops().end());
}

// Guards against two runs of one task: a hello ends no runs, so that those of
// the new life go on when a hello of the old one is recorded late.
TEST_CASE("a late hello of the old life ends no run of the new one",
          "[control][jobs][chain]") {
  JobCluster Cluster;
  const std::string OldName = GENERATE("w1", "w0");
  const int Late = GENERATE(0, 1, 2);
  TestAgent Old(Cluster, OldName);
  Old.attach(10, 1, "vm-1");
  TestAgent New(Cluster, "w1");
  New.attach(20, 2, "vm-1");
  REQUIRE(New.report(true));
  submitAndStart(Cluster, New);
  REQUIRE(New.report(false, {makeRun()}));
  LeaseHost Other(Cluster, "w2", "vm-2");
  Other.attach();
  if (Late == 0) {
    Old.attachOnClosedConnection(10, 1, "vm-1");
  } else {
    Old.attach(10, 1, "vm-1");
    if (Late == 2)
      Old.report(false);
  }
  // The list of another name on the VM, of an earlier birth, proves nothing.
  if (Late == 2 && OldName == "w0")
    Old.report(true);
  const bool HasEnded = New.streamEnded();
  CHECK(HasEnded == (OldName == "w1"));
  if (HasEnded) {
    New.attach(20, 2, "vm-1");
    REQUIRE(New.report(true, {makeRun()}));
  }
  for (std::uint32_t I = 1; I <= 15; ++I) {
    New.setSpeed(makeRun(), 100, I);
    const auto Ack = New.report(false, {makeRun()});
    REQUIRE(Ack);
    REQUIRE_FALSE(Ack->SessionEnded_);
    Other.report();
  }
  CHECK(New.stops().empty());
  CHECK(New.consumeStarts().empty());
  CHECK(Other.Runs_.empty());
  REQUIRE(New.report(false, {}, {makeEnd(makeRun())}));
  CHECK(Cluster.jobState() == JobState::Completed);
}

// Guards against two runs of one task: while nobody is attached for a worker,
// the hello of an agent on another VM moves it there in the log, and the first
// complete report of that VM's own worker ends its runs.
TEST_CASE("a hello from another VM moves no worker that is out of touch",
          "[control][jobs][chain]") {
  JobCluster Cluster;
  LeaseHost First(Cluster, "w1", "vm-1");
  First.attach();
  Cluster.submit({makeStep()});
  First.report();
  REQUIRE(First.Runs_.size() == 1);
  if (GENERATE(false, true)) {
    const std::size_t Old = Cluster.leader();
    Cluster.kill(Old);
    awaitOtherLeader(Cluster, Old);
  } else {
    First.Agent_.disconnect();
    Cluster.run(milliseconds(20));
  }
  TestAgent Mistaken(Cluster, "w1");
  Mistaken.attach(10, 2, "vm-2");
  TestAgent Own(Cluster, "w2");
  Own.attach(30, 2, "vm-2");
  REQUIRE(Own.report(true));
  CHECK(Own.consumeStarts().empty());
  First.attach();
  Own.report(false);
  CHECK(Own.consumeStarts().empty());
  CHECK(First.Agent_.stops().empty());
}

// Guards against two runs of one task, and against idle workers: one that has
// moved with its runs recorded is taken once the lease of these is over.
TEST_CASE("a worker that has moved to another VM is taken after its lease",
          "[control][jobs][chain]") {
  JobCluster Cluster;
  LeaseHost First(Cluster, "w1", "vm-1");
  First.attach();
  Cluster.submit({makeStep()});
  First.takeStarts();
  const TimePoint Renewed = Cluster.now();
  REQUIRE(First.Agent_.report(false, First.Runs_));
  First.Agent_.disconnect();
  TestAgent Moved(Cluster, "w1");
  do {
    Moved.attach(20, 2, "vm-2");
  } while (Moved.streamEnded() && Cluster.now() < Renewed + seconds(8));
  CHECK(Cluster.now() >= Renewed + MaxLease);
  CHECK(Cluster.now() < Renewed + MaxLease + milliseconds(500));
  REQUIRE(Moved.report(true));
  CHECK(Moved.consumeStarts() == std::vector{makeRun(2)});
}

} // namespace dragonfly::control
