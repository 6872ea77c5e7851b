/// What the leader learns from reports about how runs disturb each other.
#ifndef DRAGONFLY_SRC_CONTROL_WORKERLOADS_H
#define DRAGONFLY_SRC_CONTROL_WORKERLOADS_H

#include "control/WorkerSessions.h"
#include "dragonfly/decide/JobPlacement.h"
#include "dragonfly/decide/TailInterference.h"

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

  /// The images that serve on a worker, with the ratios that are to be expected
  /// once all of \p Planned run there at full speed.
  std::vector<decide::ServingImage>
  serving(const WorkerSession &Session,
          const std::vector<jobs::RunName> &Planned) const;

  double rise(std::string_view Serving, std::string_view Image,
              double Share) const {
    return Tails_.rise(Serving, {.Image_ = Image, .Share_ = Share});
  }

  /// What the worker's agent should know to slow down the right runs.
  std::vector<wire::Disturbance> disturbances(const std::string &Worker) const;

private:
  /// By image: the worst ratio of runs that serve, and the share of the
  /// worker's processors that runs on spare ones use.
  struct Reading {
    std::map<std::string, double> Ratios_;
    std::map<std::string, double> Shares_;
  };

  const jobs::StepSpec *stepOf(const jobs::RunName &Run) const;
  Reading readingOf(const WorkerSession &Session) const;

  const jobs::JobTable &Table_;
  decide::TailInterference Tails_;
  std::map<std::string, Reading> Newest_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_WORKERLOADS_H
