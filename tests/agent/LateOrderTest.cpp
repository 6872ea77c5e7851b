/// Orders that a worker leaves unanswered and carries out seconds later, after
/// its lease or its life has ended.
#include "agent/AgentFixture.h"

#include <catch2/catch.hpp>

namespace dragonfly::agent {
namespace {

const jobs::RunName Late = makeRun(7);

bool isToldEnded(const AgentFixture &On, const jobs::RunName &Run) {
  return std::ranges::find(On.Leader_->Ends_, Run, &wire::EndReport::Run_) !=
         On.Leader_->Ends_.end();
}

/// Orders the start of `Late`, which the worker carries out after \p Delay.
void orderLateStart(AgentFixture &On, Duration Delay) {
  On.Worker_->setOrderDelay(Delay);
  On.Leader_->order({.Starts_ = {{.Run_ = Late}}});
  On.run(milliseconds(100));
}

} // namespace

// Guards against two runs of one task: a run was reported as ended although the
// worker's next life had carried out its late start, because a report to an
// earlier leader was still open when that life listed it.
TEST_CASE("a run that the next life lists is not reported as ended",
          "[agent][worker][late]") {
  AgentFixture On;
  On.startRuns(1);
  orderLateStart(On, milliseconds(700));
  On.Leader_->loseReports();
  On.run(milliseconds(500));
  On.Worker_->restart("w1", 20);
  On.run(milliseconds(200));
  REQUIRE(On.Worker_->isRunning(Late));
  On.announce(On.Worker_->announce());
  On.run(seconds(3));
  CHECK(On.Worker_->starts(Late) == 1);
  CHECK(isToldEnded(On, Late) != On.Worker_->isRunning(Late));
}

} // namespace dragonfly::agent
