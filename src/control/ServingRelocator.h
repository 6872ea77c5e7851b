/// Relocates latency-critical tasks to workers where they exclude fewer batch
/// tasks.
#ifndef DRAGONFLY_SRC_CONTROL_SERVINGRELOCATOR_H
#define DRAGONFLY_SRC_CONTROL_SERVINGRELOCATOR_H

#include "control/WorkerInterference.h"
#include "control/WorkerSessions.h"
#include "dragonfly/decide/JobPlacement.h"
#include "dragonfly/decide/ServingLayout.h"

#include <map>
#include <string>
#include <vector>

namespace dragonfly::control {

/// Stops tasks of long-running steps, at most one of a job at a time, and
/// reserves room for each on its new worker until it has started there.
class ServingRelocator {
public:
  ServingRelocator(const jobs::JobTable &Table, WorkerSessions &Sessions,
                   const WorkerInterference &Interference, Metrics &JobMetrics)
      : Table_(Table), Sessions_(Sessions), Interference_(Interference),
        Metrics_(JobMetrics) {}

  void startLeading() {
    Pending_.clear();
    MovedAt_.clear();
    Demands_.clear();
  }
  /// Starts relocations where they are due. \p Workers is the input of the
  /// current placement.
  void tick(TimePoint Now, const std::vector<decide::PlacementWorker> &Workers);
  /// Reserves room for the pending relocations in \p Workers.
  void addReservations(std::vector<decide::PlacementWorker> &Workers) const;
  /// Returns the worker that the waiting task is to start on, or an empty name.
  std::string targetOf(const jobs::TaskName &Task) const;
  /// Ends the relocation of a task that has been placed.
  void finish(const jobs::TaskName &Task) { Pending_.erase(Task); }

private:
  struct PendingRelocation {
    std::string To_;
    Resources Need_;
    TimePoint ExpiresAt_;
  };

  /// Input of `decide::ServingLayout`, and the run of each of its tasks.
  struct LayoutInput {
    std::vector<decide::LayoutWorker> Workers_;
    std::vector<std::vector<jobs::RunName>> Runs_;
  };

  void updateDemands();
  LayoutInput
  makeLayoutInput(TimePoint Now,
                  const std::vector<decide::PlacementWorker> &Workers) const;
  std::vector<decide::BatchDemand> batchDemands() const;
  bool isAtWork(const jobs::JobRow &Job, std::uint32_t Step) const;
  bool isMovable(TimePoint Now, const jobs::JobRow &Job,
                 std::uint32_t Step) const;
  void relocate(TimePoint Now, const jobs::RunName &Run,
                const std::string &From, const std::string &To);

  const jobs::JobTable &Table_;
  WorkerSessions &Sessions_;
  const WorkerInterference &Interference_;
  Metrics &Metrics_;
  std::map<jobs::TaskName, PendingRelocation> Pending_;
  /// When a task of the job was last relocated, by job.
  std::map<std::string, TimePoint> MovedAt_;
  /// Moving average of the processors that each batch image requests, in
  /// thousandths.
  std::map<std::string, double> Demands_;
  std::size_t FirstSource_ = 0;
  TimePoint NextAt_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_SERVINGRELOCATOR_H
