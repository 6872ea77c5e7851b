/// Tasks under which workers crash, at the leader of control.
#include "control/JobFixture.h"

#include "control/Archive.h"

namespace dragonfly::control {
namespace {

/// Tells the leader that the worker crashed under \p Suspects.
void crash(JobCluster &Cluster, std::vector<RunName> Suspects,
           std::uint64_t Born = 10) {
  Cluster.askLeader<wire::WorkerReportAck>(wire::WorkerCrashed{
      {.Worker_ = "w1", .Born_ = Born, .Suspects_ = std::move(Suspects)}});
}

/// A worker on VM \p Vm that has replaced the one before it there.
TestAgent attachOn(JobCluster &Cluster, const std::string &Worker,
                   const std::string &Vm, std::uint64_t Born) {
  TestAgent Agent(Cluster, Worker);
  Agent.attach(Born, 1, Vm);
  REQUIRE(Agent.report(true));
  return Agent;
}

} // namespace

// Guards against BUDGET: a task was started on worker after worker and crashed
// each of them, and no count of it outlived the leader.
TEST_CASE("a task that crashes workers is given up, whoever leads",
          "[control][jobs][crash]") {
  JobCluster Cluster;
  const bool LeaderChanges = GENERATE(false, true);
  const bool Lasting = GENERATE(false, true);
  INFO("leader changes " << LeaderChanges << ", lasting " << Lasting);
  TestAgent First = attachOn(Cluster, "w1", "vm-1", 10);
  jobs::StepSpec Step = makeStep();
  Step.LongRunning_ = Lasting;
  Cluster.submit({Step});
  REQUIRE(First.consumeStarts() == std::vector{makeRun()});
  crash(Cluster, {makeRun()});
  // The answer was lost.
  crash(Cluster, {makeRun()});
  if (LeaderChanges) {
    const std::size_t Leader = Cluster.leader();
    Cluster.kill(Leader);
    Cluster.leader();
    Cluster.start(Leader);
  }
  TestAgent Second = attachOn(Cluster, "w2", "vm-1", 20);
  Cluster.run(seconds(1));
  REQUIRE(Second.consumeStarts() == std::vector{makeRun(2)});
  CHECK(Cluster.jobState() == JobState::Running);
  crash(Cluster, {makeRun(2)}, 20);
  CHECK(Cluster.jobState() == JobState::Failed);
  TestAgent Third = attachOn(Cluster, "w3", "vm-1", 30);
  Cluster.run(seconds(2));
  CHECK(Third.consumeStarts().empty());
}

// Guards against LOST: a job was given up after two crashes of workers that had
// gone before its task was sent to them. The bound of BUDGET stays.
TEST_CASE("a task that may never have begun is given up after five crashes",
          "[control][jobs][crash]") {
  JobCluster Cluster;
  const bool LeaderChanges = GENERATE(false, true);
  INFO("leader changes " << LeaderChanges);
  TestAgent First = attachOn(Cluster, "w1", "vm-1", 10);
  Cluster.submit({makeStep()});
  REQUIRE(First.consumeStarts() == std::vector{makeRun()});
  std::uint64_t Born = 10;
  for (std::uint32_t Run = 1; Run <= jobs::CrashTable::MaxShared; ++Run) {
    CHECK(Cluster.jobState() == JobState::Running);
    Cluster.askLeader<wire::WorkerReportAck>(
        wire::UnconfirmedCrash{{.Worker_ = "w1",
                                .Born_ = Born,
                                .Suspects_ = {makeRun(Run)},
                                .Unconfirmed_ = {makeRun(Run)}}});
    if (LeaderChanges) {
      const std::size_t Leader = Cluster.leader();
      Cluster.kill(Leader);
      Cluster.leader();
      Cluster.start(Leader);
    }
    Born += 10;
    TestAgent Next = attachOn(Cluster, "w1", "vm-1", Born);
    Cluster.run(seconds(1));
    const bool IsStarted =
        Next.consumeStarts() == std::vector{makeRun(Run + 1)};
    CHECK(IsStarted == (Run < jobs::CrashTable::MaxShared));
  }
  CHECK(Cluster.jobState() == JobState::Failed);
}

// Guards against a job that fails without cause.
TEST_CASE("a run that its worker outlives clears its task",
          "[control][jobs][crash]") {
  JobCluster Cluster;
  TestAgent First = attachOn(Cluster, "w1", "vm-1", 10);
  submitAndStart(Cluster, First);
  crash(Cluster, {makeRun()});
  TestAgent Second = attachOn(Cluster, "w2", "vm-1", 20);
  Cluster.run(seconds(1));
  REQUIRE(Second.consumeStarts() == std::vector{makeRun(2)});
  const RunEnd How = GENERATE(RunEnd::Failed, RunEnd::Stopped);
  REQUIRE(Second.report(false, {}, {makeEnd(makeRun(2), How)}));
  Cluster.run(seconds(1));
  REQUIRE(Second.consumeStarts() == std::vector{makeRun(3)});
  crash(Cluster, {makeRun(3)}, 20);
  CHECK(Cluster.jobState() == JobState::Running);
}

// Guards against a job that fails without cause: what is started beside a
// suspect task would be suspected with it.
TEST_CASE("a worker that starts a suspect task gets no other for a moment",
          "[control][jobs][crash]") {
  JobCluster Cluster;
  TestAgent First = attachOn(Cluster, "w1", "vm-1", 10);
  submitAndStart(Cluster, First, 2);
  crash(Cluster, {makeRun(1, 0), makeRun(1, 1)});
  TestAgent Second = attachOn(Cluster, "w2", "vm-1", 20);
  Cluster.run(milliseconds(50));
  REQUIRE(Second.consumeStarts() == std::vector{makeRun(2, 0)});
  // Back to work: the other one follows as soon as the first has proved itself.
  REQUIRE(Second.report(false, {makeRun(2, 0)}));
  REQUIRE(Second.report(false, {makeRun(2, 0)}));
  CHECK(Second.consumeStarts() == std::vector{makeRun(2, 1)});
}

// Guards against LOST: the hundreds of tasks of a wide job that had begun
// beside the one at fault were tried one by one before it (the soak, seed 10).
TEST_CASE("of several suspects the tasks of a wide job are tried last",
          "[control][jobs][crash]") {
  JobCluster Cluster;
  TestAgent First = attachOn(Cluster, "w1", "vm-1", 10);
  const std::string OtherJob = "fc0e7a21d94b36f8";
  // With this estimate the wide job comes first in the order of jobs.
  const bool OtherIsWide = GENERATE(false, true);
  jobs::StepSpec Wide = makeStep(3);
  Wide.Estimate_ = seconds(60);
  Cluster.submit({OtherIsWide ? makeStep() : Wide});
  Cluster.submit({OtherIsWide ? Wide : makeStep()}, OtherJob);
  const std::vector<RunName> All = First.consumeStarts();
  REQUIRE(All.size() == 4);
  for (std::uint64_t Born = 10; Born < 13; ++Born)
    crash(Cluster, All, Born);
  TestAgent Second = attachOn(Cluster, "w2", "vm-1", 20);
  Cluster.run(milliseconds(50));
  const std::vector<RunName> Started = Second.consumeStarts();
  REQUIRE(Started.size() == 1);
  CHECK(Started.front().Task_.Job_ == (OtherIsWide ? JobId : OtherJob));
}

// Guards against BUDGET: one that was never blamed, since other tasks explained
// its crashes, was started among others each time.
TEST_CASE("a task under which workers crashed four times is started alone",
          "[control][jobs][crash]") {
  JobCluster Cluster;
  TestAgent First = attachOn(Cluster, "w1", "vm-1", 10);
  Cluster.submit({makeStep(2)});
  const std::vector<std::string> Culprits = {"ac0e7a21d94b36f8",
                                             "bc0e7a21d94b36f8"};
  for (const std::string &Job : Culprits)
    Cluster.askLeader<wire::JobReply>(
        wire::SubmitJob{.Job_ = Job,
                        .Host_ = "a.example",
                        .Path_ = "/checks/" + Job,
                        .Spec_ = {.Steps_ = {makeStep()}}});
  REQUIRE(First.consumeStarts().size() == 4);
  std::uint64_t Born = 10;
  for (const std::string &Job : Culprits) {
    const RunName Run{.Task_ = {.Job_ = Job}, .Run_ = 1};
    crash(Cluster, {Run}, Born++);
    crash(Cluster, {Run, makeRun()}, Born++);
    crash(Cluster, {Run, makeRun()}, Born++);
  }
  TestAgent Second = attachOn(Cluster, "w2", "vm-1", 20);
  Cluster.run(milliseconds(50));
  CHECK(Second.consumeStarts() == std::vector{makeRun(2)});
  CHECK(Cluster.jobState() == JobState::Running);
}

TEST_CASE("a crash under a cancelled or a finished task counts for nothing",
          "[control][jobs][crash]") {
  JobCluster Cluster;
  TestAgent Agent = attachOn(Cluster, "w1", "vm-1", 10);
  submitAndStart(Cluster, Agent, 2);
  const bool Cancelled = GENERATE(false, true);
  if (Cancelled)
    Cluster.requestJob(wire::JobAction::Cancel);
  else
    REQUIRE(Agent.report(false, {makeRun(1, 1)}, {makeEnd(makeRun(1, 0))}));
  crash(Cluster, {makeRun(1, 0)});
  CHECK(Cluster.node(Cluster.leader()).state().jobs().crashes().empty());
  CHECK(Cluster.jobState() ==
        (Cancelled ? JobState::Cancelled : JobState::Running));
}

TEST_CASE("snapshots with and without crashes can be restored",
          "[control][jobs][crash]") {
  StateMachine Machine({.Validator_ = validateWords});
  Machine.apply({.At_ = Duration(5), .Body_ = PutQueues{configuration(7)}});
  Machine.apply(
      {.At_ = Duration(5),
       .Body_ = UpdateJobs{
           .Workers_ = {{.Worker_ = "w1", .Born_ = 10, .Agent_ = {1}}},
           .Submits_ = {{.Job_ = JobId,
                         .Host_ = "a.example",
                         .Path_ = Path,
                         .Spec_ = {.Steps_ = {makeStep()}}}},
           .Starts_ = {{.Run_ = makeRun(), .Worker_ = "w1", .Fence_ = 1}}}});
  Machine.apply(
      {.At_ = Duration(5),
       .Body_ = RecordCrash{
           {.Worker_ = "w1", .Born_ = 10, .Suspects_ = {makeRun()}}}});
  REQUIRE(Machine.jobs().crashes().crashes(makeRun().Task_) == 1);
  StateMachine Same({.Validator_ = validateWords});
  Same.restore(Machine.snapshot());
  CHECK(Same.jobs().crashes().crashes(makeRun().Task_) == 1);
  REQUIRE(Same.jobs().crashes().exposures().size() == 1);
  CHECK(Same.jobs().crashes().exposures().begin()->second.Crashes_ == 1);
  StateMachine WithoutExposures({.Validator_ = validateWords});
  WithoutExposures.restore(encodeValues(
      StateMachine::SnapshotFormatWithoutExposures, Duration(5),
      Machine.lists(), Machine.claims(), Machine.counts(), Machine.tasks(),
      Machine.jobs(), Machine.imageLosses(), Machine.jobs().crashes(),
      std::map<std::string, Duration>{{"one-more-job", Duration(5)}}));
  CHECK(WithoutExposures.jobs().crashes().crashes(makeRun().Task_) == 1);
  REQUIRE(WithoutExposures.jobs().crashes().exposures().size() == 1);
  CHECK(
      WithoutExposures.jobs().crashes().exposures().begin()->second.Crashes_ ==
      1);
  CHECK(WithoutExposures.jobs().earlyCancels().size() == 1);
  StateMachine Older({.Validator_ = validateWords});
  Older.restore(encodeValues(StateMachine::SnapshotFormatWithoutCrashes,
                             Duration(5), Machine.lists(), Machine.claims(),
                             Machine.counts(), Machine.tasks(), Machine.jobs(),
                             Machine.imageLosses()));
  CHECK(Older.jobs().crashes().empty());
  CHECK(Older.jobs().find(JobId) != nullptr);
}

} // namespace dragonfly::control
