/// Jobs on queues whose path prefix does not end in a slash.
#include "control/JobFixture.h"

#include <catch2/catch.hpp>

namespace dragonfly::control {

// Guards against a queue that is in force and takes no jobs.
TEST_CASE("a queue whose prefix does not end in a slash takes jobs",
          "[control][jobs]") {
  JobCluster Cluster;
  jobs::Configuration Value = configuration(8);
  Value.Queues_[0].PathPrefix_ = "/checks";
  Cluster.askLeader<wire::PutConfigurationAck>(wire::PutConfiguration{Value});
  const auto Ask = [&](wire::JobAction Action, const std::string &AtPath) {
    return Cluster
        .askLeader<wire::JobReply>(wire::JobRequest{.Action_ = Action,
                                                    .Job_ = JobId,
                                                    .Host_ = "a.example",
                                                    .Path_ = AtPath})
        .Status_;
  };
  const auto Submit = [&](const std::string &AtPath) {
    return Cluster
        .askLeader<wire::JobReply>(
            wire::SubmitJob{.Job_ = JobId,
                            .Host_ = "a.example",
                            .Path_ = AtPath,
                            .Spec_ = {.Steps_ = {makeStep()}}})
        .Status_;
  };
  // The path of a job with a longer id.
  CHECK(Submit("/checks/a" + JobId) == JobStatus::NoQueue);
  CHECK(Ask(wire::JobAction::Cancel, "/checks/a" + JobId) ==
        JobStatus::NoQueue);
  CHECK(Submit("/checks" + JobId) == JobStatus::Accepted);
  CHECK(Ask(wire::JobAction::Query, "/checks" + JobId) == JobStatus::Known);
  TestAgent Agent(Cluster, "w1");
  Agent.attachAndReportNoRuns();
  CHECK(Agent.consumeStarts().size() == 1);
  CHECK(Ask(wire::JobAction::Cancel, "/checks" + JobId) == JobStatus::Known);
}

} // namespace dragonfly::control
