/// Jobs from submission to completion, where nothing fails.
#include "control/Archive.h"
#include "control/JobFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace dragonfly::control {

TEST_CASE("a job is accepted, started, and completed by its last end",
          "[control][jobs]") {
  JobCluster On;
  TestAgent Agent(On, "w1");
  Agent.join();
  REQUIRE(On.submit({step()}) == JobStatus::Accepted);
  CHECK(Agent.takeStarts() == std::vector<RunName>{run()});
  CHECK(On.state() == JobState::Running);
  REQUIRE(Agent.report(false, {}, {end(run())}));
  CHECK(On.state() == JobState::Completed);
}

TEST_CASE("a job that is sent again is one job", "[control][jobs]") {
  JobCluster On;
  TestAgent Agent(On, "w1");
  Agent.join();
  On.submit({step()});
  CHECK(On.submit({step()}) == JobStatus::Accepted);
  CHECK(Agent.takeStarts().size() == 1);
  On.ask(wire::JobAction::Cancel);
  CHECK(On.submit({step()}) == JobStatus::Accepted);
  CHECK(On.state() == JobState::Cancelled);
}

TEST_CASE("unknown queues and jobs are told apart", "[control][jobs]") {
  JobCluster On;
  CHECK(On.ask(wire::JobAction::Query).Status_ == JobStatus::UnknownJob);
  CHECK(On.askLeader<wire::JobReply>(wire::SubmitJob{.Job_ = JobId,
                                                     .Host_ = "a.example",
                                                     .Path_ = "/none/" + JobId,
                                                     .Spec_ = {}})
            .Status_ == JobStatus::NoQueue);
  CHECK(On.askLeader<wire::QueueDepth>(
              wire::QueueDepthRequest{"a.example", "/checks/"})
            .Queued_ == 0);
  On.submit({step()});
  CHECK(On.askLeader<wire::QueueDepth>(
              wire::QueueDepthRequest{"a.example", "/checks/"})
            .Queued_ == 1);
}

TEST_CASE(
    "a configuration that is not newer is acknowledged and changes nothing",
    "[control][jobs]") {
  JobCluster On;
  for (const std::uint64_t Version : {7, 3})
    CHECK(On.askLeader<wire::PutConfigurationAck>(
                wire::PutConfiguration{configuration(Version)})
              .Version_ == 7);
  CHECK(On.askLeader<wire::CurrentConfiguration>(wire::FetchConfiguration{})
            .Document_ == "version 7");
}

TEST_CASE("a worker gets nothing before it has told what it runs",
          "[control][jobs]") {
  JobCluster On;
  TestAgent Agent(On, "w1");
  Agent.attach();
  On.submit({step()});
  CHECK(Agent.takeStarts().empty());
  Agent.report(true);
  CHECK(Agent.takeStarts().size() == 1);
}

TEST_CASE("a worker that drains gets nothing more", "[control][jobs]") {
  JobCluster On;
  TestAgent Agent(On, "w1");
  Agent.join();
  Agent.drain();
  Agent.report(false);
  On.submit({step()});
  CHECK(Agent.takeStarts().empty());
}

TEST_CASE("a cancelled job's runs are stopped and its tasks not started",
          "[control][jobs]") {
  JobCluster On;
  TestAgent Agent(On, "w1");
  Agent.join();
  On.submit({step(6)});
  REQUIRE(Agent.takeStarts().size() == 4);
  CHECK(On.ask(wire::JobAction::Cancel).State_ == JobState::Cancelled);
  CHECK(Agent.stops().size() >= 4);
  Agent.report(false, {}, {end(run(), RunEnd::Stopped)});
  CHECK(Agent.takeStarts().empty());
}

TEST_CASE("no worker is given more than its capacity", "[control][jobs]") {
  JobCluster On;
  TestAgent Agent(On, "w1");
  Agent.join();
  On.submit({step(9)});
  CHECK(Agent.takeStarts().size() == 4);
  Agent.report(false, {}, {end(run(1, 0)), end(run(1, 1))});
  CHECK(Agent.takeStarts().size() == 2);
}

// Pattern: short tasks come and go on a full worker, and a watch waits (large,
// mix of seed 990707200382).
TEST_CASE("short tasks leave room for a watch that has waited for long",
          "[control][jobs]") {
  JobCluster On;
  TestAgent Agent(On, "w1");
  Agent.join();
  const auto Submit = [&On](const std::string &Job, jobs::StepSpec Step) {
    On.askLeader<wire::JobReply>(
        wire::SubmitJob{.Job_ = Job,
                        .Host_ = "a.example",
                        .Path_ = "/checks/" + Job,
                        .Spec_ = {.Steps_ = {std::move(Step)}}});
  };
  // Four processors, one for each short task; the watch needs two.
  Submit("short-jobs-00000", step(40));
  jobs::StepSpec Watch = step();
  Watch.Need_.MilliProcessors_ = 2000;
  Watch.LongRunning_ = true;
  Watch.TailTarget_ = seconds(1);
  Submit("a-watch-00000000", Watch);
  std::vector<RunName> Running = Agent.takeStarts();
  REQUIRE(Running.size() == 4);
  bool HasStarted = false;
  // Each report ends the oldest run.
  for (int I = 0; I < 25 && !HasStarted; ++I) {
    const RunName Oldest = Running.front();
    Running.erase(Running.begin());
    Agent.report(false, Running, {end(Oldest)});
    for (const RunName &Run : Agent.takeStarts()) {
      HasStarted = HasStarted || Run.Task_.Job_ == "a-watch-00000000";
      Running.push_back(Run);
    }
  }
  CHECK(HasStarted);
}

// Pattern: the leader is lost while batch work runs beside watches.
TEST_CASE("the next leader knows which images disturb which",
          "[control][jobs]") {
  JobCluster On;
  TestAgent First(On, "w1");
  TestAgent Second(On, "w2");
  First.join();
  Second.join();
  jobs::StepSpec Watch = step(2);
  Watch.MaxPerWorker_ = 1;
  Watch.LongRunning_ = true;
  Watch.Image_ = "watch";
  Watch.TailTarget_ = milliseconds(100);
  jobs::StepSpec Batch = step();
  Batch.Image_ = "noisy";
  Batch.UsesSpareProcessors_ = true;
  Batch.Need_.MilliProcessors_ = 400;
  REQUIRE(On.submit({Watch, Batch}) == JobStatus::Accepted);
  const RunName Noisy{.Task_ = {.Job_ = JobId, .Step_ = 1, .Index_ = 0},
                      .Run_ = 1};
  std::vector<RunName> OnCalm = First.takeStarts();
  std::vector<RunName> OnDisturbed = Second.takeStarts();
  const bool IsSwapped = std::ranges::find(OnCalm, Noisy) != OnCalm.end();
  if (IsSwapped)
    std::swap(OnCalm, OnDisturbed);
  TestAgent &Calm = IsSwapped ? Second : First;
  TestAgent &Disturbed = IsSwapped ? First : Second;
  REQUIRE(OnCalm.size() == 1);
  REQUIRE(OnDisturbed.size() == 2);
  Calm.setLoad(OnCalm.front(), 40);
  for (const RunName &Run : OnDisturbed)
    Disturbed.setLoad(Run, Run == Noisy ? 400 : 125);
  for (int I = 0; I < 25; ++I) {
    Calm.report(false, OnCalm);
    Disturbed.report(false, OnDisturbed);
  }
  On.kill(On.leader());
  On.run(milliseconds(1500));
  // What is read from now on would teach that nothing is disturbed.
  for (const RunName &Run : OnDisturbed)
    Disturbed.setLoad(Run, Run == Noisy ? 400 : 40);
  Disturbed.attach();
  Disturbed.report(true, OnDisturbed);
  for (int I = 0; I < 13; ++I)
    Disturbed.report(false, OnDisturbed);
  REQUIRE(Disturbed.disturbances().size() == 1);
  // A tenth of the worker takes 1.7 of 2.5.
  CHECK(Disturbed.disturbances().front().LossPerShare_ > 8);
}

TEST_CASE("snapshots from before losses of images were replicated can be read",
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

TEST_CASE("snapshots from before there were jobs can be read",
          "[control][jobs]") {
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
