/// EVAC: once the evacuation of an availability zone is acknowledged, its
/// workers get no more starts until it is taken back.
#include "control/Archive.h"
#include "control/JobFixture.h"
#include "dragonfly/decide/SlowStart.h"

#include <algorithm>

namespace dragonfly::control {
namespace {

using jobs::EvacuationStatus;

const std::string Zone = "zone-a";
constexpr std::size_t Replicas = 3;

wire::Evacuation fetch(JobCluster &Cluster) {
  return Cluster.askLeader<wire::Evacuation>(
      wire::FetchEvacuation{.Zone_ = Zone});
}

EvacuationStatus set(JobCluster &Cluster, bool Evacuated,
                     std::uint64_t Revision) {
  return Cluster
      .askLeader<wire::EvacuationReply>(
          wire::SetEvacuation{.Zone_ = Zone,
                              .Evacuated_ = Evacuated,
                              .ExpectedRevision_ = Revision})
      .Status_;
}

/// An agent whose worker is in the zone.
TestAgent makeAgent(JobCluster &Cluster, const std::string &Worker) {
  TestAgent Agent(Cluster, Worker);
  Agent.setAvailabilityZone(Zone);
  Agent.attachAndReportNoRuns();
  return Agent;
}

} // namespace

// Guards against EVAC: a start after the acknowledgement.
TEST_CASE("workers of an evacuated zone get no starts until it is taken back",
          "[control][evacuation]") {
  JobCluster Cluster;
  TestAgent Inside = makeAgent(Cluster, "w1");
  REQUIRE(set(Cluster, true, 0) == EvacuationStatus::Applied);
  REQUIRE(Cluster.submit({makeStep()}) == JobStatus::Accepted);
  Cluster.run(seconds(1));
  REQUIRE(Inside.report(false));
  CHECK(Inside.consumeStarts().empty());

  SECTION("and then go on") {
    REQUIRE(set(Cluster, false, fetch(Cluster).Revision_) ==
            EvacuationStatus::Applied);
    REQUIRE(Inside.report(false));
    CHECK(Inside.consumeStarts() == std::vector{makeRun()});
  }
  SECTION("while those of other zones do") {
    TestAgent Outside(Cluster, "w2");
    Outside.attachAndReportNoRuns();
    CHECK(Outside.consumeStarts() == std::vector{makeRun()});
  }
}

// Guards against LOST: an evacuation that a new leader does not know.
TEST_CASE("an evacuation survives the loss of every process",
          "[control][evacuation]") {
  JobCluster Cluster;
  REQUIRE(set(Cluster, true, 0) == EvacuationStatus::Applied);
  for (std::size_t I = 0; I < Replicas; ++I)
    Cluster.kill(I);
  for (std::size_t I = 0; I < Replicas; ++I)
    Cluster.start(I);
  Cluster.run(seconds(5));
  CHECK(fetch(Cluster).Evacuated_);
}

// Guards against a request that was held up and undoes a newer one.
TEST_CASE("an older request does not undo a newer one",
          "[control][evacuation]") {
  JobCluster Cluster;
  REQUIRE(set(Cluster, true, 0) == EvacuationStatus::Applied);
  CHECK(set(Cluster, true, 0) == EvacuationStatus::Outdated);
  const std::uint64_t Revision = fetch(Cluster).Revision_;
  SECTION("if the newer one takes the zone back") {
    REQUIRE(set(Cluster, false, Revision) == EvacuationStatus::Applied);
    CHECK(set(Cluster, true, 0) == EvacuationStatus::Outdated);
    CHECK_FALSE(fetch(Cluster).Evacuated_);
  }
  SECTION("if the newer one asks for the state that the zone has") {
    REQUIRE(set(Cluster, true, Revision) == EvacuationStatus::Applied);
    CHECK(set(Cluster, false, Revision) == EvacuationStatus::Outdated);
    CHECK(fetch(Cluster).Evacuated_);
  }
}

// Guards against an order that its agent still holds when the zone is
// evacuated.
TEST_CASE("a start that nobody has confirmed is stopped in an evacuated zone",
          "[control][evacuation]") {
  JobCluster Cluster;
  TestAgent Inside = makeAgent(Cluster, "w1");
  submitAndStart(Cluster, Inside, 2);
  Inside.setPhase(wire::RunPhase::Running);
  REQUIRE(Inside.report(false, {makeRun(1, 0)}));
  REQUIRE(set(Cluster, true, 0) == EvacuationStatus::Applied);
  Cluster.run(milliseconds(1500));
  REQUIRE_FALSE(Inside.stops().empty());
  CHECK(std::ranges::all_of(
      Inside.stops(), [](const RunName &Run) { return Run == makeRun(1, 1); }));
}

TEST_CASE("snapshots without evacuations can still be restored",
          "[control][evacuation]") {
  StateMachine Machine({});
  Machine.apply({.Body_ = SetEvacuation{.Zone_ = Zone, .Evacuated_ = true}});
  StateMachine Same({});
  Same.restore(Machine.snapshot());
  CHECK(Same.evacuations().isEvacuated(Zone));
  StateMachine Older({});
  Older.restore(encodeValues(
      StateMachine::SnapshotFormatWithoutEvacuations, Duration(5),
      Machine.lists(), Machine.claims(), Machine.counts(), Machine.tasks(),
      Machine.jobs(), Machine.imageLosses(), Machine.jobs().crashes(),
      Machine.jobs().earlyCancels(), Machine.jobs().crashes().exposures()));
  CHECK_FALSE(Older.evacuations().isEvacuated(Zone));
}

// Guards against a cold zone that gets its whole load back at once.
TEST_CASE("the load of a zone that is taken back grows by steps",
          "[decide][evacuation]") {
  CHECK(decide::slowStartPermille({}, seconds(3)) == 250);
  CHECK(decide::slowStartPermille(seconds(1), seconds(2)) == 500);
  CHECK(decide::slowStartPermille(seconds(2), seconds(1)) == 750);
  CHECK(decide::slowStartPermille(seconds(3), {}) == 1000);
  CHECK(decide::slowStartPermille(seconds(1), {}) < 1000);
  CHECK(decide::slowStartPermille(seconds(2), {}) == 1000);
}

} // namespace dragonfly::control
