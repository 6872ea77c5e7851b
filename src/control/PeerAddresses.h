/// Where the other replicas of control are reached.
#ifndef DRAGONFLY_SRC_CONTROL_PEERADDRESSES_H
#define DRAGONFLY_SRC_CONTROL_PEERADDRESSES_H

#include "dragonfly/base/Ids.h"
#include "dragonfly/consensus/ReplicatedLog.h"
#include "dragonfly/settings/Settings.h"
#include "dragonfly/wire/Messages.h"

#include <map>
#include <string>
#include <vector>

namespace dragonfly::control {

/// An address counts by its source: the members in this replica's log, then
/// what other replicas told, then the settings, which may be older than both.
class PeerAddresses {
public:
  explicit PeerAddresses(const std::vector<settings::ReplicaSettings> &Rows);

  /// Takes the members as another replica knows them. One that knows of no
  /// leader may be cut off: what it tells replaces nothing.
  void learn(const wire::Group &Told);
  /// Returns the address of \p Id, or an empty text.
  std::string find(ReplicaId Id,
                   const std::vector<consensus::Member> &Members) const;

private:
  std::map<ReplicaId, std::string> Configured_;
  std::map<ReplicaId, std::string> Told_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_PEERADDRESSES_H
