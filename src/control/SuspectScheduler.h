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
    PassedAt_.clear();
  }
  /// Prepares a placement. \p IsProposed returns whether a start of the run has
  /// been proposed already.
  void
  beginPlacement(TimePoint Now,
                 const std::function<bool(const jobs::RunName &)> &IsProposed);
  /// Returns whether \p Worker has just been given a suspect task.
  bool isClosed(TimePoint Now, const std::string &Worker) const {
    return Probation_.isClosed(Now, Worker);
  }
  /// Returns how \p Task, which waits for a worker of \p Service, may be
  /// placed. Tasks that are not suspect start normally.
  Start chooseStart(TimePoint Now, const jobs::TaskName &Task,
                    std::string_view Service,
                    const decide::JobPlacement &Placement);
  /// Records that no worker has room for a task of \p Job that was to start as
  /// \p How. Returns whether another job has its turn now.
  bool passTurn(TimePoint Now, const std::string &Job, Start How);
  /// Records that \p Task was placed on the worker \p Index, and closes that
  /// worker if the task is to start alone.
  void finish(TimePoint Now, const jobs::TaskName &Task, Start How,
              std::size_t Index, decide::JobPlacement &Placement);

private:
  bool mayCloseWorkerFor(const jobs::TaskName &Task, std::string_view Service,
                         const decide::JobPlacement &Placement) const;
  bool mustWait(TimePoint Now, const jobs::TaskName &Task);
  /// Returns for each job how many of its waiting tasks are suspected of
  /// several crashes.
  std::map<std::string, std::size_t> countSuspects(
      const std::function<bool(const jobs::RunName &)> &IsProposed) const;
  void chooseTurns(const std::map<std::string, std::size_t> &Suspects);

  const jobs::JobTable &Table_;
  /// Workers that have just been given a task under which others crashed.
  decide::WorkerProbation Probation_;
  /// By service: the job whose tasks may be tried alone in this placement, if
  /// any has to be.
  std::map<std::string, std::string, std::less<>> Turns_;
  /// By job: when it passed its turn, for `PassTime` from then on.
  std::map<std::string, TimePoint> PassedAt_;
  /// Since when suspect tasks have waited for a worker.
  std::map<jobs::TaskName, TimePoint> WaitingSince_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_SUSPECTSCHEDULER_H
