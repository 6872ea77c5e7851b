#include "dragonfly/decide/ConfigurationLease.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::decide;
using namespace std::chrono_literals;

namespace {

constexpr ListVersions First{.Plans_ = {1}, .Purchases_ = {1}};
constexpr ListVersions Second{.Plans_ = {2}, .Purchases_ = {1}};
const TimePoint Start(100s);

ConfigurationLease makeFresh() {
  ConfigurationLease Lease(3, 3s);
  Lease.putInForce(First);
  Lease.acknowledged(0, Start, First);
  Lease.acknowledged(1, Start, First);
  return Lease;
}

} // namespace

TEST_CASE("a majority makes the lease fresh for one term",
          "[decide][configuration]") {
  ConfigurationLease Lease(3, 3s);
  Lease.putInForce(First);
  REQUIRE(!Lease.fresh(Start));
  Lease.acknowledged(0, Start, First);
  REQUIRE(!Lease.fresh(Start));
  Lease.acknowledged(0, Start + 1s, First);
  REQUIRE(!Lease.fresh(Start + 1s));
  Lease.acknowledged(2, Start, First);
  REQUIRE(Lease.fresh(Start + 2999ms));
  REQUIRE(!Lease.fresh(Start + 3s));
}

TEST_CASE("nothing is fresh before the lists are known",
          "[decide][configuration]") {
  ConfigurationLease Lease(1, 3s);
  Lease.acknowledged(0, Start, First);
  REQUIRE(!Lease.fresh(Start));
  REQUIRE(Lease.behind());
  Lease.putInForce(First);
  REQUIRE(Lease.fresh(Start));
}

TEST_CASE("a newer version stops renewal but not the running term",
          "[decide][configuration]") {
  ConfigurationLease Lease = makeFresh();
  Lease.acknowledged(0, Start + 1s, Second);
  Lease.acknowledged(1, Start + 1s, Second);
  REQUIRE(Lease.behind());
  REQUIRE(Lease.fresh(Start + 2999ms));
  REQUIRE(!Lease.fresh(Start + 3s));
  Lease.putInForce(Second);
  REQUIRE(!Lease.behind());
  REQUIRE(Lease.fresh(Start + 3999ms));
}

TEST_CASE("late acknowledgements and older versions change nothing",
          "[decide][configuration]") {
  ConfigurationLease Lease = makeFresh();
  Lease.putInForce(Second);
  Lease.putInForce(First);
  REQUIRE(Lease.inForce() == Second);
  Lease.acknowledged(0, Start + 1s, Second);
  Lease.acknowledged(0, Start - 10s, First);
  Lease.acknowledged(1, Start + 1s, Second);
  REQUIRE(Lease.fresh(Start + 3500ms));
}
