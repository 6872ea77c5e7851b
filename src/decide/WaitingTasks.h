/// Waiting tasks, by size, in the order in which they should start.
#ifndef DRAGONFLY_SRC_DECIDE_WAITINGTASKS_H
#define DRAGONFLY_SRC_DECIDE_WAITINGTASKS_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Ids.h"
#include "dragonfly/base/Resources.h"

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <set>
#include <vector>

namespace dragonfly::decide {

/// Sorts what callers wait for first, what can still meet its deadline next,
/// and within each the task that has to start soonest.
struct StartOrder {
  bool Evictable_ = true;
  bool Late_ = false;
  TimePoint LatestStart_{};
  TaskId Task_;

  auto operator<=>(const StartOrder &) const = default;
};

/// Ordered sets of waiting tasks, one per class of size, so that large tasks
/// which fit nowhere do not hide small ones.
class WaitingTasks {
public:
  void insert(const StartOrder &Order, const Resources &Reserve);
  void erase(const StartOrder &Order, const Resources &Reserve);

  /// Returns the first tasks of each class that may fit in \p Free and that
  /// \p May allows, sorted.
  std::vector<StartOrder>
  candidates(const Resources &Free,
             const std::function<bool(TaskId)> &May) const;

  std::size_t size() const { return Size_; }

private:
  static constexpr std::size_t Classes = 24;
  static constexpr std::size_t PerClass = 6;
  static constexpr std::size_t InspectedPerClass = 32;

  static std::size_t classOf(const Resources &Reserve);

  /// Twice: without and with accelerators.
  std::array<std::set<StartOrder>, 2 * Classes> Rows_;
  std::size_t Size_ = 0;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_WAITINGTASKS_H
