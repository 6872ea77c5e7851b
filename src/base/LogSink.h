/// Writes log lines to a file descriptor without ever waiting for its reader.
#ifndef DRAGONFLY_SRC_BASE_LOGSINK_H
#define DRAGONFLY_SRC_BASE_LOGSINK_H

#include "dragonfly/base/Clock.h"

#include <spdlog/details/null_mutex.h>
#include <spdlog/sinks/base_sink.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>

namespace dragonfly {

struct LogSinkOptions {
  int Descriptor_ = 1;
  /// Lines of one second; a daemon at ten times its calm load writes fewer.
  std::uint32_t MaxLinesPerSecond_ = 4000;
  /// Returns the line that tells of \p Count dropped lines.
  std::function<std::string(std::uint64_t Count)> DropNotice_;
};

/// Drops lines that the reader does not take, and those beyond the bounds, and
/// writes their count once a line can be written again.
class LogSink : public spdlog::sinks::base_sink<spdlog::details::null_mutex> {
public:
  /// Longest line that is written, with its end.
  static constexpr std::size_t MaxLineBytes = 4096;

  explicit LogSink(LogSinkOptions Options) : Options_(std::move(Options)) {}

  std::uint64_t dropped() const { return Dropped_; }

protected:
  void sink_it_(const spdlog::details::log_msg &Message) override;
  void flush_() override {}

private:
  /// Counts the line against the bound; false where it is used up.
  bool mayWrite();
  bool write(const char *Bytes, std::size_t Size) const;

  LogSinkOptions Options_;
  TimePoint SecondBegan_;
  std::uint32_t LinesOfSecond_ = 0;
  std::uint64_t Dropped_ = 0;
  std::uint64_t Untold_ = 0;
};

} // namespace dragonfly

#endif // DRAGONFLY_SRC_BASE_LOGSINK_H
