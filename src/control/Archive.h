/// Encoding of control's commands and snapshots with cereal.
#ifndef DRAGONFLY_CONTROL_ARCHIVE_H
#define DRAGONFLY_CONTROL_ARCHIVE_H

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/array.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/deque.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>
#include <cereal/types/vector.hpp>

#include <sstream>
#include <string>
#include <string_view>

namespace dragonfly::control {

/// Returns the encoding of \p Values, one after the other.
template <typename... Ts> std::string encodeValues(const Ts &...Values) {
  std::ostringstream Out;
  cereal::PortableBinaryOutputArchive Ar(Out);
  Ar(Values...);
  return std::move(Out).str();
}

/// Reads what `encodeValues` wrote. Throws a std::exception on other bytes.
template <typename... Ts>
void decodeValues(std::string_view Bytes, Ts &...Values) {
  std::istringstream In{std::string(Bytes)};
  cereal::PortableBinaryInputArchive Ar(In);
  Ar(Values...);
}

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_ARCHIVE_H
