#include "dragonfly/base/JsonRecovery.h"

#include <boost/json/parse.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <utility>

namespace dragonfly {
namespace {

namespace json = boost::json;

std::optional<json::value> parseWhole(std::string_view Text) {
  boost::system::error_code Fault;
  json::value Value =
      json::parse(json::string_view(Text.data(), Text.size()), Fault);
  if (Fault)
    return std::nullopt;
  return Value;
}

/// Finds the ends of values by their brackets and quotes alone, without
/// recursion.
class Scanner {
public:
  explicit Scanner(std::string_view Text) : Text_(Text) { skipSpace(); }

  bool isAtEnd() const { return At_ >= Text_.size(); }

  bool consume(char Wanted) {
    if (isAtEnd() || Text_[At_] != Wanted)
      return false;
    ++At_;
    skipSpace();
    return true;
  }

  /// Returns the text of the value that begins here, or nothing where it does
  /// not end.
  std::optional<std::string_view> consumeValue() {
    const std::size_t Begin = At_;
    std::size_t Depth = 0;
    do {
      if (isAtEnd())
        return std::nullopt;
      const char First = Text_[At_];
      if (First == '"') {
        if (!skipString())
          return std::nullopt;
      } else if (First == '[' || First == '{') {
        ++Depth;
        ++At_;
      } else if (Depth > 0 && (First == ']' || First == '}')) {
        --Depth;
        ++At_;
      } else if (Depth > 0) {
        ++At_;
      } else if (!skipToken()) {
        return std::nullopt;
      }
    } while (Depth > 0);
    const std::string_view Value = Text_.substr(Begin, At_ - Begin);
    skipSpace();
    return Value;
  }

private:
  void skipSpace() {
    At_ = std::min(Text_.find_first_not_of(" \t\r\n", At_), Text_.size());
  }

  bool skipString() {
    for (++At_; At_ < Text_.size(); ++At_) {
      if (Text_[At_] == '\\')
        ++At_;
      else if (Text_[At_] == '"')
        return ++At_ <= Text_.size();
    }
    return false;
  }

  /// A number or a name; returns false where there is none.
  bool skipToken() {
    const std::size_t End = Text_.find_first_of(",:[]{}\" \t\r\n", At_);
    const std::size_t Begin =
        std::exchange(At_, End == std::string_view::npos ? Text_.size() : End);
    return At_ > Begin;
  }

  std::string_view Text_;
  std::size_t At_ = 0;
};

/// Reads the elements of an array one by one; nothing where it has no end.
std::optional<json::array> recoverArray(std::string_view Text,
                                        std::size_t &Dropped) {
  json::array Elements;
  Scanner At(Text);
  if (!At.consume('['))
    return std::nullopt;
  if (At.consume(']'))
    return Elements;
  do {
    const auto Element = At.consumeValue();
    if (!Element)
      return std::nullopt;
    if (auto Value = parseWhole(*Element))
      Elements.push_back(std::move(*Value));
    else
      ++Dropped;
  } while (At.consume(','));
  if (!At.consume(']'))
    return std::nullopt;
  return Elements;
}

/// Reads one member; false where the text does not hold one here.
bool recoverMember(Scanner &At, RecoveredObject &Result) {
  const auto Quoted = At.consumeValue();
  if (!Quoted || !At.consume(':'))
    return false;
  const auto Text = At.consumeValue();
  if (!Text)
    return false;
  const auto Name = parseWhole(*Quoted);
  if (!Name || !Name->is_string()) {
    ++Result.Dropped_;
    return true;
  }
  if (auto Value = parseWhole(*Text))
    Result.Object_[Name->get_string()] = std::move(*Value);
  else if (auto Rows = recoverArray(*Text, Result.Dropped_))
    Result.Object_[Name->get_string()] = std::move(*Rows);
  else
    ++Result.Dropped_;
  return true;
}

} // namespace

std::optional<RecoveredObject> parseRecoverable(std::string_view Text) {
  RecoveredObject Result;
  if (auto Value = parseWhole(Text)) {
    if (!Value->is_object())
      return std::nullopt;
    Result.Object_ = std::move(Value->get_object());
    return Result;
  }
  Scanner At(Text);
  if (!At.consume('{'))
    return std::nullopt;
  if (!At.consume('}')) {
    do {
      if (!recoverMember(At, Result))
        return std::nullopt;
    } while (At.consume(','));
    if (!At.consume('}'))
      return std::nullopt;
  }
  if (!At.isAtEnd())
    return std::nullopt;
  return Result;
}

} // namespace dragonfly
