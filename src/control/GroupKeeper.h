/// Applies planned membership changes to the control group on the leader.
#ifndef DRAGONFLY_SRC_CONTROL_GROUPKEEPER_H
#define DRAGONFLY_SRC_CONTROL_GROUPKEEPER_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/consensus/ReplicatedLog.h"
#include "dragonfly/control/GroupPlan.h"
#include "dragonfly/wire/Messages.h"

#include <map>
#include <optional>
#include <vector>

namespace dragonfly::control {

class GroupKeeper {
public:
  explicit GroupKeeper(consensus::ReplicatedLog &Log) : Log_(Log) {}

  /// Called when this replica becomes leader; discards earlier sightings.
  void lead(TimePoint Now);
  void stop() { ChangeInProgress_ = false; }
  /// Records the announcement of a replica.
  void sighted(TimePoint Now, const wire::JoinGroup &Notice);
  /// Starts the next membership change unless one is in progress.
  void tick(TimePoint Now, const GroupPlanOptions &Options);

private:
  /// Logs why \p Change has to wait, once for each reason.
  void noteDelay(const GroupChange &Change,
                 std::optional<consensus::ChangeObstacle> Obstacle);
  void finishChange(TimePoint RetryAt, const GroupChange &Change,
                    consensus::ProposeStatus Status);

  consensus::ReplicatedLog &Log_;
  TimePoint LeaderSince_;
  std::map<ReplicaId, ReplicaSighting> Seen_;
  /// Replicas whose last change failed, as when a learner has not caught up.
  std::vector<ReplicaId> Refused_;
  TimePoint RefusedUntil_;
  bool ChangeInProgress_ = false;
  std::optional<consensus::ChangeObstacle> LastObstacle_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_GROUPKEEPER_H
