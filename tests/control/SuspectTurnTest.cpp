/// Which of several suspect tasks is tried alone first, at the leader.
#include "control/JobFixture.h"

namespace dragonfly::control {
namespace {

const std::string OtherJob = "fc0e7a21d94b36f8";

} // namespace

// Guards against a task that waits without end beside idle workers: the turn
// to be tried alone stayed with a suspect task for which no worker has room.
TEST_CASE("a suspect task without room does not hold up the others",
          "[control][jobs][crash]") {
  JobCluster Cluster;
  TestAgent First(Cluster, "w1");
  First.setCapacity({.MilliProcessors_ = 4000, .MemoryMib_ = 8192});
  First.attach(10, 1, "vm-1");
  REQUIRE(First.report(true));
  jobs::StepSpec Large = makeStep();
  Large.Need_.MemoryMib_ = 6000;
  Cluster.submit({Large});
  Cluster.submit({makeStep()}, OtherJob);
  const std::vector<RunName> Runs = First.consumeStarts();
  REQUIRE(Runs.size() == 2);
  for (std::uint64_t Born = 10; Born < 13; ++Born)
    Cluster.askLeader<wire::WorkerReportAck>(wire::WorkerCrashed{
        {.Worker_ = "w1", .Born_ = Born, .Suspects_ = Runs}});
  TestAgent Second(Cluster, "w2");
  Second.attach(20, 1, "vm-1");
  REQUIRE(Second.report(true));
  Cluster.run(seconds(1));
  const std::vector<RunName> Started = Second.consumeStarts();
  REQUIRE(Started.size() == 1);
  CHECK(Started.front().Task_.Job_ == OtherJob);
  // The larger one has its turn again as soon as there is room.
  TestAgent Third(Cluster, "w3");
  Third.setCapacity({.MilliProcessors_ = 4000, .MemoryMib_ = 8192});
  Third.attach(30, 1, "vm-2");
  REQUIRE(Third.report(true));
  REQUIRE(Second.report(false, Started));
  Cluster.run(seconds(1));
  CHECK(Third.consumeStarts() == std::vector{makeRun(2)});
}

} // namespace dragonfly::control
