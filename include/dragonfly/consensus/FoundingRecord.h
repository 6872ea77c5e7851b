/// The choice of a new group's first members, as the data folder of the process
/// that makes it holds it until the group's log has begun.
#ifndef DRAGONFLY_CONSENSUS_FOUNDINGRECORD_H
#define DRAGONFLY_CONSENSUS_FOUNDINGRECORD_H

#include "dragonfly/consensus/ReplicatedLog.h"

#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::consensus {

/// Each function opens the data folder, which no storage may have open. All
/// throw StorageError.
class FoundingRecord {
public:
  explicit FoundingRecord(std::string Folder) : Folder_(std::move(Folder)) {}

  /// Returns the members that this process has chosen, none of them while it
  /// still chooses, or nothing where no choice is under way. A record of a
  /// group whose log has begun is removed.
  std::optional<std::vector<Member>> load();
  /// Makes \p Chosen durable; none while this process still chooses.
  void save(const std::vector<Member> &Chosen);

private:
  std::string Folder_;
};

} // namespace dragonfly::consensus

#endif // DRAGONFLY_CONSENSUS_FOUNDINGRECORD_H
