/// Structured logging of numbered events.
#ifndef DRAGONFLY_BASE_LOG_H
#define DRAGONFLY_BASE_LOG_H

#include "dragonfly/base/Event.h"

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <string>
#include <string_view>

namespace dragonfly {

/// One named value that belongs to a logged event.
struct LogField {
  LogField(std::string_view Key, std::string_view Value)
      : Key_(Key), Value_(Value) {}
  LogField(std::string_view Key, const char *Value)
      : Key_(Key), Value_(Value) {}
  LogField(std::string_view Key, std::uint64_t Value)
      : Key_(Key), Value_(std::to_string(Value)) {}

  std::string_view Key_;
  std::string Value_;
};

/// How lines are written to standard output.
enum class LogFormat : std::uint8_t { Text, Json };

/// Options of the process-wide log.
struct LogOptions {
  LogFormat Format_ = LogFormat::Json;
  Severity Least_ = Severity::Info;
  /// Name of this process, written on each line.
  std::string Process_;
  /// Called with each line in place of standard output, where set.
  std::function<void(std::string_view)> Sink_;
};

/// Sets up the log of this process; may be called again.
void configureLog(LogOptions Options);

/// Logs \p Value with its fields, unless it is below the least severity. Never
/// waits: a line that standard output does not take at once is dropped, and the
/// next one that it takes is preceded by a count of those.
void logEvent(Event Value, std::initializer_list<LogField> Fields = {});

} // namespace dragonfly

#endif // DRAGONFLY_BASE_LOG_H
