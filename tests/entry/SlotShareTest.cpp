#include "entry/GatewayFixture.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::entry;

namespace {

std::size_t dispatched(const std::vector<wire::LiveEntry> &Entries) {
  GatewayFixture Fake;
  Fake.Gateway_->setEntries(Entries, "entry-1");
  Fake.setUpstreams(3);
  for (int Number = 0; Number < 30; ++Number)
    Fake.submit("review", "r" + std::to_string(Number));
  return Fake.ControlCalls_.size();
}

} // namespace

TEST_CASE("an entry fills only its share of the slots", "[entry][shares]") {
  REQUIRE(dispatched({{"entry-1", "az-a"}, {"entry-2", "az-a"}}) == 12);
  REQUIRE(dispatched({{"entry-1", "az-a"}}) == 24);
}

TEST_CASE("an entry that is not told of goes by its number of slots",
          "[entry][shares]") {
  REQUIRE(dispatched({{"entry-2", "az-a"}}) == 24);
}
