/// Waiting tasks, grouped by size and sorted by start priority.
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

/// Sort key of waiting tasks. Tasks whose callers wait for the result come
/// first, then tasks that can still meet their deadline, then late ones; within
/// each group the task with the earliest latest start comes first.
struct StartPriority {
  bool Evictable_ = true;
  bool Late_ = false;
  /// Latest start at which the deadline can be met.
  TimePoint LatestStart_{};
  TaskId Task_;

  auto operator<=>(const StartPriority &) const = default;
};

/// Sorted sets of waiting tasks, one per size class, so that large tasks that
/// fit on no worker do not block small ones.
class WaitingTasks {
public:
  void insert(const StartPriority &Priority, const Resources &Reservation);
  void erase(const StartPriority &Priority, const Resources &Reservation);

  /// Returns, sorted by priority, the first tasks of each size class that may
  /// fit in \p Free and for which \p IsAllowed returns true.
  std::vector<StartPriority>
  candidates(const Resources &Free,
             const std::function<bool(TaskId)> &IsAllowed) const;

  std::size_t size() const { return Size_; }

private:
  /// Each size class spans a factor of two in processors.
  static constexpr std::size_t SizeClassCount = 24;
  static constexpr std::size_t MaxCandidatesPerClass = 6;
  static constexpr std::size_t MaxInspectedPerClass = 32;

  static std::size_t sizeClass(const Resources &Reservation);

  /// All size classes without accelerators, then all with accelerators.
  std::array<std::set<StartPriority>, 2 * SizeClassCount> TasksByClass_;
  std::size_t Size_ = 0;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_WAITINGTASKS_H
