/// Failures of sockets and addresses.
#ifndef DRAGONFLY_NET_NETERROR_H
#define DRAGONFLY_NET_NETERROR_H

#include "dragonfly/base/Error.h"

#include <array>
#include <cstdint>

namespace dragonfly::net {

enum class NetFault : std::uint8_t { BadEndpoint, CannotListen };

using NetError = TypedError<NetFault>;

} // namespace dragonfly::net

template <> struct dragonfly::EnumTable<dragonfly::net::NetFault> {
  static constexpr std::array<EnumName<net::NetFault>, 2> Rows{{
      {net::NetFault::BadEndpoint, "bad-endpoint"},
      {net::NetFault::CannotListen, "cannot-listen"},
  }};
};

#endif // DRAGONFLY_NET_NETERROR_H
