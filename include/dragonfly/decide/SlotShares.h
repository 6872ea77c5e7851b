/// Divides the upstreams' slots among the entries, so that entries which know
/// nothing of each other's requests do not meet at a full upstream.
#ifndef DRAGONFLY_DECIDE_SLOTSHARES_H
#define DRAGONFLY_DECIDE_SLOTSHARES_H

#include "dragonfly/decide/Router.h"

#include <cstdint>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace dragonfly::decide {

/// A live entry.
struct EntryRow {
  std::string Name_;
  std::string AvailabilityZone_;
};

/// Returns how many slots of each upstream belong to the entry called \p Own,
/// in the order of \p Upstreams. All entries get as many slots in total, as
/// nearly as whole slots allow, first from their own zone. The shares of
/// different entries never overlap where all see the same two tables, in any
/// order. An entry that is not in the table gets nothing.
std::vector<std::uint32_t> slotShares(std::span<const EntryRow> Entries,
                                      std::string_view Own,
                                      std::span<const UpstreamRow> Upstreams);

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_SLOTSHARES_H
