/// Jobs while workers, agents and replicas are lost, silent, slow or late.
#include "control/JobFixture.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

namespace dragonfly::control {

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

TEST_CASE("a run that control has given up is stopped when it shows up",
          "[control][jobs]") {
  JobCluster On;
  TestAgent Agent(On, "w1");
  Agent.join();
  Agent.report(false, {run(9)});
  CHECK(std::ranges::find(Agent.stops(), run(9)) != Agent.stops().end());
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

} // namespace dragonfly::control
