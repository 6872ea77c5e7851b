/// What a worker's capacity allows, also once it has shrunk.
#include "control/JobFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <vector>

namespace dragonfly::control {

TEST_CASE("runs on a worker never exceed its capacity", "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  Cluster.submit({makeStep(9)});
  CHECK(Agent.consumeStarts().size() == 4);
  Agent.report(false, {}, {makeEnd(makeRun(1, 0)), makeEnd(makeRun(1, 1))});
  CHECK(Agent.consumeStarts().size() == 2);
}

// Guards against LIMIT: what runs on a worker whose capacity has shrunk, and
// what is being stopped there, counts against the smaller capacity.
TEST_CASE("a worker that has shrunk gets starts once its runs leave room",
          "[control][jobs][capacity]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  Cluster.submit({makeStep(9)});
  REQUIRE(Agent.consumeStarts().size() == 4);
  std::vector<RunName> Left = {makeRun(1, 2), makeRun(1, 3)};
  std::vector<RunName> All = Left;
  All.insert(All.end(), {makeRun(1, 0), makeRun(1, 1)});
  REQUIRE(Agent.report(false, All));
  Agent.setCapacity({.MilliProcessors_ = 2000, .MemoryMib_ = 4096});

  SECTION("in one term") {}
  SECTION("with a change of leader") {
    Cluster.isolate(Cluster.leader());
    Cluster.run(seconds(2));
  }
  Agent.attach();
  REQUIRE(Agent.report(true, All));
  CHECK(Agent.consumeStarts().empty());
  REQUIRE(Agent.report(false, Left,
                       {makeEnd(makeRun(1, 0)), makeEnd(makeRun(1, 1))}));
  CHECK(Agent.consumeStarts().empty());
  Agent.setPhase(wire::RunPhase::Stopping);
  REQUIRE(Agent.report(false, Left));
  Cluster.run(seconds(1));
  CHECK(Agent.consumeStarts().empty());
  REQUIRE(Agent.report(false, {makeRun(1, 3)},
                       {makeEnd(makeRun(1, 2), RunEnd::Stopped)}));
  CHECK(Agent.consumeStarts().size() == 1);
}

// Guards against LIMIT: starts that were ordered for the larger capacity and
// have not begun are placed anew, for the smaller one.
TEST_CASE("starts that a worker gave up as it shrank are placed anew",
          "[control][jobs][capacity]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  Agent.setCapacity({.MilliProcessors_ = 2000, .MemoryMib_ = 4096});

  SECTION("ordered before the new session") {
    submitAndStart(Cluster, Agent, 4);
    Agent.attach();
    REQUIRE(Agent.report(true, {makeRun(1, 0)}));
    CHECK(Agent.consumeStarts().size() == 1);
  }
  SECTION("proposed as the new session begins") {
    Cluster.node(Cluster.leader())
        .handle(Cluster.now(), makeSubmission({makeStep(4)}),
                [](const wire::Message &) {});
    Agent.attach();
    REQUIRE(Agent.report(true));
    CHECK(Agent.consumeStarts().size() == 2);
  }
  SECTION("ordered in an earlier life of the worker") {
    submitAndStart(Cluster, Agent, 4);
    Agent.attach(20);
    REQUIRE(Agent.report(true));
    CHECK(Agent.consumeStarts().size() == 2);
  }
}

// Guards against LIMIT: a job that has waited for long may take more processors
// than are spare, but no memory or accelerators beyond the capacity.
TEST_CASE(
    "a starved job does not exceed the memory of a worker that has shrunk",
    "[control][jobs][capacity]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  const bool HasRoom = GENERATE(true, false);
  Agent.setCapacity(
      {.MilliProcessors_ = 4000, .MemoryMib_ = HasRoom ? 4096 : 1024});
  Agent.attachAndReportNoRuns();
  jobs::StepSpec Step = makeStep();
  Step.UsesSpareProcessors_ = true;
  Step.Need_ = {.MilliProcessors_ = 5000, .MemoryMib_ = 2048};
  Cluster.submit({Step});
  for (int I = 0; I < 15; ++I)
    REQUIRE(Agent.report(false));
  CHECK(Agent.consumeStarts().size() == (HasRoom ? 1 : 0));
}

} // namespace dragonfly::control
