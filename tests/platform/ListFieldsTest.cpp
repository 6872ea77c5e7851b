/// Each field of a worker's lists, and of its answers to orders: missing, of
/// another type, out of range.
#include "base/FieldMutations.h"
#include "dragonfly/base/Log.h"
#include "platform/WorkerMessages.h"

#include <catch2/catch.hpp>

#include <set>
#include <string>
#include <vector>

namespace dragonfly::platform {
namespace {

const std::string Whole =
    R"({"ClockMs":482113,"born":1780554763125,)"
    R"("Running":[["5c0e7a21d94b36f8.0.1.17",2,"00000bb87a21d94b",41,120]],)"
    R"("Finished":[[58,"5c0e7a21d94b36f8.0.1.9",1,"done",""]]})";

bool isTaken(const std::string &Body) {
  try {
    parseHoldAnswer(Body);
    return true;
  } catch (const BodyError &) {
    return false;
  }
}

/// Returns whether the answer is taken and its one run and one end are in it.
bool holdsBoth(const std::string &Body) {
  try {
    const agent::HoldAnswer Answer = parseHoldAnswer(Body);
    return Answer.Runs_.size() == 1 && Answer.Ends_.size() == 1;
  } catch (const BodyError &) {
    return false;
  }
}

} // namespace

// Guards against AVAIL and lost work: an answer without `Running` was taken for
// an empty list, and sound runs were stopped as vanished.
TEST_CASE("an answer that lacks a list says nothing about runs",
          "[platform][lists]") {
  configureLog({.Sink_ = [](std::string_view) {}});
  REQUIRE(holdsBoth(Whole));
  CHECK(findOptional(Whole, isTaken) == std::set<std::string>{"born"});
  CHECK(isTaken(R"({"ClockMs":1,"Running":[],"Finished":[]})"));
}

TEST_CASE("lists of another type say nothing about runs", "[platform][lists]") {
  configureLog({.Sink_ = [](std::string_view) {}});
  std::vector<std::string> Taken;
  for (const std::string Pointer :
       {"/ClockMs", "/born", "/Running", "/Finished"}) {
    const auto Value = boost::json::parse(Whole).at_pointer(Pointer);
    std::vector<boost::json::value> Odd = otherTypes(Value);
    if (Value.is_number())
      Odd.insert(Odd.end(), {-1, 1e300});
    for (const boost::json::value &Each : Odd)
      if (isTaken(replaceField(Whole, Pointer, Each)))
        Taken.push_back(Pointer + " = " + boost::json::serialize(Each));
  }
  CHECK(Taken == std::vector<std::string>{});
}

// Guards against a run that is hidden by what only describes it, and against a
// row that counts though the run that it names cannot be read.
TEST_CASE("an odd element leaves out its row, unless it only describes",
          "[platform][lists]") {
  configureLog({.Sink_ = [](std::string_view) {}});
  const std::set<std::string> Describing{"/Running/0/2", "/Running/0/3",
                                         "/Running/0/4", "/Finished/0/4"};
  const boost::json::value Value = boost::json::parse(Whole);
  for (const std::string Pointer :
       {"/Running/0/0", "/Running/0/1", "/Running/0/2", "/Running/0/3",
        "/Running/0/4", "/Finished/0/0", "/Finished/0/1", "/Finished/0/2",
        "/Finished/0/3", "/Finished/0/4"}) {
    const boost::json::value &Element = Value.at_pointer(Pointer);
    std::vector<boost::json::value> Odd = otherTypes(Element);
    if (Element.is_number())
      Odd.insert(Odd.end(), {-1, 1e300});
    for (const boost::json::value &Each : Odd) {
      INFO(Pointer << " = " << Each);
      const std::string Body = replaceField(Whole, Pointer, Each);
      CHECK(isTaken(Body));
      CHECK(holdsBoth(Body) == Describing.contains(Pointer));
    }
  }
}

// An order counts as carried out or refused by its status; only the reason of a
// conflict is read.
TEST_CASE("a conflict without a known reason says that nothing was started",
          "[platform][lists]") {
  configureLog({.Sink_ = [](std::string_view) {}});
  const std::string Conflict = R"({"ClockMs":482113,"Reason":"fence"})";
  using agent::StartStatus;
  REQUIRE(parseStartAnswer(409, Conflict) == StartStatus::Fenced);
  CHECK(parseStartAnswer(409, removeField(Conflict, "/Reason")) ==
        StartStatus::Rejected);
  for (const boost::json::value &Odd :
       otherTypes(boost::json::parse(Conflict).at_pointer("/Reason")))
    CHECK(parseStartAnswer(409, replaceField(Conflict, "/Reason", Odd)) ==
          StartStatus::Rejected);
}

} // namespace dragonfly::platform
