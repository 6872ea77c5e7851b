#include "control/RunTimeEstimator.h"

#include "dragonfly/jobs/JobTable.h"

#include <catch2/catch.hpp>

#include <chrono>

namespace dragonfly::control {

// Guards against jobs that count as hopelessly late at once: a configuration
// may name any slack factor, and a caller any estimate.
TEST_CASE("latency objectives stay in range for any slack factor and estimate",
          "[control][jobs]") {
  const auto Longest = std::chrono::hours(24 * 100);
  for (const double Slack : {1e308, 1e9, 2.0, 0.0, -1.0, -1e308}) {
    INFO(Slack);
    jobs::JobTable Table;
    Table.putConfiguration({.Version_ = 1,
                            .Queues_ = {{.Name_ = "checks",
                                         .Host_ = "a.example",
                                         .PathPrefix_ = "/checks/",
                                         .Service_ = "sorting",
                                         .TargetLatency_ = Longest,
                                         .SlackFactor_ = Slack}},
                            .Services_ = {{.Name_ = "sorting"}}});
    Table.submit({}, {.Job_ = "a1",
                      .Host_ = "a.example",
                      .Path_ = "/checks/a1",
                      .Spec_ = {.Steps_ = {{.Count_ = 1, .Estimate_ = Longest},
                                           {.Count_ = 1,
                                            .Estimate_ = Longest,
                                            .DependsOn_ = {0}}}}});
    const jobs::JobRow *Job = Table.find("a1");
    REQUIRE(Job != nullptr);
    const RunTimeEstimator RunTimes(Table);
    const decide::JobOutlook Outlook = RunTimes.outlook(*Job, {});
    CHECK(Outlook.LatencyObjective_ >= Duration(Longest));
    CHECK(3 * Outlook.LatencyObjective_ > Outlook.LatencyObjective_);
  }
}

} // namespace dragonfly::control
