#include "dragonfly/decide/WorkerProbation.h"

#include <algorithm>

namespace dragonfly::decide {

void WorkerProbation::close(TimePoint Now, const std::string &Worker) {
  std::erase_if(ClosedUntil_,
                [Now](const auto &Each) { return Now >= Each.second; });
  ClosedUntil_[Worker] = Now + Options_.ClosedTime_;
}

bool WorkerProbation::isClosed(TimePoint Now, const std::string &Worker) const {
  const auto It = ClosedUntil_.find(Worker);
  return It != ClosedUntil_.end() && Now < It->second;
}

bool WorkerProbation::mayClose(const std::vector<PlacementWorker> &Workers,
                               std::string_view Service) const {
  const auto Total = static_cast<std::size_t>(
      std::ranges::count(Workers, Service, &PlacementWorker::Service_));
  const auto Closed = static_cast<std::size_t>(
      std::ranges::count_if(Workers, [Service](const PlacementWorker &Row) {
        return Row.Closed_ && Row.Service_ == Service;
      }));
  return Closed < std::max<std::size_t>(Total / Options_.WorkersPerClosed_, 1);
}

bool WorkerProbation::mustWait(std::size_t Crashes, Duration Waited) const {
  return Crashes > 2 || (Crashes == 2 && Waited < Options_.MaxWait_);
}

} // namespace dragonfly::decide
