#include "dragonfly/decide/ConfigurationLease.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::decide;
using namespace std::chrono_literals;

namespace {

constexpr ListVersions First{.Plans_ = {1}, .Purchases_ = {1}};
constexpr ListVersions Second{.Plans_ = {2}, .Purchases_ = {1}};
const TimePoint Start(100s);

ConfigurationLease makeValidLease() {
  ConfigurationLease Lease(3, 3s);
  Lease.activate(First);
  Lease.recordAcknowledgement(0, Start, First);
  Lease.recordAcknowledgement(1, Start, First);
  return Lease;
}

} // namespace

TEST_CASE("acknowledgements of a majority make the lease valid for one term",
          "[decide][configuration]") {
  ConfigurationLease Lease(3, 3s);
  Lease.activate(First);
  REQUIRE(!Lease.isValid(Start));
  Lease.recordAcknowledgement(0, Start, First);
  REQUIRE(!Lease.isValid(Start));
  Lease.recordAcknowledgement(0, Start + 1s, First);
  REQUIRE(!Lease.isValid(Start + 1s));
  Lease.recordAcknowledgement(2, Start, First);
  REQUIRE(Lease.isValid(Start + 2999ms));
  REQUIRE(!Lease.isValid(Start + 3s));
}

TEST_CASE("the lease is not valid before the lists are known",
          "[decide][configuration]") {
  ConfigurationLease Lease(1, 3s);
  Lease.recordAcknowledgement(0, Start, First);
  REQUIRE(!Lease.isValid(Start));
  REQUIRE(Lease.isOutdated());
  Lease.activate(First);
  REQUIRE(Lease.isValid(Start));
}

TEST_CASE("a newer version stops renewal but does not end the running term",
          "[decide][configuration]") {
  ConfigurationLease Lease = makeValidLease();
  Lease.recordAcknowledgement(0, Start + 1s, Second);
  Lease.recordAcknowledgement(1, Start + 1s, Second);
  REQUIRE(Lease.isOutdated());
  REQUIRE(Lease.isValid(Start + 2999ms));
  REQUIRE(!Lease.isValid(Start + 3s));
  Lease.activate(Second);
  REQUIRE(!Lease.isOutdated());
  REQUIRE(Lease.isValid(Start + 3999ms));
}

TEST_CASE("late acknowledgements and older versions are ignored",
          "[decide][configuration]") {
  ConfigurationLease Lease = makeValidLease();
  Lease.activate(Second);
  Lease.activate(First);
  REQUIRE(Lease.activeVersions() == Second);
  Lease.recordAcknowledgement(0, Start + 1s, Second);
  Lease.recordAcknowledgement(0, Start - 10s, First);
  Lease.recordAcknowledgement(1, Start + 1s, Second);
  REQUIRE(Lease.isValid(Start + 3500ms));
}
