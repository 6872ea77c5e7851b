/// Sizes of values as the allocator gives memory out.
#ifndef DRAGONFLY_BASE_HELDBYTES_H
#define DRAGONFLY_BASE_HELDBYTES_H

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

namespace dragonfly {

/// Returns the memory that the system's allocator takes for \p Bytes bytes.
constexpr std::size_t allocatedBytes(std::size_t Bytes) {
  constexpr std::size_t Least = 32;
  constexpr std::size_t Unit = 16;
  constexpr std::size_t Header = 8;
  return Bytes == 0
             ? 0
             : std::max(Least, (Bytes + Header + Unit - 1) / Unit * Unit);
}

/// Returns the memory of a node of a map or set whose value has \p Bytes bytes.
constexpr std::size_t nodeBytes(std::size_t Bytes) {
  constexpr std::size_t Links = 4 * sizeof(void *);
  return allocatedBytes(Bytes + Links);
}

/// Returns the memory that a text holds beside the string itself.
inline std::size_t heldBytes(const std::string &Text) {
  static const std::size_t InPlace = std::string().capacity();
  return Text.capacity() > InPlace ? allocatedBytes(Text.capacity() + 1) : 0;
}

/// Returns the memory of the rows themselves, without what they point to.
template <typename T> std::size_t heldBytes(const std::vector<T> &Rows) {
  return allocatedBytes(Rows.capacity() * sizeof(T));
}

} // namespace dragonfly

#endif // DRAGONFLY_BASE_HELDBYTES_H
