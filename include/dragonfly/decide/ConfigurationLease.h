/// Decides whether a process may accept new work under its current lists.
///
/// Each control replica acknowledges heartbeats with the newest list versions
/// in its log, committed or not. An accepted change is in the logs of a
/// majority. If a majority reports no newer version for a heartbeat, no newer
/// version was accepted before that heartbeat was sent, and the lease runs from
/// the time of sending.
#ifndef DRAGONFLY_DECIDE_CONFIGURATIONLEASE_H
#define DRAGONFLY_DECIDE_CONFIGURATIONLEASE_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Ids.h"

#include <cstddef>
#include <vector>

namespace dragonfly::decide {

/// Versions of the list of plans and the list of purchases.
struct ListVersions {
  ListVersion Plans_;
  ListVersion Purchases_;

  bool operator==(const ListVersions &) const = default;

  /// Returns whether neither version in \p Other is newer.
  bool isAtLeast(const ListVersions &Other) const {
    return Plans_ >= Other.Plans_ && Purchases_ >= Other.Purchases_;
  }
};

/// The configuration lease of one entry or agent.
class ConfigurationLease {
public:
  /// \p ReplicaCount is the number of control replicas; \p Term is the duration
  /// of the lease from the sending of a heartbeat.
  ConfigurationLease(std::size_t ReplicaCount, Duration Term);

  /// Records that replica number \p Replica acknowledged the heartbeat sent at
  /// \p SentAt and reported \p Versions as the newest in its log.
  /// Acknowledgements may be late, duplicated or out of order.
  void recordAcknowledgement(std::size_t Replica, TimePoint SentAt,
                             const ListVersions &Versions);

  /// Sets the versions that this process applies; ignores older ones.
  void activate(const ListVersions &Versions);

  /// Returns whether the lease allows new work at \p Now.
  bool isValid(TimePoint Now) const;

  /// Returns whether a replica has reported a version newer than the active
  /// one.
  bool isOutdated() const;

  /// Returns the versions that this process applies.
  const ListVersions &activeVersions() const { return ActiveVersions_; }

private:
  struct ReplicaRow {
    TimePoint LatestSentAt_;
    ListVersions LatestVersions_;
    /// Sending time of the latest heartbeat for which the replica reported no
    /// version newer than the active ones.
    TimePoint ConfirmedSentAt_;
    bool Acknowledged_ = false;
    bool Confirmed_ = false;
  };

  /// Marks the latest heartbeat of \p Row as confirmed if the replica reported
  /// no version newer than the active ones.
  void confirm(ReplicaRow &Row) const;

  Duration Term_;
  ListVersions ActiveVersions_;
  std::vector<ReplicaRow> Replicas_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_CONFIGURATIONLEASE_H
