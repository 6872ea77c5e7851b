/// Names for the values of an enumeration, held in one table per type.
#ifndef DRAGONFLY_BASE_ENUMTABLE_H
#define DRAGONFLY_BASE_ENUMTABLE_H

#include <algorithm>
#include <optional>
#include <string_view>

namespace dragonfly {

/// One row of an enumeration's table of names.
template <typename E> struct EnumName {
  E Value_;
  std::string_view Name_;
};

/// Specialised per enumeration with a constexpr array `Rows` of EnumName.
template <typename E> struct EnumTable;

/// Returns the name of \p Value, or "unlisted" where the table lacks it.
template <typename E> constexpr std::string_view enumName(E Value) {
  for (const auto &Row : EnumTable<E>::Rows)
    if (Row.Value_ == Value)
      return Row.Name_;
  return "unlisted";
}

/// Returns the value called \p Name, if there is one.
template <typename E>
constexpr std::optional<E> enumFromName(std::string_view Name) {
  for (const auto &Row : EnumTable<E>::Rows)
    if (Row.Name_ == Name)
      return Row.Value_;
  return std::nullopt;
}

} // namespace dragonfly

#endif // DRAGONFLY_BASE_ENUMTABLE_H
