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

std::string formatJson(const EventRow &Row, const std::string &Process,
                       std::initializer_list<LogField> Fields) {
  boost::json::object Line;
  Line["event"] = static_cast<std::uint16_t>(Row.Event_);
  Line["name"] = Row.Name_;
  Line["severity"] = SeverityNames[static_cast<std::size_t>(Row.Severity_)];
  Line["process"] = Process;
  for (const LogField &Field : Fields)
    Line[Field.Key_] = Field.Value_;
  return boost::json::serialize(Line);
}

std::string formatText(const EventRow &Row, const std::string &Process,
                       std::initializer_list<LogField> Fields) {
  std::string Line = Process + " " +
                     std::to_string(static_cast<std::uint16_t>(Row.Event_)) +
                     " " + std::string(Row.Name_);
  for (const LogField &Field : Fields)
    Line += " " + std::string(Field.Key_) + "=" + Field.Value_;
  return Line;
}

/// The line itself, as the sink writes it past the logger.
std::string dropNotice(std::uint64_t Count) {
  const EventRow &Row = eventRow(Event::LogLinesDropped);
  const LogOptions &Options = state().Options_;
  const auto Fields = {LogField("lines", Count)};
  return Options.Format_ == LogFormat::Json
             ? formatJson(Row, Options.Process_, Fields)
             : formatText(Row, Options.Process_, Fields);
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
  const std::string Line =
      State.Options_.Format_ == LogFormat::Json
          ? formatJson(Row, State.Options_.Process_, Fields)
          : formatText(Row, State.Options_.Process_, Fields);
  // The pattern opens a JSON line with the time; a hook gets the line without.
  const bool Opened =
      State.Options_.Format_ == LogFormat::Json && !State.Options_.Sink_;
  State.Logger_->log(toLevel(Row.Severity_),
                     std::string_view(Line).substr(Opened ? 1 : 0));
}

} // namespace dragonfly
