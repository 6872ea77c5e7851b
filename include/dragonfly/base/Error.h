/// The root of all exceptions that this project throws.
#ifndef DRAGONFLY_BASE_ERROR_H
#define DRAGONFLY_BASE_ERROR_H

#include "dragonfly/base/EnumTable.h"

#include <exception>
#include <string>
#include <string_view>
#include <utility>

namespace dragonfly {

/// Base class of every failure. `type()` is stable and safe to match on;
/// `what()` is for people.
class Error : public std::exception {
public:
  explicit Error(std::string Detail) : Detail_(std::move(Detail)) {}

  /// Returns the stable name of the failure, such as "frame-too-large".
  virtual std::string_view type() const noexcept = 0;

  const char *what() const noexcept override { return Detail_.c_str(); }

private:
  std::string Detail_;
};

/// A failure whose type is a value of \p Code, an enumeration with a table.
template <typename Code> class TypedError : public Error {
public:
  TypedError(Code Value, const std::string &Detail)
      : Error(std::string(enumName(Value)) + ": " + Detail), Code_(Value) {}

  Code code() const noexcept { return Code_; }
  std::string_view type() const noexcept override { return enumName(Code_); }

private:
  Code Code_;
};

} // namespace dragonfly

#endif // DRAGONFLY_BASE_ERROR_H
