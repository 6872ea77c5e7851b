/// Reads what can be read of a JSON object in which single values cannot: too
/// deeply nested, with a number out of range, or with bytes that are no text.
#ifndef DRAGONFLY_BASE_JSONRECOVERY_H
#define DRAGONFLY_BASE_JSONRECOVERY_H

#include <boost/json/object.hpp>

#include <cstddef>
#include <optional>
#include <string_view>

namespace dragonfly {

struct RecoveredObject {
  boost::json::object Object_;
  /// Array elements and members that were left out.
  std::size_t Dropped_ = 0;
};

/// Parses \p Text. Where that fails, leaves out each member that cannot be
/// parsed, or, if it is an array, each of its elements that cannot be. Returns
/// nothing unless the brackets and strings of \p Text form one object.
std::optional<RecoveredObject> parseRecoverable(std::string_view Text);

} // namespace dragonfly

#endif // DRAGONFLY_BASE_JSONRECOVERY_H
