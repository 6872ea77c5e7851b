/// UNASKED at control, clause by clause: what is told to start or to stop after
/// a cancel, whatever else meets it (docs/FAULTS.md).
#include "control/JobFixture.h"

namespace dragonfly::control {
namespace {

void drop(const wire::Message &) {}

void cancel(JobCluster &Cluster) {
  Cluster.node(Cluster.leader())
      .handle(Cluster.now(),
              wire::JobRequest{.Action_ = wire::JobAction::Cancel,
                               .Job_ = JobId,
                               .Host_ = "a.example",
                               .Path_ = Path},
              drop);
}

/// Reports the end of the first run, without waiting for an answer.
void reportEnd(JobCluster &Cluster, const TestAgent &Agent) {
  Cluster.node(Cluster.leader())
      .handle(Cluster.now(),
              wire::WorkerReport{.Worker_ = "w1",
                                 .Session_ = Agent.session(),
                                 .Ends_ = {makeEnd(makeRun())}},
              drop);
}

jobs::StepSpec makeNextStep() {
  jobs::StepSpec Step = makeStep();
  Step.DependsOn_ = {0};
  return Step;
}

const jobs::JobRow &job(JobCluster &Cluster) {
  return *Cluster.node(Cluster.leader()).state().jobs().find(JobId);
}

bool isToldToStop(const TestAgent &Agent, const RunName &Run) {
  return std::ranges::find(Agent.stops(), Run) != Agent.stops().end();
}

} // namespace

// Guards against UNASKED: a start of the next step, whose turn came with the
// cancel.
TEST_CASE("no step starts whose turn comes as its job is cancelled",
          "[control][jobs][cancel]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  REQUIRE(Cluster.submit({makeStep(), makeNextStep()}) == JobStatus::Accepted);
  REQUIRE(Agent.consumeStarts() == std::vector{makeRun()});
  SECTION("cancelled first, in one record") {
    cancel(Cluster);
    reportEnd(Cluster, Agent);
  }
  SECTION("ended first, in one record") {
    reportEnd(Cluster, Agent);
    cancel(Cluster);
  }
  SECTION("cancelled long before") {
    cancel(Cluster);
    Cluster.run(seconds(1));
    reportEnd(Cluster, Agent);
  }
  SECTION("cancelled, and the leader is lost before the end") {
    cancel(Cluster);
    Cluster.run(milliseconds(200));
    Cluster.kill(Cluster.leader());
    Cluster.run(seconds(3));
    Agent.attach();
    REQUIRE(Agent.report(true, {}, {makeEnd(makeRun())}));
  }
  Cluster.run(seconds(2));
  CHECK(Agent.consumeStarts().empty());
  CHECK(Cluster.jobState() == JobState::Cancelled);
  CHECK(job(Cluster).Steps_[1].Tasks_[0].Run_ == 0);
}

// Guards against UNASKED: another Spec, and a start after a cancel, by a
// submission that comes again with other bytes.
TEST_CASE("a submission with other bytes changes no job",
          "[control][jobs][cancel]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  wire::SubmitJob First = makeSubmission({makeStep()});
  First.Spec_.Payload_ = "first";
  wire::SubmitJob Other = makeSubmission({makeStep(3)});
  Other.Spec_.Payload_ = "other";
  const bool Cancelled = GENERATE(false, true);
  SECTION("the first one was answered") {
    Cluster.askLeader<wire::JobReply>(First);
  }
  SECTION("both are under way") {
    Cluster.node(Cluster.leader()).handle(Cluster.now(), First, drop);
  }
  if (Cancelled)
    cancel(Cluster);
  CHECK(Cluster.askLeader<wire::JobReply>(Other).Status_ ==
        JobStatus::Accepted);
  Cluster.run(seconds(5));
  CHECK(Cluster.askLeader<wire::JobReply>(Other).Status_ ==
        JobStatus::Accepted);
  CHECK(job(Cluster).Spec_.Payload_ == "first");
  Agent.attachAndReportNoRuns();
  Cluster.run(seconds(1));
  CHECK(Agent.consumeStarts().size() == (Cancelled ? 0 : 1));
  CHECK(job(Cluster).active() != Cancelled);
}

// Guards against UNASKED: a run that goes on more than cancel_ms (3 s) after
// its cancel, since the stop met something else.
TEST_CASE("a cancelled run is told to stop within cancel_ms",
          "[control][jobs][cancel]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  submitAndStart(Cluster, Agent);
  REQUIRE(Agent.report(false, {makeRun()}));
  SECTION("nothing else happens") { cancel(Cluster); }
  SECTION("its worker drains") {
    Agent.startDraining();
    cancel(Cluster);
    REQUIRE(Agent.report(false, {makeRun()}));
  }
  SECTION("the session is renewed at the cancel") {
    Agent.disconnect();
    cancel(Cluster);
    Cluster.run(milliseconds(500));
    Agent.attach();
    REQUIRE(Agent.report(true, {makeRun()}));
  }
  SECTION("the session has not been reconciled") {
    Agent.attach();
    cancel(Cluster);
  }
  SECTION("its queue is removed at the cancel") {
    jobs::Configuration Without = configuration(8);
    Without.Queues_.clear();
    Cluster.askLeader<wire::PutConfigurationAck>(
        wire::PutConfiguration{Without});
    cancel(Cluster);
  }
  SECTION("a report that ends another run is open") {
    Cluster.node(Cluster.leader())
        .handle(Cluster.now(),
                wire::WorkerReport{.Worker_ = "w1",
                                   .Session_ = Agent.session(),
                                   .Runs_ = {{.Run_ = makeRun()}},
                                   .Ends_ = {makeEnd(makeRun(1, 9))}},
                drop);
    cancel(Cluster);
  }
  SECTION("the leader changes") {
    cancel(Cluster);
    Cluster.run(milliseconds(100));
    Cluster.kill(Cluster.leader());
    Cluster.run(seconds(1));
    Agent.attach();
    REQUIRE(Agent.report(true, {makeRun()}));
  }
  Cluster.run(seconds(1));
  CHECK(isToldToStop(Agent, makeRun()));
}

// Guards against UNASKED: a start that its worker carried out late, when no
// record of the run is left, goes on.
TEST_CASE("a late run of a job that is gone is told to stop",
          "[control][jobs][cancel]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  submitAndStart(Cluster, Agent);
  cancel(Cluster);
  SECTION("its end has been recorded") {
    REQUIRE(Agent.report(false, {}, {makeEnd(makeRun(), RunEnd::NotStarted)}));
  }
  SECTION("its lease has expired") {
    Agent.disconnect();
    Cluster.run(seconds(12));
    Agent.attachAndReportNoRuns();
  }
  REQUIRE(job(Cluster).Steps_[0].Tasks_[0].Phase_ == jobs::TaskPhase::Waiting);
  REQUIRE(Agent.report(false, {makeRun()}));
  CHECK(isToldToStop(Agent, makeRun()));
}

} // namespace dragonfly::control
