/// How long tasks run, learnt from runs that have finished and from the
/// progress of others.
#ifndef DRAGONFLY_SRC_CONTROL_RUNTIMES_H
#define DRAGONFLY_SRC_CONTROL_RUNTIMES_H

#include "control/WorkerSessions.h"
#include "dragonfly/decide/JobOrder.h"
#include "dragonfly/jobs/JobTable.h"

#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::control {

class RunTimes {
public:
  explicit RunTimes(const jobs::JobTable &Table) : Table_(Table) {}

  /// Takes a worker's report: the progress of its runs, and what has finished.
  void observe(TimePoint Now, const WorkerSession &Session,
               const wire::WorkerReport &Report);
  /// Forgets jobs that have ended.
  void forgetEnded();

  /// How the job stands at \p LogTime, the clock that its acceptance is told
  /// in.
  decide::JobOutlook outlook(const jobs::JobRow &Job, Duration LogTime) const;

  /// What is left of the task's run at full speed.
  Duration timeLeft(const jobs::JobRow &Job, const jobs::TaskName &Task) const;

private:
  using StepName = std::pair<std::string, std::uint32_t>;

  struct StepTimes {
    /// Of whole runs.
    double MeanSeconds_ = 0;
    double Weight_ = 0;
    /// Progress of runs, in hundredths, by the task's index.
    std::map<std::uint32_t, std::uint32_t> Progress_;
  };

  double secondsOf(const jobs::JobRow &Job, std::uint32_t Step) const;
  /// Null where nothing is known of the step.
  const StepTimes *find(const std::string &Job, std::uint32_t Step) const;
  /// Of the newest run of a task, from 0 to 1.
  static double shareLeft(const StepTimes *Known, std::uint32_t Index);
  void learn(const jobs::RunName &Run, double Seconds, double Weight);

  const jobs::JobTable &Table_;
  std::map<StepName, StepTimes> Steps_;
  /// Mean run time of a queue's tasks in seconds, by its name.
  std::map<std::string, double> QueueMeans_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_RUNTIMES_H
