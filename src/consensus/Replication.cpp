#include "consensus/RaftCore.h"

#include "dragonfly/base/Log.h"

#include <algorithm>

namespace dragonfly::consensus {

/// Election timeouts after which a transfer to a silent peer is given up.
static constexpr int TransferPatience = 10;

void RaftCore::tickLeader() {
  if (!hearsQuorum()) {
    becomeFollower(Hard_.Term_, {});
    return;
  }
  for (const Member &Row : members())
    if (!isSelf(Row))
      replicateTo(Row, Peers_.at(Row.Id_));
  if (TransferBegan_)
    tickTransfer();
}

void RaftCore::transferLeadership() {
  if (Role_ != RaftRole::Leader || TransferBegan_)
    return;
  TransferBegan_ = Now_;
  TransferSent_ = false;
}

/// Asks a voter that has everything to campaign. The lease stays given up for
/// the rest of the term, since the request may arrive at any time.
void RaftCore::tickTransfer() {
  if (Now_ - *TransferBegan_ >= Options_.ElectionTimeout_) {
    becomeFollower(Hard_.Term_, {});
    return;
  }
  if (TransferSent_ || Commit_ != Log_.lastIndex())
    return;
  const auto Next = std::ranges::find_if(members(), [this](const Member &Row) {
    const auto Found = Peers_.find(Row.Id_);
    return Row.Voter_ && !isSelf(Row) && Found != Peers_.end() &&
           Found->second.Match_ == Log_.lastIndex() &&
           followsClosely(Found->second);
  });
  if (Next == members().end())
    return;
  TransferSent_ = true;
  logEvent(Event::LeadershipTransferred,
           {{"replica", Options_.Self_.Value_}, {"to", Next->Id_.Value_}});
  post(Next->Id_, Next->Store_, LeadershipTransfer{Hard_.Term_});
}

/// A leader that has not been acknowledged by a quorum for a whole election
/// timeout steps down, so that nobody waits for it. A new row counts as heard
/// when it was made.
bool RaftCore::hearsQuorum() const {
  return Members_.reachesQuorum([this](const Member &Row) {
    const auto Found = Peers_.find(Row.Id_);
    if (isSelf(Row) || Found == Peers_.end())
      return isSelf(Row);
    return followsClosely(Found->second);
  });
}

/// Counted from when the acknowledged requests were made, and shortened by
/// what the clocks of two replicas may differ by.
bool RaftCore::holdsLeaderLease(TimePoint Now) const {
  constexpr std::int64_t Thousand = 1000;
  if (Role_ != RaftRole::Leader || TransferBegan_)
    return false;
  const std::int64_t Permille =
      Thousand - 2 * static_cast<std::int64_t>(Options_.DriftPermille_);
  const Duration Lease = Options_.ElectionTimeout_ * Permille / Thousand;
  return Members_.reachesQuorum([&](const Member &Row) {
    const auto Found = Peers_.find(Row.Id_);
    if (isSelf(Row) || Found == Peers_.end())
      return isSelf(Row);
    return Now < Found->second.AckedAt_ + Lease;
  });
}

/// Keeps one row per other member, under its present store.
void RaftCore::syncPeers() {
  std::erase_if(Peers_, [this](const auto &Entry) {
    const Member *Row = Members_.find(Entry.first);
    return !Row || Row->Store_ != Entry.second.Store_;
  });
  for (const Member &Row : members()) {
    if (isSelf(Row) || Peers_.contains(Row.Id_))
      continue;
    Peer &Added = Peers_[Row.Id_];
    Added.Store_ = Row.Store_;
    Added.Next_ = Log_.lastIndex();
    Added.KnownSince_ = Now_;
  }
}

void RaftCore::replicateTo(const Member &Row, Peer &To) {
  // How long a message takes to leave depends on its size and on the link.
  if (To.Awaiting_ && Options_.IsSending_ && Options_.IsSending_(Row.Id_))
    To.AwaitingSince_ = Now_;
  if (To.Awaiting_ && Now_ - To.AwaitingSince_ >= Options_.ElectionTimeout_ / 2)
    To.Awaiting_ = false;
  if (To.Transfer_ && Now_ - std::max(To.AckedAt_, To.KnownSince_) >=
                          TransferPatience * Options_.ElectionTimeout_)
    To.Transfer_.reset();
  if (!To.Awaiting_)
    sendMissing(Row, To);
  const bool CommitUnknown =
      !To.Awaiting_ && To.SentCommit_ < std::min(Commit_, To.Match_);
  const bool BarrierWaits = !Barriers_.empty() && To.SentRound_ < Round_;
  if (CommitUnknown || BarrierWaits ||
      Now_ - To.LastSent_ >= Options_.HeartbeatPeriod_)
    sendHeartbeat(Row, To);
}

void RaftCore::sendMissing(const Member &Row, Peer &To) {
  if (needsSnapshot(To)) {
    if (!To.Transfer_ && isFreshSnapshotWorthwhile())
      FreshSnapshotDue_ = true;
    else
      sendChunk(Row, To);
  } else if (To.Next_ <= Log_.lastIndex()) {
    sendRecords(Row, To);
  }
}

void RaftCore::sendRecords(const Member &Row, Peer &To) {
  const LogIndex Previous = previousIndex(To.Next_);
  AppendRequest Value{
      Hard_.Term_, Previous,    *Log_.termAt(Previous),
      Commit_,     makeStamp(), Log_.slice(To.Next_, Options_.MaxBatchBytes_)};
  To.SentCommit_ = std::min(Commit_, Value.Records_.back().Index_);
  To.SentRound_ = Round_;
  To.Awaiting_ = true;
  To.AwaitingSince_ = To.LastSent_ = Now_;
  postEarly(Row.Id_, Row.Store_, std::move(Value));
}

/// Sent at the index that is known to match, so that it succeeds whatever is
/// still under way.
void RaftCore::sendHeartbeat(const Member &Row, Peer &To) {
  const LogIndex Previous = std::max(To.Match_, Log_.baseIndex());
  To.SentCommit_ = std::min(Commit_, To.Match_);
  To.SentRound_ = Round_;
  To.LastSent_ = Now_;
  postEarly(Row.Id_, Row.Store_,
            AppendRequest{Hard_.Term_,
                          Previous,
                          *Log_.termAt(Previous),
                          Commit_,
                          makeStamp(),
                          {}});
}

/// Takes a reply's stamp; returns the peer's row where the reply counts.
Peer *RaftCore::acknowledge(ReplicaId From, StoreId Store, Term ReplyTerm,
                            const Stamp &Value) {
  if (ReplyTerm > Hard_.Term_) {
    becomeFollower(ReplyTerm, {});
    return nullptr;
  }
  const auto Found = Peers_.find(From);
  if (Role_ != RaftRole::Leader || ReplyTerm < Hard_.Term_ ||
      Found == Peers_.end() || Found->second.Store_ != Store)
    return nullptr;
  Peer &Row = Found->second;
  Row.AckedRound_ = std::max(Row.AckedRound_, Value.Round_);
  Row.AckedAt_ = std::max(Row.AckedAt_, TimePoint(Duration(Value.SentAt_)));
  return &Row;
}

void RaftCore::noteProgress(ReplicaId Id, Peer &Row) {
  const Member *Known = Members_.find(Id);
  if (Row.CaughtUp_ || Row.Match_ < Commit_ || !Known || Known->Voter_)
    return;
  Row.CaughtUp_ = true;
  logEvent(Event::LearnerCaughtUp,
           {{"replica", Id.Value_},
            {"store", Row.Store_.Value_},
            {"index", Row.Match_.Value_},
            {"age_ms", static_cast<std::uint64_t>(
                           toMilliseconds(Now_ - Row.KnownSince_))}});
}

void RaftCore::on(ReplicaId From, StoreId Store, const AppendReply &Value) {
  Peer *Row = acknowledge(From, Store, Value.Term_, Value.Stamp_);
  if (!Row)
    return;
  if (Value.Matched_) {
    Row->Match_ = std::max(Row->Match_, Value.Index_);
    noteProgress(From, *Row);
    if (Row->Match_ >= Row->Next_) {
      Row->Next_ = nextIndex(Row->Match_);
      Row->Awaiting_ = false;
    }
  } else if (Value.Previous_ == previousIndex(Row->Next_) &&
             Value.Index_ < Value.Previous_) {
    Row->Next_ = std::max(nextIndex(Value.Index_), nextIndex(Row->Match_));
    Row->Awaiting_ = false;
  }
}

/// Returns false where the sender's term is over.
bool RaftCore::followLeader(ReplicaId From, Term LeaderTerm) {
  if (LeaderTerm < Hard_.Term_)
    return false;
  if (LeaderTerm > Hard_.Term_ || Role_ != RaftRole::Follower ||
      Leader_ != From)
    becomeFollower(LeaderTerm, From);
  LeaderHeardAt_ = Now_;
  restartElectionTimer();
  return true;
}

bool RaftCore::isWellFormed(const AppendRequest &Value) {
  LogIndex Expected = Value.Previous_;
  return std::ranges::all_of(Value.Records_, [&](const Record &Row) {
    Expected = nextIndex(Expected);
    return Row.Index_ == Expected && Row.Term_ <= Value.Term_;
  });
}

void RaftCore::on(ReplicaId From, StoreId Store, const AppendRequest &Value) {
  if (!isWellFormed(Value))
    throw CodecError(CodecFault::Malformed, "records out of order");
  const bool Current = followLeader(From, Value.Term_);
  AppendReply Reply = Current ? answerAppend(Value) : AppendReply{};
  Reply.Term_ = Hard_.Term_;
  Reply.Previous_ = Value.Previous_;
  Reply.Stamp_ = Value.Stamp_;
  post(From, Store, Reply);
}

AppendReply RaftCore::answerAppend(const AppendRequest &Value) {
  AppendReply Reply;
  const LogIndex Previous = Value.Previous_;
  if (Previous > Log_.lastIndex()) {
    Reply.Index_ = Log_.lastIndex();
    return Reply;
  }
  if (Previous >= Log_.baseIndex() &&
      Log_.termAt(Previous) != Value.PreviousTerm_) {
    const LogIndex First = Log_.firstOfTerm(Previous);
    Reply.Index_ = First ? previousIndex(First) : First;
    return Reply;
  }
  takeRecords(Value);
  Reply.Matched_ = true;
  Reply.Index_ = {Previous.Value_ + Value.Records_.size()};
  Commit_ = std::max(Commit_, std::min(Value.Commit_, Reply.Index_));
  return Reply;
}

/// Records that are held already under the same term are passed over; the
/// first one that differs replaces everything from there on.
void RaftCore::takeRecords(const AppendRequest &Value) {
  for (const Record &Row : Value.Records_) {
    if (Row.Index_ <= Log_.baseIndex() || Log_.termAt(Row.Index_) == Row.Term_)
      continue;
    if (Row.Index_ <= Log_.lastIndex()) {
      if (Row.Index_ <= Commit_)
        throw LogError(LogFault::CommittedRecordDiffers,
                       "index " + std::to_string(Row.Index_.Value_));
      truncateLog(Row.Index_);
    }
    appendRecord(Row);
  }
}

} // namespace dragonfly::consensus
