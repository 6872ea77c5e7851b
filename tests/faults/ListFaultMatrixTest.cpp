#include "faults/ControlLoad.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::faults;

namespace {

constexpr std::uint64_t Seeds = 2;

/// Strikes at the application of commands of type \p Body.
template <typename Body> void runRow() {
  const std::size_t Number = control::CommandBody(Body{}).index();
  for (const auto &Column : EnumTable<Fault>::Rows)
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      ControlLoad Load(Seed);
      ConsensusScenario Scenario(Step::Apply, Column.Value_, Seed,
                                 Load.hooks(Number));
      Load.attach(Scenario);
      std::string Text;
      for (const Violation &Broken : Scenario.run())
        Text += std::string(enumName(Broken.Promise_)) + ": " + Broken.Detail_ +
                "\n";
      for (const ControlViolation &Broken : Load.finish())
        Text += std::string(enumName(Broken.Promise_)) + ": " + Broken.Detail_ +
                "\n";
      INFO(Column.Name_ << ", seed " << Seed << "\n" << Text);
      CHECK(Text.empty());
    }
}

} // namespace

TEST_CASE("faults at a list edit", "[faults][lists]") {
  runRow<control::PutList>();
}
TEST_CASE("faults at a claim", "[faults][claims]") {
  runRow<control::ClaimRequests>();
}
TEST_CASE("faults at a receipt", "[faults][counts]") {
  runRow<control::MergeReceipts>();
}
TEST_CASE("faults at a task's acceptance", "[faults][tasks]") {
  runRow<control::AcceptTasks>();
}
TEST_CASE("faults at a task's placement", "[faults][tasks]") {
  runRow<control::PlaceTasks>();
}
TEST_CASE("faults at a task's report", "[faults][tasks]") {
  runRow<control::ReportTasks>();
}
TEST_CASE("faults at a cancellation", "[faults][tasks]") {
  runRow<control::CancelTasks>();
}
