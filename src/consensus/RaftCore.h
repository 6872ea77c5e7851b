/// One replica's state and the systems that run over it. `ReplicatedLog` is
/// its public face; the functions are spread over Election.cpp,
/// Replication.cpp, SnapshotTransfer.cpp and Commit.cpp.
///
/// Nothing leaves the replica from within a handler: messages are queued, and
/// `tick()` sends those that state something durable only after a sync.
#ifndef DRAGONFLY_SRC_CONSENSUS_RAFTCORE_H
#define DRAGONFLY_SRC_CONSENSUS_RAFTCORE_H

#include "consensus/Membership.h"
#include "consensus/RaftMessages.h"
#include "consensus/RecordLog.h"
#include "dragonfly/base/Random.h"

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <utility>

namespace dragonfly::consensus {

/// The encoded snapshot that is being streamed to one peer.
struct Transfer {
  std::shared_ptr<const Snapshot> Snapshot_;
  std::uint32_t Checksum_ = 0;
  std::uint64_t Offset_ = 0;
};

/// What a leader knows of one member.
struct Peer {
  StoreId Store_;
  LogIndex Next_;
  LogIndex Match_;
  /// Highest commit index that it was sent.
  LogIndex SentCommit_;
  std::uint64_t SentRound_ = 0;
  std::uint64_t AckedRound_ = 0;
  /// When the newest request that it acknowledged was made.
  TimePoint AckedAt_ = TimePoint::min();
  /// When this row was made.
  TimePoint KnownSince_{};
  TimePoint LastSent_{};
  /// True while records or a chunk are under way.
  bool Awaiting_ = false;
  TimePoint AwaitingSince_{};
  /// It has held every committed record since this row was made.
  bool CaughtUp_ = false;
  std::optional<Transfer> Transfer_;
};

/// The snapshot that a follower is receiving.
struct Incoming {
  LogIndex Index_;
  Term Term_;
  std::string Bytes_;
};

class RaftCore {
public:
  using ProposeHandler = std::function<void(ProposeResult)>;
  using ReadHandler = std::function<void(bool)>;

  RaftCore(ReplicatedLogOptions Options, std::unique_ptr<Storage> Disk,
           TimePoint Now);

  void tick(TimePoint Now);
  void receive(TimePoint Now, ReplicaId From, std::string_view Bytes);
  void propose(std::string Command, ProposeHandler Done);
  void readBarrier(ReadHandler Done);
  void changeMember(Member Target, bool Remove, ProposeHandler Done);
  std::optional<ChangeObstacle> changeObstacle(Member Target,
                                               bool Remove) const;
  void transferLeadership();
  void requestSnapshot() { FreshSnapshotDue_ = true; }
  std::size_t snapshotBytes() const { return Snapshot_->State_.size(); }

  void visitUnapplied(
      const std::function<void(std::string_view Command)> &Visit) const;

  RaftRole role() const { return Role_; }
  bool holdsLeaderLease(TimePoint Now) const;
  ReplicaId leader() const { return Leader_; }
  Term term() const { return Hard_.Term_; }
  LogIndex commitIndex() const { return Commit_; }
  LogIndex appliedIndex() const { return Applied_; }
  const std::vector<Member> &members() const { return Members_.members(); }
  StoreId store() const { return Store_; }

private:
  struct Outgoing {
    ReplicaId To_;
    std::string Bytes_;
  };
  struct Pending {
    Term Term_;
    ProposeHandler Done_;
  };
  struct Barrier {
    std::uint64_t Round_ = 0;
    LogIndex Index_;
    ReadHandler Done_;
  };

  // RaftCore.cpp
  void recover();
  void post(ReplicaId To, StoreId ToStore, RaftMessage Value);
  /// Queues a message that may leave before this replica's own sync.
  void postEarly(ReplicaId To, StoreId ToStore, RaftMessage Value);
  void flush();
  bool makeDurable();
  void noteDiskFull(const StorageError &Failure);
  bool acceptsEnvelope(ReplicaId From, const Envelope &Value);
  void later(std::function<void()> Work);
  void runDeferred();
  void appendRecord(Record Value);
  void truncateLog(LogIndex From);
  void adoptTerm(Term Value);
  bool isSelf(const Member &Row) const;
  Stamp makeStamp() const;

  // Election.cpp
  void tickElection();
  bool mayCampaign() const;
  bool hearsLeader() const;
  void exclude(StoreId Member);
  void restartElectionTimer();
  enum class Campaign : std::uint8_t { PreVote, Vote, Transfer };
  void campaign(Campaign Kind);
  void answerVote(ReplicaId From, StoreId Store, const VoteRequest &Value,
                  bool IsTransfer);
  void countVotes();
  void becomeFollower(Term NewTerm, ReplicaId NewLeader);
  void becomeLeader();
  bool isUpToDate(const VoteRequest &Asked) const;
  void on(ReplicaId From, StoreId Store, const VoteRequest &Value);
  void on(ReplicaId From, StoreId Store, const VoteReply &Value);
  void on(ReplicaId From, StoreId Store, const LeadershipTransfer &Value);
  void on(ReplicaId From, StoreId Store, const TransferVoteRequest &Value);
  void on(ReplicaId From, StoreId Store, const StoreMismatch &Value);

  // Replication.cpp
  void tickLeader();
  void syncPeers();
  void replicateTo(const Member &Row, Peer &To);
  /// Sends the next records or the next chunk of a snapshot.
  void sendMissing(const Member &Row, Peer &To);
  void sendRecords(const Member &Row, Peer &To);
  void sendHeartbeat(const Member &Row, Peer &To);
  Peer *acknowledge(ReplicaId From, StoreId Store, Term ReplyTerm,
                    const Stamp &Value);
  /// Logs the first time that \p Row holds every committed record.
  void noteProgress(ReplicaId Id, Peer &Row);
  AppendReply answerAppend(const AppendRequest &Value);
  void takeRecords(const AppendRequest &Value);
  void on(ReplicaId From, StoreId Store, const AppendRequest &Value);
  void on(ReplicaId From, StoreId Store, const AppendReply &Value);
  bool followLeader(ReplicaId From, Term LeaderTerm);
  static bool isWellFormed(const AppendRequest &Value);
  bool hearsQuorum() const;
  void tickTransfer();

  // SnapshotTransfer.cpp
  void sendChunk(const Member &Row, Peer &To);
  void on(ReplicaId From, StoreId Store, const InstallRequest &Value);
  void on(ReplicaId From, StoreId Store, const InstallReply &Value);
  void takeChunk(const InstallRequest &Value, InstallReply &Reply);
  void install(const InstallRequest &Value, std::string State);
  /// True where \p Row lacks records that are gone, or holds nothing at all.
  bool needsSnapshot(const Peer &Row) const;
  void takeSnapshot();
  bool isSnapshotDue() const;
  /// True where a peer that needs a snapshot gets fewer bytes if one is made
  /// now than with the records behind the last one.
  bool isFreshSnapshotWorthwhile() const;
  LogIndex retainedFrom() const;
  /// True where \p Row has acknowledged within an election timeout.
  bool followsClosely(const Peer &Row) const;

  // Commit.cpp
  bool tryAppend(Record Value);
  void advanceCommit();
  void applyCommitted();
  void applyRecord(const Record &Value);
  void finishBarriers();
  void failPending();
  bool hasCaughtUp(ReplicaId Id) const;

  ReplicatedLogOptions Options_;
  std::unique_ptr<Storage> Disk_;
  RandomEngine Random_;
  TimePoint Now_;

  StoreId Store_;
  HardState Hard_;
  Membership Members_;
  RecordLog Log_;
  std::shared_ptr<const Snapshot> Snapshot_;
  LogIndex Commit_;
  LogIndex Applied_;

  RaftRole Role_ = RaftRole::Follower;
  ReplicaId Leader_;
  TimePoint LeaderHeardAt_;
  TimePoint ElectionAt_;
  /// The others know this replica under another store.
  bool Excluded_ = false;
  std::map<ReplicaId, StoreId> Votes_;
  std::optional<Incoming> Incoming_;

  // As leader.
  std::map<ReplicaId, Peer> Peers_;
  /// Stores that members were seen with, where they differ from their rows.
  std::map<ReplicaId, StoreId> Observed_;
  LogIndex TermStart_;
  /// Since when this leader hands over; it takes and decides nothing more.
  std::optional<TimePoint> TransferBegan_;
  bool TransferSent_ = false;
  std::uint64_t Round_ = 0;
  std::map<LogIndex, Pending> Pending_;
  std::vector<Barrier> Barriers_;

  /// Records wait for a sync.
  bool Dirty_ = false;
  /// Term or vote wait to be saved.
  bool HardDirty_ = false;
  bool DiskFull_ = false;
  TimePoint DiskRetryAt_;
  /// Payload bytes of the records applied since the snapshot.
  std::uint64_t LogBytes_ = 0;
  TimePoint SnapshotRetryAt_;
  /// A snapshot has been asked for, by the owner or for a peer that waits.
  bool FreshSnapshotDue_ = false;
  std::vector<Outgoing> Early_;
  std::vector<Outgoing> AfterSync_;
  std::vector<std::function<void()>> Deferred_;
};

} // namespace dragonfly::consensus

#endif // DRAGONFLY_SRC_CONSENSUS_RAFTCORE_H
