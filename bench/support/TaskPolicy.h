/// What control places tasks by, as hooks: the shipped system or a baseline.
#ifndef DRAGONFLY_BENCH_SUPPORT_TASKPOLICY_H
#define DRAGONFLY_BENCH_SUPPORT_TASKPOLICY_H

#include "dragonfly/decide/Placement.h"

#include <functional>
#include <string>
#include <vector>

namespace dragonfly::bench {

struct TaskPolicy {
  std::function<void(TimePoint, const decide::WorkerRow &)> SetWorker_;
  std::function<void(TimePoint, const std::string &)> RemoveWorker_;
  std::function<Reason(TimePoint, const decide::TaskRow &)> AddTask_;
  std::function<void(TimePoint, TaskId, const Resources &)> ReportUsage_;
  std::function<void(TimePoint, TaskId, decide::PlacementOutcome)> Ended_;
  std::function<std::vector<decide::PlacementCommand>(TimePoint)> Tick_;
};

using TaskPolicyMaker =
    std::function<TaskPolicy(const decide::PlacementOptions &)>;

TaskPolicy shippedPlacement(const decide::PlacementOptions &Options);

/// Takes the first worker whose declared sizes leave room, in the order of
/// arrival; evicts the newest task of a worker that is used up.
TaskPolicy firstFit(const decide::PlacementOptions &Options);

} // namespace dragonfly::bench

#endif // DRAGONFLY_BENCH_SUPPORT_TASKPOLICY_H
