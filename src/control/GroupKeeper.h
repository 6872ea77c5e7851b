/// Applies planned membership changes to the control group on the leader.
#ifndef DRAGONFLY_SRC_CONTROL_GROUPKEEPER_H
#define DRAGONFLY_SRC_CONTROL_GROUPKEEPER_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/consensus/ReplicatedLog.h"
#include "dragonfly/control/GroupPlan.h"
#include "dragonfly/wire/Messages.h"

#include <map>
#include <optional>
#include <set>
#include <string_view>
#include <utility>

namespace dragonfly::control {

class GroupKeeper {
public:
  explicit GroupKeeper(consensus::ReplicatedLog &Log) : Log_(Log) {}

  /// Called when this replica becomes leader.
  void lead(TimePoint Now);
  void stop() { ChangeInProgress_ = false; }
  /// Records the announcement of a replica, also where this one does not lead:
  /// it may be elected before the next one.
  void sighted(TimePoint Now, const wire::JoinGroup &Notice);
  /// Returns whether a replica that is present could vote in place of a lost
  /// store, but does not yet: until then one more lost store ends the group.
  bool replacementIsDue(TimePoint Now, const GroupPlanOptions &Options) const;
  /// Starts the next membership change unless one is in progress.
  void tick(TimePoint Now, const GroupPlanOptions &Options);

private:
  std::size_t countVoters() const;
  /// Drops announcements that may be older than the store that the member has
  /// now: a change of the members since the last look came after them.
  void forgetReplacedStores();
  /// Returns the next change that the log would propose now, if any.
  std::optional<GroupChange> nextChange(TimePoint Now,
                                        const GroupPlanOptions &Options);
  /// Logs why \p Change has to wait, once for each reason until the replica's
  /// membership changes.
  void noteDelay(const GroupChange &Change, consensus::ChangeObstacle Obstacle);
  void finishChange(const GroupChange &Change, consensus::ProposeStatus Status);

  consensus::ReplicatedLog &Log_;
  TimePoint LeaderSince_;
  std::map<ReplicaId, ReplicaSighting> Seen_;
  /// The members' stores at the last look.
  std::map<ReplicaId, StoreId> Stores_;
  bool ChangeInProgress_ = false;
  /// Roles and reasons that this leadership has logged for each replica.
  std::map<ReplicaId,
           std::set<std::pair<std::string_view, consensus::ChangeObstacle>>>
      LoggedDelays_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_GROUPKEEPER_H
