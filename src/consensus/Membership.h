/// The members of the group, by the log's membership records.
///
/// The newest record in the log counts, committed or not. Members named in the
/// settings of a first deployment have no store yet: such a group is unformed
/// and elects only with the votes of all, which is what tells a first start
/// from a replica that lost its data folder (see docs/DESIGN.md).
#ifndef DRAGONFLY_SRC_CONSENSUS_MEMBERSHIP_H
#define DRAGONFLY_SRC_CONSENSUS_MEMBERSHIP_H

#include "dragonfly/base/Ids.h"
#include "dragonfly/consensus/ReplicatedLog.h"

#include <cstdint>
#include <functional>
#include <vector>

namespace dragonfly::consensus {

using MemberTest = std::function<bool(const Member &)>;
using MemberValue = std::function<std::int64_t(const Member &)>;

/// The history of memberships that the log holds.
class Membership {
public:
  /// Starts over with \p Members as of \p Index.
  void reset(LogIndex Index, std::vector<Member> Members);
  /// Adds the membership of the record at \p Index.
  void add(LogIndex Index, std::vector<Member> Members);
  /// Forgets memberships of records at \p From and after it.
  void truncateFrom(LogIndex From);
  /// Forgets memberships that were replaced at \p Index or before it.
  void dropBefore(LogIndex Index);

  const std::vector<Member> &members() const { return Rows_.back().Members_; }
  /// Members as of \p Index, which is at or after the oldest one held.
  const std::vector<Member> &membersAt(LogIndex Index) const;
  /// Index of the record that `members()` comes from.
  LogIndex index() const { return Rows_.back().Index_; }

  /// Returns the row of \p Id, or null.
  const Member *find(ReplicaId Id) const;
  /// True where \p Store votes as \p Id.
  bool isVoter(ReplicaId Id, StoreId Store) const;
  /// True once every member's store is known.
  bool formed() const;
  /// True where enough voters pass \p Test to decide: a majority, or all
  /// while the group is unformed.
  bool reachesQuorum(const MemberTest &Test) const;
  /// The largest value that a quorum's values are all at or above.
  std::int64_t quorumValue(const MemberValue &Value) const;

private:
  struct Row {
    LogIndex Index_;
    std::vector<Member> Members_;
  };

  std::size_t quorumSize(std::size_t Voters) const;

  std::vector<Row> Rows_{Row{}};
};

} // namespace dragonfly::consensus

#endif // DRAGONFLY_SRC_CONSENSUS_MEMBERSHIP_H
