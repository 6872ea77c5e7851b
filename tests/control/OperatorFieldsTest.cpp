/// Each field of what operators of the product send to control: missing, of
/// another type, out of range.
#include "base/FieldMutations.h"
#include "control/ServiceCluster.h"
#include "dragonfly/control/ListTable.h"
#include "dragonfly/control/OperatorInterface.h"
#include "dragonfly/settings/Lists.h"

#include <catch2/catch.hpp>

#include <optional>
#include <set>
#include <string>
#include <vector>

using namespace dragonfly;
using namespace dragonfly::control;
using namespace std::chrono_literals;

namespace {

constexpr std::uint16_t BadRequest = 400;

/// The leader of a group, which answers operators.
class Operators {
public:
  Operators()
      : Leader_(Cluster_.leader()), Interface_(Cluster_.node(Leader_)) {}

  /// Returns the status of the answer.
  std::uint16_t send(const std::string &Method, const std::string &Target,
                     const std::string &Body) {
    std::optional<net::HttpResponse> Answer;
    Interface_.handle({.Method_ = Method, .Target_ = Target, .Body_ = Body},
                      [&](net::HttpResponse Response) { Answer = Response; });
    Cluster_.run(100ms);
    return Answer.value().Status_;
  }

private:
  ServiceCluster Cluster_;
  std::size_t Leader_;
  OperatorInterface Interface_;
};

const std::string ListChange =
    R"({"expected_version":1,"change_id":"a","content":{"plans":[]}})";
const std::string NewMember =
    R"({"action":"add","id":4,"address":"127.0.2.4:7000","store":77})";

const std::string Plans =
    R"({"plans":[{"name":"small","processors":4,"memory_mib":8192,)"
    R"("accelerators":0,"concurrent_requests":16,"waiting_requests":64}]})";
const std::string Purchases =
    R"({"purchases":[{"customer":"a","plan":"small"}]})";

bool isValidList(settings::ListName List, const std::string &Content) {
  return validateList(List, Content,
                      List == settings::ListName::Plans ? R"({"purchases":[]})"
                                                        : Plans)
      .empty();
}

bool isValidPlans(const std::string &Content) {
  return isValidList(settings::ListName::Plans, Content);
}

bool isValidPurchases(const std::string &Content) {
  return isValidList(settings::ListName::Purchases, Content);
}

} // namespace

TEST_CASE("a change of a list is refused for each odd field",
          "[control][operators][fields]") {
  Operators At;
  const auto IsRead = [&At](const std::string &Body) {
    return At.send("PUT", "/operator/v1/lists/plans", Body) != BadRequest;
  };
  REQUIRE(IsRead(ListChange));
  // What stands in the content is checked as a list.
  std::vector<std::string> Taken = findUnchecked(ListChange, IsRead);
  std::erase_if(Taken, [](const std::string &Each) {
    return Each.starts_with("/content/");
  });
  CHECK(Taken == std::vector<std::string>{});
  CHECK(findOptional(ListChange, IsRead) == std::set<std::string>{"plans"});
  CHECK_FALSE(IsRead(replaceField(ListChange, "/change_id", "")));
  CHECK_FALSE(IsRead(
      replaceField(ListChange, "/change_id", boost::json::string(129, 'x'))));
  CHECK_FALSE(IsRead(replaceField(ListChange, "/expected_version", 1e300)));
}

// Guards against a learner that nobody can reach: an address that is none, and
// the id 0, which stands for no replica, were acknowledged and recorded.
TEST_CASE("a new member is refused for each odd field",
          "[control][operators][fields]") {
  Operators At;
  const auto IsRead = [&At](const std::string &Body) {
    return At.send("POST", "/operator/v1/members", Body) != BadRequest;
  };
  REQUIRE(IsRead(NewMember));
  // Numbers may be written as text of decimal digits.
  CHECK(findUnchecked(NewMember, IsRead) == std::vector<std::string>{});
  CHECK(findOptional(NewMember, IsRead) == std::set<std::string>{"store"});
  for (const char *Address :
       {"", "127.0.2.4", "127.0.2.4:70000", "127.0.2.400:7000", "nonsense:1"})
    CHECK_FALSE(IsRead(replaceField(NewMember, "/address", Address)));
  CHECK_FALSE(IsRead(replaceField(NewMember, "/id", 0)));
  CHECK_FALSE(IsRead(replaceField(NewMember, "/id", 1e300)));
  CHECK_FALSE(IsRead(replaceField(NewMember, "/action", "grow")));
}

TEST_CASE("a list is refused for each odd field",
          "[control][operators][fields]") {
  REQUIRE(isValidPlans(Plans));
  REQUIRE(isValidPurchases(Purchases));
  CHECK(findUnchecked(Plans, isValidPlans) == std::vector<std::string>{});
  CHECK(findUnchecked(Purchases, isValidPurchases) ==
        std::vector<std::string>{});
  CHECK(findOptional(Purchases, isValidPurchases) == std::set<std::string>{});
  CHECK(findOptional(Plans, isValidPlans) ==
        std::set<std::string>{"accelerators"});
  for (const std::string Field : {"processors", "memory_mib", "accelerators",
                                  "concurrent_requests", "waiting_requests"})
    CHECK_FALSE(isValidPlans(replaceField(Plans, "/plans/0/" + Field, 1e300)));
}
