/// LOST of tasks that last, at control: one that does not run, with room for
/// it, starts again within 6 s of its last run (docs/FAULTS.md).
#include "control/JobFixture.h"

#include <cstddef>

namespace dragonfly::control {
namespace {

constexpr Duration Bound = seconds(6);

jobs::StepSpec makeWatch() {
  jobs::StepSpec Watch = makeStep();
  Watch.LongRunning_ = true;
  return Watch;
}

/// Returns what \p Agent is told to start first within the bound.
std::vector<RunName> startsWithinBound(JobCluster &Cluster, TestAgent &Agent) {
  std::vector<RunName> Starts = Agent.consumeStarts();
  for (const TimePoint End = Cluster.now() + Bound;
       Starts.empty() && Cluster.now() < End; Starts = Agent.consumeStarts())
    REQUIRE(Agent.report(false));
  return Starts;
}

/// Four first runs fail on the worker at once, one more than make it suspect,
/// and then all later ones of their jobs.
void makeSuspect(JobCluster &Cluster, TestAgent &Agent) {
  constexpr std::size_t Jobs = 4;
  constexpr int Attempts = 3;
  for (std::size_t I = 0; I < Jobs; ++I)
    REQUIRE(
        Cluster.submit({makeStep()}, "00000000000000f" + std::to_string(I)) ==
        JobStatus::Accepted);
  for (int Attempt = 0; Attempt < Attempts; ++Attempt) {
    std::vector<wire::EndReport> Ends;
    for (const RunName &Run : startsWithinBound(Cluster, Agent))
      Ends.push_back(makeEnd(Run, RunEnd::Failed));
    REQUIRE(Ends.size() == Jobs);
    REQUIRE(Agent.report(false, {}, Ends));
  }
}

} // namespace

// Guards against LOST of a lasting task: a pause after refusals or failures, or
// a worker that it avoids although there is no other.
TEST_CASE("a lasting task starts again in time however its runs end",
          "[control][jobs][lasting]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  REQUIRE(Cluster.submit({makeWatch()}) == JobStatus::Accepted);
  const RunEnd How =
      GENERATE(RunEnd::NotStarted, RunEnd::Failed, RunEnd::Stopped,
               RunEnd::LeaseExpired, RunEnd::Finished);
  constexpr std::uint32_t Runs = 8;
  for (std::uint32_t Run = 1; Run <= Runs; ++Run) {
    REQUIRE(startsWithinBound(Cluster, Agent) == std::vector{makeRun(Run)});
    REQUIRE(Agent.report(false, {}, {makeEnd(makeRun(Run), How)}));
  }
  CHECK(Cluster.jobState() == JobState::Running);
}

// Guards against LOST of a lasting task: the one worker with room counts as
// suspect, since runs of other jobs failed there.
TEST_CASE("a lasting task starts in time on a suspect worker",
          "[control][jobs][lasting]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  makeSuspect(Cluster, Agent);
  REQUIRE(Cluster.submit({makeWatch()}) == JobStatus::Accepted);
  REQUIRE(startsWithinBound(Cluster, Agent) == std::vector{makeRun()});
  REQUIRE(Agent.report(false, {}, {makeEnd(makeRun(), RunEnd::Failed)}));
  CHECK(startsWithinBound(Cluster, Agent) == std::vector{makeRun(2)});
}

// Guards against LOST of a lasting task: its worker is full, draining or silent
// for good, and another one has room.
TEST_CASE("a lasting task leaves a worker that takes no starts",
          "[control][jobs][lasting]") {
  JobCluster Cluster;
  TestAgent First(Cluster, "w1");
  First.attachAndReportNoRuns();
  REQUIRE(Cluster.submit({makeWatch()}) == JobStatus::Accepted);
  REQUIRE(First.consumeStarts() == std::vector{makeRun()});
  TestAgent Other(Cluster, "w2");
  Other.attachAndReportNoRuns();
  SECTION("it drains") {
    First.startDraining();
    REQUIRE(First.report(false, {makeRun()}));
    Cluster.run(milliseconds(200));
    REQUIRE_FALSE(First.stops().empty());
    REQUIRE(First.report(false, {}, {makeEnd(makeRun(), RunEnd::Stopped)}));
  }
  SECTION("it has shrunk") {
    First.setCapacity({.MilliProcessors_ = 500, .MemoryMib_ = 50});
    First.attach();
    REQUIRE(First.report(true));
  }
  // Its lease of 4.42 s is over within the bound.
  SECTION("it is gone") { First.disconnect(); }
  CHECK(startsWithinBound(Cluster, Other) == std::vector{makeRun(2)});
}

} // namespace dragonfly::control
