/// Plays seeded days of the whole chain of a job, from callers to workers.
#include "chain/JobChain.h"

#include <catch2/catch.hpp>

#include <cstdlib>
#include <iostream>
#include <optional>

namespace dragonfly::chain {
namespace {

std::optional<std::uint64_t> numberFrom(const char *Variable) {
  const char *Text = std::getenv(Variable);
  if (Text == nullptr)
    return std::nullopt;
  return std::strtoull(Text, nullptr, 10);
}

} // namespace

// Guards against UNASKED, TWICE, REFUSED and LOST of lasting tasks by faults
// that only show between two parts of the chain. DRAGONFLY_SEED chooses the
// first seed and DRAGONFLY_SEEDS their number; with DRAGONFLY_LOG the log goes
// to standard error.
TEST_CASE("nothing runs that no caller asked for, and lasting tasks go on",
          "[chain]") {
  constexpr std::uint64_t SeedsInCi = 10;
  const std::uint64_t First = numberFrom("DRAGONFLY_SEED").value_or(1);
  const std::uint64_t Count =
      numberFrom("DRAGONFLY_SEEDS")
          .value_or(numberFrom("DRAGONFLY_SEED") ? 1 : SeedsInCi);
  for (std::uint64_t Seed = First; Seed < First + Count; ++Seed) {
    JobChain Day(Seed);
    if (std::getenv("DRAGONFLY_LOG") != nullptr)
      configureLog({.Sink_ = [](std::string_view Line) {
        std::cerr << Clock::now().time_since_epoch() / milliseconds(1) << ' '
                  << Line << '\n';
      }});
    INFO("seed: " << Seed);
    const bool Kept = Day.play();
    INFO(Day.judge().report());
    CHECK(Kept);
    CHECK(Day.judge().starts() > 0);
  }
}

} // namespace dragonfly::chain
