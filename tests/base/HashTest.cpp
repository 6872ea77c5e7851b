#include "dragonfly/base/Hash.h"

#include <catch2/catch.hpp>

using namespace dragonfly;

TEST_CASE("a stable hash tells parts and their borders apart", "[base][hash]") {
  REQUIRE(stableHash({"check", "x"}) == stableHash({"check", "x"}));
  REQUIRE(stableHash({"check", "x"}) != stableHash({"checkx", ""}));
  REQUIRE(stableHash({""}) != stableHash({"", ""}));
  // The same in every build: it stands in replicated state.
  REQUIRE(stableHash({"belt-check"}) == 0xcef6353675359a10);
}
