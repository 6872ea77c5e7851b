/// Places the waiting tasks of jobs on workers, and stops runs that are
/// unwanted, stalled or worth moving to another worker.
#ifndef DRAGONFLY_SRC_CONTROL_JOBDISPATCHER_H
#define DRAGONFLY_SRC_CONTROL_JOBDISPATCHER_H

#include "control/DispatchLog.h"
#include "control/JobBatch.h"
#include "control/LocalityScheduler.h"
#include "control/OverdueTasks.h"
#include "control/RunTimeEstimator.h"
#include "control/ServingRelocator.h"
#include "control/SuspectScheduler.h"
#include "control/WorkerInterference.h"
#include "control/WorkerSessions.h"
#include "dragonfly/decide/JobPlacement.h"
#include "dragonfly/decide/StartLimits.h"
#include "dragonfly/decide/WorkerSuspicion.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace dragonfly::control {

/// Dispatches tasks on the leader. All calls come after `startLeading`.
class JobDispatcher {
public:
  JobDispatcher(const jobs::JobTable &Table, WorkerSessions &Sessions,
                const WorkerInterference &Interference,
                const RunTimeEstimator &RunTimes,
                const jobs::EvacuationTable &Evacuations, double RemoteFactor,
                JobBatch &Batch, Metrics &JobMetrics)
      : Table_(Table), Evacuations_(Evacuations), Sessions_(Sessions),
        Interference_(Interference), RunTimes_(RunTimes), Batch_(Batch),
        Metrics_(JobMetrics),
        Relocator_(Table, Sessions, Interference, JobMetrics),
        Overdue_(Table, Relocator_), Suspects_(Table),
        Locality_(Table, RunTimes, RemoteFactor, JobMetrics),
        Log_(Table, JobMetrics) {}

  /// Drops all state of an earlier term as leader.
  void startLeading() {
    ProposedStarts_.clear();
    ProposedStartVersions_.clear();
    CachedWorkers_.clear();
    IdleSince_.clear();
    Overdue_.startLeading();
    Suspects_.startLeading();
    Relocator_.startLeading();
    Locality_.startLeading();
    restoreStartLimits();
    NeedsPlacement_ = true;
  }
  /// Stops runs and places tasks where either is due. \p LogTime is the current
  /// time on the clock of `JobRow::AcceptedAt_`.
  void tick(TimePoint Now, Duration LogTime);
  /// Schedules a placement after the job table has changed.
  void notifyJobsChanged() { NeedsPlacement_ = true; }
  /// Updates the suspicion of the worker after the end of one of its runs has
  /// been committed.
  void handleRunEnd(TimePoint Now, const jobs::EndRow &Row);

private:
  /// A start that has been proposed but is neither committed nor rejected yet.
  struct ProposedStart {
    std::string Worker_;
    std::uint64_t Session_ = 0;
  };

  /// The placement input of a worker, with the versions of what it was built
  /// from; it is rebuilt when one of them changes.
  struct CachedWorker {
    std::uint64_t Session_ = 0;
    TimePoint LastContactAt_;
    std::uint64_t RunsVersion_ = 0;
    std::uint64_t ProposedStartVersion_ = 0;
    decide::PlacementWorker Worker_;
  };

  enum class StartResult : std::uint8_t {
    Proposed,
    Postponed, ///< Proposed before, suspect and not to be started yet, or
               ///< waiting for a place near its data.
    NoRoom
  };

  /// The tasks and runs of a job that one placement has to handle.
  struct PlacementWork {
    const jobs::JobRow *Job_ = nullptr;
    std::vector<jobs::ReadyStep> ReadySteps_;
    /// Throttled runs that are expected to end sooner on another worker.
    std::vector<jobs::RunName> ThrottledRuns_;
  };

  void restoreStartLimits();
  void updateServicesWithFewAttempts();
  void pruneStaleEntries();
  void placeTasks(TimePoint Now, Duration LogTime);
  void placeOverdueTasks(TimePoint Now, const std::vector<PlacementWork> &Work,
                         decide::JobPlacement &Placement);
  void placeTasksOfStep(TimePoint Now, const jobs::ReadyStep &Ready,
                        decide::JobPlacement &Placement);
  StartResult startTask(TimePoint Now, const jobs::ReadyStep &Ready,
                        std::uint32_t Index, decide::PlacementRequest &Need,
                        decide::JobPlacement &Placement);
  std::vector<std::uint32_t>
  countRunsPerWorker(const jobs::ReadyStep &Ready, const jobs::TaskRows &Tasks,
                     const decide::JobPlacement &Placement) const;
  bool mustNotFail(TimePoint Now, const jobs::JobRow &Job,
                   const jobs::TaskName &Name);
  bool mayWaitForData(TimePoint Now, const jobs::ReadyStep &Ready);
  LocalityScheduler::Result placeTask(TimePoint Now,
                                      const jobs::ReadyStep &Ready,
                                      const jobs::TaskName &Task,
                                      const decide::PlacementRequest &Need,
                                      decide::JobPlacement &Placement);
  void proposeStart(TimePoint Now, const jobs::JobRow &Job, jobs::RunName Run,
                    const std::string &Worker);
  void handleCommittedStart(TimePoint Now, const jobs::StartRow &Row,
                            std::uint64_t SessionNumber, bool Applied);
  void stopUnwantedRuns(TimePoint Now);
  void stopStalledRuns(TimePoint Now, const std::string &Worker,
                       const WorkerSession &Session);
  void recordRunFailure(TimePoint Now, const std::string &Worker);
  void limitFailingWorker(TimePoint Now, const std::string &Worker);
  void stopResumableRuns(TimePoint Now, const std::string &Worker,
                         const WorkerSession &Session);
  std::vector<decide::PlacementWorker> schedulableWorkers(TimePoint Now,
                                                          Duration LogTime);
  void setSlowStart(Duration LogTime, const WorkerSession &Session,
                    decide::PlacementWorker &Worker) const;
  void stopEvacuatedStarts(TimePoint Now, const std::string &Worker,
                           const WorkerSession &Session);
  void setReliability(TimePoint Now, Duration LogTime,
                      const WorkerSession &Session, const jobs::WorkerRow &Row,
                      decide::PlacementWorker &Worker) const;
  std::uint32_t countStartsSince(TimePoint Since, const WorkerSession &Session,
                                 const jobs::WorkerRow &Row) const;
  decide::PlacementWorker makePlacementWorker(TimePoint Now,
                                              const WorkerSession &Session,
                                              const jobs::WorkerRow &Row) const;
  bool isStalled(TimePoint Now, const jobs::JobRow &Job);
  std::vector<std::uint32_t> tasksToResume(const jobs::ReadyStep &Ready) const;
  std::vector<std::uint32_t> firstStalledTask(TimePoint Now,
                                              const jobs::ReadyStep &Ready);
  bool placeFirst(TimePoint Now, const jobs::ReadyStep &Ready,
                  const std::vector<std::uint32_t> &Indexes,
                  decide::JobPlacement &Placement);
  std::vector<PlacementWork> rankedWork(TimePoint Now, Duration LogTime) const;
  void addRunsWorthMoving(TimePoint Now,
                          std::map<std::string, PlacementWork> &Work) const;
  void moveRun(TimePoint Now, const jobs::JobRow &Job, const jobs::RunName &Run,
               decide::JobPlacement &Placement);
  decide::PlacementRequest
  placementNeedOf(const jobs::ReadyStep &Ready,
                  const decide::JobPlacement &Placement) const;

  const jobs::JobTable &Table_;
  const jobs::EvacuationTable &Evacuations_;
  WorkerSessions &Sessions_;
  const WorkerInterference &Interference_;
  const RunTimeEstimator &RunTimes_;
  JobBatch &Batch_;
  Metrics &Metrics_;
  ServingRelocator Relocator_;
  OverdueTasks Overdue_;
  SuspectScheduler Suspects_;
  LocalityScheduler Locality_;
  DispatchLog Log_;
  std::map<jobs::RunName, ProposedStart> ProposedStarts_;
  /// By worker: incremented whenever its entries in `ProposedStarts_` change.
  std::map<std::string, std::uint64_t> ProposedStartVersions_;
  /// Placement inputs by worker.
  std::map<std::string, CachedWorker> CachedWorkers_;
  decide::WorkerSuspicion Suspicion_;
  decide::StartLimits StartLimits_;
  /// Services with a queue of `FewAttempts` or fewer, and the version of the
  /// configuration that they were taken from.
  std::set<std::string> ServicesWithFewAttempts_;
  std::uint64_t AttemptsVersion_ = 0;
  /// Active jobs with a ready step but no task on a worker, by id, with the
  /// time of the first placement that found them so.
  std::map<std::string, TimePoint> IdleSince_;
  /// When the last attempts of waiting tasks were first due.
  std::map<jobs::TaskName, TimePoint> LastAttemptSince_;
  /// By service: when the first task of a stalled job may come first again.
  std::map<std::string, TimePoint> NextStalledStartAt_;
  /// Whether less than half of the processors of all workers are reserved.
  bool IsHalfUnreserved_ = false;
  bool NeedsPlacement_ = true;
  /// Log time of the placement in progress.
  Duration LogTime_{};
  TimePoint NextStopCheckAt_;
  /// After a change placement runs from the first time on; without one it runs
  /// at the second.
  TimePoint EarliestPlacementAt_;
  TimePoint LatestPlacementAt_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_JOBDISPATCHER_H
