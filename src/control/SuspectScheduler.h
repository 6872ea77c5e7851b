/// Decides when and how tasks under which workers crashed may start again.
#ifndef DRAGONFLY_SRC_CONTROL_SUSPECTSCHEDULER_H
#define DRAGONFLY_SRC_CONTROL_SUSPECTSCHEDULER_H

#include "dragonfly/decide/JobPlacement.h"
#include "dragonfly/decide/WorkerProbation.h"
#include "dragonfly/jobs/JobTable.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <string_view>

namespace dragonfly::control {

/// Starts suspect tasks on workers that are then closed to other starts, and
/// limits how long they wait for such a worker.
class SuspectScheduler {
public:
  /// How a waiting task may be placed.
  enum class Start : std::uint8_t {
    /// On a worker that stays open.
    Normal,
    /// On a worker that is closed to other starts.
    Alone,
    /// Not in this placement.
    Postponed
  };

  explicit SuspectScheduler(const jobs::JobTable &Table) : Table_(Table) {}

  /// Drops all state of an earlier term as leader.
  void startLeading() {
    Probation_.clear();
    WaitingSince_.clear();
  }
  /// Prepares a placement. \p IsProposed returns whether a start of the run has
  /// been proposed already.
  void
  beginPlacement(const std::function<bool(const jobs::RunName &)> &IsProposed);
  /// Returns whether \p Worker has just been given a suspect task.
  bool isClosed(TimePoint Now, const std::string &Worker) const {
    return Probation_.isClosed(Now, Worker);
  }
  /// Returns how \p Task, which waits for a worker of \p Service, may be
  /// placed. Tasks that are not suspect start normally.
  Start chooseStart(TimePoint Now, const jobs::TaskName &Task,
                    std::string_view Service,
                    const decide::JobPlacement &Placement);
  /// Records that \p Task was placed on the worker \p Index, and closes that
  /// worker if the task is to start alone.
  void finish(TimePoint Now, const jobs::TaskName &Task, Start How,
              std::size_t Index, decide::JobPlacement &Placement);

private:
  bool mayCloseWorkerFor(const jobs::TaskName &Task, std::string_view Service,
                         const decide::JobPlacement &Placement) const;
  bool mustWait(TimePoint Now, const jobs::TaskName &Task);
  std::string nextProbationJob(
      const std::function<bool(const jobs::RunName &)> &IsProposed) const;

  const jobs::JobTable &Table_;
  /// Workers that have just been given a task under which others crashed.
  decide::WorkerProbation Probation_;
  /// The job whose tasks may be tried alone in this placement, if any has to
  /// be.
  std::string ProbationJob_;
  /// Since when suspect tasks have waited for a worker.
  std::map<jobs::TaskName, TimePoint> WaitingSince_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_SUSPECTSCHEDULER_H
