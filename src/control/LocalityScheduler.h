/// Applies `decide::LocalityWait` to the tasks of a placement.
#ifndef DRAGONFLY_SRC_CONTROL_LOCALITYSCHEDULER_H
#define DRAGONFLY_SRC_CONTROL_LOCALITYSCHEDULER_H

#include "control/RunTimeEstimator.h"
#include "dragonfly/base/Metrics.h"
#include "dragonfly/decide/JobPlacement.h"
#include "dragonfly/decide/LocalityWait.h"
#include "dragonfly/jobs/JobTable.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonfly::control {

/// Decides for each task without room near its data whether it waits. Decisions
/// are made anew in each placement, which follows each end of a run.
class LocalityScheduler {
public:
  /// \p RemoteFactor is how many times as long a task takes on a rack without
  /// its data; nothing waits where it is 1.
  LocalityScheduler(const jobs::JobTable &Table,
                    const RunTimeEstimator &RunTimes, double RemoteFactor,
                    Metrics &JobMetrics)
      : Table_(Table), RunTimes_(RunTimes), RemoteFactor_(RemoteFactor),
        Metrics_(JobMetrics) {}

  void startLeading();
  /// Records that a run of \p Step has ended on a worker with \p Labels.
  void recordRelease(TimePoint Now, const std::vector<std::string> &Labels,
                     const jobs::StepSpec &Step);
  void beginPlacement();

  struct Result {
    /// Index of the worker, if the task was placed.
    std::optional<std::size_t> Worker_;
    /// The task waits although another rack may have room.
    bool Waits_ = false;
  };

  /// Places a task of the step near its data, or elsewhere if a wait does not
  /// pay off.
  Result place(TimePoint Now, Duration LogTime, const jobs::ReadyStep &Ready,
               decide::PlacementRequest Need, bool MayWait,
               decide::JobPlacement &Placement);

private:
  struct WaitingStep {
    TimePoint Since_;
    std::optional<decide::LocalityChoice> LoggedChoice_;
    TimePoint LoggedAt_;
  };

  bool mustWait(TimePoint Now, Duration LogTime, const jobs::ReadyStep &Ready,
                const decide::PlacementRequest &Need);
  decide::LocalityRequest makeRequest(TimePoint Now, Duration LogTime,
                                      const jobs::ReadyStep &Ready,
                                      const decide::PlacementRequest &Need);
  void logChoice(TimePoint Now, const jobs::ReadyStep &Ready,
                 const decide::PlacementRequest &Need,
                 const decide::LocalityDecision &Decision,
                 const decide::LocalityRequest &Request);

  const jobs::JobTable &Table_;
  const RunTimeEstimator &RunTimes_;
  double RemoteFactor_;
  Metrics &Metrics_;
  decide::ReleaseRates Rates_;
  /// By rack: thousandths of a processor that waiting tasks want there.
  std::map<std::string, std::int64_t, std::less<>> Wanted_;
  /// Steps without a place near their data in this placement.
  std::set<jobs::ReadyStep> Full_;
  /// What the decisions on a step rest on in this placement.
  std::map<jobs::ReadyStep, decide::LocalityRequest> Requests_;
  std::map<jobs::ReadyStep, WaitingStep> Waiting_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_LOCALITYSCHEDULER_H
