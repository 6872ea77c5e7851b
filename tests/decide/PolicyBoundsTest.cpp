// Checks the bounds of the policy benchmark on a few fixed seeds; PolicyBench
// checks them on more.
#include "support/RequestScenarios.h"
#include "support/TaskScenarios.h"

#include <catch2/catch.hpp>

using namespace dragonfly::bench;

namespace {

void checkBounds(const Measures &Rows) {
  for (const Measure &Row : Rows) {
    INFO(Row.Name_ << ": " << Row.median() << ", " << Row.Bound_ << " ("
                   << Row.Limit_ << ")");
    CHECK(Row.met());
  }
}

const Seeds OneSeed{1};

} // namespace

TEST_CASE("a flood of the least urgent kind does not delay urgent requests",
          "[decide][policy]") {
  checkBounds(floodOfLeastUrgent(makeNotbandet(), OneSeed));
  checkBounds(floodOfLeastUrgent(makeSiamSpoke(), OneSeed));
}

TEST_CASE("a flood of the most urgent kind leaves the others their shares",
          "[decide][policy]") {
  checkBounds(floodOfMostUrgent(makeNotbandet(), OneSeed));
  checkBounds(floodOfMostUrgent(makeSiamSpoke(), OneSeed));
}

TEST_CASE("load returns to normal after two floods without a retry storm",
          "[decide][policy]") {
  checkBounds(floodsThenCalm(makeSiamSpoke(), OneSeed));
}

TEST_CASE("a customer beyond its plan does not slow down another",
          "[decide][policy]") {
  checkBounds(customerBeyondPlan(makeSiamSpoke(), OneSeed));
}

TEST_CASE("failing workers get few requests", "[decide][policy]") {
  checkBounds(failingWorkers(makeSiamSpoke(), OneSeed));
}

TEST_CASE("a wave of cancellations does not slow down urgent requests",
          "[decide][policy]") {
  checkBounds(cancellationWave(makeSiamSpoke(), OneSeed));
}

TEST_CASE("jobs that cannot run are parked and do not harm others",
          "[decide][policy]") {
  checkBounds(impossibleJobs(makeSiamSpoke(), OneSeed));
}

TEST_CASE("placement is better than first fit on declared sizes",
          "[decide][policy]") {
  checkBounds(againstFirstFit(makeSiamSpoke(), {1, 2, 3}));
}
