/// Each field of a job: missing, of another type, out of range.
#include "base/FieldMutations.h"
#include "platform/CallerMessages.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

namespace dragonfly::platform {
namespace {

/// All fields of a job and its steps that callers may send.
const std::string Whole =
    R"({"Spec":"text","RepeatCount":0,"FirstMs":0,"IntervalMs":0,)"
    R"("Steps":[{"Count":4,"Cpu":500,"MemMb":256,"Gpu":1,"EstimateMs":900,)"
    R"("DataRack":"r1-3","Requires":"a","Image":"i","TargetMs":20,)"
    R"("AntiAffinity":2,"MayMiss":1,"Fills":true,"Speculative":true,)"
    R"("LongRunning":true,"Gang":false,"RackLocal":false,)"
    R"("Checkpointing":true},{"Count":1,"DependsOn":[0]}]})";

bool isTaken(const std::string &Body) {
  try {
    parseJob(Body);
    return true;
  } catch (const BodyError &) {
    return false;
  }
}

} // namespace

// Guards against a job that runs otherwise than its caller meant: `FirstMs` and
// `IntervalMs` were not looked at.
TEST_CASE("a job is refused for a field of another type or a negative number",
          "[platform][job]") {
  REQUIRE(isTaken(Whole));
  CHECK(findUnchecked(Whole, isTaken) == std::vector<std::string>{});
}

// "Fields whose value is 0, false or empty are omitted."
TEST_CASE("a job may lack all fields that may be 0, false or empty",
          "[platform][job]") {
  const std::set<std::string> Optional{
      "Spec",         "RepeatCount", "FirstMs",   "IntervalMs",
      "Cpu",          "MemMb",       "Gpu",       "EstimateMs",
      "DataRack",     "Requires",    "Image",     "TargetMs",
      "AntiAffinity", "MayMiss",     "Fills",     "Speculative",
      "LongRunning",  "Gang",        "RackLocal", "Checkpointing",
      "DependsOn"};
  CHECK(findOptional(Whole, isTaken) == Optional);
}

TEST_CASE("a job is refused for a number that is too large",
          "[platform][job]") {
  for (const std::string Name :
       {"Count", "Cpu", "MemMb", "Gpu", "EstimateMs", "TargetMs",
        "AntiAffinity", "MayMiss", "RepeatCount", "FirstMs", "IntervalMs"}) {
    INFO(Name);
    const bool OfStep = Whole.find("\"" + Name) > Whole.find("Steps");
    const std::string Pointer = (OfStep ? "/Steps/0/" : "/") + Name;
    CHECK_FALSE(isTaken(replaceField(Whole, Pointer, 1e300)));
    CHECK_FALSE(isTaken(replaceField(Whole, Pointer, 1ULL << 60U)));
  }
  CHECK_FALSE(isTaken(replaceField(Whole, "/Steps/1/DependsOn/0", 1)));
}

} // namespace dragonfly::platform
