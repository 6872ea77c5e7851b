/// Tests jobs while workers, agents and replicas are lost, silent, slow or
/// late.
#include "control/JobFixture.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace dragonfly::control {

TEST_CASE("a run continues across a change of leader", "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  submitAndStart(Cluster, Agent);
  Cluster.isolate(Cluster.leader());
  Cluster.run(seconds(2));
  const std::uint64_t TokenBefore = Agent.fencingToken();
  Agent.attach();
  REQUIRE(Agent.report(true, {makeRun()}));
  Cluster.run(seconds(1));
  CHECK(Agent.consumeStarts().empty());
  CHECK(Agent.fencingToken() == TokenBefore);
  REQUIRE(Agent.report(false, {}, {makeEnd(makeRun())}));
  CHECK(Cluster.jobState() == JobState::Completed);
}

TEST_CASE("a start that never reached the agent is repeated",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  submitAndStart(Cluster, Agent);
  Agent.attach();
  REQUIRE(Agent.report(true));
  CHECK(Agent.consumeStarts() == std::vector<RunName>{makeRun(2)});
}

TEST_CASE("a lost worker's task runs elsewhere only after the lease expires",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent FirstAgent(Cluster, "w1");
  FirstAgent.attachAndReportNoRuns();
  submitAndStart(Cluster, FirstAgent);
  FirstAgent.report(false, {makeRun()});
  FirstAgent.disconnect();
  TestAgent SecondAgent(Cluster, "w2");
  SecondAgent.attachAndReportNoRuns();
  Cluster.run(seconds(3));
  CHECK(SecondAgent.consumeStarts().empty());
  for (int I = 0; I < 10; ++I)
    SecondAgent.report(false);
  CHECK(SecondAgent.consumeStarts() == std::vector<RunName>{makeRun(2)});
}

// After a loss of power every worker restarts under another id. Control used to
// wait for the leases of the old ids to expire (incident inc-a17a).
TEST_CASE("a newer worker on a VM ends the runs of the older one",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent OldAgent(Cluster, "w1");
  OldAgent.attachAndReportNoRuns("vm-1");
  submitAndStart(Cluster, OldAgent);
  OldAgent.disconnect();
  TestAgent DelayedAgent(Cluster, "w0");
  DelayedAgent.attach(9, 1, "vm-1");
  DelayedAgent.report(true);
  CHECK(DelayedAgent.consumeStarts().empty());
  TestAgent NewAgent(Cluster, "w2");
  NewAgent.attach(20, 2, "vm-1");
  NewAgent.report(true);
  CHECK(NewAgent.consumeStarts() == std::vector<RunName>{makeRun(2)});
}

// Guards against TWICE: a new process of an agent may hear of a worker that is
// not there before it hears of its own; the runs of the latter go on.
TEST_CASE("a hello alone does not end the runs of another worker on the VM",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns("vm-1");
  TestAgent Elsewhere(Cluster, "w2");
  Elsewhere.attach(10, 1, "vm-2");
  Cluster.submit({makeStep()});
  const std::vector<RunName> Started = Agent.consumeStarts();
  REQUIRE(Started == std::vector<RunName>{makeRun()});
  Elsewhere.report(true);
  TestAgent Misled(Cluster, "w9");
  Misled.attach(20, 2, "vm-1");
  Misled.report(false);
  CHECK(Elsewhere.consumeStarts().empty());
  Agent.attach(10, 2, "vm-1");
  REQUIRE(Agent.report(true, Started));
  Cluster.run(seconds(5));
  CHECK(Agent.stops().empty());
  CHECK(Elsewhere.consumeStarts().empty());
}

TEST_CASE(
    "a new agent process or worker incarnation gets a higher fencing token",
    "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attach(10, 1);
  const std::uint64_t TokenBefore = Agent.fencingToken();
  Agent.attach(10, 1);
  CHECK(Agent.fencingToken() == TokenBefore);
  Agent.attach(10, 2);
  CHECK(Agent.fencingToken() > TokenBefore);
  const std::uint64_t TokenOfNewProcess = Agent.fencingToken();
  Agent.attach(11, 2);
  CHECK(Agent.fencingToken() > TokenOfNewProcess);
}

// While a leader is frozen, an agent may exit or close its stream. The leader
// then reads its WorkerHello after that of its successor, which must not end
// up without a usable session.
TEST_CASE("a late hello on a closed connection does not break a later session",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attach(10, 2);
  Agent.report(true);
  const std::uint64_t Session = Agent.session();
  // The same process, on a connection that it has closed.
  Agent.attachOnClosedConnection(10, 2);
  CHECK_FALSE(Agent.streamEnded());
  CHECK(Agent.session() == Session);
  // An earlier process: it raises the fencing token, so that the agent has to
  // attach again before runs are placed on its worker.
  Agent.attachOnClosedConnection(10, 1);
  CHECK(Agent.streamEnded());
  Agent.attach(10, 2);
  Agent.report(true);
  Cluster.submit({makeStep()});
  CHECK(Agent.consumeStarts().size() == 1);
}

// Guards against stopping runs as stalled, or starting them twice, when an
// agent pauses its reports for a while and attaches again.
TEST_CASE("a worker that was silent for less than its lease keeps its runs",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent SilentAgent(Cluster, "w1");
  SilentAgent.attachAndReportNoRuns();
  submitAndStart(Cluster, SilentAgent);
  REQUIRE(SilentAgent.report(false, {makeRun()}));
  SilentAgent.disconnect();
  TestAgent OtherAgent(Cluster, "w2");
  OtherAgent.attachAndReportNoRuns();
  Cluster.run(seconds(3));
  SilentAgent.attach();
  REQUIRE(SilentAgent.report(true, {makeRun()}));
  for (std::uint32_t Progress = 1; Progress <= 10; ++Progress) {
    SilentAgent.setSpeed(makeRun(), 100, Progress);
    REQUIRE(SilentAgent.report(false, {makeRun()}));
    OtherAgent.report(false);
  }
  CHECK(SilentAgent.stops().empty());
  CHECK(SilentAgent.consumeStarts().empty());
  CHECK(OtherAgent.consumeStarts().empty());
  REQUIRE(SilentAgent.report(false, {}, {makeEnd(makeRun())}));
  CHECK(Cluster.jobState() == JobState::Completed);
}

// Guards against placing runs on a worker that left before every control
// process was restarted.
TEST_CASE("a worker that has left gets no runs after control restarts",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent DepartedAgent(Cluster, "w1");
  DepartedAgent.attachAndReportNoRuns();
  Cluster.askLeader<wire::WorkerReportAck>(
      wire::WorkerGone{.Worker_ = "w1", .Born_ = 10, .Agent_ = {1}});
  for (std::size_t I = 0; I < 3; ++I)
    Cluster.kill(I);
  for (std::size_t I = 0; I < 3; ++I)
    Cluster.start(I);
  Cluster.run(seconds(3));
  Cluster.submit({makeStep()});
  Cluster.run(seconds(1));
  CHECK(DepartedAgent.consumeStarts().empty());
  TestAgent PresentAgent(Cluster, "w2");
  PresentAgent.attachAndReportNoRuns();
  CHECK(PresentAgent.consumeStarts().size() == 1);
}

// Guards against TWICE: a complete report whose answer was late came again
// after a start had been ordered, and ended it as not started (review/4).
TEST_CASE("a complete report that crosses an order does not end the run",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  Cluster.submit({makeStep()});
  REQUIRE(Agent.consumeStarts() == std::vector<RunName>{makeRun()});
  TestAgent Elsewhere(Cluster, "w2");
  Elsewhere.attachAndReportNoRuns();
  // The agent has not seen the answer, and not yet the order.
  REQUIRE(Agent.report(true));
  CHECK(Elsewhere.consumeStarts().empty());
  CHECK(Agent.consumeStarts().empty());
  REQUIRE(Agent.report(true, {makeRun()}));
  CHECK(Agent.stops().empty());
  REQUIRE(Agent.report(false, {}, {makeEnd(makeRun())}));
  CHECK(Cluster.jobState() == JobState::Completed);
}

TEST_CASE("a report on an ended session has no effect", "[control][jobs]") {
  JobCluster Cluster;
  TestAgent OldAgent(Cluster, "w1");
  OldAgent.attachAndReportNoRuns();
  TestAgent NewAgent(Cluster, "w1");
  NewAgent.attachAndReportNoRuns();
  CHECK(OldAgent.streamEnded());
  const auto Ack = OldAgent.report(false);
  REQUIRE(Ack);
  CHECK(Ack->SessionEnded_);
  CHECK(Ack->LeaseTerm_ == Duration::zero());
}

TEST_CASE("a reported run that control has no record of is stopped",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  Agent.report(false, {makeRun(9)});
  CHECK(std::ranges::find(Agent.stops(), makeRun(9)) != Agent.stops().end());
}

// Guards against runs that hang on a worker whose health check still passes.
TEST_CASE("a stalled run is stopped and its task runs elsewhere",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent HungAgent(Cluster, "w1");
  HungAgent.attachAndReportNoRuns();
  submitAndStart(Cluster, HungAgent);
  TestAgent HealthyAgent(Cluster, "w2");
  HealthyAgent.attachAndReportNoRuns();
  for (int I = 0; I < 20; ++I)
    HungAgent.report(false, {makeRun()});
  REQUIRE(std::ranges::find(HungAgent.stops(), makeRun()) !=
          HungAgent.stops().end());
  HungAgent.report(false, {}, {makeEnd(makeRun(), RunEnd::Stopped)});
  HealthyAgent.report(false);
  CHECK(HealthyAgent.consumeStarts() == std::vector<RunName>{makeRun(2)});
}

// A batch step waits for its last run. If that run is throttled beside
// latency-critical tasks while another worker is free, it should move there.
TEST_CASE("a throttled run with checkpoints moves to another worker",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent FirstAgent(Cluster, "w1");
  FirstAgent.attachAndReportNoRuns();
  jobs::StepSpec Batch = makeStep();
  Batch.UsesSpareProcessors_ = true;
  Batch.Checkpointing_ = GENERATE(true, false);
  Batch.Estimate_ = seconds(5);
  Cluster.submit({Batch});
  REQUIRE(FirstAgent.consumeStarts() == std::vector<RunName>{makeRun()});
  FirstAgent.setSpeed(makeRun(), 10, 20);
  for (int I = 0; I < 6; ++I)
    FirstAgent.report(false, {makeRun()});
  CHECK(FirstAgent.stops().empty());
  TestAgent SecondAgent(Cluster, "w2");
  SecondAgent.attachAndReportNoRuns();
  FirstAgent.report(false, {makeRun()});
  if (!Batch.Checkpointing_) {
    CHECK(FirstAgent.stops().empty());
    return;
  }
  REQUIRE(FirstAgent.stops() == std::vector<RunName>{makeRun()});
  FirstAgent.report(
      false, {},
      {{.Run_ = makeRun(), .How_ = RunEnd::Stopped, .Checkpoint_ = "c1"}});
  CHECK(FirstAgent.consumeStarts().empty());
  CHECK(SecondAgent.consumeStarts() == std::vector<RunName>{makeRun(2)});
}

// A worker that was cut off until its lease expired may come back with a run
// whose task has been placed elsewhere. That run must not move the newer one.
TEST_CASE("a throttled run whose lease has expired does not move the newer run",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent DisconnectedAgent(Cluster, "w1");
  DisconnectedAgent.attachAndReportNoRuns();
  jobs::StepSpec Batch = makeStep();
  Batch.UsesSpareProcessors_ = true;
  Batch.Checkpointing_ = true;
  Batch.Estimate_ = seconds(5);
  Cluster.submit({Batch});
  REQUIRE(DisconnectedAgent.consumeStarts().size() == 1);
  DisconnectedAgent.disconnect();
  TestAgent OtherAgent(Cluster, "w2");
  OtherAgent.attachAndReportNoRuns();
  for (int I = 0; I < 20; ++I)
    OtherAgent.report(false);
  REQUIRE(OtherAgent.consumeStarts() == std::vector<RunName>{makeRun(2)});
  DisconnectedAgent.attach();
  DisconnectedAgent.setSpeed(makeRun(), 10, 20);
  for (std::uint32_t I = 0; I < 8; ++I) {
    DisconnectedAgent.report(I == 0, {makeRun()});
    OtherAgent.setSpeed(makeRun(2), 100, 10 * I);
    OtherAgent.report(false, {makeRun(2)});
  }
  CHECK_FALSE(DisconnectedAgent.stops().empty());
  CHECK(OtherAgent.stops().empty());
}

TEST_CASE("jobs survive a crash of every control process", "[control][jobs]") {
  JobCluster Cluster;
  Cluster.submit({makeStep()});
  for (std::size_t I = 0; I < 3; ++I) {
    Cluster.kill(I);
    Cluster.start(I);
  }
  Cluster.run(seconds(3));
  CHECK(Cluster.jobState() == JobState::Queued);
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  CHECK(Agent.consumeStarts().size() == 1);
}

// Guards against a control process that cannot start, or serves nothing, since
// an earlier version stored a configuration that is refused today.
TEST_CASE("a stored configuration that would be refused today stays in force",
          "[control][jobs]") {
  JobCluster Cluster;
  jobs::Configuration Stored = configuration(8);
  Stored.Document_ = R"({"Version":8,"Routes":[{"Name":"r"}],"Limits":7})";
  Cluster.askLeader<wire::PutConfigurationAck>(wire::PutConfiguration{Stored});
  for (std::size_t I = 0; I < 3; ++I) {
    Cluster.kill(I);
    Cluster.start(I);
  }
  Cluster.run(seconds(3));
  CHECK(
      Cluster.askLeader<wire::CurrentConfiguration>(wire::FetchConfiguration{})
          .Document_ == Stored.Document_);
  Cluster.submit({makeStep()});
  CHECK(Cluster.jobState() == JobState::Queued);
  CHECK(Cluster
            .askLeader<wire::PutConfigurationAck>(
                wire::PutConfiguration{configuration(9)})
            .Version_ == 9);
}

// Guards against two runs of one task: a notice of departure that was repeated
// for a second ended the runs of the session that had begun meanwhile, since
// the departure had been another writer's.
TEST_CASE("a late notice of departure ends no runs of a later session",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns("vm-1");
  Agent.attach(10, 2, "vm-1");
  REQUIRE(Agent.report(true));
  submitAndStart(Cluster, Agent);
  REQUIRE(Agent.report(false, {makeRun()}));
  Cluster.askLeader<wire::WorkerReportAck>(
      wire::WorkerGone{.Worker_ = "w1", .Born_ = 10, .Agent_ = {1}});
  Cluster.run(milliseconds(200));
  CHECK(Agent.consumeStarts().empty());
  CHECK_FALSE(Agent.streamEnded());
  REQUIRE(Agent.report(false, {makeRun()}));
  CHECK(Agent.stops().empty());
}

// Guards against two runs of one task: an agent that was told of a worker on
// another VM took over its session, and control ended its runs with the first
// report of the agent's own worker.
TEST_CASE("an agent on another VM does not take a worker that is at work",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns("vm-1");
  submitAndStart(Cluster, Agent);
  REQUIRE(Agent.report(false, {makeRun()}));
  const std::uint64_t Born = GENERATE(10, 20);
  TestAgent Mistaken(Cluster, "w1");
  Mistaken.attach(Born, 2, "vm-2");
  CHECK(Mistaken.streamEnded());
  CHECK_FALSE(Agent.streamEnded());
  TestAgent Other(Cluster, "w2");
  Other.attach(30, 2, "vm-2");
  REQUIRE(Other.report(true));
  CHECK(Other.consumeStarts().empty());
  REQUIRE(Agent.report(false, {makeRun()}));
  CHECK(Agent.stops().empty());
}

// Guards against idle workers: a worker whose agent has gone silent is taken
// wherever it answers.
TEST_CASE("a worker whose session has ended is taken on another VM",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns("vm-1");
  Agent.disconnect();
  Cluster.run(milliseconds(100));
  TestAgent Next(Cluster, "w1");
  Next.attach(20, 2, "vm-2");
  REQUIRE(Next.report(true));
  Cluster.submit({makeStep()});
  CHECK(Next.consumeStarts().size() == 1);
}

// Guards against a leader that ends by itself: a hello and the removal of the
// same worker may be committed in one record, and the worker attaches again.
TEST_CASE("a hello that is recorded with the worker's removal is refused",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns("vm-1");
  Cluster.node(Cluster.leader())
      .handle(Cluster.now(),
              wire::WorkerGone{.Worker_ = "w1", .Born_ = 10, .Agent_ = {1}},
              [](const wire::Message &) {});
  Agent.attach(10, 1, "vm-1");
  CHECK(Agent.streamEnded());
  Agent.attachAndReportNoRuns("vm-1");
  Cluster.submit({makeStep()});
  CHECK(Agent.consumeStarts() == std::vector<RunName>{makeRun()});
}

// Guards against LOST: the removal of an idle worker whose lease had expired
// was committed after its hello, and its session then stood for no worker.
TEST_CASE("a worker that attaches while its lease expires gets runs",
          "[control][jobs]") {
  // Control counts a lease of 4 s as over after 4.42 s.
  for (milliseconds Away{4340}; Away <= milliseconds(4460);
       Away += milliseconds(2)) {
    INFO("attaches again after " << Away.count() << " ms");
    JobCluster Cluster;
    TestAgent Agent(Cluster, "w1");
    Agent.attach(10, 1, "vm-1");
    REQUIRE(Agent.report(true));
    // The report took 200 ms.
    Agent.disconnect();
    Cluster.run(Away - milliseconds(200));
    Agent.attach(10, 2, "vm-1");
    if (Agent.streamEnded() || !Agent.report(true)) {
      Agent.attach(10, 2, "vm-1");
      REQUIRE(Agent.report(true));
    }
    Cluster.submit({makeStep()});
    CHECK(Agent.consumeStarts() == std::vector<RunName>{makeRun()});
  }
}

// Guards against UNASKED: a stop that went over a stream which had gone silent
// counted as sent, so that a cancelled run went on into the next session.
TEST_CASE("stops are sent again at once in a new session", "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  Cluster.submit({makeStep(1)});
  const std::vector<RunName> Runs = Agent.consumeStarts();
  REQUIRE(Runs.size() == 1);
  REQUIRE(Agent.report(false, Runs));
  REQUIRE(Cluster.requestJob(wire::JobAction::Cancel).State_ ==
          JobState::Cancelled);
  // The session ends right after a stop, which is repeated after a second.
  const std::size_t Before = Agent.stops().size();
  while (Agent.stops().size() == Before)
    Cluster.run(milliseconds(10));
  Agent.attach();
  CHECK(Agent.stops() == Runs);
}

} // namespace dragonfly::control
