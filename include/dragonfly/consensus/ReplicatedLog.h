/// A replicated log with snapshots and membership changes. It has no sockets
/// and no threads: its owner passes in messages and the time, and takes
/// messages out through a hook.
#ifndef DRAGONFLY_CONSENSUS_REPLICATEDLOG_H
#define DRAGONFLY_CONSENSUS_REPLICATEDLOG_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Error.h"
#include "dragonfly/base/Ids.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonfly::consensus {

class Storage;

/// One member of the log's group.
struct Member {
  ReplicaId Id_;
  /// The data folder that this member votes with.
  StoreId Store_;
  /// Learners receive the log and do not vote.
  bool Voter_ = true;
  std::string Address_;

  bool operator==(const Member &) const = default;
};

enum class RaftRole : std::uint8_t {
  Follower,
  PreCandidate,
  Candidate,
  Leader
};

/// States that a correct group cannot reach; the process must end.
enum class LogFault : std::uint8_t {
  CommittedRecordDiffers ///< A leader's record contradicts a committed one.
};

using LogError = TypedError<LogFault>;

/// What became of a proposal.
enum class ProposeStatus : std::uint8_t {
  Committed, ///< Durable on a majority and applied here.
  NotLeader, ///< Not taken; nothing was done.
  Refused,   ///< The leader does not allow this change now; nothing was done.
  Unknown    ///< Leadership was lost while it was under way.
};

/// Why a change of the members is refused for now.
enum class ChangeObstacle : std::uint8_t {
  NotLeader,          ///< This replica does not lead, or hands over.
  TermNotCommitted,   ///< No record of the leader's own term is committed yet.
  ChangeNotCommitted, ///< The last change is not committed yet.
  LastVoter,          ///< No other voter would be left.
  UnknownMember,      ///< There is no such member.
  UnknownStore,       ///< The member's data folder is not known.
  NotLearner,         ///< A member has to be a learner before it may vote.
  NotCaughtUp         ///< The learner lags too far behind the leader.
};

struct ProposeResult {
  ProposeStatus Status_ = ProposeStatus::NotLeader;
  LogIndex Index_;
  /// What the Apply hook returned.
  std::string Output_;
};

/// The state machine that the log drives. All hooks are deterministic.
struct StateMachineHooks {
  /// Applies one committed command and returns its output.
  std::function<std::string(LogIndex, std::string_view Command)> Apply_;
  /// Returns the whole state, to be restored by `Restore_` on any replica.
  std::function<std::string()> Snapshot_;
  std::function<void(std::string_view)> Restore_;
};

struct ReplicatedLogOptions {
  ReplicaId Self_;
  /// First members, used until the log names any; empty for a learner that
  /// waits to be added. A member's `Store_` 0 stands for the store that it
  /// starts with; the first leader, which needs the votes of all of them,
  /// records what these are.
  std::vector<Member> FirstMembers_;
  Duration ElectionTimeout_ = std::chrono::milliseconds(500);
  Duration HeartbeatPeriod_ = std::chrono::milliseconds(100);
  /// Bound on how much clocks of two VMs may differ in rate, in thousandths.
  std::uint32_t DriftPermille_ = 20;
  std::size_t SnapshotEveryRecords_ = 10000;
  /// A snapshot is also made once the payloads of the records after the last
  /// one have this many bytes; 0 is no bound. A few records of a large
  /// configuration fill a small disk.
  std::uint64_t MaxLogBytes_ = 0;
  std::size_t MaxBatchBytes_ = 256U << 10U;
  std::uint64_t Seed_ = 1;
  StateMachineHooks Machine_;
  /// Sends bytes to a peer; they may be lost, doubled or late.
  std::function<void(ReplicaId To, std::string Bytes)> Send_;
  /// Returns whether bytes of the last long message to a peer have not left
  /// yet; it is not sent again until they have. May be empty.
  std::function<bool(ReplicaId To)> IsSending_;
  /// Called when this replica becomes leader or stops being it.
  std::function<void(bool Leader)> OnLeadership_;
};

/// One replica of the log.
class ReplicatedLog {
public:
  /// Recovers from \p Disk. Throws StorageError.
  ReplicatedLog(ReplicatedLogOptions Options, std::unique_ptr<Storage> Disk,
                TimePoint Now);
  ~ReplicatedLog();

  /// Runs timers, syncs what has been queued and sends what follows from it.
  /// Call it every few milliseconds and after each batch of input. Throws
  /// StorageError or LogError; the process must end then. While the disk is
  /// full the replica neither leads nor votes nor acknowledges, and goes on
  /// once there is room.
  void tick(TimePoint Now);

  /// Hands leadership over to a follower that has every record, within an
  /// election timeout. From now on this replica refuses proposals and holds no
  /// lease. Has no effect where it does not lead.
  void transferLeadership();

  /// Takes bytes that a peer's Send hook was given.
  void receive(TimePoint Now, ReplicaId From, std::string_view Bytes);

  /// Proposes a command; \p Done runs exactly once, from within a later
  /// `tick()`, unless the log is destroyed before.
  void propose(std::string Command, std::function<void(ProposeResult)> Done);

  /// Calls \p Done with true once everything committed before this call is
  /// applied here and this replica is known to lead still. It runs from within
  /// a later `tick()`.
  void readBarrier(std::function<void(bool)> Done);

  /// Adds, promotes, demotes or removes one member; one change at a time. A new
  /// member, and one with another store than before, must join as a learner
  /// and is promoted once it has caught up. `Store_` 0 stands for the store
  /// that the member was last seen with.
  void changeMember(Member Target, bool Remove,
                    std::function<void(ProposeResult)> Done);

  /// Returns why `changeMember` would refuse the change now, or nothing if it
  /// would propose it.
  std::optional<ChangeObstacle> changeObstacle(const Member &Target,
                                               bool Remove) const;

  /// Makes a snapshot within a later `tick()`, if records follow the last one.
  void requestSnapshot();
  /// Bytes of the state in the newest snapshot.
  std::size_t snapshotBytes() const;

  /// Calls \p Visit with each command that is in this replica's log and not
  /// applied yet, committed or not, in order.
  void visitUnapplied(
      const std::function<void(std::string_view Command)> &Visit) const;

  RaftRole role() const;
  /// True while this replica leads and a majority has answered it recently
  /// enough that no other leader can have been elected.
  bool holdsLeaderLease(TimePoint Now) const;
  ReplicaId leader() const;
  Term term() const;
  LogIndex commitIndex() const;
  LogIndex appliedIndex() const;
  const std::vector<Member> &members() const;
  StoreId store() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace dragonfly::consensus

namespace dragonfly {

template <> struct EnumTable<consensus::LogFault> {
  static constexpr std::array<EnumName<consensus::LogFault>, 1> Rows{{
      {consensus::LogFault::CommittedRecordDiffers, "committed-record-differs"},
  }};
};

template <> struct EnumTable<consensus::ChangeObstacle> {
  using Obstacle = consensus::ChangeObstacle;
  static constexpr std::array<EnumName<Obstacle>, 8> Rows{{
      {Obstacle::NotLeader, "not-leader"},
      {Obstacle::TermNotCommitted, "term-not-committed"},
      {Obstacle::ChangeNotCommitted, "change-not-committed"},
      {Obstacle::LastVoter, "last-voter"},
      {Obstacle::UnknownMember, "unknown-member"},
      {Obstacle::UnknownStore, "unknown-store"},
      {Obstacle::NotLearner, "not-learner"},
      {Obstacle::NotCaughtUp, "not-caught-up"},
  }};
};

template <> struct EnumTable<consensus::RaftRole> {
  static constexpr std::array<EnumName<consensus::RaftRole>, 4> Rows{{
      {consensus::RaftRole::Follower, "follower"},
      {consensus::RaftRole::PreCandidate, "pre-candidate"},
      {consensus::RaftRole::Candidate, "candidate"},
      {consensus::RaftRole::Leader, "leader"},
  }};
};

} // namespace dragonfly

#endif // DRAGONFLY_CONSENSUS_REPLICATEDLOG_H
