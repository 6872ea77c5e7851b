#include "path/PathScenario.h"

#include <catch2/catch.hpp>

#include <array>
#include <cstdlib>
#include <optional>
#include <span>
#include <string>
#include <variant>

using namespace dragonfly;
using namespace dragonfly::faults;

namespace {

/// Number of \p Type in wire::Message.
template <typename Type, std::size_t Number = 0>
constexpr std::size_t numberOf() {
  if constexpr (std::is_same_v<
                    std::variant_alternative_t<Number, wire::Message>, Type>)
    return Number;
  else
    return numberOf<Type, Number + 1>();
}

constexpr auto Steps = std::to_array<PathStep>({
    {"heartbeat", numberOf<wire::Heartbeat>(), Site::Control},
    {"renew at an agent", numberOf<wire::HeartbeatAck>(), Site::Agent},
    {"renew at an entry", numberOf<wire::HeartbeatAck>(), Site::Entry},
    {"fetch lists", numberOf<wire::FetchLists>(), Site::Control},
    {"push lists to an entry", numberOf<wire::Lists>(), Site::Entry},
    {"push lists to an agent", numberOf<wire::Lists>(), Site::Agent},
    {"claim", numberOf<wire::Claim>(), Site::Control},
    {"grant", numberOf<wire::ClaimReply>(), Site::Entry},
    {"dispatch", numberOf<wire::Execute>(), Site::Agent},
    {"answer", numberOf<wire::ExecuteResult>(), Site::Entry},
    {"receipt", numberOf<wire::ReceiptBatch>(), Site::Control},
    {"receipt acknowledged to an entry", numberOf<wire::ReceiptAck>(),
     Site::Entry},
    {"receipt acknowledged to an agent", numberOf<wire::ReceiptAck>(),
     Site::Agent},
    {"accept a task", numberOf<wire::SubmitTask>(), Site::Control},
    {"task accepted", numberOf<wire::TaskReply>(), Site::Entry},
    {"fetch directives", numberOf<wire::FetchDirectives>(), Site::Control},
    {"start", numberOf<wire::Directives>(), Site::Agent},
    {"finish", numberOf<wire::TaskReports>(), Site::Control},
    {"finish acknowledged", numberOf<wire::TaskReportsAck>(), Site::Agent},
    {"replicate", numberOf<wire::ReplicaTraffic>(), Site::Control},
});

/// Over a connection a frame arrives once; only datagrams can be doubled.
bool canOccur(const PathStep &Step, PathFault Fault) {
  const bool Datagram = Step.Type_ == numberOf<wire::Heartbeat>() ||
                        Step.Type_ == numberOf<wire::HeartbeatAck>() ||
                        Step.Type_ == numberOf<wire::ReplicaTraffic>();
  return Fault != PathFault::MessageDoubled || Datagram;
}

std::optional<std::uint64_t> numberFrom(const char *Variable) {
  const char *Text = std::getenv(Variable);
  if (Text == nullptr)
    return std::nullopt;
  return std::strtoull(Text, nullptr, 10);
}

void runCell(const PathSettings &Settings) {
  PathScenario Cell(Settings);
  const std::vector<std::string> Broken = Cell.run();
  INFO("step: " << Settings.Step_.Name_ << ", fault: "
                << enumName(Settings.Fault_) << ", seed: " << Settings.Seed_);
  std::string Text;
  for (std::size_t Line = 0; Line < Broken.size() && Line < 5; ++Line)
    Text += Broken[Line] + "\n";
  CHECK(Text == "");
  CHECK(Cell.struck());
}

/// Runs each fault at each of \p Steps. DRAGONFLY_SEED chooses other seeds,
/// DRAGONFLY_CELL one cell by its seed.
void runCells(std::span<const PathStep> Rows, std::uint64_t FirstSeed,
              bool Drain) {
  std::uint64_t Seed = numberFrom("DRAGONFLY_SEED").value_or(FirstSeed);
  const std::optional<std::uint64_t> Only = numberFrom("DRAGONFLY_CELL");
  for (const PathStep &Step : Rows)
    for (const auto &Row : EnumTable<PathFault>::Rows) {
      ++Seed;
      if (canOccur(Step, Row.Value_) && Only.value_or(Seed) == Seed)
        runCell({.Step_ = Step,
                 .Fault_ = Row.Value_,
                 .Seed_ = Seed,
                 .Drain_ = Drain});
    }
}

} // namespace

TEST_CASE("every promise holds through every fault at every step of the path",
          "[path]") {
  runCells(Steps, 1, /*Drain=*/false);
}

TEST_CASE("a graceful stop holds its promises through every fault",
          "[path][drain]") {
  constexpr std::array Rows{Steps.front(), Steps.back()};
  runCells(Rows, 1000, /*Drain=*/true);
}
