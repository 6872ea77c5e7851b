/// Encoding of control's commands and snapshots, based on the shared archives.
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
  for (std::uint64_t Remaining = Ar.number(); Remaining > 0; --Remaining)
    Ar(Rows.emplace_back());
}

} // namespace dragonfly

namespace dragonfly::control {

/// Returns the concatenated encodings of \p Values.
template <typename... Ts> std::string encodeValues(const Ts &...Values) {
  std::string Bytes;
  OutputArchive Ar(Bytes);
  Ar(Values...);
  return Bytes;
}

/// Decodes \p Values from bytes that `encodeValues` returned. Throws a
/// std::exception if \p Bytes are truncated or malformed.
template <typename... Ts>
void decodeValues(std::string_view Bytes, Ts &...Values) {
  InputArchive Ar(Bytes);
  Ar(Values...);
}

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_ARCHIVE_H
