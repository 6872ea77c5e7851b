/// Logs why tasks wait and how far the workers are used.
#ifndef DRAGONFLY_SRC_CONTROL_DISPATCHLOG_H
#define DRAGONFLY_SRC_CONTROL_DISPATCHLOG_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Metrics.h"
#include "dragonfly/decide/JobPlacement.h"
#include "dragonfly/jobs/JobTable.h"

#include <cstddef>
#include <cstdint>
#include <map>

namespace dragonfly::control {

/// Writes the `task-waits` and `dispatch-summary` events of the dispatcher,
/// limited in number, and its gauges.
class DispatchLog {
public:
  DispatchLog(const jobs::JobTable &Table, Metrics &JobMetrics)
      : Table_(Table), Metrics_(JobMetrics) {}

  /// Logs why no worker fits \p Need, which `Placement.place` has just found.
  void logObstacles(TimePoint Now, const jobs::ReadyStep &Ready,
                    const decide::JobPlacement &Placement,
                    const decide::PlacementRequest &Need);
  /// Counts a proposed start, which ends the wait of its step.
  void recordStart(const jobs::ReadyStep &Ready);
  /// Logs a summary if one is due.
  void logSummary(TimePoint Now, const decide::JobPlacement &Placement);

private:
  /// A step none of whose waiting tasks has found room.
  struct Wait {
    TimePoint Since_;
    std::uint64_t StartsBefore_ = 0;
  };

  std::uint64_t countWaitingTasks() const;

  const jobs::JobTable &Table_;
  Metrics &Metrics_;
  TimePoint NextSummaryAt_;
  /// How many more `task-waits` events may be logged before the next summary.
  std::size_t RemainingWaitLines_ = 0;
  std::map<jobs::ReadyStep, Wait> Waits_;
  /// Starts of all steps.
  std::uint64_t Starts_ = 0;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_DISPATCHLOG_H
