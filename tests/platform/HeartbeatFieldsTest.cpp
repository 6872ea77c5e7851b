/// Each field of a worker's heartbeat: missing, of another type, out of range.
#include "base/FieldMutations.h"
#include "platform/WorkerMessages.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

namespace dragonfly::platform {
namespace {

/// All that workers send, as their pages and examples show it.
const std::string Whole =
    R"({"Service":"huvo11a","Address":"10.128.0.9:8080","Zone":"th-central-a",)"
    R"("Version":"v1","Slots":8,"State":"draining","ColdRemainingMs":0,)"
    R"("DrainRemainingMs":2000,"Capacity":{"Cpu":16000,"MemMb":32768,)"
    R"("Gpu":0},"Labels":["a","r1-3"],"ClockMs":482113,"Sequence":4,)"
    R"("born":1780554763125})";

bool isTaken(const std::string &Body) {
  try {
    parseHeartbeat("i-1", Body, "10.128.0.9:8080");
    return true;
  } catch (const BodyError &) {
    return false;
  }
}

} // namespace

// Guards against LOST and ROUTE: a heartbeat of another writer, with a text for
// `Slots`, was taken for the worker's own.
TEST_CASE("a heartbeat with a field of another type names no worker",
          "[platform][heartbeat]") {
  REQUIRE(isTaken(Whole));
  CHECK(findUnchecked(Whole, isTaken) == std::vector<std::string>{});
}

// Guards against LOST and ROUTE: a heartbeat of another writer, without
// `Address` and `Version`, was taken for the worker's own.
TEST_CASE("a heartbeat that lacks a field names no worker",
          "[platform][heartbeat]") {
  // Their pages name none of these among what the call includes.
  CHECK(findOptional(Whole, isTaken) ==
        std::set<std::string>{"born", "ClockMs", "DrainRemainingMs"});
}

TEST_CASE("a heartbeat with a value out of range names no worker",
          "[platform][heartbeat]") {
  struct Case {
    std::string Pointer_;
    boost::json::value Value_;
  };
  const std::vector<Case> Cases{
      {"/State", "asleep"},
      {"/State", ""},
      {"/Address", "10.128.0.9"},
      {"/Address", "10.128.0.9:70000"},
      {"/Address", ""},
      {"/Address", "10.128.0.900:80"},
      {"/Service", ""},
      {"/Sequence", 1e300},
      {"/born", 18446744073709551615U},
      {"/Capacity/Cpu", 9007199254740992},
  };
  for (const Case &Each : Cases) {
    INFO(Each.Pointer_ << " = " << Each.Value_);
    CHECK_FALSE(isTaken(replaceField(Whole, Each.Pointer_, Each.Value_)));
  }
}

// Guards against a sound worker that is not believed.
TEST_CASE("odd but valid heartbeats are taken", "[platform][heartbeat]") {
  std::vector<std::string> Bodies{
      replaceField(Whole, "/State", "ready"),
      replaceField(Whole, "/Slots", 0),
      replaceField(Whole, "/Slots", 8.0),
      replaceField(Whole, "/Labels", boost::json::array()),
      replaceField(Whole, "/ColdRemainingMs", 0.5),
      replaceField(Whole, "/Capacity/Cpu", 0),
      replaceField(Whole, "/Capacity/Cpu", 16000.0),
      replaceField(Whole, "/Extra", nullptr),
      replaceField(Whole, "/Capacity/Extra", "a"),
  };
  for (const std::string &Body : Bodies) {
    INFO(Body);
    CHECK(isTaken(Body));
  }
}

} // namespace dragonfly::platform
