/// A hash that is the same in every process and every build.
#ifndef DRAGONFLY_BASE_HASH_H
#define DRAGONFLY_BASE_HASH_H

#include <cstdint>
#include <initializer_list>
#include <string_view>

namespace dragonfly {

/// Returns the CRC-64 of \p Parts, told apart by a zero byte after each. It
/// notices differences; it is no protection against someone who seeks equals.
std::uint64_t stableHash(std::initializer_list<std::string_view> Parts);

} // namespace dragonfly

#endif // DRAGONFLY_BASE_HASH_H
