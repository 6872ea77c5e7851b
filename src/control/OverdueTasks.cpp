#include "control/OverdueTasks.h"

#include "dragonfly/base/Log.h"

#include <algorithm>
#include <utility>

namespace dragonfly::control {
namespace {

/// Of so many workers of a service one at most is kept from work that arrives
/// later, so that losing some workers does not stop short tasks on all others.
constexpr std::size_t WorkersPerHold = 4;
/// After this time room is held no longer: what holds it does not end.
constexpr Duration MaxHoldTime = std::chrono::seconds(5);

} // namespace

void OverdueTasks::beginPlacement(const decide::JobPlacement &Placement) {
  HoldsLeft_.clear();
  for (const decide::PlacementWorker &Row : Placement.workers())
    ++HoldsLeft_[Row.Service_];
  for (auto &[Service, Count] : HoldsLeft_)
    Count = std::max<std::size_t>(Count / WorkersPerHold, 1);
  std::erase_if(Waiting_, [this](const auto &Entry) {
    const jobs::JobRow *Job = Table_.find(Entry.first.Job_);
    return Job == nullptr || !Job->active() ||
           Job->Steps_[Entry.first.Step_].Tasks_[Entry.first.Index_].Phase_ !=
               jobs::TaskPhase::Waiting;
  });
}

bool OverdueTasks::holdRoom(TimePoint Now, const jobs::TaskName &Task,
                            decide::PlacementRequest &Need,
                            decide::JobPlacement &Placement) {
  if (!Relocator_.targetOf(Task).empty())
    return true;
  WaitingTask &Row =
      Waiting_.try_emplace(Task, WaitingTask{.Since_ = Now}).first->second;
  std::size_t &HoldsLeft = HoldsLeft_[std::string(Need.Service_)];
  // A task on spare processors does not need them unreserved.
  if (HoldsLeft == 0 || Need.UsesSpareProcessors_ ||
      Now - Row.Since_ >= MaxHoldTime)
    return false;
  const auto Chosen = Placement.holdRoom(Need);
  if (!Chosen)
    return false;
  --HoldsLeft;
  if (!Need.StepRunsPerWorker_.empty())
    ++Need.StepRunsPerWorker_[*Chosen];
  const std::string &Worker = Placement.workers()[*Chosen].Name_;
  if (std::exchange(Row.HeldOn_, Worker) != Worker)
    logEvent(Event::RoomHeld,
             {{"job", Task.Job_},
              {"step", Task.Step_},
              {"index", Task.Index_},
              {"worker", Worker},
              {"waiting_ms",
               static_cast<std::uint64_t>(toMilliseconds(Now - Row.Since_))}});
  return true;
}

} // namespace dragonfly::control
