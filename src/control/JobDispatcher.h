/// Places tasks that are due on workers and stops runs that shall not go on.
#ifndef DRAGONFLY_SRC_CONTROL_JOBDISPATCHER_H
#define DRAGONFLY_SRC_CONTROL_JOBDISPATCHER_H

#include "control/JobBatch.h"
#include "control/RunTimes.h"
#include "control/WorkerLoads.h"
#include "control/WorkerSessions.h"
#include "dragonfly/decide/JobPlacement.h"
#include "dragonfly/decide/WorkerSuspicion.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dragonfly::control {

class JobDispatcher {
public:
  JobDispatcher(const jobs::JobTable &Table, WorkerSessions &Sessions,
                const WorkerLoads &Loads, const RunTimes &Times,
                JobBatch &Batch, Metrics &Counts)
      : Table_(Table), Sessions_(Sessions), Loads_(Loads), Times_(Times),
        Batch_(Batch), Counts_(Counts) {}

  void lead() {
    Proposed_.clear();
    ProposedVersions_.clear();
    KnownWorkers_.clear();
    IdleSince_.clear();
    Changed_ = true;
  }
  /// \p LogTime is the clock that acceptance is told in.
  void tick(TimePoint Now, Duration LogTime);
  /// The jobs have changed.
  void noteChange() { Changed_ = true; }
  /// A run's end is durable.
  void ended(TimePoint Now, const jobs::EndRow &Row);

private:
  /// A start that has been proposed and whose outcome is not known yet.
  struct ProposedStart {
    std::string Worker_;
    std::uint64_t Session_ = 0;
  };

  /// A worker as it was described last, and what that rests on.
  struct KnownWorker {
    std::uint64_t Session_ = 0;
    TimePoint HeardAt_;
    std::uint64_t RunsVersion_ = 0;
    std::uint64_t ProposedVersion_ = 0;
    decide::PlacementWorker Worker_;
  };

  /// What a job has for placement to do.
  struct JobWork {
    const jobs::JobRow *Job_ = nullptr;
    std::vector<jobs::ReadyStep> Ready_;
    /// Runs that would end sooner on another worker.
    std::vector<jobs::RunName> Slowed_;
  };

  void forgetGone();
  void place(TimePoint Now, Duration LogTime);
  void placeStep(TimePoint Now, const jobs::ReadyStep &Ready,
                 decide::JobPlacement &Placement);
  std::vector<std::uint32_t>
  countRuns(const jobs::ReadyStep &Ready,
            const std::vector<jobs::TaskRow> &Tasks,
            const decide::JobPlacement &Placement) const;
  void propose(TimePoint Now, const jobs::JobRow &Job, jobs::RunName Run,
               const std::string &Worker);
  void started(TimePoint Now, const jobs::StartRow &Row, std::uint64_t Session,
               bool Applied);
  void stopUnwanted(TimePoint Now);
  void stopStalled(TimePoint Now, const std::string &Worker,
                   const WorkerSession &Session);
  void blame(TimePoint Now, const std::string &Worker);
  void stopWhereDraining(TimePoint Now, const std::string &Worker,
                         const WorkerSession &Session);
  void logWaiting(const jobs::ReadyStep &Ready,
                  const decide::JobPlacement &Placement,
                  const decide::PlacementRequest &Need);
  void logSummary(TimePoint Now, const decide::JobPlacement &Placement);
  std::vector<decide::PlacementWorker> openWorkers(TimePoint Now);
  decide::PlacementWorker describe(TimePoint Now, const WorkerSession &Session,
                                   const jobs::WorkerRow &Row) const;
  bool isStarved(TimePoint Now, const jobs::JobRow &Job);
  std::vector<JobWork> workInOrder(TimePoint Now, Duration LogTime) const;
  void addSlowedRuns(TimePoint Now, std::map<std::string, JobWork> &Work) const;
  void moveRun(TimePoint Now, const jobs::JobRow &Job, const jobs::RunName &Run,
               decide::JobPlacement &Placement);
  static decide::PlacementRequest needOf(const jobs::JobRow &Job,
                                         std::uint32_t Step);

  const jobs::JobTable &Table_;
  WorkerSessions &Sessions_;
  const WorkerLoads &Loads_;
  const RunTimes &Times_;
  JobBatch &Batch_;
  Metrics &Counts_;
  std::map<jobs::RunName, ProposedStart> Proposed_;
  /// By worker: grows whenever its part of `Proposed_` changes.
  std::map<std::string, std::uint64_t> ProposedVersions_;
  /// What was described of each worker, until anything of it changes.
  std::map<std::string, KnownWorker> KnownWorkers_;
  decide::WorkerSuspicion Suspicion_;
  /// Jobs with a step that is due and nothing on a worker, and since when.
  std::map<std::string, TimePoint> IdleSince_;
  /// Less than half of the processors of all workers are reserved.
  bool HasIdleHalf_ = false;
  bool Changed_ = true;
  TimePoint StopCheckAt_;
  /// Placement may run from the first time on where something has changed, and
  /// runs at the second one anyway.
  TimePoint PlaceFrom_;
  TimePoint PlaceAgainAt_;
  TimePoint SummaryAt_;
  /// Lines about waiting tasks that may still be written before the next
  /// summary.
  std::size_t WaitLinesLeft_ = 0;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_JOBDISPATCHER_H
