/// Starts, ends and cancels that are recorded around a change of session or
/// leader.
#include "control/LeaseHost.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace dragonfly::control {

// Guards against two runs of one task: a start whose order went to an earlier
// session, or was recorded once that had ended, is started anew only if the
// first complete report of the next session does not list it.
TEST_CASE("a start around a new session under the same fence runs once",
          "[control][jobs][chain]") {
  const bool Arrives = GENERATE(false, true);
  for (milliseconds Offset{0}; Offset <= milliseconds(20);
       Offset += milliseconds(2)) {
    INFO("hello " << Offset.count() << " ms after the job, arrives "
                  << Arrives);
    JobCluster Cluster;
    TestAgent Before(Cluster, "w1");
    Before.attachAndReportNoRuns();
    const std::size_t Leader = Cluster.leader();
    Cluster.node(Leader).handle(Cluster.now(), makeSubmission({makeStep()}),
                                [](const wire::Message &) {});
    Cluster.run(Offset);
    TestAgent Next(Cluster, "w1");
    Next.attach();
    CHECK(Next.fencingToken() == Before.fencingToken());
    const std::vector<RunName> Sent = Before.consumeStarts();
    REQUIRE(Sent.size() <= 1);
    CHECK(Next.consumeStarts().empty());
    const std::vector<RunName> Listed = Arrives ? Sent : std::vector<RunName>();
    REQUIRE(Next.report(true, Listed));
    Cluster.run(milliseconds(500));
    CHECK(Before.consumeStarts().empty());
    const std::vector<RunName> Again = Next.consumeStarts();
    CHECK(Listed.size() + Again.size() == 1);
    CHECK(task(Cluster).Run_ ==
          (Listed.empty() ? Again.front() : Listed.front()).Run_);
    CHECK(Next.stops().empty());
  }
}

// Guards against two runs of one task: only the run that an end names is ended,
// however often it is told and to whom.
TEST_CASE("an end that is told again does not end the task's next run",
          "[control][jobs][chain]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  submitAndStart(Cluster, Agent);
  REQUIRE(Agent.report(false, {makeRun()}));
  const RunEnd How = GENERATE(RunEnd::Failed, RunEnd::Stopped);
  const std::vector<wire::EndReport> Ends = {makeEnd(makeRun(), How)};
  const std::size_t Leader = Cluster.leader();
  bool NewLeader = false;

  SECTION("twice to one leader") { REQUIRE(Agent.report(false, {}, Ends)); }
  SECTION("in complete reports while its record is pending") {
    const bool NewSession = GENERATE(false, true);
    if (NewSession)
      Agent.attach();
    cutAcknowledgements(Cluster, Leader);
    for (int I = 0; I < 3; ++I) {
      sendReport(Cluster, Leader, Agent, true, Ends);
      Cluster.run(milliseconds(100));
    }
    Cluster.heal();
    Cluster.run(milliseconds(300));
    REQUIRE(Cluster.leader() == Leader);
  }
  SECTION("to a leader that records it and is lost with its answer") {
    sendReport(Cluster, Leader, Agent, false, Ends);
    Cluster.run(milliseconds(GENERATE(2, 6, 20)));
    Cluster.kill(Leader);
    NewLeader = true;
  }
  SECTION("to a leader that cannot record it") {
    Cluster.isolate(Leader);
    sendReport(Cluster, Leader, Agent, false, Ends);
    Cluster.run(milliseconds(50));
    NewLeader = true;
  }
  std::vector<RunName> Started = Agent.consumeStarts();
  if (NewLeader) {
    awaitOtherLeader(Cluster, Leader);
    Cluster.run(milliseconds(500));
    Agent.attach();
    REQUIRE(Agent.report(true, Started, Ends));
    Cluster.run(milliseconds(300));
    for (const RunName &Run : Agent.consumeStarts())
      Started.push_back(Run);
  }
  REQUIRE(Started == std::vector{makeRun(2)});
  for (int I = 0; I < 3; ++I)
    REQUIRE(Agent.report(I == 0, Started, Ends));
  Cluster.heal();
  REQUIRE(Agent.report(false, Started, Ends));
  CHECK(Agent.consumeStarts().empty());
  CHECK(Agent.stops().empty());
  CHECK(task(Cluster).Phase_ == jobs::TaskPhase::OnWorker);
  CHECK(task(Cluster).Run_ == 2);
  CHECK(task(Cluster).Failures_ == (How == RunEnd::Failed ? 1 : 0));
  REQUIRE(Agent.report(false, {}, {makeEnd(makeRun(2))}));
  CHECK(Cluster.jobState() == JobState::Completed);
}

// Guards against two runs of one task: the processes of a core that has been
// restarted know leases from the log only.
TEST_CASE("a run goes on while every control process is restarted",
          "[control][jobs][chain]") {
  JobCluster Cluster;
  LeaseHost First(Cluster, "w1");
  First.attach();
  Cluster.submit({makeStep()});
  First.report();
  REQUIRE(First.Runs_.size() == 1);
  const int Restarts = GENERATE(1, 2);
  for (int I = 0; I < Restarts; ++I) {
    Cluster.run(milliseconds(I * 700));
    restartAll(Cluster);
  }
  const TimePoint Elected = awaitOtherLeader(Cluster, 3);
  LeaseHost Other(Cluster, "w2");
  Other.attach();
  SECTION("its worker attaches late") {
    requireNoStart(Cluster, Other, milliseconds(2500));
    First.attach();
    for (int I = 0; I < 12; ++I) {
      First.report();
      requireNoStart(Cluster, Other, milliseconds(200));
    }
    CHECK(First.Agent_.stops().empty());
    CHECK(First.Runs_ == std::vector{makeRun()});
    REQUIRE(First.Agent_.report(false, {}, {makeEnd(makeRun())}));
    CHECK(Cluster.jobState() == JobState::Completed);
  }
  SECTION("its worker does not attach") {
    requireStartAfterLease(Cluster, Other, Elected);
  }
}

// Guards against two runs of one task: an order to stop a run proves nothing.
TEST_CASE("a moved run whose end is lost with the leader has not ended",
          "[control][jobs][chain]") {
  JobCluster Cluster;
  LeaseHost First(Cluster, "w1");
  First.attach();
  jobs::StepSpec Batch = makeStep();
  Batch.UsesSpareProcessors_ = true;
  Batch.Checkpointing_ = true;
  Batch.Estimate_ = seconds(5);
  Cluster.submit({Batch});
  First.takeStarts();
  REQUIRE(First.Runs_ == std::vector{makeRun()});
  First.SpeedPercent_ = 10;
  for (int I = 0; I < 6; ++I)
    First.report();
  LeaseHost Other(Cluster, "w2");
  Other.attach();
  First.report();
  REQUIRE(First.Agent_.stops() == std::vector{makeRun()});
  const std::vector<wire::EndReport> Ends = {
      {.Run_ = makeRun(), .How_ = RunEnd::Stopped, .Checkpoint_ = "c1"}};
  const std::size_t Leader = Cluster.leader();
  Cluster.isolate(Leader);
  sendReport(Cluster, Leader, First.Agent_, false, Ends);
  const TimePoint Elected = awaitOtherLeader(Cluster, Leader);
  Cluster.run(milliseconds(300));
  Other.attach();
  SECTION("its end is told again") {
    requireNoStart(Cluster, Other, seconds(2));
    First.Agent_.attach();
    CHECK(Other.Runs_.empty());
    REQUIRE(First.Agent_.report(true, {}, Ends));
    Cluster.run(milliseconds(200));
    Other.takeStarts();
    std::vector<RunName> Started = First.Agent_.consumeStarts();
    Started.insert(Started.end(), Other.Runs_.begin(), Other.Runs_.end());
    CHECK(Started == std::vector{makeRun(2)});
    CHECK(task(Cluster).Checkpoint_ == "c1");
  }
  SECTION("its worker is lost as well") {
    requireStartAfterLease(Cluster, Other, Elected);
  }
}

// Guards against two runs of one task: what has ended for good stays so, with
// ends, leases, sessions and leaders that come later.
TEST_CASE("no run of a job that was cancelled or given up starts again",
          "[control][jobs][chain]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attach(10, 1, "vm-1");
  REQUIRE(Agent.report(true));
  submitAndStart(Cluster, Agent, 2);
  std::vector<RunName> Runs = {makeRun(1, 0), makeRun(1, 1)};
  REQUIRE(Agent.report(false, Runs));
  const bool GivenUp = GENERATE(false, true);
  if (GivenUp)
    for (const std::uint64_t Born : {10, 20})
      Cluster.askLeader<wire::WorkerReportAck>(wire::WorkerCrashed{
          {.Worker_ = "w1", .Born_ = Born, .Suspects_ = {makeRun(1, 0)}}});
  else
    Cluster.requestJob(wire::JobAction::Cancel);
  const JobState Ended = GivenUp ? JobState::Failed : JobState::Cancelled;
  REQUIRE(Cluster.jobState() == Ended);
  LeaseHost Other(Cluster, "w2", "vm-2");
  SECTION("its runs end") {
    const RunEnd How =
        GENERATE(RunEnd::Stopped, RunEnd::Failed, RunEnd::Finished);
    REQUIRE(Agent.report(
        false, {}, {makeEnd(makeRun(1, 0), How), makeEnd(makeRun(1, 1), How)}));
  }
  SECTION("they were never started") {
    Agent.attach(10, 1, "vm-1");
    REQUIRE(Agent.report(true));
  }
  SECTION("their worker is born anew") {
    Agent.attach(30, 1, "vm-1");
    REQUIRE(Agent.report(true));
  }
  SECTION("their worker is lost") { Agent.disconnect(); }
  SECTION("the leader is lost") { Cluster.kill(Cluster.leader()); }
  SECTION("the core is restarted") { restartAll(Cluster); }
  Other.attach();
  requireNoStart(Cluster, Other, seconds(6));
  CHECK(Agent.consumeStarts().empty());
  CHECK(Cluster.submit({makeStep(2)}) == JobStatus::Accepted);
  requireNoStart(Cluster, Other, seconds(1));
  CHECK(Cluster.jobState() == Ended);
}

// Guards against a start of a job that has ended: it was proposed in the same
// tick, before its leader knew.
TEST_CASE("a start that is proposed as its job ends has no effect",
          "[control][jobs][chain]") {
  JobCluster Cluster;
  Cluster.submit({makeStep()});
  TestAgent Agent(Cluster, "w1");
  Agent.attach();
  const std::size_t Leader = Cluster.leader();
  const auto Drop = [](const wire::Message &) {};
  const bool GivenUp = GENERATE(false, true);
  sendReport(Cluster, Leader, Agent, true, {});
  if (GivenUp)
    for (const std::uint64_t Born : {10, 20})
      Cluster.node(Leader).handle(
          Cluster.now(),
          wire::WorkerCrashed{
              {.Worker_ = "w0", .Born_ = Born, .Suspects_ = {makeRun(0)}}},
          Drop);
  else
    Cluster.node(Leader).handle(
        Cluster.now(),
        wire::JobRequest{.Action_ = wire::JobAction::Cancel,
                         .Job_ = JobId,
                         .Host_ = "a.example",
                         .Path_ = Path},
        Drop);
  Cluster.run(seconds(1));
  CHECK(Agent.consumeStarts().empty());
  CHECK(task(Cluster).Run_ == 0);
  CHECK(Cluster.jobState() ==
        (GivenUp ? JobState::Failed : JobState::Cancelled));
}

} // namespace dragonfly::control
