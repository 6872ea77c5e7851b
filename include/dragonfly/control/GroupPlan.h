/// Decides how the leader repairs its group: which replica joins, is promoted,
/// demoted or removed next.
#ifndef DRAGONFLY_CONTROL_GROUPPLAN_H
#define DRAGONFLY_CONTROL_GROUPPLAN_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/consensus/ReplicatedLog.h"

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonfly::control {

/// What a replica last told about itself.
struct ReplicaSighting {
  StoreId Store_;
  std::string Address_;
  TimePoint SeenAt_;
};

struct GroupPlanOptions {
  ReplicaId Self_;
  /// Voters that the group keeps, where it has as many members: twice the
  /// losses that it has to bear, plus one.
  std::size_t Voters_ = 3;
  /// A replica counts as present for so long after it was seen; a few of the
  /// periods at which replicas announce themselves.
  Duration PresentTime_ = std::chrono::milliseconds(1500);
  /// A voter that was not seen for so long is replaced by a present learner.
  Duration VoterTimeout_ = std::chrono::milliseconds(2500);
  /// A learner that was not seen for so long is removed.
  Duration LearnerTimeout_ = std::chrono::seconds(60);
};

/// One change of the group's membership.
struct GroupChange {
  consensus::Member Target_;
  bool Remove_ = false;

  bool operator==(const GroupChange &) const = default;
};

/// Returns the next change, or nothing where the group is as it should be.
/// \p Seen lacks replicas that were never seen; \p Since is when this replica
/// began to lead: before it, nobody was missed. \p Refused holds learners that
/// could not be promoted lately.
std::optional<GroupChange>
planGroupChange(const GroupPlanOptions &Options,
                const std::vector<consensus::Member> &Members,
                const std::map<ReplicaId, ReplicaSighting> &Seen,
                TimePoint Since, TimePoint Now,
                const std::vector<ReplicaId> &Refused = {});

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_GROUPPLAN_H
