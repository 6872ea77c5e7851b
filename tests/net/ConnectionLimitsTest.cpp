#include "dragonfly/net/ConnectionLimits.h"

#include <catch2/catch.hpp>

#include <cstddef>

using dragonfly::net::ConnectionLimits;

// Guards against bounds that exceed what the process may open.
TEST_CASE("a process with few descriptors keeps fewer connections",
          "[net][callers]") {
  ConnectionLimits Limits;
  CHECK(Limits.connections(1024) == 1024);
  Limits.setDescriptorLimit(4100);
  CHECK(Limits.connections(2048) == 2048);
  for (const std::size_t Descriptors : {300, 600, 1000, 2000, 4000}) {
    Limits.setDescriptorLimit(Descriptors);
    const std::size_t Entry =
        Limits.connections(2048) + 2 * Limits.connections(64);
    const std::size_t Control =
        3 * Limits.connections(1024) + 2 * Limits.connections(64);
    CHECK(Entry + 3 * Limits.connections(128) <= Descriptors - 200);
    CHECK(Control + 3 * Limits.connections(128) <= Descriptors - 200);
  }
}
