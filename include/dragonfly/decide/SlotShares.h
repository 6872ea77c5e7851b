/// Divides the upstreams' slots among the entries, so that entries that don't
/// know each other's requests don't overload an upstream together.
#ifndef DRAGONFLY_DECIDE_SLOTSHARES_H
#define DRAGONFLY_DECIDE_SLOTSHARES_H

#include "dragonfly/decide/Router.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonfly::decide {

/// One live entry.
struct EntryRow {
  std::string Name_;
  std::string AvailabilityZone_;
};

/// Returns the number of slots of each upstream that are assigned to the entry
/// named \p OwnName, in the order of \p Upstreams. All entries get the same
/// total to within one slot, where possible from upstreams in their own zones.
/// Entries that see the same two tables, in any order, get shares that don't
/// overlap. An entry that isn't in the table gets no slots.
std::vector<std::uint32_t> slotShares(std::span<const EntryRow> Entries,
                                      std::string_view OwnName,
                                      std::span<const UpstreamRow> Upstreams);

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_SLOTSHARES_H
