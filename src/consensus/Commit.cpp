#include "consensus/RaftCore.h"

#include <algorithm>

namespace dragonfly::consensus {

/// A learner may lag by this many records when it is promoted.
static constexpr std::uint64_t MaxPromotionLagRecords = 1000;

void RaftCore::propose(std::string Command, ProposeHandler Done) {
  if (Role_ != RaftRole::Leader || TransferBegan_) {
    later([Done = std::move(Done)] { Done({}); });
    return;
  }
  const LogIndex Index = nextIndex(Log_.lastIndex());
  if (tryAppend({Index, Hard_.Term_, RecordKind::Command, std::move(Command)}))
    Pending_[Index] = {Hard_.Term_, std::move(Done)};
  else
    later([Done = std::move(Done)] { Done({}); });
}

/// Returns false, and leads no longer, where the disk is full; nothing was
/// appended then.
bool RaftCore::tryAppend(Record Value) {
  try {
    appendRecord(std::move(Value));
    return true;
  } catch (const StorageError &Failure) {
    noteDiskFull(Failure);
    return false;
  }
}

/// The barrier waits for a record of this term as well: before one is
/// committed a leader cannot know what its predecessors committed.
void RaftCore::readBarrier(ReadHandler Done) {
  if (Role_ != RaftRole::Leader) {
    later([Done = std::move(Done)] { Done(false); });
    return;
  }
  ++Round_;
  Barriers_.push_back({Round_, std::max(Commit_, TermStart_), std::move(Done)});
}

void RaftCore::changeMember(Member Target, bool Remove, ProposeHandler Done) {
  if (!Target.Store_ && Observed_.contains(Target.Id_))
    Target.Store_ = Observed_[Target.Id_];
  if (const auto Obstacle = changeObstacle(Target, Remove)) {
    const ProposeStatus Status = *Obstacle == ChangeObstacle::NotLeader
                                     ? ProposeStatus::NotLeader
                                     : ProposeStatus::Refused;
    later([Done = std::move(Done), Status] { Done({Status, {}, {}}); });
    return;
  }
  std::vector<Member> Rows = members();
  std::erase_if(Rows, [&](const Member &Row) { return Row.Id_ == Target.Id_; });
  if (!Remove)
    Rows.push_back(std::move(Target));
  std::ranges::sort(Rows, {}, &Member::Id_);
  const LogIndex Index = nextIndex(Log_.lastIndex());
  if (!tryAppend(
          {Index, Hard_.Term_, RecordKind::Membership, encodeMembers(Rows)})) {
    later([Done = std::move(Done)] { Done({}); });
    return;
  }
  Pending_[Index] = {Hard_.Term_, std::move(Done)};
  syncPeers();
}

/// One change at a time, each moving at most one voter, and only after a
/// record of this term has been committed.
std::optional<ChangeObstacle> RaftCore::changeObstacle(Member Target,
                                                       bool Remove) const {
  if (Role_ != RaftRole::Leader || TransferBegan_)
    return ChangeObstacle::NotLeader;
  if (Commit_ < TermStart_)
    return ChangeObstacle::TermNotCommitted;
  if (Members_.index() > Commit_)
    return ChangeObstacle::ChangeNotCommitted;
  const auto Observed = Observed_.find(Target.Id_);
  if (!Target.Store_ && Observed != Observed_.end())
    Target.Store_ = Observed->second;
  const Member *Row = Members_.find(Target.Id_);
  const bool OtherVoter =
      std::ranges::any_of(members(), [&](const Member &Other) {
        return Other.Voter_ && Other.Id_ != Target.Id_;
      });
  if (Remove && !Row)
    return ChangeObstacle::UnknownMember;
  if (!Remove && !Target.Store_)
    return ChangeObstacle::UnknownStore;
  if ((Remove || !Target.Voter_) && !OtherVoter)
    return ChangeObstacle::LastVoter;
  if (Remove || !Target.Voter_)
    return std::nullopt;
  if (!Row || Row->Store_ != Target.Store_)
    return ChangeObstacle::NotLearner;
  if (!Row->Voter_ && !hasCaughtUp(Target.Id_))
    return ChangeObstacle::NotCaughtUp;
  return std::nullopt;
}

/// With one more voter an odd group needs one more acknowledgement of each
/// record: the learner must then lack no more than one message, whatever its
/// records weigh.
bool RaftCore::hasCaughtUp(ReplicaId Id) const {
  const auto Progress = Peers_.find(Id);
  if (Progress == Peers_.end() || !Progress->second.Match_)
    return false;
  const LogIndex Match = Progress->second.Match_;
  if (Match.Value_ + MaxPromotionLagRecords < Commit_.Value_)
    return false;
  const bool RaisesQuorum =
      std::ranges::count(members(), true, &Member::Voter_) % 2 == 1;
  return !RaisesQuorum || nextIndex(Match) >= Commit_ ||
         Log_.startOfBytes(Commit_, Options_.MaxBatchBytes_) <= Match;
}

/// Only records of the present term are committed by counting; they carry
/// earlier ones with them. Runs after the sync of `tick()`, so that this
/// replica's own copies count.
void RaftCore::advanceCommit() {
  if (Role_ != RaftRole::Leader)
    return;
  const std::int64_t Value =
      Members_.quorumValue([this](const Member &Row) -> std::int64_t {
        if (isSelf(Row))
          return static_cast<std::int64_t>(Log_.lastIndex().Value_);
        const auto Found = Peers_.find(Row.Id_);
        return Found == Peers_.end()
                   ? 0
                   : static_cast<std::int64_t>(Found->second.Match_.Value_);
      });
  const LogIndex Index{
      static_cast<std::uint64_t>(std::max<std::int64_t>(Value, 0))};
  if (Index > Commit_ && Log_.termAt(Index) == Hard_.Term_)
    Commit_ = Index;
}

void RaftCore::applyCommitted() {
  while (Applied_ < Commit_) {
    Applied_ = nextIndex(Applied_);
    LogBytes_ += Log_.at(Applied_).Payload_.size();
    applyRecord(Log_.at(Applied_));
  }
}

void RaftCore::applyRecord(const Record &Value) {
  ProposeResult Result{ProposeStatus::Committed, Value.Index_, {}};
  if (Value.Kind_ == RecordKind::Command)
    Result.Output_ = Options_.Machine_.Apply_(Value.Index_, Value.Payload_);
  const auto Waiting = Pending_.find(Value.Index_);
  if (Waiting != Pending_.end()) {
    if (Waiting->second.Term_ != Value.Term_)
      Result = {ProposeStatus::Unknown, {}, {}};
    later([Done = std::move(Waiting->second.Done_),
           Result = std::move(Result)]() mutable { Done(std::move(Result)); });
    Pending_.erase(Waiting);
  }
  const bool Removed =
      Value.Kind_ == RecordKind::Membership &&
      Value.Index_ == Members_.index() &&
      std::ranges::none_of(members(),
                           [this](const Member &Row) { return isSelf(Row); });
  if (Removed && Role_ == RaftRole::Leader)
    becomeFollower(Hard_.Term_, {});
}

void RaftCore::visitUnapplied(
    const std::function<void(std::string_view Command)> &Visit) const {
  for (LogIndex Index = nextIndex(Applied_); Index <= Log_.lastIndex();
       Index = nextIndex(Index))
    if (Log_.at(Index).Kind_ == RecordKind::Command)
      Visit(Log_.at(Index).Payload_);
}

void RaftCore::finishBarriers() {
  if (Barriers_.empty())
    return;
  const std::int64_t Acked =
      Members_.quorumValue([this](const Member &Row) -> std::int64_t {
        if (isSelf(Row))
          return static_cast<std::int64_t>(Round_);
        const auto Found = Peers_.find(Row.Id_);
        return Found == Peers_.end()
                   ? 0
                   : static_cast<std::int64_t>(Found->second.AckedRound_);
      });
  std::erase_if(Barriers_, [&](Barrier &Waiting) {
    if (static_cast<std::int64_t>(Waiting.Round_) > Acked ||
        Waiting.Index_ > Applied_)
      return false;
    later([Done = std::move(Waiting.Done_)] { Done(true); });
    return true;
  });
}

void RaftCore::failPending() {
  for (auto &[Index, Waiting] : std::exchange(Pending_, {}))
    later([Done = std::move(Waiting.Done_)] {
      Done({ProposeStatus::Unknown, {}, {}});
    });
  for (Barrier &Waiting : std::exchange(Barriers_, {}))
    later([Done = std::move(Waiting.Done_)] { Done(false); });
}

} // namespace dragonfly::consensus
