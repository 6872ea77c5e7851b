#include "decide/WaitingTasks.h"

#include <algorithm>
#include <bit>

namespace dragonfly::decide {

std::size_t WaitingTasks::sizeClass(const Resources &Reservation) {
  const auto Width =
      static_cast<std::size_t>(std::bit_width(static_cast<std::uint64_t>(
          std::max<std::int64_t>(0, Reservation.MilliProcessors_))));
  return std::min(Width, SizeClassCount - 1);
}

void WaitingTasks::insert(const StartPriority &Priority,
                          const Resources &Reservation) {
  const std::size_t FirstClass =
      Reservation.Accelerators_ > 0 ? SizeClassCount : 0;
  Size_ +=
      TasksByClass_[FirstClass + sizeClass(Reservation)].insert(Priority).second
          ? 1
          : 0;
}

void WaitingTasks::erase(const StartPriority &Priority,
                         const Resources &Reservation) {
  const std::size_t FirstClass =
      Reservation.Accelerators_ > 0 ? SizeClassCount : 0;
  Size_ -= TasksByClass_[FirstClass + sizeClass(Reservation)].erase(Priority);
}

std::vector<StartPriority>
WaitingTasks::candidates(const Resources &Free,
                         const std::function<bool(TaskId)> &IsAllowed) const {
  std::vector<StartPriority> Candidates;
  const auto Collect = [&](const std::set<StartPriority> &Tasks) {
    std::size_t Accepted = 0;
    std::size_t Inspected = 0;
    for (const StartPriority &Priority : Tasks) {
      if (Accepted == MaxCandidatesPerClass ||
          ++Inspected > MaxInspectedPerClass)
        return;
      if (!IsAllowed(Priority.Task_))
        continue;
      Candidates.push_back(Priority);
      ++Accepted;
    }
  };
  const std::size_t LargestClass = sizeClass(Free);
  for (std::size_t Class = 0; Class <= LargestClass; ++Class) {
    Collect(TasksByClass_[Class]);
    if (Free.Accelerators_ > 0)
      Collect(TasksByClass_[SizeClassCount + Class]);
  }
  std::ranges::sort(Candidates);
  return Candidates;
}

} // namespace dragonfly::decide
