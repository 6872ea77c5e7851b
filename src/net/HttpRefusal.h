/// The answers with which an HTTP server refuses requests.
#ifndef DRAGONFLY_SRC_NET_HTTPREFUSAL_H
#define DRAGONFLY_SRC_NET_HTTPREFUSAL_H

#include "dragonfly/net/HttpMessage.h"

#include <chrono>
#include <cstdint>
#include <string_view>

namespace dragonfly::net {

/// Returns an answer that says why a request is not run.
HttpResponse makeRefusal(std::uint16_t Status, std::string_view Type);
/// Returns a refusal with 503 and the time after which to come again.
HttpResponse makeUnavailable(std::string_view Type,
                             std::chrono::seconds RetryAfter);

/// Returns the refusal of a request that does not fit in the memory budget.
HttpResponse makeMemoryRefusal();

} // namespace dragonfly::net

#endif // DRAGONFLY_SRC_NET_HTTPREFUSAL_H
