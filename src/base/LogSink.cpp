#include "base/LogSink.h"

#include <poll.h>
#include <unistd.h>

namespace dragonfly {

bool LogSink::mayWrite() {
  const TimePoint Now = Clock::now();
  if (Now - SecondBegan_ >= std::chrono::seconds(1)) {
    SecondBegan_ = Now;
    LinesOfSecond_ = 0;
  }
  return ++LinesOfSecond_ <= Options_.MaxLinesPerSecond_;
}

/// A pipe that polls as writable takes a line of up to `MaxLineBytes` whole; a
/// longer one would wait for the reader, and the process with it.
bool LogSink::write(const char *Bytes, std::size_t Size) const {
  if (Size > MaxLineBytes)
    return false;
  pollfd Output{.fd = Options_.Descriptor_, .events = POLLOUT, .revents = 0};
  if (::poll(&Output, 1, 0) != 1 || (Output.revents & POLLOUT) == 0)
    return false;
  return ::write(Options_.Descriptor_, Bytes, Size) ==
         static_cast<ssize_t>(Size);
}

void LogSink::sink_it_(const spdlog::details::log_msg &Message) {
  if (mayWrite()) {
    if (Untold_ > 0) {
      const std::string Notice = Options_.DropNotice_(Untold_) + "\n";
      if (write(Notice.data(), Notice.size()))
        Untold_ = 0;
    }
    spdlog::memory_buf_t Line;
    formatter_->format(Message, Line);
    if (Untold_ == 0 && write(Line.data(), Line.size()))
      return;
  }
  ++Dropped_;
  ++Untold_;
}

} // namespace dragonfly
