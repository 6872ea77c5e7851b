#include "faults/ConsensusScenario.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace dragonfly;
using namespace dragonfly::faults;
using namespace std::chrono_literals;

namespace {

constexpr std::uint64_t Seeds = 4;

bool isImpossible(Step Row, Fault Column) {
  return std::ranges::any_of(ImpossibleCells, [&](const ImpossibleCell &Cell) {
    return Cell.Step_ == Row && Cell.Fault_ == Column;
  });
}

void requireKept(const std::vector<Violation> &Violations) {
  std::string Text;
  for (const Violation &Broken : Violations)
    Text +=
        std::string(enumName(Broken.Promise_)) + ": " + Broken.Detail_ + "\n";
  INFO(Text);
  CHECK(Violations.empty());
}

void runRow(Step Row) {
  for (const auto &Column : EnumTable<Fault>::Rows) {
    if (isImpossible(Row, Column.Value_))
      continue;
    for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
      INFO(enumName(Row) << " x " << Column.Name_ << ", seed " << Seed);
      requireKept(ConsensusScenario(Row, Column.Value_, Seed).run());
    }
  }
}

} // namespace

TEST_CASE("faults at append", "[faults][consensus]") { runRow(Step::Append); }
TEST_CASE("faults at sync", "[faults][consensus]") { runRow(Step::Sync); }
TEST_CASE("faults at vote", "[faults][consensus]") { runRow(Step::Vote); }
TEST_CASE("faults at commit", "[faults][consensus]") { runRow(Step::Commit); }
TEST_CASE("faults at apply", "[faults][consensus]") { runRow(Step::Apply); }
TEST_CASE("faults at snapshot", "[faults][consensus]") {
  runRow(Step::Snapshot);
}
TEST_CASE("faults at install", "[faults][consensus]") { runRow(Step::Install); }
TEST_CASE("faults at a membership change", "[faults][consensus]") {
  runRow(Step::MembershipChange);
}
TEST_CASE("faults at a read", "[faults][consensus]") { runRow(Step::Read); }

// Pattern: leaders stop in turn while messages are late, processes are paused
// and killed, and links are cut: nobody may lead or hold a lease beside
// another.
TEST_CASE("faults around hand-overs of leadership", "[faults][consensus]") {
  for (const Step Row : {Step::Commit, Step::Sync, Step::Vote})
    for (const auto &Column : EnumTable<Fault>::Rows) {
      if (isImpossible(Row, Column.Value_))
        continue;
      for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
        INFO(enumName(Row) << " x " << Column.Name_ << ", seed " << Seed);
        requireKept(
            ConsensusScenario(Row, Column.Value_, Seed, {.HandsOver_ = true})
                .run());
      }
    }
}

TEST_CASE("a second disk lost right after the first was replaced",
          "[faults][consensus]") {
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    ConsensusScenario Scenario(Step::Append, Fault::DiskLost, Seed);
    for (const std::uint64_t Lost : {1, 2, 3, 1}) {
      Scenario.group().run(2s);
      Scenario.group().loseDisk({Lost});
      Scenario.repair();
    }
    INFO("seed " << Seed);
    requireKept(Scenario.history().check());
  }
}
