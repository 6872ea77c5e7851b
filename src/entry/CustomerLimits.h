/// Works out what each customer may use at one of several entries.
#ifndef DRAGONFLY_SRC_ENTRY_CUSTOMERLIMITS_H
#define DRAGONFLY_SRC_ENTRY_CUSTOMERLIMITS_H

#include "dragonfly/decide/Admission.h"
#include "dragonfly/settings/Lists.h"

#include <cstdint>
#include <vector>

namespace dragonfly::entry {

/// Returns this entry's part of \p Total when it is shared by \p Entries; each
/// has at least one of what there is.
std::uint32_t shareOf(std::uint32_t Total, std::uint32_t Entries);

/// Returns one row per customer. The plans of a customer with several add up.
std::vector<decide::CustomerPolicy>
customerLimits(const std::vector<settings::Plan> &Plans,
               const std::vector<settings::Purchase> &Purchases,
               std::uint32_t Entries);

} // namespace dragonfly::entry

#endif // DRAGONFLY_SRC_ENTRY_CUSTOMERLIMITS_H
