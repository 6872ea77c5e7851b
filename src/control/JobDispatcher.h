/// Places tasks that are due on workers and stops runs that shall not go on.
#ifndef DRAGONFLY_SRC_CONTROL_JOBDISPATCHER_H
#define DRAGONFLY_SRC_CONTROL_JOBDISPATCHER_H

#include "control/JobBatch.h"
#include "control/WorkerSessions.h"
#include "dragonfly/decide/JobPlacement.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace dragonfly::control {

class JobDispatcher {
public:
  JobDispatcher(const jobs::JobTable &Table, WorkerSessions &Sessions,
                JobBatch &Batch)
      : Table_(Table), Sessions_(Sessions), Batch_(Batch) {}

  void lead() {
    Proposed_.clear();
    Changed_ = true;
  }
  void tick(TimePoint Now);
  /// The jobs have changed.
  void noteChange() { Changed_ = true; }

private:
  /// A start that has been proposed and whose outcome is not known yet.
  struct ProposedStart {
    std::string Worker_;
    std::uint64_t Session_ = 0;
  };

  void place(TimePoint Now);
  void placeStep(TimePoint Now, const jobs::ReadyStep &Ready,
                 decide::JobPlacement &Placement);
  void propose(TimePoint Now, const jobs::JobRow &Job, jobs::RunName Run,
               const std::string &Worker);
  void started(TimePoint Now, const jobs::StartRow &Row, std::uint64_t Session,
               bool Applied);
  void stopUnwanted(TimePoint Now);
  void stopWhereDraining(TimePoint Now, const std::string &Worker,
                         const WorkerSession &Session);
  void logSummary(TimePoint Now, const decide::JobPlacement &Placement);
  std::vector<decide::PlacementWorker> openWorkers() const;
  std::vector<jobs::ReadyStep> stepsInOrder() const;

  const jobs::JobTable &Table_;
  WorkerSessions &Sessions_;
  JobBatch &Batch_;
  std::map<jobs::RunName, ProposedStart> Proposed_;
  bool Changed_ = true;
  TimePoint StopCheckAt_;
  TimePoint PlaceAgainAt_;
  TimePoint SummaryAt_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_JOBDISPATCHER_H
