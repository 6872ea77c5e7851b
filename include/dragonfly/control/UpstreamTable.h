/// Who has announced itself: upstreams, by their agents, and entries. There is
/// no list of them; the table is made from heartbeats alone.
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
  Duration LeaseTerm_ = std::chrono::seconds(3);
  /// Added before a lease counts as run out.
  Duration DriftMargin_ = std::chrono::milliseconds(300);
  /// Returns the incarnation that the tasks on the named worker were given to,
  /// or none; such a name is given to no other incarnation.
  std::function<Incarnation(const std::string &Worker)> HolderOfTasks_;
};

/// A worker, as its agent's heartbeats tell it.
struct HeartbeatRecord {
  wire::Heartbeat LastHeartbeat_;
  /// The VM's lease counts as renewed then, whether or not this replica was the
  /// one that renewed it.
  TimePoint ReceivedAt_;
};

/// The table of one replica. One incarnation holdsName a name, and with it the
/// VM lease; another takes it over once that lease has run out and no task is
/// left on the name. Requests may go to a new incarnation at the same address
/// at once, since its listener proves that the former one is gone.
class UpstreamTable {
public:
  explicit UpstreamTable(UpstreamTableOptions Options);

  /// Starts a term as leader, once the log of earlier terms is applied: every
  /// lease counts as renewed at \p Now, and versions are above those of earlier
  /// terms. Forgets rows that contradict who the tasks were given to.
  void lead(TimePoint Now, Term Value);

  /// Takes a heartbeat. \p Renew tells whether this replica may renew leases.
  /// Returns true where the sender's lease was renewed.
  bool heartbeat(TimePoint Now, const wire::Heartbeat &Beat, bool Renew);

  /// Removes who has not been heard for a lease term and the drift margin.
  void tick(TimePoint Now);

  /// True while \p Sender holdsName \p Worker.
  bool holdsName(const std::string &Worker, Incarnation Sender) const;
  /// True once the lease of \p Worker, or what a new leader must take for it,
  /// has certainly run out.
  bool hasLeaseExpired(TimePoint Now, const std::string &Worker) const;

  const std::map<std::string, HeartbeatRecord> &workers() const {
    return Workers_;
  }
  /// Returns the names of workers that were heard of or removed since the last
  /// call.
  std::set<std::string> consumeChangedWorkers() {
    return std::exchange(Changed_, {});
  }
  wire::Upstreams upstreams() const;
  std::uint64_t version() const { return Version_; }
  /// Live entries, at least 1.
  std::uint32_t liveEntryCount() const;
  const std::map<std::string, HeartbeatRecord> &entryRows() const {
    return Entries_;
  }

private:
  bool heartbeatOfAgent(TimePoint Now, const wire::Heartbeat &Beat, bool Renew);
  bool takeOver(TimePoint Now, const wire::Heartbeat &Beat, bool Renew);
  bool belongsToAnother(const wire::Heartbeat &Beat) const;
  void contest(const wire::Heartbeat &Beat);
  void publish(const wire::Heartbeat &Beat);
  bool ranOut(TimePoint Now, TimePoint HeardAt) const;

  UpstreamTableOptions Options_;
  std::map<std::string, HeartbeatRecord> Workers_;
  std::map<std::string, HeartbeatRecord> Entries_;
  /// What entries are told, which may be ahead of who holdsName the lease.
  std::map<std::string, wire::Upstream> Published_;
  /// Incarnations that others have replaced, by name.
  std::map<std::string, Incarnation> Retired_;
  /// Incarnations that were refused a name, by name.
  std::map<std::string, Incarnation> Contested_;
  std::set<std::string> Changed_;
  TimePoint LeadingSince_;
  std::uint64_t Version_ = 1;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_UPSTREAMTABLE_H
