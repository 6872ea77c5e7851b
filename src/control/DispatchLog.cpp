#include "control/DispatchLog.h"

#include "dragonfly/base/Log.h"

#include <algorithm>
#include <chrono>

namespace dragonfly::control {
namespace {

constexpr Duration SummaryInterval = std::chrono::seconds(1);
/// Limit of `task-waits` events between two summaries.
constexpr std::size_t MaxWaitLines = 8;

std::uint64_t toUnsigned(std::int64_t Value) {
  return static_cast<std::uint64_t>(std::max<std::int64_t>(Value, 0));
}

} // namespace

void DispatchLog::recordStart(const jobs::ReadyStep &Ready) {
  ++Starts_;
  Waits_.erase(Ready);
}

void DispatchLog::logObstacles(TimePoint Now, const jobs::ReadyStep &Ready,
                               const decide::JobPlacement &Placement,
                               const decide::PlacementRequest &Need) {
  const Wait &Current =
      Waits_.try_emplace(Ready, Wait{.Since_ = Now, .StartsBefore_ = Starts_})
          .first->second;
  if (RemainingWaitLines_ == 0)
    return;
  --RemainingWaitLines_;
  const decide::PlacementObstacles Obstacles = Placement.countObstacles(Need);
  logEvent(Event::TaskWaits,
           {{"job", Ready.Job_},
            {"step", Ready.Step_},
            {"other_service", Obstacles.OtherService_},
            {"closed", Obstacles.Closed_},
            {"label", Obstacles.Label_},
            {"too_many_of_step", Obstacles.TooManyOfStep_},
            {"start_limit", Obstacles.StartLimit_},
            {"unproven", Obstacles.Unproven_},
            {"far_from_data", Obstacles.FarFromData_},
            {"memory", Obstacles.Memory_},
            {"processors", Obstacles.Processors_},
            {"spare_processors", Obstacles.SpareProcessors_},
            {"tail_latency", Obstacles.TailLatency_},
            {"waiting_ms", toUnsigned(static_cast<std::int64_t>(
                               toMilliseconds(Now - Current.Since_)))},
            {"started_meanwhile", Starts_ - Current.StartsBefore_}});
}

void DispatchLog::logSummary(TimePoint Now,
                             const decide::JobPlacement &Placement) {
  if (Now < NextSummaryAt_)
    return;
  NextSummaryAt_ = Now + SummaryInterval;
  std::erase_if(Waits_, [this](const auto &Entry) {
    return !Table_.readySteps().contains(Entry.first);
  });
  RemainingWaitLines_ = MaxWaitLines;
  Resources Capacity;
  Resources Reserved;
  std::int64_t SpareMilliProcessors = 0;
  std::uint64_t ServingWorkers = 0;
  for (const decide::PlacementWorker &Row : Placement.workers()) {
    Capacity += Row.Capacity_;
    Reserved += Row.Reserved_;
    SpareMilliProcessors += Row.SpareMilliProcessors_;
    ServingWorkers += Row.Serving_.empty() ? 0 : 1;
  }
  const std::uint64_t WaitingTasks = countWaitingTasks();
  Metrics_.set("workers", "open",
               static_cast<double>(Placement.workers().size()));
  Metrics_.set("tasks", "waiting", static_cast<double>(WaitingTasks));
  Metrics_.set("processors", "reserved",
               static_cast<double>(Reserved.MilliProcessors_));
  Metrics_.set("processors", "spare_used",
               static_cast<double>(SpareMilliProcessors));
  logEvent(Event::DispatchSummary,
           {{"workers", Placement.workers().size()},
            {"workers_that_serve", ServingWorkers},
            {"processors", toUnsigned(Capacity.MilliProcessors_)},
            {"processors_reserved", toUnsigned(Reserved.MilliProcessors_)},
            {"processors_spare_used", toUnsigned(SpareMilliProcessors)},
            {"memory", toUnsigned(Capacity.MemoryMib_)},
            {"memory_reserved", toUnsigned(Reserved.MemoryMib_)},
            {"steps_ready", Table_.readySteps().size()},
            {"tasks_waiting", WaitingTasks}});
}

std::uint64_t DispatchLog::countWaitingTasks() const {
  std::uint64_t Count = 0;
  for (const jobs::ReadyStep &Ready : Table_.readySteps())
    Count += Table_.find(Ready.Job_)->Steps_[Ready.Step_].Waiting_;
  return Count;
}

} // namespace dragonfly::control
