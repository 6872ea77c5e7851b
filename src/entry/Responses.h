/// Bodies of the responses that an entry gives.
#ifndef DRAGONFLY_SRC_ENTRY_RESPONSES_H
#define DRAGONFLY_SRC_ENTRY_RESPONSES_H

#include "dragonfly/base/Outcome.h"
#include "dragonfly/entry/Answer.h"
#include "dragonfly/net/HttpMessage.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonfly::entry {

/// Returns a problem+json response of \p Type.
net::HttpResponse problem(std::uint16_t Status, std::string_view Type,
                          Outcome Value);

} // namespace dragonfly::entry

#endif // DRAGONFLY_SRC_ENTRY_RESPONSES_H
