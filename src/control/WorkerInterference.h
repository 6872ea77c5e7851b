/// The interference between runs on the same worker, learnt by the leader from
/// the reports of agents.
#ifndef DRAGONFLY_SRC_CONTROL_WORKERINTERFERENCE_H
#define DRAGONFLY_SRC_CONTROL_WORKERINTERFERENCE_H

#include "control/WorkerSessions.h"
#include "dragonfly/decide/JobPlacement.h"
#include "dragonfly/decide/TailInterference.h"
#include "dragonfly/jobs/ImageLosses.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dragonfly::control {

class WorkerInterference {
public:
  explicit WorkerInterference(const jobs::JobTable &Table) : Table_(Table) {}

  /// Updates the model from the newest report of a worker.
  void observe(TimePoint Now, const WorkerSession &Session);

  /// Returns the serving jobs among \p PlannedRuns, with the headroom expected
  /// on the worker once all of these runs are at full speed.
  std::vector<decide::ServingJob>
  servingJobs(TimePoint Now, const WorkerSession &Session,
              const std::vector<jobs::RunName> &PlannedRuns) const;

  /// Returns the headroom that serving tasks of the image \p Serving lose to
  /// runs of \p Image that use all processors of a worker.
  double headroomLossPerWorker(std::string_view Serving,
                               std::string_view Image) const {
    return Model_.conservativeLoss(Serving,
                                   {.Image_ = Image, .ProcessorShare_ = 1});
  }

  /// Drops the latest readings and loads the losses that earlier leaders have
  /// learnt.
  void restore(const std::vector<jobs::ImageLoss> &Rows);
  /// Returns the losses that have changed enough to be replicated since the
  /// last call.
  std::vector<jobs::ImageLoss> consumeChangedLosses();

  /// Returns the losses between the images on the worker, by which its agent
  /// chooses the runs to throttle.
  std::vector<wire::Disturbance> lossesOn(const std::string &Worker) const;

private:
  struct JobTailLatency {
    std::string Image_;
    /// The highest tail latency of the job's runs on the worker, divided by its
    /// target.
    double Ratio_ = 0;
  };

  struct WorkerReading {
    std::map<std::string, JobTailLatency> Jobs_;
    /// By image: the share of the worker's processors that its runs on
    /// unreserved processors use.
    std::map<std::string, double> SpareShares_;
  };

  const jobs::StepSpec *findStep(const jobs::RunName &Run) const;
  WorkerReading makeReading(const WorkerSession &Session) const;
  double headroomWithoutInterference(TimePoint Now, const std::string &Worker,
                                     const std::string &Job,
                                     const std::string &Image) const;

  const jobs::JobTable &Table_;
  decide::TailInterference Model_;
  std::map<std::string, WorkerReading> LatestReadings_;
  TimePoint NextPruneAt_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_WORKERINTERFERENCE_H
