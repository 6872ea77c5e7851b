#include "dragonfly/settings/Lists.h"

#include "dragonfly/settings/ReadSettings.h"

#include <catch2/catch.hpp>

#include <string>

using namespace dragonfly;
using namespace dragonfly::settings;

namespace {

const std::string Plans =
    R"({"plans":[{"name":"small","processors":4,"memory_mib":8192,
    "accelerators":0,"concurrent_requests":16,"waiting_requests":64}]})";

struct ListCase {
  std::string Text_;
  std::string Path_;
};

template <typename Parse>
std::vector<JsonFault> faultsOf(Parse Read, const std::string &Text) {
  try {
    Read(Text);
  } catch (const SettingsError &Failure) {
    return Failure.faults();
  }
  return {};
}

} // namespace

TEST_CASE("plans are read", "[settings][lists]") {
  const auto Rows = parsePlans(Plans);
  REQUIRE(Rows.size() == 1);
  CHECK(Rows[0].Limit_.MilliProcessors_ == 4000);
  CHECK(Rows[0].ConcurrentRequests_ == 16);
  CHECK(parsePlans(R"({"plans":[]})").empty());
}

TEST_CASE("faulty purchases name the path", "[settings][lists]") {
  const auto Case = GENERATE(values<ListCase>({
      {R"({"purchases":[{"customer":"a"}]})", "/purchases/0/plan"},
      {R"({"purchases":[{"customer":"","plan":"p"}]})",
       "/purchases/0/customer"},
      {R"({"purchases":[{"customer":"a","plan":"p","x":1}]})",
       "/purchases/0/x"},
      {R"({"purchases":[{"customer":"a","plan":"p"},
                        {"customer":"a","plan":"q"}]})",
       "/purchases/1/customer"},
      {R"({"purchases":[3]})", "/purchases/0"},
      {R"({"purchases":{}})", "/purchases"},
      {R"({"plans":[]})", "/purchases"},
  }));
  const auto Faults = faultsOf(parsePurchases, Case.Text_);
  INFO(Case.Text_);
  REQUIRE_FALSE(Faults.empty());
  CHECK(Faults[0].Path_ == Case.Path_);
}

TEST_CASE("a plan given twice is a fault", "[settings][lists]") {
  const std::string Row =
      R"({"name":"p","processors":1,"memory_mib":1,"accelerators":0,
          "concurrent_requests":1,"waiting_requests":1})";
  const auto Faults =
      faultsOf(parsePlans, R"({"plans":[)" + Row + "," + Row + "]}");
  REQUIRE(Faults.size() == 1);
  CHECK(Faults[0].Path_ == "/plans/1/name");
}

TEST_CASE("a purchase of a plan that does not exist is a fault",
          "[settings][lists]") {
  const auto Rows = parsePlans(Plans);
  CHECK_NOTHROW(checkPurchases({{.Customer_ = "a", .Plan_ = "small"}}, Rows));
  CHECK_THROWS_AS(checkPurchases({{.Customer_ = "a", .Plan_ = "large"}}, Rows),
                  SettingsError);
}
