/// Visitors that read a JSON object into fields, with every fault, and print
/// fields as a JSON object.
#ifndef DRAGONFLY_SRC_SETTINGS_JSONFIELDS_H
#define DRAGONFLY_SRC_SETTINGS_JSONFIELDS_H

#include "dragonfly/settings/ReadSettings.h"
#include "settings/Fields.h"

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>

#include <optional>
#include <set>

namespace dragonfly::settings {

/// Reads fields from an object and collects faults; a faulty field keeps its
/// default. `finish()` reports the keys that no field asked for.
class FieldReader : public Fields {
public:
  /// \p Faults outlives the reader.
  FieldReader(const boost::json::object &Object, std::string Path,
              std::vector<JsonFault> &Faults);

  void text(std::string_view Key, std::string &Value, Presence Need,
            TextRule Rule) override;
  void integer(std::string_view Key, std::int64_t &Value, Presence Need,
               Range Bounds) override;
  void thousandths(std::string_view Key, std::int64_t &Value, Presence Need,
                   Range Bounds) override;
  void flag(std::string_view Key, bool &Value) override;
  void object(std::string_view Key, Presence Need,
              const Describe &Inner) override;
  void rows(std::string_view Key, std::size_t Count, Range Bounds,
            const std::function<void(std::size_t)> &Resize,
            const DescribeRow &Row) override;
  void choice(std::string_view Key, std::size_t &Position, Presence Need,
              const std::vector<std::string_view> &Names) override;
  void fault(std::string_view Key, std::string Expected,
             std::string Found) override;

  void finish();

private:
  const boost::json::value *find(std::string_view Key, Presence Need,
                                 std::string_view Expected);

  const boost::json::object &Object_;
  std::string Path_;
  std::vector<JsonFault> &Faults_;
  std::set<std::string, std::less<>> Asked_;
};

/// Prints fields, defaults included, as an object.
class FieldWriter : public Fields {
public:
  void text(std::string_view Key, std::string &Value, Presence Need,
            TextRule Rule) override;
  void integer(std::string_view Key, std::int64_t &Value, Presence Need,
               Range Bounds) override;
  void thousandths(std::string_view Key, std::int64_t &Value, Presence Need,
                   Range Bounds) override;
  void flag(std::string_view Key, bool &Value) override;
  void object(std::string_view Key, Presence Need,
              const Describe &Inner) override;
  void rows(std::string_view Key, std::size_t Count, Range Bounds,
            const std::function<void(std::size_t)> &Resize,
            const DescribeRow &Row) override;
  void choice(std::string_view Key, std::size_t &Position, Presence Need,
              const std::vector<std::string_view> &Names) override;
  void fault(std::string_view, std::string, std::string) override {}

  boost::json::object take() { return std::move(Object_); }

private:
  boost::json::object Object_;
};

/// Parses \p Text as one JSON object. Where it is none, adds a fault at
/// \p Path and returns nothing.
std::optional<boost::json::object> parseObject(std::string_view Text,
                                               const std::string &Path,
                                               std::vector<JsonFault> &Faults);

/// Reads \p Object with \p Describe, unknown keys included in the faults.
void readObject(const boost::json::object &Object, const std::string &Path,
                std::vector<JsonFault> &Faults,
                const Fields::Describe &Describe);

/// Returns the object that \p Describe names as text, one field a line.
std::string printObject(const Fields::Describe &Describe);

/// Returns \p Value as a fault shows it, cut to a bounded length.
std::string showValue(const boost::json::value &Value);

} // namespace dragonfly::settings

#endif // DRAGONFLY_SRC_SETTINGS_JSONFIELDS_H
