/// Plans membership changes of the control group: which replica the leader
/// adds, promotes, demotes or removes next.
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

/// The latest announcement of a replica.
struct ReplicaSighting {
  StoreId Store_;
  std::string Address_;
  TimePoint SeenAt_;
};

struct GroupPlanOptions {
  ReplicaId Self_;
  /// Target number of voters: 2f + 1 to tolerate f failures. The group has
  /// fewer while it has fewer members.
  std::size_t Voters_ = 3;
  /// A replica counts as present for this long after its last announcement; a
  /// few announcement periods.
  Duration PresentTime_ = std::chrono::milliseconds(1500);
  /// A voter that was not seen for this long is replaced by a present learner.
  Duration VoterTimeout_ = std::chrono::milliseconds(2500);
  /// A learner that was not seen for this long is removed.
  Duration LearnerTimeout_ = std::chrono::seconds(60);
};

/// A single membership change: adds, promotes, demotes or removes Target_.
struct GroupChange {
  consensus::Member Target_;
  bool Remove_ = false;

  bool operator==(const GroupChange &) const = default;
};

/// Returns the next membership change, or std::nullopt if none is needed.
/// \p Seen has no entry for replicas that were never seen. \p LeaderSince is
/// when this replica became leader; absence is counted from then at the
/// earliest.
/// \p Lagging lists learners that cannot be promoted yet.
std::optional<GroupChange>
planGroupChange(const GroupPlanOptions &Options,
                const std::vector<consensus::Member> &Members,
                const std::map<ReplicaId, ReplicaSighting> &Seen,
                TimePoint LeaderSince, TimePoint Now,
                const std::vector<ReplicaId> &Lagging = {});

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_GROUPPLAN_H
