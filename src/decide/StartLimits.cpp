#include "dragonfly/decide/StartLimits.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace dragonfly::decide {

void StartLimits::recordFinished(TimePoint StartedAt,
                                 const std::string &Worker) {
  const auto Failed = FailedAt_.find(Worker);
  if (Failed != FailedAt_.end() && StartedAt < Failed->second)
    return;
  FailedAt_.erase(Worker);
  const auto It = Rows_.find(Worker);
  if (It == Rows_.end())
    return;
  It->second.OpenStarts_ *= 2;
  It->second.PausedUntil_ = {};
  if (It->second.OpenStarts_ >= Options_.FullLimit_)
    Rows_.erase(It);
}

void StartLimits::recordFailure(TimePoint Now, const std::string &Worker,
                                std::uint32_t FailuresInRow) {
  FailedAt_[Worker] = Now;
  const auto It = Rows_.find(Worker);
  if (It == Rows_.end() && FailuresInRow < Options_.FailuresInRow_)
    return;
  Row &Limited =
      It == Rows_.end()
          ? Rows_.try_emplace(Worker, Row{.Since_ = Now}).first->second
          : It->second;
  // Runs that had begun before the pause tell nothing new.
  if (Now < Limited.PausedUntil_)
    return;
  Limited.OpenStarts_ = 1;
  Limited.Pause_ = Limited.Pause_ == Duration::zero()
                       ? Options_.FirstPause_
                       : std::min(2 * Limited.Pause_, Options_.MaxPause_);
  Limited.PausedUntil_ = Now + Limited.Pause_;
}

bool StartLimits::isFailing(TimePoint Now, const std::string &Worker) const {
  const auto It = FailedAt_.find(Worker);
  return It != FailedAt_.end() && Now - It->second < Options_.MemoryTime_;
}

std::optional<StartLimits::Limit>
StartLimits::limitOf(TimePoint Now, const std::string &Worker) const {
  const auto It = Rows_.find(Worker);
  const auto Failed = FailedAt_.find(Worker);
  if (It == Rows_.end() || (Failed != FailedAt_.end() &&
                            Now - Failed->second >= Options_.MemoryTime_))
    return std::nullopt;
  const Row &Limited = It->second;
  return Limit{.OpenStarts_ =
                   Now < Limited.PausedUntil_ ? 0 : Limited.OpenStarts_,
               .Since_ = Limited.Since_};
}

void liftExcessLimits(std::vector<PlacementWorker> &Workers,
                      std::size_t WorkersPerLimited) {
  std::map<std::string_view, std::size_t> Allowed;
  for (const PlacementWorker &Row : Workers)
    ++Allowed[Row.Service_];
  for (auto &[Service, Count] : Allowed)
    Count /= WorkersPerLimited;
  std::vector<PlacementWorker *> Limited;
  for (PlacementWorker &Row : Workers)
    if (Row.StartsLeft_)
      Limited.push_back(&Row);
  std::ranges::sort(
      Limited, std::ranges::greater{}, [](const PlacementWorker *Row) {
        return std::pair(Row->FailuresInRow_, std::string_view(Row->Name_));
      });
  for (PlacementWorker *Row : Limited) {
    std::size_t &Left = Allowed[Row->Service_];
    if (Left > 0)
      --Left;
    else
      Row->StartsLeft_.reset();
  }
}

} // namespace dragonfly::decide
