#include "dragonfly/agent/VmLease.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::agent;
using namespace std::chrono_literals;

TEST_CASE("a lease counts from the heartbeat's departure", "[agent][lease]") {
  VmLease Lease;
  REQUIRE(!Lease.held(TimePoint(1s)));
  Lease.renew(TimePoint(10s), 3s, {5});
  REQUIRE(Lease.held(TimePoint(12999ms)));
  REQUIRE(!Lease.held(TimePoint(13s)));
  Lease.renew(TimePoint(9s), 3s, {5});
  REQUIRE(Lease.held(TimePoint(12999ms)));
  Lease.renew(TimePoint(20s), 3s, {4});
  REQUIRE(!Lease.held(TimePoint(20s)));
}
