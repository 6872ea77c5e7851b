#include "dragonfly/decide/SlotShares.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <numeric>

using namespace dragonfly;
using namespace dragonfly::decide;

namespace {

std::vector<UpstreamRow> makeUpstreams(std::size_t Count) {
  std::vector<UpstreamRow> Rows(Count);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Rows[Index].Name_ = "w" + std::to_string(Index);
    Rows[Index].AvailabilityZone_ = "z" + std::to_string(Index % 4);
    Rows[Index].Slots_ = 8;
  }
  return Rows;
}

const std::vector<EntryRow> Entries{{"e1", "z0"}, {"e2", "z1"}, {"e3", "z2"}};

} // namespace

TEST_CASE("the shares of all entries cover every slot once and are even",
          "[decide][shares]") {
  const auto Upstreams = makeUpstreams(11);
  std::vector<std::uint32_t> Sum(11);
  for (const EntryRow &Entry : Entries) {
    const auto Shares = slotShares(Entries, Entry.Name_, Upstreams);
    const auto Total = std::accumulate(Shares.begin(), Shares.end(), 0U);
    REQUIRE(Total >= 29);
    REQUIRE(Total <= 30);
    std::ranges::transform(Sum, Shares, Sum.begin(), std::plus());
  }
  REQUIRE(std::ranges::count(Sum, 8U) == 11);
}

TEST_CASE("an entry gets the slots of its own zone first", "[decide][shares]") {
  const auto Shares = slotShares(Entries, "e1", makeUpstreams(11));
  REQUIRE(Shares[0] + Shares[4] + Shares[8] == 24);
}

TEST_CASE("shares do not depend on the order of the tables",
          "[decide][shares]") {
  auto Upstreams = makeUpstreams(11);
  auto Shuffled = Entries;
  const auto Before = slotShares(Entries, "e2", Upstreams);
  std::ranges::reverse(Upstreams);
  std::ranges::reverse(Shuffled);
  auto After = slotShares(Shuffled, "e2", Upstreams);
  std::ranges::reverse(After);
  REQUIRE(Before == After);
}

TEST_CASE("slots of draining upstreams are not assigned", "[decide][shares]") {
  auto Upstreams = makeUpstreams(3);
  Upstreams[1].Draining_ = true;
  REQUIRE(slotShares(Entries, "e1", Upstreams)[1] == 0);
  REQUIRE(slotShares({}, "e1", Upstreams) ==
          std::vector<std::uint32_t>{0, 0, 0});
}
