#include "entry/CustomerLimits.h"

#include <algorithm>
#include <map>
#include <ranges>
#include <string>

namespace dragonfly::entry {

std::uint32_t shareOf(std::uint32_t Total, std::uint32_t Entries) {
  const std::uint32_t Parts = std::max<std::uint32_t>(Entries, 1);
  return (Total + Parts - 1) / Parts;
}

std::vector<decide::CustomerPolicy>
customerLimits(const std::vector<settings::Plan> &Plans,
               const std::vector<settings::Purchase> &Purchases,
               std::uint32_t Entries) {
  std::map<std::string, decide::CustomerPolicy> Rows;
  for (const settings::Purchase &Bought : Purchases) {
    const auto Plan =
        std::ranges::find(Plans, Bought.Plan_, &settings::Plan::Name_);
    if (Plan == Plans.end())
      continue;
    decide::CustomerPolicy &Row = Rows[Bought.Customer_];
    Row.Name_ = Bought.Customer_;
    Row.MaxConcurrent_ += shareOf(Plan->ConcurrentRequests_, Entries);
    Row.MaxWaiting_ += shareOf(Plan->WaitingRequests_, Entries);
  }
  std::vector<decide::CustomerPolicy> Result;
  std::ranges::copy(Rows | std::views::values, std::back_inserter(Result));
  return Result;
}

} // namespace dragonfly::entry
