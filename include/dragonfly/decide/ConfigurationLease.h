/// Decides whether a process may take new work under the lists it has.
///
/// Each control replica acknowledges heartbeats with the newest list versions
/// in its log, committed or not. An accepted change is in the logs of a
/// majority, so a majority that named no newer version for a heartbeat sent at
/// some time proves that none was accepted before that time. The lease runs
/// from there.
#ifndef DRAGONFLY_DECIDE_CONFIGURATIONLEASE_H
#define DRAGONFLY_DECIDE_CONFIGURATIONLEASE_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Ids.h"

#include <cstddef>
#include <vector>

namespace dragonfly::decide {

/// Versions of both lists.
struct ListVersions {
  ListVersion Plans_;
  ListVersion Purchases_;

  bool operator==(const ListVersions &) const = default;

  /// True where neither list of \p Other is newer.
  bool isAtLeast(const ListVersions &Other) const {
    return Plans_ >= Other.Plans_ && Purchases_ >= Other.Purchases_;
  }
};

/// The configuration lease of one entry or agent.
class ConfigurationLease {
public:
  /// \p Replicas is the number of control replicas; \p Term how long the lease
  /// runs from a heartbeat.
  ConfigurationLease(std::size_t Replicas, Duration Term);

  /// Tells that replica number \p Replica acknowledged the heartbeat sent at
  /// \p SentAt. Acknowledgements may come late, twice or out of order.
  void recordAcknowledgement(std::size_t Replica, TimePoint SentAt,
                             const ListVersions &Named);

  /// Tells which versions are in force here; older ones are ignored.
  void activate(const ListVersions &Versions);

  /// True while new work may be taken.
  bool isValid(TimePoint Now) const;

  /// True where a replica has named a version that is not in force here.
  bool isOutdated() const;

  const ListVersions &activeVersions() const { return InForce_; }

private:
  struct ReplicaRow {
    TimePoint LatestSentAt_;
    ListVersions LatestNamed_;
    /// Latest heartbeat for which it named nothing newer than is in force.
    TimePoint CoveredSentAt_;
    bool Heard_ = false;
    bool Covered_ = false;
  };

  void cover(ReplicaRow &Row) const;

  Duration Term_;
  ListVersions InForce_;
  std::vector<ReplicaRow> Replicas_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_CONFIGURATIONLEASE_H
