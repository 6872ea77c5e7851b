/// Carries out what the group's plan asks for, on the replica that leads.
#ifndef DRAGONFLY_SRC_CONTROL_GROUPKEEPER_H
#define DRAGONFLY_SRC_CONTROL_GROUPKEEPER_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/consensus/ReplicatedLog.h"
#include "dragonfly/control/GroupPlan.h"
#include "dragonfly/wire/Messages.h"

#include <map>
#include <vector>

namespace dragonfly::control {

class GroupKeeper {
public:
  explicit GroupKeeper(consensus::ReplicatedLog &Log) : Log_(Log) {}

  /// This replica leads from now on.
  void lead(TimePoint Now);
  void stop() { Changing_ = false; }
  void sighted(TimePoint Now, const wire::JoinGroup &Notice);
  /// Makes the next change, one at a time.
  void tick(TimePoint Now, const GroupPlanOptions &Options);

private:
  void changed(TimePoint RetryAt, const GroupChange &Change,
               consensus::ProposeStatus Status);

  consensus::ReplicatedLog &Log_;
  TimePoint LeadsSince_;
  std::map<ReplicaId, ReplicaSighting> Seen_;
  /// Replicas whose change was refused; they had not caught up yet.
  std::vector<ReplicaId> Refused_;
  TimePoint RefusedUntil_;
  bool Changing_ = false;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_GROUPKEEPER_H
