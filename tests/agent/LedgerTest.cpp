#include "dragonfly/agent/Ledger.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::agent;

namespace {

constexpr Resources Half{
    .MilliProcessors_ = 500, .MemoryMib_ = 512, .Accelerators_ = 0};
constexpr Resources Whole{
    .MilliProcessors_ = 1000, .MemoryMib_ = 1024, .Accelerators_ = 1};

Ledger makeLedger() {
  return Ledger({.Capacity_ = Whole, .Slots_ = 2, .Connections_ = 3});
}

} // namespace

TEST_CASE("slots and connections are bounded", "[agent][ledger]") {
  Ledger Vm = makeLedger();
  REQUIRE(Vm.takeSlot(false) == Reason::None);
  REQUIRE(Vm.takeSlot(false) == Reason::None);
  REQUIRE(Vm.takeSlot(false) == Reason::NoFreeSlot);
  REQUIRE(Vm.freeSlots() == 0);
  REQUIRE(Vm.takeSlot(true) == Reason::None);
  REQUIRE(Vm.takeSlot(true) == Reason::NoFreeSlot);
  Vm.releaseSlot(false);
  REQUIRE(Vm.takeSlot(true) == Reason::None);
  REQUIRE(Vm.freeSlots() == 1);
}

TEST_CASE("a task is committed once and never beyond capacity",
          "[agent][ledger]") {
  Ledger Vm = makeLedger();
  REQUIRE(Vm.commit({1}, Half) == Reason::None);
  REQUIRE(Vm.commit({1}, Half) == Reason::None);
  REQUIRE(Vm.committed() == Half);
  REQUIRE(Vm.commit({2}, Whole) == Reason::NoFreeSlot);
  REQUIRE(Vm.commit({3}, Whole + Half) == Reason::NeverFits);
  REQUIRE(Vm.commit({4}, Half) == Reason::None);
  Vm.release({1});
  Vm.release({1});
  REQUIRE(Vm.committed() == Half);
}

TEST_CASE("tasks found running block further commitments", "[agent][ledger]") {
  Ledger Vm = makeLedger();
  Vm.adopt({1}, Whole);
  Vm.adopt({2}, Half);
  REQUIRE(Vm.commit({3}, Half) == Reason::NoFreeSlot);
  Vm.release({1});
  REQUIRE(Vm.commit({3}, Half) == Reason::None);
}
