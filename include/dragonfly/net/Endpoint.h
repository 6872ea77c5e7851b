/// An IP number and a port.
#ifndef DRAGONFLY_NET_ENDPOINT_H
#define DRAGONFLY_NET_ENDPOINT_H

#include <cstdint>
#include <string>
#include <string_view>

namespace dragonfly::net {

/// Where a process listens or is reached.
struct Endpoint {
  std::string Address_;
  std::uint16_t Port_ = 0;

  bool operator==(const Endpoint &) const = default;

  /// Parses "address:port". Throws NetError(BadEndpoint).
  static Endpoint make(std::string_view Text);
  /// Returns whether `make` takes \p Text.
  static bool isValid(std::string_view Text);

  /// Returns "address:port".
  std::string text() const;
};

} // namespace dragonfly::net

#endif // DRAGONFLY_NET_ENDPOINT_H
