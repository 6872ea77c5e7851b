#include "dragonfly/settings/ReadSettings.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace dragonfly;
using namespace dragonfly::settings;
using namespace std::chrono_literals;

namespace {

const std::string Deployment = R"({
  "name": "notbandet",
  "kinds": [
    {"name": "belt-check", "urgency": "latency-critical", "deadline_ms": 200,
     "floor_permille": 500},
    {"name": "lot-review", "urgency": "deadline", "non_idempotent": true,
     "need": {"processors": 1.5, "memory_mib": 512}}],
  "weights": {"tail_latency_permille": 600, "batch_throughput_permille": 200,
              "evictions_permille": 200},
  "lease_term_ms": 3000, "drift_margin_ms": 300, "heartbeat_period_ms": 500,
  "control": [{"id": 1, "address": "127.0.2.1:7000",
               "operator_address": "127.0.2.1:7001"}]})";

const std::string Agent = R"("name": "agent-1", "availability_zone": "a",
  "listen": "127.0.3.1:7100", "status_listen": "127.0.3.1:7101",
  "upstream": "127.0.3.1:9000",
  "capacity": {"processors": 64, "memory_mib": 250000})";

std::string agentText(const std::string &Own, const std::string &Shared) {
  return "{" + Own + ", \"deployment\": " + Shared + "}";
}

std::string replace(std::string Text, const std::string &From,
                    const std::string &To) {
  const auto At = Text.find(From);
  REQUIRE(At != std::string::npos);
  return Text.replace(At, From.size(), To);
}

std::vector<JsonFault> faultsOf(const std::string &Text) {
  try {
    readAgentSettings(Text, ".");
  } catch (const SettingsError &Failure) {
    return Failure.faults();
  }
  return {};
}

struct FaultCase {
  std::string From_;
  std::string To_;
  std::string Path_;
  std::string Found_;
};

} // namespace

TEST_CASE("settings are read with units and defaults", "[settings][read]") {
  const auto Value = readAgentSettings(agentText(Agent, Deployment), ".");
  const auto &Kinds = Value.Process_.Deployment_.Kinds_;
  REQUIRE(Kinds.size() == 2);
  CHECK(Kinds[0].Deadline_ == 200ms);
  CHECK(Kinds[1].NonIdempotent_);
  CHECK(Kinds[1].Need_.MilliProcessors_ == 1500);
  CHECK(Value.Capacity_.MilliProcessors_ == 64000);
  CHECK(Value.Slots_ == 8);
  CHECK(Value.Process_.Control_[0].Id_ == ReplicaId{1});
  CHECK(Value.Process_.Deployment_.Weights_.TailLatency_ == 600);
}

TEST_CASE("each fault names its path and what was found", "[settings][read]") {
  const auto Case = GENERATE(values<FaultCase>({
      {R"("name": "agent-1", )", "", "/name", "nothing"},
      {R"("name": "agent-1")", R"("name": "")", "/name", "\"\""},
      {R"("name": "agent-1")", R"("name": 7)", "/name", "7"},
      {R"("listen": "127.0.3.1:7100")", R"("listen": "localhost:7100")",
       "/listen", "\"localhost:7100\""},
      {R"("listen": "127.0.3.1:7100")", R"("listen": "127.0.3.1:70000")",
       "/listen", "\"127.0.3.1:70000\""},
      {R"("processors": 64)", R"("processors": 0.0005)", "/capacity/processors",
       "5E-4"},
      {R"("memory_mib": 250000)", R"("memory_mib": -1)", "/capacity/memory_mib",
       "-1"},
      {R"("memory_mib": 250000)", R"("memory_gib": 250, "memory_mib": 1)",
       "/capacity/memory_gib", "250"},
      {R"("deadline_ms": 200)", R"("deadline_ms": 0.5)",
       "/deployment/kinds/0/deadline_ms", "5E-1"},
      {R"("deadline_ms": 200)", R"("deadline": 200)",
       "/deployment/kinds/0/deadline", "200"},
      {R"("urgency": "deadline")", R"("urgency": "soon")",
       "/deployment/kinds/1/urgency", "\"soon\""},
      {R"("non_idempotent": true)", R"("non_idempotent": 1)",
       "/deployment/kinds/1/non_idempotent", "1"},
      {R"("floor_permille": 500)", R"("floor_permille": 1001)",
       "/deployment/kinds/0/floor_permille", "1001"},
      {R"("name": "lot-review")", R"("name": "belt-check")",
       "/deployment/kinds", "belt-check twice"},
      {R"("tail_latency_permille": 600)", R"("tail_latency_permille": 601)",
       "/deployment/weights", "1001"},
      {R"("heartbeat_period_ms": 500)", R"("heartbeat_period_ms": 2000)",
       "/deployment/lease_term_ms", "3000.000000"},
      {R"("id": 1)", R"("id": 0)", "/deployment/control/0/id", "0"},
      {R"("lease_term_ms": 3000)", R"("lease~/": 1)", "/deployment/lease~0~1",
       "1"},
  }));
  const auto Faults =
      faultsOf(replace(agentText(Agent, Deployment), Case.From_, Case.To_));
  INFO(Case.To_);
  REQUIRE(Faults.size() == 1);
  CHECK(Faults[0].Path_ == Case.Path_);
  CHECK(Faults[0].Found_ == Case.Found_);
  CHECK_FALSE(Faults[0].Expected_.empty());
}

TEST_CASE("all faults are reported in one pass", "[settings][read]") {
  std::string Text = agentText(Agent, Deployment);
  Text = replace(Text, R"("name": "agent-1")", R"("name": 7)");
  Text = replace(Text, R"("memory_mib": 250000)", R"("memory_mib": "x")");
  Text = replace(Text, R"("id": 1)", R"("id": 0, "extra": null)");
  CHECK(faultsOf(Text).size() == 4);
}

TEST_CASE("what is no JSON object is one fault", "[settings][read]") {
  const std::string Text = GENERATE("", "{", "[]", "3", "{\"a\":1}x");
  CHECK(faultsOf(Text).size() == 1);
}

TEST_CASE("a deployment file that cannot be read is a fault",
          "[settings][read]") {
  const auto Faults = faultsOf(agentText(Agent, "\"no-such-file.json\""));
  REQUIRE(Faults.size() == 1);
  CHECK(Faults[0].Path_ == "/deployment");
}

TEST_CASE("a replica that control does not list is a fault",
          "[settings][read]") {
  const std::string Own = R"("name": "control-2", "availability_zone": "a",
    "replica": 2, "data_folder": "data")";
  REQUIRE_THROWS_AS(readControlSettings(agentText(Own, Deployment), "."),
                    SettingsError);
}

TEST_CASE("printed settings read back equal", "[settings][print]") {
  const auto Value = readAgentSettings(agentText(Agent, Deployment), ".");
  const std::string Printed = printSettings(Value);
  CHECK(printSettings(readAgentSettings(Printed, ".")) == Printed);

  const std::string Control = R"("name": "control-1", "availability_zone": "a",
    "replica": 1, "data_folder": "data", "election_timeout_ms": 700)";
  const std::string PrintedControl =
      printSettings(readControlSettings(agentText(Control, Deployment), "."));
  CHECK(printSettings(readControlSettings(PrintedControl, ".")) ==
        PrintedControl);
  CHECK(PrintedControl.find("\"election_timeout_ms\": 700") !=
        std::string::npos);

  const std::string Entry = R"("name": "entry-1", "availability_zone": "a",
    "listen": "127.0.1.1:8080")";
  const std::string PrintedEntry =
      printSettings(readEntrySettings(agentText(Entry, Deployment), "."));
  CHECK(printSettings(readEntrySettings(PrintedEntry, ".")) == PrintedEntry);
}
