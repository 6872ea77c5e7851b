#include "dragonfly/base/JsonRecovery.h"

#include <boost/json/serialize.hpp>
#include <catch2/catch.hpp>

#include <string>

namespace dragonfly {
namespace {

std::string deep(std::size_t Levels) {
  return std::string(Levels, '[') + std::string(Levels, ']');
}

/// What is read of \p Text, and how much is left out.
std::string read(const std::string &Text, std::size_t Dropped) {
  const auto Found = parseRecoverable(Text);
  REQUIRE(Found);
  CHECK(Found->Dropped_ == Dropped);
  return boost::json::serialize(Found->Object_);
}

} // namespace

// Guards against LOST: one entry of a list that could not be parsed hid the
// whole list.
TEST_CASE("only what cannot be parsed is left out of an object",
          "[base][json]") {
  CHECK(read(R"({"a":[1,2]})", 0) == R"({"a":[1,2]})");
  CHECK(read(R"({"a":[1,)" + deep(10000) + R"(,2]})", 1) == R"({"a":[1,2]})");
  CHECK(read(R"({"a":[)" + deep(1000000) + R"(],"b":3})", 1) ==
        R"({"a":[],"b":3})");
  CHECK(read(R"({"a":[1,1e9999999999,2]})", 1) == R"({"a":[1,2]})");
  CHECK(read(R"({"a":[nonsense, "x"], "b" : 3 })", 1) ==
        R"({"a":["x"],"b":3})");
  CHECK(read("{\"a\":[\"\xff\",\"x\"]}", 1) == R"({"a":["x"]})");
  CHECK(read(R"({"a":["]\\\"}",nul,"x"]})", 1) == R"({"a":["]\\\"}","x"]})");
  CHECK(read(R"({"a":1e9999999999,"b":3})", 1) == R"({"b":3})");
  CHECK(read(R"({"a":{"c":)" + deep(50) + R"(},"b":3})", 1) == R"({"b":3})");
}

TEST_CASE("text that forms no object is not recovered", "[base][json]") {
  const std::string Whole = R"({"a":["x\\"y",[1,-]],"b":{"c":1e9999999999}})";
  for (std::size_t Length = 0; Length < Whole.size(); ++Length)
    CHECK_FALSE(parseRecoverable(Whole.substr(0, Length)));
  for (const char *Text :
       {"", "[]", "7", "{,}", "{\"a\"}", "{\"a\":}", "{\"a\":1e9999999999 2}",
        "{\"a\":nul]}", "{]}", "{\"a\":nul} x"}) {
    INFO(Text);
    CHECK_FALSE(parseRecoverable(Text));
  }
  CHECK_FALSE(parseRecoverable(deep(1000000)));
  CHECK_FALSE(parseRecoverable(std::string(1000000, '[')));
  CHECK_FALSE(parseRecoverable("{\"a\":" + std::string(1000000, '{')));
}

} // namespace dragonfly
