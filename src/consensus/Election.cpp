#include "consensus/RaftCore.h"

#include "dragonfly/base/Log.h"

namespace dragonfly::consensus {

/// Pre-votes and votes are repeated after these parts of what a follower waits:
/// a pre-vote takes a round trip, a vote a few syncs as well.
static constexpr int PreVoteRetryShare = 4;
static constexpr int VoteRetryShare = 2;

void RaftCore::tickElection() {
  if (Now_ < ElectionAt_)
    return;
  restartElectionTimer();
  Leader_ = {};
  if (mayCampaign())
    campaign(Campaign::PreVote);
}

bool RaftCore::mayCampaign() const {
  return !DiskFull_ && (!Excluded_ || Members_.formed()) &&
         Members_.isVoter(Options_.Self_, Store_);
}

/// True while a leader may count on this replica not to vote for another. A
/// replica that has just started counts as having heard one, since it cannot
/// know what it acknowledged before.
bool RaftCore::hearsLeader() const {
  return Role_ == RaftRole::Leader ||
         Now_ - LeaderHeardAt_ < Options_.ElectionTimeout_;
}

void RaftCore::restartElectionTimer() {
  std::uniform_int_distribution<Duration::rep> Extra(
      0, Options_.ElectionTimeout_.count() - 1);
  ElectionAt_ = Now_ + Options_.ElectionTimeout_ + Duration(Extra(Random_));
}

void RaftCore::campaign(Campaign Kind) {
  const bool Pre = Kind == Campaign::PreVote;
  Role_ = Pre ? RaftRole::PreCandidate : RaftRole::Candidate;
  // Those who refuse a pre-vote since they have just started or heard a leader
  // will soon grant it; a vote that is split is tried again soon as well.
  restartElectionTimer();
  ElectionAt_ =
      Now_ + (ElectionAt_ - Now_) / (Pre ? PreVoteRetryShare : VoteRetryShare);
  if (!Pre) {
    Hard_ = {{Hard_.Term_.Value_ + 1}, Options_.Self_};
    HardDirty_ = true;
  }
  Votes_.clear();
  Votes_[Options_.Self_] = Store_;
  const Term Asked{Hard_.Term_.Value_ + (Pre ? 1 : 0)};
  for (const Member &Row : members()) {
    if (!Row.Voter_ || isSelf(Row))
      continue;
    if (Kind == Campaign::Transfer)
      post(Row.Id_, Row.Store_,
           TransferVoteRequest{Asked, Log_.lastIndex(), Log_.lastTerm()});
    else
      post(Row.Id_, Row.Store_,
           VoteRequest{Asked, Pre, Log_.lastIndex(), Log_.lastTerm()});
  }
  countVotes();
}

/// A vote counts only under the store that the membership names.
void RaftCore::countVotes() {
  const bool Won = Members_.reachesQuorum([this](const Member &Row) {
    const auto Vote = Votes_.find(Row.Id_);
    return Vote != Votes_.end() && (!Row.Store_ || Row.Store_ == Vote->second);
  });
  if (!Won)
    return;
  if (Role_ == RaftRole::PreCandidate)
    campaign(Campaign::Vote);
  else if (Role_ == RaftRole::Candidate)
    becomeLeader();
}

void RaftCore::becomeFollower(Term NewTerm, ReplicaId NewLeader) {
  const bool Led = Role_ == RaftRole::Leader;
  if (NewTerm > Hard_.Term_)
    adoptTerm(NewTerm);
  Role_ = RaftRole::Follower;
  TransferBegan_.reset();
  Leader_ = NewLeader;
  restartElectionTimer();
  if (!Led)
    return;
  Peers_.clear();
  failPending();
  logEvent(Event::LeaderLost,
           {{"replica", Options_.Self_.Value_}, {"term", Hard_.Term_.Value_}});
  if (Options_.OnLeadership_)
    later([Hook = Options_.OnLeadership_] { Hook(false); });
}

/// The first leader of a new group records the stores of all its members; any
/// other appends an empty record, whose commit settles what came before it.
void RaftCore::becomeLeader() {
  Role_ = RaftRole::Leader;
  Leader_ = Options_.Self_;
  Record First{nextIndex(Log_.lastIndex()), Hard_.Term_, RecordKind::Empty, {}};
  if (!Members_.formed()) {
    std::vector<Member> Rows = members();
    for (Member &Row : Rows)
      if (!Row.Store_)
        Row.Store_ = Votes_[Row.Id_];
    std::erase_if(Rows, [](const Member &Row) { return !Row.Store_; });
    First.Kind_ = RecordKind::Membership;
    First.Payload_ = encodeMembers(Rows);
  }
  TermStart_ = First.Index_;
  if (!tryAppend(std::move(First)))
    return;
  Peers_.clear();
  syncPeers();
  logEvent(Event::LeaderElected,
           {{"replica", Options_.Self_.Value_}, {"term", Hard_.Term_.Value_}});
  if (Options_.OnLeadership_)
    later([Hook = Options_.OnLeadership_] { Hook(true); });
}

bool RaftCore::isUpToDate(const VoteRequest &Asked) const {
  return Asked.LastTerm_ != Log_.lastTerm()
             ? Asked.LastTerm_ > Log_.lastTerm()
             : Asked.LastIndex_ >= Log_.lastIndex();
}

void RaftCore::on(ReplicaId From, StoreId Store, const VoteRequest &Value) {
  answerVote(From, Store, Value, /*IsTransfer=*/false);
}

void RaftCore::on(ReplicaId From, StoreId Store,
                  const TransferVoteRequest &Value) {
  answerVote(From, Store,
             {.Term_ = Value.Term_,
              .LastIndex_ = Value.LastIndex_,
              .LastTerm_ = Value.LastTerm_},
             /*IsTransfer=*/true);
}

/// Campaigns at once where the leader of this term asks for it.
void RaftCore::on(ReplicaId From, StoreId /*Store*/,
                  const LeadershipTransfer &Value) {
  if (Value.Term_ == Hard_.Term_ && Role_ == RaftRole::Follower &&
      Leader_ == From && mayCampaign())
    campaign(Campaign::Transfer);
}

/// The leader that transfers its place holds no lease, so that its followers
/// need not keep their votes until that has run out.
void RaftCore::answerVote(ReplicaId From, StoreId Store,
                          const VoteRequest &Value, bool IsTransfer) {
  const Member *Row = Members_.find(From);
  const bool Empty = !Value.LastIndex_;
  if (Empty && Row && Row->Store_ && Row->Store_ != Store) {
    post(From, Store, StoreMismatch{Row->Store_});
    return;
  }
  bool Granted = (IsTransfer || !hearsLeader()) && isUpToDate(Value);
  if (Granted && !Value.Pre_ && Value.Term_ > Hard_.Term_)
    becomeFollower(Value.Term_, {});
  Granted = Granted && (Value.Term_ > Hard_.Term_ ||
                        (Value.Term_ == Hard_.Term_ &&
                         (!Hard_.VotedFor_ || Hard_.VotedFor_ == From)));
  if (Granted && !Value.Pre_) {
    Hard_.VotedFor_ = From;
    HardDirty_ = true;
    restartElectionTimer();
  }
  post(From, Store, VoteReply{Hard_.Term_, Value.Term_, Value.Pre_, Granted});
}

void RaftCore::on(ReplicaId From, StoreId Store, const VoteReply &Value) {
  if (Value.Term_ > Hard_.Term_) {
    becomeFollower(Value.Term_, {});
    return;
  }
  const bool Wanted =
      Value.Pre_ ? Role_ == RaftRole::PreCandidate &&
                       Value.Asked_.Value_ == Hard_.Term_.Value_ + 1
                 : Role_ == RaftRole::Candidate && Value.Asked_ == Hard_.Term_;
  if (!Wanted || !Value.Granted_)
    return;
  Votes_[From] = Store;
  countVotes();
}

/// Keeps a replica without recorded members from campaigning, since the group
/// names \p Member as its store.
void RaftCore::exclude(StoreId Member) {
  if (Excluded_ || Members_.formed())
    return;
  Excluded_ = true;
  logEvent(Event::StoreUnknown, {{"replica", Options_.Self_.Value_},
                                 {"store", Store_.Value_},
                                 {"member", Member.Value_}});
}

void RaftCore::on(ReplicaId From, StoreId Store, const StoreMismatch &Value) {
  if (Value.Member_ != Store_)
    exclude(Value.Member_);
  Observed_[From] = Store;
}

} // namespace dragonfly::consensus
