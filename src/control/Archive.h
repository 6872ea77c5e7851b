/// Encoding of control's commands and snapshots, on top of the shared archives.
#ifndef DRAGONFLY_SRC_CONTROL_ARCHIVE_H
#define DRAGONFLY_SRC_CONTROL_ARCHIVE_H

#include "base/Archive.h"

#include <cereal/types/array.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/utility.hpp>
#include <cereal/types/variant.hpp>

#include <deque>
#include <string>
#include <string_view>

namespace dragonfly {

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(OutputArchive &Ar,
                                    cereal::SizeTag<T> &Value) {
  Ar(Value.size);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(InputArchive &Ar,
                                    cereal::SizeTag<T> &Value) {
  Ar(Value.size);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(OutputArchive &Ar,
                                    cereal::NameValuePair<T> &Pair) {
  Ar(Pair.value);
}

template <typename T>
void CEREAL_SERIALIZE_FUNCTION_NAME(InputArchive &Ar,
                                    cereal::NameValuePair<T> &Pair) {
  Ar(Pair.value);
}

template <typename T>
void CEREAL_SAVE_FUNCTION_NAME(OutputArchive &Ar, const std::deque<T> &Rows) {
  Ar.number(Rows.size());
  for (const T &Row : Rows)
    Ar(Row);
}

template <typename T>
void CEREAL_LOAD_FUNCTION_NAME(InputArchive &Ar, std::deque<T> &Rows) {
  Rows.clear();
  for (std::uint64_t Left = Ar.number(); Left > 0; --Left)
    Ar(Rows.emplace_back());
}

} // namespace dragonfly

namespace dragonfly::control {

/// Returns the encoding of \p Values, one after the other.
template <typename... Ts> std::string encodeValues(const Ts &...Values) {
  std::string Bytes;
  OutputArchive Ar(Bytes);
  Ar(Values...);
  return Bytes;
}

/// Reads what `encodeValues` wrote. Throws a std::exception on other bytes.
template <typename... Ts>
void decodeValues(std::string_view Bytes, Ts &...Values) {
  InputArchive Ar(Bytes);
  Ar(Values...);
}

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_ARCHIVE_H
