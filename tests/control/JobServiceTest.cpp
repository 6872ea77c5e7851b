/// Jobs from submission to completion on replicas without a network, with
/// workers that the tests play.
#include "control/Archive.h"
#include "control/ServiceCluster.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace dragonfly::control {
namespace {

using jobs::JobState;
using jobs::RunEnd;
using jobs::RunName;
using std::chrono::milliseconds;
using std::chrono::seconds;
using wire::JobStatus;

const std::string JobId = "5c0e7a21d94b36f8";
const std::string Path = "/checks/" + JobId;

jobs::Configuration configuration(std::uint64_t Version) {
  return {.Version_ = Version,
          .Queues_ = {{.Name_ = "checks",
                       .Host_ = "a.example",
                       .PathPrefix_ = "/checks/",
                       .Service_ = "sorting",
                       .MaxAttempts_ = 3}},
          .Services_ = {{.Name_ = "sorting"}},
          .Document_ = "version " + std::to_string(Version)};
}

/// The agent of one worker, as far as control sees it.
class TestAgent {
public:
  TestAgent(ServiceCluster &Cluster, std::string Worker)
      : Cluster_(Cluster), Worker_(std::move(Worker)) {}

  void attach(std::uint64_t Born = 10, std::uint64_t Process = 1,
              const std::string &Vm = {}) {
    const auto Mine = std::make_shared<Stream>();
    Stream_ = Mine;
    Cluster_.node(Cluster_.leader())
        .attachWorker(
            Cluster_.now(),
            {.Worker_ = Worker_,
             .Born_ = Born,
             .Agent_ = {Process},
             .Vm_ = Vm,
             .Service_ = "sorting",
             .Capacity_ = {.MilliProcessors_ = 4000, .MemoryMib_ = 4096}},
            {.Part_ =
                 [Mine](const wire::Message &Part) {
                   Mine->take(std::get<wire::WorkerOrders>(Part));
                 },
             .End_ = [Mine](const wire::Message &) { Mine->Ended_ = true; },
             .Connected_ = [Mine] { return Mine->Connected_; }});
    Cluster_.run(milliseconds(200));
  }

  /// Reports \p Runs as running, and \p Ends.
  std::optional<wire::WorkerReportAck>
  report(bool Complete, std::vector<RunName> Runs = {},
         std::vector<wire::EndReport> Ends = {}) {
    wire::WorkerReport Report{.Worker_ = Worker_,
                              .Session_ = Stream_->Session_,
                              .Draining_ = Draining_,
                              .Complete_ = Complete,
                              .Ends_ = std::move(Ends)};
    for (const RunName &Run : Runs)
      Report.Runs_.push_back(
          {.Run_ = Run,
           .Phase_ = wire::RunPhase::Running,
           .ProgressPercent_ = Progress_[Run],
           .Load_ = Loads_[Run],
           .SpeedPercent_ = Speeds_.contains(Run) ? Speeds_[Run] : FullSpeed});
    const auto Answer =
        std::make_shared<std::optional<wire::WorkerReportAck>>();
    Cluster_.node(Cluster_.leader())
        .handle(Cluster_.now(), Report, [Answer](const wire::Message &Value) {
          if (const auto *Ack = std::get_if<wire::WorkerReportAck>(&Value))
            *Answer = *Ack;
        });
    Cluster_.run(milliseconds(200));
    return *Answer;
  }

  /// Sends the greeting of a process on a connection that is closed already.
  void greetAndVanish(std::uint64_t Born, std::uint64_t Process) {
    Cluster_.node(Cluster_.leader())
        .attachWorker(Cluster_.now(),
                      {.Worker_ = Worker_,
                       .Born_ = Born,
                       .Agent_ = {Process},
                       .Service_ = "sorting"},
                      {.Part_ = [](const wire::Message &) {},
                       .End_ = [](const wire::Message &) {},
                       .Connected_ = [] { return false; }});
    Cluster_.run(milliseconds(200));
  }

  /// Attaches and tells that nothing runs.
  void join() {
    attach();
    REQUIRE(report(true));
  }

  std::vector<RunName> takeStarts() {
    return std::exchange(Stream_->Starts_, {});
  }
  const std::vector<RunName> &stops() const { return Stream_->Stops_; }
  std::uint64_t session() const { return Stream_->Session_; }
  std::uint64_t fence() const { return Stream_->Fence_; }
  bool ended() const { return Stream_->Ended_; }
  void disconnect() { Stream_->Connected_ = false; }
  void drain() { Draining_ = true; }
  /// What later reports tell as the load of \p Run.
  void setLoad(const RunName &Run, std::uint64_t Load) { Loads_[Run] = Load; }
  /// What later reports tell as the speed of \p Run, in percent, and as its
  /// progress.
  void setSpeed(const RunName &Run, std::uint32_t Percent,
                std::uint32_t Progress) {
    Speeds_[Run] = Percent;
    Progress_[Run] = Progress;
  }
  /// Of the newest orders that told any.
  const std::vector<wire::Disturbance> &disturbances() const {
    return Stream_->Disturbances_;
  }

private:
  struct Stream {
    void take(const wire::WorkerOrders &Orders) {
      Session_ = Orders.Session_;
      Fence_ = Orders.Fence_;
      for (const wire::StartOrder &Row : Orders.Starts_)
        Starts_.push_back(Row.Run_);
      Stops_.insert(Stops_.end(), Orders.Stops_.begin(), Orders.Stops_.end());
      if (!Orders.Disturbances_.empty())
        Disturbances_ = Orders.Disturbances_;
    }
    std::uint64_t Session_ = 0;
    std::uint64_t Fence_ = 0;
    std::vector<RunName> Starts_;
    std::vector<RunName> Stops_;
    std::vector<wire::Disturbance> Disturbances_;
    bool Ended_ = false;
    bool Connected_ = true;
  };

  ServiceCluster &Cluster_;
  std::string Worker_;
  std::shared_ptr<Stream> Stream_ = std::make_shared<Stream>();
  bool Draining_ = false;
  static constexpr std::uint32_t FullSpeed = 100;
  std::map<RunName, std::uint64_t> Loads_;
  std::map<RunName, std::uint32_t> Speeds_;
  std::map<RunName, std::uint32_t> Progress_;
};

struct JobCluster : ServiceCluster {
  JobCluster() {
    askLeader<wire::PutConfigurationAck>(
        wire::PutConfiguration{configuration(7)});
  }

  JobStatus submit(std::vector<jobs::StepSpec> Steps) {
    return askLeader<wire::JobReply>(
               wire::SubmitJob{.Job_ = JobId,
                               .Host_ = "a.example",
                               .Path_ = Path,
                               .Spec_ = {.Steps_ = Steps}})
        .Status_;
  }

  wire::JobReply ask(wire::JobAction Action) {
    return askLeader<wire::JobReply>(wire::JobRequest{
        .Action_ = Action, .Job_ = JobId, .Host_ = "a.example", .Path_ = Path});
  }
  JobState state() { return ask(wire::JobAction::Query).State_; }
  using ServiceCluster::ask;
};

jobs::StepSpec step(std::uint32_t Count = 1) {
  return {.Count_ = Count,
          .Need_ = {.MilliProcessors_ = 1000, .MemoryMib_ = 100}};
}

RunName run(std::uint32_t Run = 1, std::uint32_t Index = 0) {
  return {.Task_ = {.Job_ = JobId, .Step_ = 0, .Index_ = Index}, .Run_ = Run};
}

wire::EndReport end(const RunName &Run, RunEnd How = RunEnd::Finished) {
  return {.Run_ = Run, .How_ = How};
}

} // namespace

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

TEST_CASE("a run goes on through a change of leader", "[control][jobs]") {
  JobCluster On;
  TestAgent Agent(On, "w1");
  Agent.join();
  On.submit({step()});
  REQUIRE(Agent.takeStarts().size() == 1);
  On.isolate(On.leader());
  On.run(seconds(2));
  const std::uint64_t Before = Agent.fence();
  Agent.attach();
  REQUIRE(Agent.report(true, {run()}));
  On.run(seconds(1));
  CHECK(Agent.takeStarts().empty());
  CHECK(Agent.fence() == Before);
  REQUIRE(Agent.report(false, {}, {end(run())}));
  CHECK(On.state() == JobState::Completed);
}

TEST_CASE("a start that never reached the agent is made again",
          "[control][jobs]") {
  JobCluster On;
  TestAgent Agent(On, "w1");
  Agent.join();
  On.submit({step()});
  REQUIRE(Agent.takeStarts().size() == 1);
  Agent.attach();
  REQUIRE(Agent.report(true));
  CHECK(Agent.takeStarts() == std::vector<RunName>{run(2)});
}

TEST_CASE(
    "a lost worker's task runs elsewhere, but not before its lease is over",
    "[control][jobs]") {
  JobCluster On;
  TestAgent First(On, "w1");
  First.join();
  On.submit({step()});
  REQUIRE(First.takeStarts().size() == 1);
  First.report(false, {run()});
  First.disconnect();
  TestAgent Second(On, "w2");
  Second.join();
  On.run(seconds(3));
  CHECK(Second.takeStarts().empty());
  for (int I = 0; I < 10; ++I)
    Second.report(false);
  CHECK(Second.takeStarts() == std::vector<RunName>{run(2)});
}

// After a loss of power every worker comes back under another id; control
// waited for the leases of the old ones (incident inc-a17a).
TEST_CASE("another worker on a VM ends the runs of the one before it",
          "[control][jobs]") {
  JobCluster On;
  TestAgent Old(On, "w1");
  Old.attach(10, 1, "vm-1");
  Old.report(true);
  On.submit({step()});
  REQUIRE(Old.takeStarts().size() == 1);
  Old.disconnect();
  TestAgent Delayed(On, "w0");
  Delayed.attach(9, 1, "vm-1");
  Delayed.report(true);
  CHECK(Delayed.takeStarts().empty());
  TestAgent New(On, "w2");
  New.attach(20, 2, "vm-1");
  New.report(true);
  CHECK(New.takeStarts() == std::vector<RunName>{run(2)});
}

TEST_CASE("a new process of an agent gets a higher fence", "[control][jobs]") {
  JobCluster On;
  TestAgent Agent(On, "w1");
  Agent.attach(10, 1);
  const std::uint64_t Before = Agent.fence();
  Agent.attach(10, 1);
  CHECK(Agent.fence() == Before);
  Agent.attach(10, 2);
  CHECK(Agent.fence() > Before);
  const std::uint64_t Second = Agent.fence();
  Agent.attach(11, 2);
  CHECK(Agent.fence() > Second);
}

// Pattern: agents that were killed or gave up while the leader was frozen;
// their first messages are read after those of their successors.
TEST_CASE("the greeting of an agent that has gone harms no later session",
          "[control][jobs]") {
  JobCluster On;
  TestAgent Agent(On, "w1");
  Agent.attach(10, 2);
  Agent.report(true);
  const std::uint64_t Session = Agent.session();
  // The same process, on a connection that it has closed.
  Agent.greetAndVanish(10, 2);
  CHECK_FALSE(Agent.ended());
  CHECK(Agent.session() == Session);
  // An earlier process: the fence has grown, so that the agent has to attach
  // again before it is given anything.
  Agent.greetAndVanish(10, 1);
  CHECK(Agent.ended());
  Agent.attach(10, 2);
  Agent.report(true);
  On.submit({step()});
  CHECK(Agent.takeStarts().size() == 1);
}

// Pattern: an agent is silent or slow to report for a while, and attaches
// again.
TEST_CASE("a worker that was silent for less than its lease keeps its runs",
          "[control][jobs]") {
  JobCluster On;
  TestAgent Silent(On, "w1");
  Silent.join();
  On.submit({step()});
  REQUIRE(Silent.takeStarts().size() == 1);
  REQUIRE(Silent.report(false, {run()}));
  Silent.disconnect();
  TestAgent Other(On, "w2");
  Other.join();
  On.run(seconds(3));
  Silent.attach();
  REQUIRE(Silent.report(true, {run()}));
  for (std::uint32_t Progress = 1; Progress <= 10; ++Progress) {
    Silent.setSpeed(run(), 100, Progress);
    REQUIRE(Silent.report(false, {run()}));
    Other.report(false);
  }
  CHECK(Silent.stops().empty());
  CHECK(Silent.takeStarts().empty());
  CHECK(Other.takeStarts().empty());
  REQUIRE(Silent.report(false, {}, {end(run())}));
  CHECK(On.state() == JobState::Completed);
}

// Pattern: a worker leaves, and then every process of control restarts.
TEST_CASE("a worker that has left is not used after a restart",
          "[control][jobs]") {
  JobCluster On;
  TestAgent Left(On, "w1");
  Left.join();
  On.askLeader<wire::WorkerReportAck>(
      wire::WorkerGone{.Worker_ = "w1", .Born_ = 10});
  for (std::size_t I = 0; I < 3; ++I)
    On.kill(I);
  for (std::size_t I = 0; I < 3; ++I)
    On.start(I);
  On.run(seconds(3));
  On.submit({step()});
  On.run(seconds(1));
  CHECK(Left.takeStarts().empty());
  TestAgent Present(On, "w2");
  Present.join();
  CHECK(Present.takeStarts().size() == 1);
}

TEST_CASE("a report under an earlier session does nothing", "[control][jobs]") {
  JobCluster On;
  TestAgent Old(On, "w1");
  Old.join();
  TestAgent New(On, "w1");
  New.join();
  CHECK(Old.ended());
  const auto Ack = Old.report(false);
  REQUIRE(Ack);
  CHECK(Ack->SessionEnded_);
  CHECK(Ack->LeaseTerm_ == Duration::zero());
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

TEST_CASE("a run that control has given up is stopped when it shows up",
          "[control][jobs]") {
  JobCluster On;
  TestAgent Agent(On, "w1");
  Agent.join();
  Agent.report(false, {run(9)});
  CHECK(std::ranges::find(Agent.stops(), run(9)) != Agent.stops().end());
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

// Pattern: a worker hangs what it runs while its health check is good.
TEST_CASE("a run that stands still is stopped and runs elsewhere",
          "[control][jobs]") {
  JobCluster On;
  TestAgent Hung(On, "w1");
  Hung.join();
  On.submit({step()});
  REQUIRE(Hung.takeStarts().size() == 1);
  TestAgent Sound(On, "w2");
  Sound.join();
  for (int I = 0; I < 20; ++I)
    Hung.report(false, {run()});
  REQUIRE(std::ranges::find(Hung.stops(), run()) != Hung.stops().end());
  Hung.report(false, {}, {end(run(), RunEnd::Stopped)});
  Sound.report(false);
  CHECK(Sound.takeStarts() == std::vector<RunName>{run(2)});
}

// Pattern: one run of a wide batch step is slowed down beside watches, the step
// waits for it, and another worker is free.
TEST_CASE("a run that is slowed down goes on elsewhere from its checkpoint",
          "[control][jobs]") {
  JobCluster On;
  TestAgent First(On, "w1");
  First.join();
  jobs::StepSpec Batch = step();
  Batch.UsesSpareProcessors_ = true;
  Batch.Checkpointing_ = GENERATE(true, false);
  Batch.Estimate_ = seconds(5);
  On.submit({Batch});
  REQUIRE(First.takeStarts() == std::vector<RunName>{run()});
  First.setSpeed(run(), 10, 20);
  for (int I = 0; I < 6; ++I)
    First.report(false, {run()});
  CHECK(First.stops().empty());
  TestAgent Second(On, "w2");
  Second.join();
  First.report(false, {run()});
  if (!Batch.Checkpointing_) {
    CHECK(First.stops().empty());
    return;
  }
  REQUIRE(First.stops() == std::vector<RunName>{run()});
  First.report(false, {},
               {{.Run_ = run(), .How_ = RunEnd::Stopped, .Checkpoint_ = "c1"}});
  CHECK(First.takeStarts().empty());
  CHECK(Second.takeStarts() == std::vector<RunName>{run(2)});
}

// Pattern: a worker was cut off until its lease had run out, and comes back
// with a run that has been placed elsewhere meanwhile.
TEST_CASE("a slowed run that was given up moves nothing", "[control][jobs]") {
  JobCluster On;
  TestAgent Cut(On, "w1");
  Cut.join();
  jobs::StepSpec Batch = step();
  Batch.UsesSpareProcessors_ = true;
  Batch.Checkpointing_ = true;
  Batch.Estimate_ = seconds(5);
  On.submit({Batch});
  REQUIRE(Cut.takeStarts().size() == 1);
  Cut.disconnect();
  TestAgent Other(On, "w2");
  Other.join();
  for (int I = 0; I < 20; ++I)
    Other.report(false);
  REQUIRE(Other.takeStarts() == std::vector<RunName>{run(2)});
  Cut.attach();
  Cut.setSpeed(run(), 10, 20);
  for (std::uint32_t I = 0; I < 8; ++I) {
    Cut.report(I == 0, {run()});
    Other.setSpeed(run(2), 100, 10 * I);
    Other.report(false, {run(2)});
  }
  CHECK_FALSE(Cut.stops().empty());
  CHECK(Other.stops().empty());
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

TEST_CASE("jobs survive the loss of every process", "[control][jobs]") {
  JobCluster On;
  On.submit({step()});
  for (std::size_t I = 0; I < 3; ++I) {
    On.kill(I);
    On.start(I);
  }
  On.run(seconds(3));
  CHECK(On.state() == JobState::Queued);
  TestAgent Agent(On, "w1");
  Agent.join();
  CHECK(Agent.takeStarts().size() == 1);
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
  StateMachine Machine({.Validator_ = checkWords});
  const jobs::ImageLoss Known{.Serving_ = "watch",
                              .Image_ = "noisy",
                              .PermillePerWorker_ = 14000,
                              .Readings_ = 20};
  Machine.apply({.At_ = Duration(5), .Body_ = NoteImageLosses{{Known}}});
  StateMachine Same({.Validator_ = checkWords});
  Same.restore(Machine.snapshot());
  CHECK(Same.imageLosses().rows() == std::vector{Known});
  StateMachine Older({.Validator_ = checkWords});
  Older.restore(encodeValues(
      StateMachine::SnapshotFormatWithoutLosses, Duration(5), Machine.lists(),
      Machine.claims(), Machine.counts(), Machine.tasks(), Machine.jobs()));
  CHECK(Older.imageLosses().rows().empty());
  CHECK_THROWS_AS(Older.restore(encodeValues(std::uint32_t(9))), CodecError);
}

TEST_CASE("snapshots from before there were jobs can be read",
          "[control][jobs]") {
  const StateMachine Machine({.Validator_ = checkWords});
  const std::string Old = encodeValues(
      StateMachine::SnapshotFormatWithoutJobs, Duration(5), Machine.lists(),
      Machine.claims(), Machine.counts(), Machine.tasks());
  StateMachine Other({.Validator_ = checkWords});
  Other.restore(Old);
  CHECK(Other.logTime() == Duration(5));
  CHECK(Other.jobs().jobs().empty());
}

} // namespace dragonfly::control
