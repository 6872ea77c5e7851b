/// One description of an object's fields serves reading, checking and printing:
/// `describe` functions name each field once and a visitor does the rest.
#ifndef DRAGONFLY_SRC_SETTINGS_FIELDS_H
#define DRAGONFLY_SRC_SETTINGS_FIELDS_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/EnumTable.h"

#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonfly::settings {

/// Whether a key may be left out, so that its default stands.
enum class Presence : std::uint8_t { Required, Optional };

/// What a text must look like.
enum class TextRule : std::uint8_t {
  NonEmpty,
  Any,
  Address ///< "address:port" with an IP number.
};

/// Inclusive bounds of an integer.
struct Range {
  std::int64_t Least_ = 0;
  std::int64_t Most_ = std::numeric_limits<std::int64_t>::max();
};

/// Visits the fields of one JSON object.
class Fields {
public:
  /// Describes the fields of one object.
  using Describe = std::function<void(Fields &)>;
  /// Describes row \p Index of a list.
  using DescribeRow = std::function<void(Fields &, std::size_t Index)>;

  virtual ~Fields() = default;

  virtual void text(std::string_view Key, std::string &Value, Presence Need,
                    TextRule Rule) = 0;
  virtual void integer(std::string_view Key, std::int64_t &Value, Presence Need,
                       Range Bounds) = 0;
  /// A number with up to three decimals, held in thousandths.
  virtual void thousandths(std::string_view Key, std::int64_t &Value,
                           Presence Need, Range Bounds) = 0;
  virtual void flag(std::string_view Key, bool &Value) = 0;
  virtual void object(std::string_view Key, Presence Need,
                      const Describe &Inner) = 0;
  /// \p Count is the present number of rows; \p Resize is called before the
  /// rows are described.
  virtual void rows(std::string_view Key, std::size_t Count, Range Bounds,
                    const std::function<void(std::size_t)> &Resize,
                    const DescribeRow &Row) = 0;
  /// One of \p Names, by position.
  virtual void choice(std::string_view Key, std::size_t &Position,
                      Presence Need,
                      const std::vector<std::string_view> &Names) = 0;
  /// Reports a fault of the field \p Key that no single rule covers.
  virtual void fault(std::string_view Key, std::string Expected,
                     std::string Found) = 0;
};

/// A count of any integer type.
template <typename Integer>
void describeInteger(Fields &Visitor, std::string_view Key, Integer &Value,
                     Presence Need, Range Bounds) {
  auto Wide = static_cast<std::int64_t>(Value);
  Visitor.integer(Key, Wide, Need, Bounds);
  Value = static_cast<Integer>(Wide);
}

/// A duration in whole milliseconds; keys end in "_ms".
inline void describeMilliseconds(Fields &Visitor, std::string_view Key,
                                 Duration &Value, Range Bounds) {
  auto Count =
      std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
  Visitor.integer(Key, Count, Presence::Optional, Bounds);
  Value = std::chrono::milliseconds(Count);
}

/// A value of an enumeration with a table of names.
template <typename E>
void describeChoice(Fields &Visitor, std::string_view Key, E &Value,
                    Presence Need) {
  std::vector<std::string_view> Names;
  std::size_t Position = 0;
  for (const auto &Row : EnumTable<E>::Rows) {
    if (Row.Value_ == Value)
      Position = Names.size();
    Names.push_back(Row.Name_);
  }
  Visitor.choice(Key, Position, Need, Names);
  Value = EnumTable<E>::Rows[Position].Value_;
}

/// A list of objects, each described by \p DescribeOne(Visitor, Row).
template <typename Row, typename DescribeOne>
void describeRows(Fields &Visitor, std::string_view Key, std::vector<Row> &Rows,
                  Range Bounds, DescribeOne One) {
  Visitor.rows(
      Key, Rows.size(), Bounds,
      [&Rows](std::size_t Size) { Rows.resize(Size); },
      [&Rows, &One](Fields &Inner, std::size_t Index) {
        One(Inner, Rows[Index]);
      });
}

} // namespace dragonfly::settings

#endif // DRAGONFLY_SRC_SETTINGS_FIELDS_H
