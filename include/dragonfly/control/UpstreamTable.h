/// Upstreams, announced by their agents, and entries. No list of them is
/// configured; the table is built from heartbeats alone.
#ifndef DRAGONFLY_CONTROL_UPSTREAMTABLE_H
#define DRAGONFLY_CONTROL_UPSTREAMTABLE_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Ids.h"
#include "dragonfly/wire/Messages.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::control {

struct UpstreamTableOptions {
  /// Time from a heartbeat until the VM lease that it renews ends.
  Duration LeaseTerm_ = std::chrono::seconds(3);
  /// Added to the lease term before a lease counts as expired, since clocks
  /// differ in rate.
  Duration DriftMargin_ = std::chrono::milliseconds(300);
  /// Returns the incarnation that holds the tasks on \p Worker, or none if it
  /// has no tasks. While there is one, no other incarnation gets the name.
  std::function<Incarnation(const std::string &Worker)> HolderOfTasks_;
};

/// Last heartbeat of an agent or an entry.
struct HeartbeatRecord {
  wire::Heartbeat LastHeartbeat_;
  /// The VM lease counts as renewed at this time, whether this replica or
  /// another one renewed it.
  TimePoint ReceivedAt_;
};

/// Upstreams and entries as one replica knows them. One incarnation holds a
/// worker's name, and with it the VM lease. Another incarnation gets the name
/// once that lease has expired and no task is left on the name. Requests may go
/// to a new incarnation at the same address at once, since its open listener
/// proves that the former process has ended.
class UpstreamTable {
public:
  explicit UpstreamTable(UpstreamTableOptions Options);

  /// Starts a term as leader; called once the log of earlier terms is applied.
  /// Every lease counts as renewed at \p Now, and versions are above those of
  /// earlier terms. Removes workers that don't hold the tasks on their name.
  void lead(TimePoint Now, Term Value);

  /// Handles a heartbeat. \p Renew is true if this replica may renew leases.
  /// Returns true if the sender's lease was renewed.
  bool heartbeat(TimePoint Now, const wire::Heartbeat &Beat, bool Renew);

  /// Removes workers and entries without a heartbeat for longer than the lease
  /// term and the drift margin.
  void tick(TimePoint Now);

  /// True while \p Sender holds the name \p Worker.
  bool holdsName(const std::string &Worker, Incarnation Sender) const;
  /// True once the lease of \p Worker has certainly expired. A new leader must
  /// assume that an unknown worker's lease was renewed at the election.
  bool hasLeaseExpired(TimePoint Now, const std::string &Worker) const;

  const std::map<std::string, HeartbeatRecord> &workers() const {
    return Workers_;
  }
  /// Returns and clears the names of the workers that sent a heartbeat or were
  /// removed since the last call.
  std::set<std::string> consumeChangedWorkers() {
    return std::exchange(ChangedWorkers_, {});
  }
  /// Returns the table that entries are sent.
  wire::Upstreams upstreams() const;
  std::uint64_t version() const { return Version_; }
  /// Returns the number of entries that are not draining, at least 1.
  std::uint32_t liveEntryCount() const;
  const std::map<std::string, HeartbeatRecord> &entryRows() const {
    return Entries_;
  }

private:
  bool handleAgentHeartbeat(TimePoint Now, const wire::Heartbeat &Beat,
                            bool Renew);
  /// Gives the name of \p Beat to its sender unless another incarnation holds
  /// it. Returns true if the sender's lease was renewed.
  bool claimName(TimePoint Now, const wire::Heartbeat &Beat, bool Renew);
  /// True if another incarnation holds the tasks on the name of \p Beat.
  bool isReservedForAnother(const wire::Heartbeat &Beat) const;
  void logContestedName(const wire::Heartbeat &Beat);
  /// Updates the row of the sender that entries are sent.
  void publish(const wire::Heartbeat &Beat);
  bool isExpired(TimePoint Now, TimePoint RenewedAt) const;

  UpstreamTableOptions Options_;
  std::map<std::string, HeartbeatRecord> Workers_;
  std::map<std::string, HeartbeatRecord> Entries_;
  /// Rows that entries are sent. The incarnation of a row may be newer than the
  /// holder of the lease.
  std::map<std::string, wire::Upstream> Published_;
  /// Last replaced incarnation of each name; it may not take the name back.
  std::map<std::string, Incarnation> ReplacedIncarnations_;
  /// Last incarnation that was refused each name.
  std::map<std::string, Incarnation> ContestedBy_;
  std::set<std::string> ChangedWorkers_;
  TimePoint LeadingSince_;
  std::uint64_t Version_ = 1;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_UPSTREAMTABLE_H
