/// What the leader learns from reports about how runs disturb each other.
#ifndef DRAGONFLY_SRC_CONTROL_WORKERLOADS_H
#define DRAGONFLY_SRC_CONTROL_WORKERLOADS_H

#include "control/WorkerSessions.h"
#include "dragonfly/decide/JobPlacement.h"
#include "dragonfly/decide/TailInterference.h"
#include "dragonfly/jobs/ImageLosses.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dragonfly::control {

class WorkerLoads {
public:
  explicit WorkerLoads(const jobs::JobTable &Table) : Table_(Table) {}

  /// Learns from the newest report of a worker.
  void observe(TimePoint Now, const WorkerSession &Session);

  /// The jobs that serve on a worker, with the headroom that is to be expected
  /// once all of \p Planned run there at full speed.
  std::vector<decide::ServingJob>
  serving(TimePoint Now, const WorkerSession &Session,
          const std::vector<jobs::RunName> &Planned) const;

  /// What runs of \p Image take from the headroom of \p Serving for a whole
  /// worker's processors.
  double lossPerWorker(std::string_view Serving, std::string_view Image) const {
    return Tails_.conservativeLoss(Serving,
                                   {.Image_ = Image, .ProcessorShare_ = 1});
  }

  /// Starts from what an earlier leader has learnt.
  void restore(const std::vector<jobs::ImageLoss> &Rows);
  /// What should be replicated.
  std::vector<jobs::ImageLoss> takeChangedLosses();

  /// What the worker's agent should know to slow down the right runs.
  std::vector<wire::Disturbance> disturbances(const std::string &Worker) const;

private:
  struct JobTail {
    std::string Image_;
    /// The worst tail latency of the job's runs on the worker, over its target.
    double Ratio_ = 0;
  };

  struct Reading {
    std::map<std::string, JobTail> Jobs_;
    /// By image: the share of the worker's processors that runs on spare ones
    /// use.
    std::map<std::string, double> Shares_;
  };

  const jobs::StepSpec *stepOf(const jobs::RunName &Run) const;
  Reading readingOf(const WorkerSession &Session) const;
  double undisturbedHeadroom(TimePoint Now, const std::string &Worker,
                             const std::string &Job,
                             const std::string &Image) const;

  const jobs::JobTable &Table_;
  decide::TailInterference Tails_;
  std::map<std::string, Reading> Newest_;
  TimePoint ForgetAt_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_WORKERLOADS_H
