/// Holds room for tasks that come before other work and that no worker has room
/// for at the moment.
#ifndef DRAGONFLY_SRC_CONTROL_OVERDUETASKS_H
#define DRAGONFLY_SRC_CONTROL_OVERDUETASKS_H

#include "control/ServingRelocator.h"
#include "dragonfly/decide/JobPlacement.h"
#include "dragonfly/jobs/JobTable.h"

#include <cstddef>
#include <map>
#include <string>

namespace dragonfly::control {

/// Room is held for some tasks of each service only, and for a limited time, so
/// that losing some workers does not stop the work on all others.
class OverdueTasks {
public:
  OverdueTasks(const jobs::JobTable &Table, const ServingRelocator &Relocator)
      : Table_(Table), Relocator_(Relocator) {}

  void startLeading() { Waiting_.clear(); }
  /// Drops tasks that wait no longer, and allows new holds.
  void beginPlacement(const decide::JobPlacement &Placement);
  /// Holds room for \p Task, for which \p Placement has found no worker.
  /// Returns whether room is held or reserved for it.
  bool holdRoom(TimePoint Now, const jobs::TaskName &Task,
                decide::PlacementRequest &Need,
                decide::JobPlacement &Placement);

private:
  struct WaitingTask {
    TimePoint Since_;
    /// The worker where room was last held for it.
    std::string HeldOn_;
  };

  const jobs::JobTable &Table_;
  const ServingRelocator &Relocator_;
  std::map<jobs::TaskName, WaitingTask> Waiting_;
  /// By service: how many more tasks room may be held for in this placement.
  std::map<std::string, std::size_t> HoldsLeft_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_OVERDUETASKS_H
