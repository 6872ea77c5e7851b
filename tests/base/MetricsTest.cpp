#include "dragonfly/base/Metrics.h"

#include <catch2/catch.hpp>

using namespace dragonfly;

TEST_CASE("metrics are lines of name, label and value", "[base][metrics]") {
  Metrics All;
  CHECK(All.text().empty());
  All.count("jobs", "accepted");
  All.count("jobs", "accepted", 2);
  All.count("starts");
  All.set("workers", "open", 11);
  All.record("answer", "submit", std::chrono::milliseconds(20));
  CHECK(All.text() == "jobs_total{label=\"accepted\"} 3\n"
                      "starts_total 1\n"
                      "workers{label=\"open\"} 11\n"
                      "answer_count{label=\"submit\"} 1\n"
                      "answer_p50_ms{label=\"submit\"} 20\n"
                      "answer_p90_ms{label=\"submit\"} 20\n"
                      "answer_p99_ms{label=\"submit\"} 20\n"
                      "answer_max_ms{label=\"submit\"} 20\n");
}
