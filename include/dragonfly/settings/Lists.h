/// The two lists that operators edit.
#ifndef DRAGONFLY_SETTINGS_LISTS_H
#define DRAGONFLY_SETTINGS_LISTS_H

#include "dragonfly/base/EnumTable.h"
#include "dragonfly/base/Resources.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace dragonfly::settings {

/// The lists, by the name that operators use.
enum class ListName : std::uint8_t { Plans, Purchases };

/// What one plan may use.
struct Plan {
  std::string Name_;
  /// What the customer's tasks may hold together.
  Resources Limit_;
  /// Requests in progress at once, over all entries.
  std::uint32_t ConcurrentRequests_ = 0;
  /// Requests that may wait at once, over all entries.
  std::uint32_t WaitingRequests_ = 0;
};

/// One plan that a customer has bought.
struct Purchase {
  std::string Customer_;
  std::string Plan_;
};

/// Parses {"plans":[{"name","processors","memory_mib","accelerators",
/// "concurrent_requests","waiting_requests"}]}. Throws SettingsError with every
/// fault: unknown keys, wrong types or ranges, names given twice.
std::vector<Plan> parsePlans(std::string_view Text);

/// Parses {"purchases":[{"customer","plan"}]}. Throws SettingsError.
std::vector<Purchase> parsePurchases(std::string_view Text);

/// Throws SettingsError where a purchase names a plan that does not exist.
void checkPurchases(const std::vector<Purchase> &Purchases,
                    const std::vector<Plan> &Plans);

} // namespace dragonfly::settings

template <> struct dragonfly::EnumTable<dragonfly::settings::ListName> {
  static constexpr std::array<EnumName<settings::ListName>, 2> Rows{{
      {settings::ListName::Plans, "plans"},
      {settings::ListName::Purchases, "purchases"},
  }};
};

#endif // DRAGONFLY_SETTINGS_LISTS_H
