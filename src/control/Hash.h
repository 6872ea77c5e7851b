/// A hash that is the same on every replica and in every build.
#ifndef DRAGONFLY_SRC_CONTROL_HASH_H
#define DRAGONFLY_SRC_CONTROL_HASH_H

#include <cstdint>
#include <numeric>
#include <string_view>

namespace dragonfly::control {

/// Returns the 64-bit FNV-1a hash of \p Bytes.
inline std::uint64_t stableHash(std::string_view Bytes) {
  constexpr std::uint64_t OffsetBasis = 14695981039346656037U;
  constexpr std::uint64_t Prime = 1099511628211U;
  return std::accumulate(Bytes.begin(), Bytes.end(), OffsetBasis,
                         [](std::uint64_t Hash, char Byte) {
                           return (Hash ^ static_cast<unsigned char>(Byte)) *
                                  Prime;
                         });
}

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_HASH_H
