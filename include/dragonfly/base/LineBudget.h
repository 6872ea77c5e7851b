/// Bounds how often one kind of line is logged.
#ifndef DRAGONFLY_BASE_LINEBUDGET_H
#define DRAGONFLY_BASE_LINEBUDGET_H

#include "dragonfly/base/Clock.h"

#include <chrono>
#include <cstddef>

namespace dragonfly {

/// A number of lines for each second, so that callers who ask often do not
/// crowd out other lines.
class LineBudget {
public:
  explicit LineBudget(std::size_t LinesPerSecond)
      : LinesPerSecond_(LinesPerSecond) {}

  /// Returns whether a line may be logged at \p Now, and counts it.
  bool take(TimePoint Now) {
    if (Now - Began_ >= std::chrono::seconds(1)) {
      Began_ = Now;
      Taken_ = 0;
    }
    return Taken_++ < LinesPerSecond_;
  }

private:
  std::size_t LinesPerSecond_;
  std::size_t Taken_ = 0;
  TimePoint Began_;
};

} // namespace dragonfly

#endif // DRAGONFLY_BASE_LINEBUDGET_H
