// The policy bench's bounds on few fixed seeds; PolicyBench runs them on more.
#include "support/RequestScenarios.h"
#include "support/TaskScenarios.h"

#include <catch2/catch.hpp>

using namespace dragonfly::bench;

namespace {

void requireMet(const Measures &Rows) {
  for (const Measure &Row : Rows) {
    INFO(Row.Name_ << ": " << Row.median() << ", " << Row.Bound_ << " ("
                   << Row.Limit_ << ")");
    CHECK(Row.met());
  }
}

const Seeds OneSeed{1};

} // namespace

TEST_CASE("a flood of the least urgent kind leaves urgent requests alone",
          "[decide][policy]") {
  requireMet(floodOfLeastUrgent(makeNotbandet(), OneSeed));
  requireMet(floodOfLeastUrgent(makeSiamSpoke(), OneSeed));
}

TEST_CASE("a flood of the most urgent kind leaves the others their shares",
          "[decide][policy]") {
  requireMet(floodOfMostUrgent(makeNotbandet(), OneSeed));
  requireMet(floodOfMostUrgent(makeSiamSpoke(), OneSeed));
}

TEST_CASE("calm returns after two floods without a retry storm",
          "[decide][policy]") {
  requireMet(floodsThenCalm(makeSiamSpoke(), OneSeed));
}

TEST_CASE("a customer beyond its plan does not slow down another",
          "[decide][policy]") {
  requireMet(customerBeyondPlan(makeSiamSpoke(), OneSeed));
}

TEST_CASE("failing workers get hardly any requests", "[decide][policy]") {
  requireMet(failingWorkers(makeSiamSpoke(), OneSeed));
}

TEST_CASE("a wave of cancellations does not slow down urgent requests",
          "[decide][policy]") {
  requireMet(cancellationWave(makeSiamSpoke(), OneSeed));
}

TEST_CASE("impossible jobs are parked and do no harm", "[decide][policy]") {
  requireMet(impossibleJobs(makeSiamSpoke(), OneSeed));
}

TEST_CASE("placement is better than first-fit on declared sizes",
          "[decide][policy]") {
  requireMet(againstFirstFit(makeSiamSpoke(), {1, 2, 3}));
}
