#include "dragonfly/base/Log.h"

#include "base/LogSink.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <spdlog/sinks/base_sink.h>
#include <spdlog/spdlog.h>

#include <array>
#include <memory>
#include <mutex>
#include <utility>

namespace dragonfly {
namespace {

struct LogState {
  LogOptions Options_;
  std::shared_ptr<spdlog::logger> Logger_;
};

LogState &state() {
  static LogState State;
  return State;
}

class HookSink : public spdlog::sinks::base_sink<std::mutex> {
protected:
  void sink_it_(const spdlog::details::log_msg &Message) override {
    state().Options_.Sink_({Message.payload.data(), Message.payload.size()});
  }
  void flush_() override {}
};

constexpr std::array<std::string_view, 4> SeverityNames{"debug", "info",
                                                        "warning", "failure"};

spdlog::level::level_enum toLevel(Severity Value) {
  constexpr std::array Levels{spdlog::level::debug, spdlog::level::info,
                              spdlog::level::warn, spdlog::level::err};
  return Levels[static_cast<std::size_t>(Value)];
}

/// Room for the time in front of a line.
constexpr std::size_t PrefixBytes = 64;
/// Bytes of a field's text that a line carries; callers' text may be longer.
constexpr std::size_t MaxFieldBytes = 1024;
/// The same in a line that would be too long otherwise.
constexpr std::size_t MaxFieldBytesOfLongLine = 64;

/// Returns \p Text, or its beginning and a mark where it is longer than \p Most
/// bytes. No character is cut in two.
std::string cut(std::string Text, std::size_t Most) {
  constexpr unsigned char ContinuationMask = 0xC0;
  constexpr unsigned char Continuation = 0x80;
  if (Text.size() <= Most)
    return Text;
  while (Most > 0 && (static_cast<unsigned char>(Text[Most]) &
                      ContinuationMask) == Continuation)
    --Most;
  Text.resize(Most);
  return Text + "...";
}

std::string formatJson(const EventRow &Row, const std::string &Process,
                       std::initializer_list<LogField> Fields,
                       std::size_t MaxBytes) {
  boost::json::object Line;
  Line["event"] = static_cast<std::uint16_t>(Row.Event_);
  Line["name"] = Row.Name_;
  Line["severity"] = SeverityNames[static_cast<std::size_t>(Row.Severity_)];
  Line["process"] = Process;
  for (const LogField &Field : Fields)
    Line[Field.Key_] = cut(Field.Value_, MaxBytes);
  return boost::json::serialize(Line);
}

std::string formatText(const EventRow &Row, const std::string &Process,
                       std::initializer_list<LogField> Fields,
                       std::size_t MaxBytes) {
  std::string Line = Process + " " +
                     std::to_string(static_cast<std::uint16_t>(Row.Event_)) +
                     " " + std::string(Row.Name_);
  for (const LogField &Field : Fields)
    Line += " " + std::string(Field.Key_) + "=" + cut(Field.Value_, MaxBytes);
  return Line;
}

std::string format(const EventRow &Row, std::initializer_list<LogField> Fields,
                   std::size_t MaxBytes) {
  const LogOptions &Options = state().Options_;
  return Options.Format_ == LogFormat::Json
             ? formatJson(Row, Options.Process_, Fields, MaxBytes)
             : formatText(Row, Options.Process_, Fields, MaxBytes);
}

/// The line itself, as the sink writes it past the logger.
std::string dropNotice(std::uint64_t Count) {
  return format(eventRow(Event::LogLinesDropped), {{"lines", Count}},
                MaxFieldBytes);
}

} // namespace

void configureLog(LogOptions Options) {
  LogState &State = state();
  State.Options_ = std::move(Options);
  if (State.Options_.Sink_) {
    State.Logger_ = std::make_shared<spdlog::logger>(
        "dragonfly", std::make_shared<HookSink>());
  } else {
    State.Logger_ = std::make_shared<spdlog::logger>(
        "dragonfly", std::make_shared<LogSink>(
                         LogSinkOptions{.DropNotice_ = [](std::uint64_t Count) {
                           return dropNotice(Count);
                         }}));
  }
  const bool Json = State.Options_.Format_ == LogFormat::Json;
  State.Logger_->set_pattern(Json ? R"({"time":"%Y-%m-%dT%H:%M:%S.%e%z",%v)"
                                  : "%Y-%m-%dT%H:%M:%S.%e%z %l %v");
  State.Logger_->set_level(toLevel(State.Options_.Least_));
}

void logEvent(Event Value, std::initializer_list<LogField> Fields) {
  LogState &State = state();
  const EventRow &Row = eventRow(Value);
  if (!State.Logger_ || !State.Logger_->should_log(toLevel(Row.Severity_)))
    return;
  std::string Line = format(Row, Fields, MaxFieldBytes);
  if (Line.size() + PrefixBytes > LogSink::MaxLineBytes)
    Line = format(Row, Fields, MaxFieldBytesOfLongLine);
  // The pattern opens a JSON line with the time; a hook gets the line without.
  const bool Opened =
      State.Options_.Format_ == LogFormat::Json && !State.Options_.Sink_;
  State.Logger_->log(toLevel(Row.Severity_),
                     std::string_view(Line).substr(Opened ? 1 : 0));
}

} // namespace dragonfly
