#include "decide/WaitingTasks.h"

#include <algorithm>
#include <bit>

namespace dragonfly::decide {

std::size_t WaitingTasks::classOf(const Resources &Reserve) {
  const auto Width =
      static_cast<std::size_t>(std::bit_width(static_cast<std::uint64_t>(
          std::max<std::int64_t>(0, Reserve.MilliProcessors_))));
  return std::min(Width, Classes - 1);
}

void WaitingTasks::insert(const StartOrder &Order, const Resources &Reserve) {
  const std::size_t Half = Reserve.Accelerators_ > 0 ? Classes : 0;
  Size_ += Rows_[Half + classOf(Reserve)].insert(Order).second ? 1 : 0;
}

void WaitingTasks::erase(const StartOrder &Order, const Resources &Reserve) {
  const std::size_t Half = Reserve.Accelerators_ > 0 ? Classes : 0;
  Size_ -= Rows_[Half + classOf(Reserve)].erase(Order);
}

std::vector<StartOrder>
WaitingTasks::candidates(const Resources &Free,
                         const std::function<bool(TaskId)> &May) const {
  std::vector<StartOrder> Found;
  const auto Collect = [&](const std::set<StartOrder> &Row) {
    std::size_t Taken = 0;
    std::size_t Inspected = 0;
    for (const StartOrder &Order : Row) {
      if (Taken == PerClass || ++Inspected > InspectedPerClass)
        return;
      if (!May(Order.Task_))
        continue;
      Found.push_back(Order);
      ++Taken;
    }
  };
  const std::size_t Largest = classOf(Free);
  for (std::size_t Class = 0; Class <= Largest; ++Class) {
    Collect(Rows_[Class]);
    if (Free.Accelerators_ > 0)
      Collect(Rows_[Classes + Class]);
  }
  std::ranges::sort(Found);
  return Found;
}

} // namespace dragonfly::decide
