/// Tests, at control, each proof that a run has ended before its task starts
/// again.
#include "control/JobFixture.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace dragonfly::control {
namespace {

/// The time after which a leader takes a lease of 4 s for expired.
constexpr milliseconds MaxLease{4420};

/// A worker that keeps its runs while its agent attaches to new leaders.
struct Host {
  Host(JobCluster &Cluster, const std::string &Worker, std::string Vm = {})
      : Agent_(Cluster, Worker), Vm_(std::move(Vm)) {}

  void attach() {
    advance();
    Agent_.attach(10, 1, Vm_);
    REQUIRE(Agent_.report(true, Runs_));
  }
  /// Reports once, on a new session if the last one has ended.
  void report() {
    takeStarts();
    advance();
    const auto Ack = Agent_.report(false, Runs_);
    if (!Ack || Ack->SessionEnded_)
      attach();
    takeStarts();
  }
  void takeStarts() {
    for (RunName &Run : Agent_.consumeStarts())
      Runs_.push_back(std::move(Run));
  }

  /// Runs without progress would be stopped.
  void advance() {
    ++Progress_;
    for (const RunName &Run : Runs_)
      Agent_.setSpeed(Run, SpeedPercent_, Progress_);
  }

  TestAgent Agent_;
  std::string Vm_;
  std::vector<RunName> Runs_;
  std::uint32_t SpeedPercent_ = 100;
  std::uint32_t Progress_ = 0;
};

/// Waits until a replica other than \p Old serves, and returns when that was.
TimePoint awaitOtherLeader(JobCluster &Cluster, std::size_t Old) {
  for (int I = 0; I < 5000; ++I) {
    for (std::size_t Each = 0; Each < 3; ++Each)
      if (Each != Old && Cluster.node(Each).serving())
        return Cluster.now();
    Cluster.run(ServiceCluster::Step);
  }
  FAIL("no other leader");
  return {};
}

void restartAll(JobCluster &Cluster) {
  for (std::size_t I = 0; I < 3; ++I)
    Cluster.kill(I);
  for (std::size_t I = 0; I < 3; ++I)
    Cluster.start(I);
}

/// Loses what the leader's followers send, so that nothing is committed.
void cutAcknowledgements(JobCluster &Cluster, std::size_t Leader) {
  for (std::size_t Each = 0; Each < 3; ++Each)
    if (Each != Leader)
      Cluster.cut(Each, Leader);
}

/// Requires that \p Other starts run 2 after \p Since plus a lease, and soon
/// after that.
void requireStartAfterLease(JobCluster &Cluster, Host &Other, TimePoint Since) {
  while (Cluster.now() < Since + MaxLease - milliseconds(400)) {
    Other.report();
    REQUIRE(Other.Runs_.empty());
  }
  while (Other.Runs_.empty() && Cluster.now() < Since + seconds(8)) {
    Cluster.run(ServiceCluster::Step);
    Other.takeStarts();
  }
  CHECK(Cluster.now() - Since >= MaxLease);
  CHECK(Other.Runs_ == std::vector{makeRun(2)});
}

void requireNoStart(JobCluster &Cluster, Host &Other, Duration For) {
  for (const TimePoint End = Cluster.now() + For; Cluster.now() < End;) {
    Other.report();
    REQUIRE(Other.Runs_.empty());
  }
}

const jobs::TaskRow &task(JobCluster &Cluster) {
  return Cluster.node(Cluster.leader())
      .state()
      .jobs()
      .find(JobId)
      ->Steps_[0]
      .Tasks_[0];
}

/// Hands a report to one replica, whose answer is lost.
void sendReport(JobCluster &Cluster, std::size_t Replica,
                const TestAgent &Agent, bool Complete,
                std::vector<wire::EndReport> Ends) {
  Cluster.node(Replica).handle(Cluster.now(),
                               wire::WorkerReport{.Worker_ = "w1",
                                                  .Session_ = Agent.session(),
                                                  .Complete_ = Complete,
                                                  .Ends_ = std::move(Ends)},
                               [](const wire::Message &) {});
}

} // namespace

// Guards against two runs of one task: a new leader that counts a lease from
// the last report it knows, or not at all, starts the task while it runs.
TEST_CASE("a new leader waits a whole lease for a worker that does not attach",
          "[control][jobs][chain]") {
  JobCluster Cluster;
  Host First(Cluster, "w1");
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
  Host Other(Cluster, "w2");
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
    Host First(Cluster, "w1");
    First.Agent_.attach();
    const std::size_t Old = Cluster.leader();
    sendReport(Cluster, Old, First.Agent_, true, {});
    Cluster.run(Offset);
    First.takeStarts();
    Cluster.kill(Old);
    const TimePoint Elected = awaitOtherLeader(Cluster, Old);
    Host Other(Cluster, "w2");
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
  Host First(Cluster, "w1");
  First.attach();
  Cluster.submit({makeStep()});
  First.report();
  REQUIRE(First.Runs_.size() == 1);
  Host Other(Cluster, "w2");
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
  Host First(Cluster, "w1");
  First.attach();
  Cluster.submit({makeStep()});
  First.takeStarts();
  Host Other(Cluster, "w2");
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
  Host Other(Cluster, "w2", "vm-2");
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
  Host First(Cluster, "w1", "vm-1");
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
  Host First(Cluster, "w1", "vm-1");
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
  Host First(Cluster, "w1");
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
  Host Other(Cluster, "w2");
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
  Host First(Cluster, "w1");
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
  Host Other(Cluster, "w2");
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
  Host Other(Cluster, "w2", "vm-2");
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
