#include "dragonfly/settings/Lists.h"

#include "settings/Describe.h"
#include "settings/JsonFields.h"

#include <algorithm>
#include <iterator>
#include <set>

namespace dragonfly::settings {
namespace {

constexpr std::int64_t MaxRows = 100'000;
constexpr std::int64_t MaxRequests = 1'000'000;
constexpr Range AnyRows{.Least_ = 0, .Most_ = MaxRows};
constexpr Range AnyRequests{.Least_ = 0, .Most_ = MaxRequests};

void describePlan(Fields &Visitor, Plan &Value) {
  Visitor.text("name", Value.Name_, Presence::Required, TextRule::NonEmpty);
  describeResources(Visitor, Value.Limit_);
  describeInteger(Visitor, "concurrent_requests", Value.ConcurrentRequests_,
                  Presence::Required, AnyRequests);
  describeInteger(Visitor, "waiting_requests", Value.WaitingRequests_,
                  Presence::Required, AnyRequests);
}

void describePurchase(Fields &Visitor, Purchase &Value) {
  Visitor.text("customer", Value.Customer_, Presence::Required,
               TextRule::NonEmpty);
  Visitor.text("plan", Value.Plan_, Presence::Required, TextRule::NonEmpty);
}

std::string rowPath(std::string_view ListKey, std::size_t Index) {
  return "/" + std::string(ListKey) + "/" + std::to_string(Index);
}

/// Returns a fault for each row whose key stands further up as well.
template <typename Row, typename KeyOf>
std::vector<JsonFault> findRepeats(const std::vector<Row> &Rows,
                                   std::string_view ListKey, KeyOf Key,
                                   const std::string &KeyName) {
  std::set<std::string_view> Seen;
  std::vector<JsonFault> Faults;
  for (std::size_t Index = 0; Index < Rows.size(); ++Index) {
    const std::string_view Name = Key(Rows[Index]);
    if (!Seen.insert(Name).second)
      Faults.push_back({rowPath(ListKey, Index).append(KeyName),
                        "a name that stands once", std::string(Name)});
  }
  return Faults;
}

template <typename Row, typename DescribeOne, typename KeyOf>
std::vector<Row> parseList(std::string_view Text, std::string_view ListKey,
                           DescribeOne One, KeyOf Key,
                           const std::string &KeyName) {
  std::vector<Row> Rows;
  std::vector<JsonFault> Faults;
  if (const auto Object = parseObject(Text, "", Faults))
    readObject(*Object, "", Faults, [&](Fields &Visitor) {
      describeRows(Visitor, ListKey, Rows, AnyRows, One);
    });
  if (Faults.empty())
    Faults = findRepeats(Rows, ListKey, Key, KeyName);
  if (!Faults.empty())
    throw SettingsError(std::move(Faults));
  return Rows;
}

} // namespace

std::vector<Plan> parsePlans(std::string_view Text) {
  return parseList<Plan>(
      Text, enumName(ListName::Plans), describePlan,
      [](const Plan &Row) -> std::string_view { return Row.Name_; }, "/name");
}

std::vector<Purchase> parsePurchases(std::string_view Text) {
  return parseList<Purchase>(
      Text, enumName(ListName::Purchases), describePurchase,
      [](const Purchase &Row) -> std::string_view { return Row.Customer_; },
      "/customer");
}

void checkPurchases(const std::vector<Purchase> &Purchases,
                    const std::vector<Plan> &Plans) {
  std::vector<std::string_view> Names;
  std::ranges::transform(
      Plans, std::back_inserter(Names),
      [](const Plan &Row) -> std::string_view { return Row.Name_; });
  std::ranges::sort(Names);
  std::vector<JsonFault> Faults;
  for (std::size_t Index = 0; Index < Purchases.size(); ++Index)
    if (!std::ranges::binary_search(Names,
                                    std::string_view(Purchases[Index].Plan_)))
      Faults.push_back({rowPath("purchases", Index).append("/plan"),
                        "a plan that the list of plans holds",
                        Purchases[Index].Plan_});
  if (!Faults.empty())
    throw SettingsError(std::move(Faults));
}

} // namespace dragonfly::settings
