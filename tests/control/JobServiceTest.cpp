/// Tests jobs from submission to completion without failures.
#include "control/Archive.h"
#include "control/JobFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace dragonfly::control {

TEST_CASE("a submitted job starts and completes with its last run",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  REQUIRE(Cluster.submit({makeStep()}) == JobStatus::Accepted);
  CHECK(Agent.consumeStarts() == std::vector<RunName>{makeRun()});
  CHECK(Cluster.jobState() == JobState::Running);
  REQUIRE(Agent.report(false, {}, {makeEnd(makeRun())}));
  CHECK(Cluster.jobState() == JobState::Completed);
}

TEST_CASE("submitting the same job again does not create another one",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  Cluster.submit({makeStep()});
  CHECK(Cluster.submit({makeStep()}) == JobStatus::Accepted);
  CHECK(Agent.consumeStarts().size() == 1);
  Cluster.requestJob(wire::JobAction::Cancel);
  CHECK(Cluster.submit({makeStep()}) == JobStatus::Accepted);
  CHECK(Cluster.jobState() == JobState::Cancelled);
}

TEST_CASE("unknown jobs and unknown queues get different statuses",
          "[control][jobs]") {
  JobCluster Cluster;
  CHECK(Cluster.requestJob(wire::JobAction::Query).Status_ ==
        JobStatus::UnknownJob);
  CHECK(
      Cluster
          .askLeader<wire::JobReply>(wire::SubmitJob{.Job_ = JobId,
                                                     .Host_ = "a.example",
                                                     .Path_ = "/none/" + JobId,
                                                     .Spec_ = {}})
          .Status_ == JobStatus::NoQueue);
  CHECK(Cluster
            .askLeader<wire::QueueDepth>(
                wire::QueueDepthRequest{"a.example", "/checks/"})
            .Queued_ == 0);
  Cluster.submit({makeStep()});
  CHECK(Cluster
            .askLeader<wire::QueueDepth>(
                wire::QueueDepthRequest{"a.example", "/checks/"})
            .Queued_ == 1);
}

// Guards against REFUSED: a second try of an accepted job found no queue, and
// was answered like that of a job that nobody has accepted (review/5).
TEST_CASE("a job that was accepted before its queue was removed is still known",
          "[control][jobs]") {
  JobCluster Cluster;
  REQUIRE(Cluster.submit({makeStep()}) == JobStatus::Accepted);
  jobs::Configuration Without = configuration(8);
  Without.Queues_.clear();
  Cluster.askLeader<wire::PutConfigurationAck>(wire::PutConfiguration{Without});
  CHECK(Cluster.submit({makeStep()}) == JobStatus::AcceptedBefore);
  CHECK(Cluster.submit({}, "00000000000000ff") == JobStatus::NoQueue);
}

// Guards against UNASKED: a caller that got no answer cancelled its job, was
// told that there is none, and the submission arrived after that.
TEST_CASE("a job that is submitted after its cancel does not start",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  CHECK(Cluster.requestJob(wire::JobAction::Cancel).Status_ ==
        JobStatus::UnknownJob);
  const bool LeaderChanges = GENERATE(false, true);
  if (LeaderChanges) {
    Cluster.isolate(Cluster.leader());
    Cluster.run(seconds(2));
    Agent.attachAndReportNoRuns();
  }
  REQUIRE(Cluster.submit({makeStep()}) == JobStatus::Accepted);
  Cluster.run(seconds(1));
  CHECK(Agent.consumeStarts().empty());
  CHECK(Cluster.jobState() == JobState::Cancelled);
  REQUIRE(Cluster.submit({makeStep()}) == JobStatus::Accepted);
  CHECK(Cluster.jobState() == JobState::Cancelled);
}

// Guards against UNASKED: both are under way at the same time.
TEST_CASE("a cancel that overtakes its submission holds", "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  ControlService &Leader = Cluster.node(Cluster.leader());
  const auto Drop = [](const wire::Message &) {};
  Leader.handle(Cluster.now(), makeSubmission({makeStep()}), Drop);
  Leader.handle(Cluster.now(),
                wire::JobRequest{.Action_ = wire::JobAction::Cancel,
                                 .Job_ = JobId,
                                 .Host_ = "a.example",
                                 .Path_ = Path},
                Drop);
  Cluster.run(seconds(1));
  CHECK(Agent.consumeStarts().empty());
  CHECK(Cluster.jobState() == JobState::Cancelled);
}

// Guards against UNASKED: cancels of unknown jobs beyond those that are kept
// were answered as if they had been recorded.
TEST_CASE("a cancel that cannot be recorded is refused until there is room",
          "[control][jobs]") {
  JobCluster Cluster;
  ControlService &Leader = Cluster.node(Cluster.leader());
  for (std::size_t I = 0; I < jobs::JobTable::MaxEarlyCancels; ++I) {
    const std::string Id = "other-job-" + std::to_string(I);
    Leader.handle(Cluster.now(),
                  wire::JobRequest{.Action_ = wire::JobAction::Cancel,
                                   .Job_ = Id,
                                   .Host_ = "a.example",
                                   .Path_ = "/checks/" + Id},
                  [](const wire::Message &) {});
  }
  Cluster.run(seconds(1));
  const wire::JobReply Refused = Cluster.requestJob(wire::JobAction::Cancel);
  CHECK(Refused.Status_ == JobStatus::Rejected);
  CHECK(Refused.RetryAfter_ > Duration::zero());
  Cluster.run(jobs::JobTable::EarlyCancelRetention);
  CHECK(Cluster.requestJob(wire::JobAction::Cancel).Status_ ==
        JobStatus::UnknownJob);
  REQUIRE(Cluster.submit({makeStep()}) == JobStatus::Accepted);
  CHECK(Cluster.jobState() == JobState::Cancelled);
}

// Guards against UNASKED: the cancel of a job found no queue and had no effect.
TEST_CASE("a job can be cancelled after its queue was removed",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  REQUIRE(Cluster.submit({makeStep()}) == JobStatus::Accepted);
  REQUIRE(Agent.consumeStarts().size() == 1);
  jobs::Configuration Without = configuration(8);
  Without.Queues_.clear();
  Cluster.askLeader<wire::PutConfigurationAck>(wire::PutConfiguration{Without});
  CHECK(Cluster.requestJob(wire::JobAction::Query).Status_ ==
        JobStatus::NoQueue);
  CHECK(Cluster.requestJob(wire::JobAction::Cancel).Status_ ==
        JobStatus::UnknownJob);
  Cluster.run(seconds(1));
  REQUIRE_FALSE(Agent.stops().empty());
  CHECK(Agent.stops().front() == makeRun());
  const jobs::JobRow *Job =
      Cluster.node(Cluster.leader()).state().jobs().find(JobId);
  REQUIRE(Job != nullptr);
  CHECK(Job->State_ == JobState::Cancelled);
}

// Guards against UNASKED: the cancel of an unknown job was answered with 404
// and not recorded while its queue was away, and the submission that was on its
// way started once the queue was back.
TEST_CASE("a cancel holds though the job's queue is away when it comes",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  jobs::Configuration Without = configuration(8);
  Without.Queues_.clear();
  Cluster.askLeader<wire::PutConfigurationAck>(wire::PutConfiguration{Without});
  CHECK(Cluster.requestJob(wire::JobAction::Cancel).Status_ ==
        JobStatus::NoQueue);
  Cluster.askLeader<wire::PutConfigurationAck>(
      wire::PutConfiguration{configuration(9)});
  REQUIRE(Cluster.submit({makeStep()}) == JobStatus::Accepted);
  Cluster.run(seconds(1));
  CHECK(Agent.consumeStarts().empty());
  CHECK(Cluster.jobState() == JobState::Cancelled);
}

// Guards against MIXED: jobs counted as begun once a start had been decided,
// also where the worker was cut off and never began it (review, wrong-pending).
TEST_CASE("a job counts as pending until one of its tasks has begun",
          "[control][jobs]") {
  JobCluster Cluster;
  const auto Pending = [&Cluster] {
    return Cluster
        .askLeader<wire::QueueDepth>(
            wire::QueueDepthRequest{.Host_ = "a.example", .Path_ = "/checks/"})
        .Queued_;
  };
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  REQUIRE(Cluster.submit({makeStep(2)}) == JobStatus::Accepted);
  REQUIRE(Agent.consumeStarts().size() == 2);
  CHECK(Pending() == 1);

  SECTION("its worker is lost before it begins") {
    Cluster.run(seconds(6));
    CHECK(Pending() == 1);
  }
  SECTION("a start without an answer is being settled") {
    Agent.setPhase(wire::RunPhase::Stopping);
    REQUIRE(Agent.report(false, {makeRun(1, 0), makeRun(1, 1)}));
    CHECK(Pending() == 1);
  }
  SECTION("a run is reported") {
    REQUIRE(Agent.report(false, {makeRun(1, 0)}));
    CHECK(Pending() == 0);
    // It has begun, whatever becomes of the run.
    Cluster.run(seconds(6));
    CHECK(Pending() == 0);
  }
  SECTION("a run has ended before it was reported") {
    const RunEnd How = GENERATE(RunEnd::Finished, RunEnd::Failed);
    REQUIRE(Agent.report(false, {}, {makeEnd(makeRun(1, 0), How)}));
    CHECK(Pending() == 0);
  }
  SECTION("the leader changes") {
    REQUIRE(Agent.report(false, {makeRun(1, 0)}));
    Cluster.kill(Cluster.leader());
    Agent.attach();
    REQUIRE(Agent.report(true, {makeRun(1, 0), makeRun(1, 1)}));
    CHECK(Pending() == 0);
  }
}

TEST_CASE("a configuration that is not newer is acknowledged but not applied",
          "[control][jobs]") {
  JobCluster Cluster;
  for (const std::uint64_t Version : {7, 3})
    CHECK(Cluster
              .askLeader<wire::PutConfigurationAck>(
                  wire::PutConfiguration{configuration(Version)})
              .Version_ == 7);
  CHECK(
      Cluster.askLeader<wire::CurrentConfiguration>(wire::FetchConfiguration{})
          .Document_ == "version 7");
}

TEST_CASE("no run is placed on a worker before its first complete report",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attach();
  Cluster.submit({makeStep()});
  CHECK(Agent.consumeStarts().empty());
  Agent.report(true);
  CHECK(Agent.consumeStarts().size() == 1);
}

TEST_CASE("no run is placed on a draining worker", "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  Agent.startDraining();
  Agent.report(false);
  Cluster.submit({makeStep()});
  CHECK(Agent.consumeStarts().empty());
}

TEST_CASE("cancelling a job stops its runs and starts no further tasks",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  Cluster.submit({makeStep(6)});
  REQUIRE(Agent.consumeStarts().size() == 4);
  CHECK(Cluster.requestJob(wire::JobAction::Cancel).State_ ==
        JobState::Cancelled);
  CHECK(Agent.stops().size() >= 4);
  Agent.report(false, {}, {makeEnd(makeRun(), RunEnd::Stopped)});
  CHECK(Agent.consumeStarts().empty());
}

// A latency-critical task (a watch) must not starve while short tasks keep
// filling a full worker. Seen on the deployment "large" with the mix of seed
// 990707200382.
TEST_CASE("short tasks leave room for a watch that has waited for long",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  // The worker has four processors. Each short task needs one, the watch two.
  Cluster.submit({makeStep(40)}, "short-jobs-00000");
  jobs::StepSpec Watch = makeStep();
  Watch.Need_.MilliProcessors_ = 2000;
  Watch.LongRunning_ = true;
  Watch.TailTarget_ = seconds(1);
  Cluster.submit({Watch}, "a-watch-00000000");
  std::vector<RunName> Running = Agent.consumeStarts();
  REQUIRE(Running.size() == 4);
  bool HasStarted = false;
  // Each report ends the oldest run.
  for (int I = 0; I < 25 && !HasStarted; ++I) {
    const RunName Oldest = Running.front();
    Running.erase(Running.begin());
    Agent.report(false, Running, {makeEnd(Oldest)});
    for (const RunName &Run : Agent.consumeStarts()) {
      HasStarted = HasStarted || Run.Task_.Job_ == "a-watch-00000000";
      Running.push_back(Run);
    }
  }
  CHECK(HasStarted);
}

// Guards against LOST: short tasks that wait took the room of a lasting task
// that had failed, so that it did not run again for 13 s on the deployment
// "large".
TEST_CASE(
    "a lasting task that has failed runs again before waiting short tasks",
    "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Agent(Cluster, "w1");
  jobs::Configuration InTime = configuration(8);
  InTime.Queues_.front().TargetLatency_ = seconds(60);
  Cluster.askLeader<wire::PutConfigurationAck>(
      wire::PutConfiguration{std::move(InTime)});
  Agent.attachAndReportNoRuns();
  jobs::StepSpec Watch = makeStep();
  Watch.Need_.MilliProcessors_ = 3000;
  Watch.LongRunning_ = true;
  Watch.TailTarget_ = seconds(1);
  Cluster.submit({Watch}, "a-watch-00000000");
  const std::vector<RunName> Watches = Agent.consumeStarts();
  REQUIRE(Watches.size() == 1);
  Cluster.submit({makeStep(40)}, "short-jobs-00000");
  const std::vector<RunName> Short = Agent.consumeStarts();
  REQUIRE(Short.size() == 1);
  Agent.report(false, Short, {makeEnd(Watches.front(), RunEnd::Failed)});
  const std::vector<RunName> Next = Agent.consumeStarts();
  REQUIRE(Next.size() == 1);
  CHECK(Next.front().Task_ == Watches.front().Task_);
}

// Guards against LOST: a lasting task whose worker leaves has to find room on
// workers that short tasks keep full.
TEST_CASE("room is made for a lasting task whose worker has left",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent Leaving(Cluster, "w1");
  Leaving.attachAndReportNoRuns();
  jobs::StepSpec Watch = makeStep();
  Watch.Need_.MilliProcessors_ = 2000;
  Watch.LongRunning_ = true;
  Watch.TailTarget_ = seconds(1);
  Cluster.submit({Watch}, "a-watch-00000000");
  const std::vector<RunName> Watches = Leaving.consumeStarts();
  REQUIRE(Watches.size() == 1);
  Leaving.startDraining();
  Leaving.report(false, Watches);
  TestAgent Full(Cluster, "w2");
  Full.attachAndReportNoRuns();
  Cluster.submit({makeStep(40)}, "short-jobs-00000");
  std::vector<RunName> Running = Full.consumeStarts();
  REQUIRE(Running.size() == 4);
  Leaving.report(false, {}, {makeEnd(Watches.front(), RunEnd::Stopped)});
  bool RunsAgain = false;
  // Each report ends the oldest run.
  for (int I = 0; I < 4 && !RunsAgain; ++I) {
    const RunName Oldest = Running.front();
    Running.erase(Running.begin());
    Full.report(false, Running, {makeEnd(Oldest)});
    for (const RunName &Run : Full.consumeStarts()) {
      RunsAgain = RunsAgain || Run.Task_ == Watches.front().Task_;
      Running.push_back(Run);
    }
  }
  CHECK(RunsAgain);
}

// Guards against losing the learnt interference with the leader: the next one
// would again run disturbing batch work beside latency-critical tasks.
TEST_CASE("learnt interference between images survives a change of leader",
          "[control][jobs]") {
  JobCluster Cluster;
  TestAgent First(Cluster, "w1");
  TestAgent Second(Cluster, "w2");
  First.attachAndReportNoRuns();
  Second.attachAndReportNoRuns();
  jobs::StepSpec Watch = makeStep(2);
  Watch.MaxPerWorker_ = 1;
  Watch.LongRunning_ = true;
  Watch.Image_ = "watch";
  Watch.TailTarget_ = milliseconds(100);
  jobs::StepSpec Batch = makeStep();
  Batch.Image_ = "noisy";
  Batch.UsesSpareProcessors_ = true;
  Batch.Need_.MilliProcessors_ = 400;
  REQUIRE(Cluster.submit({Watch, Batch}) == JobStatus::Accepted);
  const RunName DisturbingRun{.Task_ = {.Job_ = JobId, .Step_ = 1, .Index_ = 0},
                              .Run_ = 1};
  std::vector<RunName> UndisturbedRuns = First.consumeStarts();
  std::vector<RunName> DisturbedRuns = Second.consumeStarts();
  const bool IsSwapped = std::ranges::find(UndisturbedRuns, DisturbingRun) !=
                         UndisturbedRuns.end();
  if (IsSwapped)
    std::swap(UndisturbedRuns, DisturbedRuns);
  TestAgent &UndisturbedAgent = IsSwapped ? Second : First;
  TestAgent &DisturbedAgent = IsSwapped ? First : Second;
  REQUIRE(UndisturbedRuns.size() == 1);
  REQUIRE(DisturbedRuns.size() == 2);
  UndisturbedAgent.setLoad(UndisturbedRuns.front(), 40);
  for (const RunName &Run : DisturbedRuns)
    DisturbedAgent.setLoad(Run, Run == DisturbingRun ? 400 : 125);
  for (int I = 0; I < 25; ++I) {
    UndisturbedAgent.report(false, UndisturbedRuns);
    DisturbedAgent.report(false, DisturbedRuns);
  }
  Cluster.kill(Cluster.leader());
  Cluster.run(milliseconds(1500));
  // A leader that learns only from later readings finds no interference.
  for (const RunName &Run : DisturbedRuns)
    DisturbedAgent.setLoad(Run, Run == DisturbingRun ? 400 : 40);
  DisturbedAgent.attach();
  DisturbedAgent.report(true, DisturbedRuns);
  for (int I = 0; I < 13; ++I)
    DisturbedAgent.report(false, DisturbedRuns);
  REQUIRE(DisturbedAgent.imageLosses().size() == 1);
  // A tenth of the worker's processors costs 1.7 of a headroom of 2.5.
  CHECK(DisturbedAgent.imageLosses().front().LossPerShare_ > 8);
}

TEST_CASE("snapshots without image losses can still be restored",
          "[control][jobs]") {
  StateMachine Machine({.Validator_ = validateWords});
  const jobs::ImageLoss Known{.Serving_ = "watch",
                              .Image_ = "noisy",
                              .PermillePerWorker_ = 14000,
                              .Readings_ = 20};
  Machine.apply({.At_ = Duration(5), .Body_ = RecordImageLosses{{Known}}});
  StateMachine Same({.Validator_ = validateWords});
  Same.restore(Machine.snapshot());
  CHECK(Same.imageLosses().rows() == std::vector{Known});
  StateMachine Older({.Validator_ = validateWords});
  Older.restore(encodeValues(
      StateMachine::SnapshotFormatWithoutLosses, Duration(5), Machine.lists(),
      Machine.claims(), Machine.counts(), Machine.tasks(), Machine.jobs()));
  CHECK(Older.imageLosses().rows().empty());
  CHECK_THROWS_AS(Older.restore(encodeValues(std::uint32_t(9))), CodecError);
}

TEST_CASE("snapshots without jobs can still be restored", "[control][jobs]") {
  const StateMachine Machine({.Validator_ = validateWords});
  const std::string Old = encodeValues(
      StateMachine::SnapshotFormatWithoutJobs, Duration(5), Machine.lists(),
      Machine.claims(), Machine.counts(), Machine.tasks());
  StateMachine Other({.Validator_ = validateWords});
  Other.restore(Old);
  CHECK(Other.logTime() == Duration(5));
  CHECK(Other.jobs().jobs().empty());
}

} // namespace dragonfly::control
