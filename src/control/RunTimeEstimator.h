/// Estimates the run times of tasks from finished runs and from the progress of
/// current ones.
#ifndef DRAGONFLY_SRC_CONTROL_RUNTIMEESTIMATOR_H
#define DRAGONFLY_SRC_CONTROL_RUNTIMEESTIMATOR_H

#include "control/WorkerSessions.h"
#include "dragonfly/decide/JobOrder.h"
#include "dragonfly/jobs/JobTable.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::control {

class RunTimeEstimator {
public:
  explicit RunTimeEstimator(const jobs::JobTable &Table) : Table_(Table) {}

  /// Updates the estimates from a worker's report; \p Session holds the start
  /// times of its runs.
  void observe(TimePoint Now, const WorkerSession &Session,
               const wire::WorkerReport &Report);
  /// Drops the data of jobs that have ended.
  void pruneEndedJobs();

  /// Returns what the order of jobs depends on. \p LogTime is the current time
  /// on the clock of `JobRow::AcceptedAt_`.
  decide::JobOutlook outlook(const jobs::JobRow &Job, Duration LogTime) const;

  /// Returns the run time of a task of the step at full speed.
  Duration expectedRunTime(const jobs::JobRow &Job, std::uint32_t Step) const;

  /// Returns the remaining run time of the task at full speed.
  Duration remainingRunTime(const jobs::JobRow &Job,
                            const jobs::TaskName &Task) const;

private:
  using StepName = std::pair<std::string, std::uint32_t>;

  struct StepRunTimes {
    /// Weighted mean run time of the step's tasks.
    double MeanSeconds_ = 0;
    double Weight_ = 0;
    /// Progress of the tasks' newest runs, by index.
    std::map<std::uint32_t, std::uint32_t> ProgressPercent_;
  };

  double estimatedSeconds(const jobs::JobRow &Job, std::uint32_t Step) const;
  /// Returns null if there is no data on the step.
  const StepRunTimes *findStep(const std::string &Job,
                               std::uint32_t Step) const;
  /// Returns the share of the task's newest run that remains, from 0 to 1.
  static double remainingShare(const StepRunTimes *Times, std::uint32_t Index);
  void addSample(const jobs::RunName &Run, double Seconds, double Weight);

  const jobs::JobTable &Table_;
  std::map<StepName, StepRunTimes> Steps_;
  /// Mean run time of a queue's tasks in seconds, by its name.
  std::map<std::string, double> QueueMeans_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_RUNTIMEESTIMATOR_H
