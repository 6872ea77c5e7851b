#include "consensus/RaftCore.h"

#include "support/MemoryDisk.h"

#include <catch2/catch.hpp>

#include <algorithm>

using namespace dragonfly;
using namespace dragonfly::bench;
using namespace dragonfly::consensus;
using namespace std::chrono_literals;

namespace {

/// What a replica sent, and whether its disk held everything by then.
struct Sent {
  ReplicaId To_;
  Envelope Value_;
  bool AfterSync_ = false;
};

/// One replica of three whose peers are played by the test. Replica N has
/// store N.
class OneReplica {
public:
  OneReplica() : Disk_(std::make_shared<MemoryDisk>(StoreId{1})) {
    std::vector<Member> Rows;
    for (std::uint64_t Id = 1; Id <= 3; ++Id)
      Rows.push_back(
          {.Id_ = {Id}, .Store_ = {Id}, .Voter_ = true, .Address_ = {}});
    hold({{1}, {1}, RecordKind::Membership, encodeMembers(Rows)});
    Disk_->Current_.Hard_.Term_ = {1};
    Disk_->Durable_ = Disk_->Current_;
  }

  /// Adds a record to the disk before the replica starts.
  void hold(Record Value) {
    Disk_->Current_.Records_.push_back(std::move(Value));
    Disk_->Durable_ = Disk_->Current_;
  }

  void start() {
    ReplicatedLogOptions Options{.Self_ = {1}};
    Options.Machine_ = {
        .Apply_ = [](LogIndex, std::string_view) { return std::string(); },
        .Snapshot_ = [] { return std::string(); },
        .Restore_ = [](std::string_view) {}};
    Options.Send_ = [this](ReplicaId To, const std::string &Bytes) {
      const Recovered &Now = Disk_->Current_;
      const Recovered &Safe = Disk_->Durable_;
      Sent_.push_back({To, decodeEnvelope(Bytes),
                       Now.Records_.size() == Safe.Records_.size() &&
                           Now.Hard_.Term_ == Safe.Hard_.Term_ &&
                           Now.Hard_.VotedFor_ == Safe.Hard_.VotedFor_});
    };
    Core_.emplace(std::move(Options), openMemoryStorage(Disk_), Now_);
  }

  void crashAndStart() {
    Disk_->crash(false);
    start();
  }

  void advance(Duration By) {
    Now_ += By;
    Core_->tick(Now_);
  }

  void feed(ReplicaId From, RaftMessage Value) {
    Core_->receive(
        Now_, From,
        encodeEnvelope({StoreId{From.Value_}, StoreId{1}, std::move(Value)}));
    Core_->tick(Now_);
  }

  /// The newest message of one type that was sent.
  template <typename T> const Sent &last() const {
    const auto Found =
        std::find_if(Sent_.rbegin(), Sent_.rend(), [](const Sent &Row) {
          return std::holds_alternative<T>(Row.Value_.Message_);
        });
    REQUIRE(Found != Sent_.rend());
    return *Found;
  }

  template <typename T> const T &lastMessage() const {
    return std::get<T>(last<T>().Value_.Message_);
  }

  void becomeLeader() {
    advance(1s);
    const Term Asked = lastMessage<VoteRequest>().Term_;
    feed({2}, VoteReply{{1}, Asked, true, true});
    feed({2}, VoteReply{Asked, Asked, false, true});
    REQUIRE(core().role() == RaftRole::Leader);
  }

  RaftCore &core() { return *Core_; }
  std::size_t sentCount() const { return Sent_.size(); }
  /// Makes every write fail for want of room, or lets them through again.
  void setDiskFull(bool Full) {
    Disk_->OnStep_ = [Full](DiskStep, bool After) {
      if (Full && !After)
        throw StorageError(StorageFault::DiskFull, "test");
    };
  }

private:
  std::shared_ptr<MemoryDisk> Disk_;
  std::optional<RaftCore> Core_;
  std::vector<Sent> Sent_;
  TimePoint Now_{1000s};
};

VoteRequest makeVoteRequest(std::uint64_t InTerm) {
  return {{InTerm}, false, {9}, {1}};
}

} // namespace

TEST_CASE("a replica whose disk is full neither votes nor acknowledges",
          "[consensus][core]") {
  OneReplica One;
  One.start();
  One.advance(600ms);
  One.setDiskFull(true);
  const std::size_t Before = One.sentCount();
  One.feed({2}, makeVoteRequest(2));
  One.feed({2},
           AppendRequest{.Term_ = {2},
                         .Previous_ = {1},
                         .PreviousTerm_ = {1},
                         .Records_ = {{{2}, {2}, RecordKind::Command, "x"}}});
  One.advance(2s);
  CHECK(One.sentCount() == Before);
  CHECK(One.core().role() == RaftRole::Follower);
  One.setDiskFull(false);
  One.advance(1s);
  One.feed({2},
           AppendRequest{.Term_ = {2},
                         .Previous_ = {1},
                         .PreviousTerm_ = {1},
                         .Records_ = {{{2}, {2}, RecordKind::Command, "x"}}});
  CHECK(One.lastMessage<AppendReply>().Matched_);
  CHECK(One.last<AppendReply>().AfterSync_);
}

TEST_CASE("a leader whose disk fills up leads no longer", "[consensus][core]") {
  OneReplica One;
  One.start();
  One.becomeLeader();
  One.setDiskFull(true);
  std::optional<ProposeStatus> Told;
  One.core().propose(
      "x", [&](const ProposeResult &Result) { Told = Result.Status_; });
  One.advance(10ms);
  CHECK(One.core().role() == RaftRole::Follower);
  REQUIRE(Told);
  CHECK(*Told != ProposeStatus::Committed);
}

TEST_CASE("a vote is durable before it is told and given once per term",
          "[consensus][core]") {
  OneReplica One;
  One.start();
  One.advance(600ms);
  One.feed({2}, makeVoteRequest(2));
  REQUIRE(One.lastMessage<VoteReply>().Granted_);
  REQUIRE(One.last<VoteReply>().AfterSync_);
  One.crashAndStart();
  One.advance(600ms);
  One.feed({3}, makeVoteRequest(2));
  REQUIRE_FALSE(One.lastMessage<VoteReply>().Granted_);
  One.feed({2}, makeVoteRequest(2));
  REQUIRE(One.lastMessage<VoteReply>().Granted_);
}

TEST_CASE("no vote is given while a leader may hold its lease",
          "[consensus][core]") {
  OneReplica One;
  One.start();
  One.feed({2}, makeVoteRequest(2));
  REQUIRE_FALSE(One.lastMessage<VoteReply>().Granted_);
  One.advance(600ms);
  One.feed({3}, AppendRequest{{2}, {1}, {1}, {1}, {}, {}});
  One.advance(499ms);
  One.feed({2}, makeVoteRequest(3));
  REQUIRE_FALSE(One.lastMessage<VoteReply>().Granted_);
  REQUIRE(One.core().term() == Term{2});
  One.advance(1ms);
  One.feed({2}, makeVoteRequest(3));
  REQUIRE(One.lastMessage<VoteReply>().Granted_);
}

TEST_CASE("records are durable before they are acknowledged",
          "[consensus][core]") {
  OneReplica One;
  One.start();
  AppendRequest Value{{2}, {1}, {1}, {1}, {}, {}};
  Value.Records_.push_back({{2}, {2}, RecordKind::Command, "x"});
  One.feed({3}, Value);
  REQUIRE(One.lastMessage<AppendReply>().Index_ == LogIndex{2});
  REQUIRE(One.last<AppendReply>().AfterSync_);
}

TEST_CASE("a record of an earlier term is not committed by counting",
          "[consensus][core]") {
  OneReplica One;
  One.hold({{2}, {1}, RecordKind::Command, "old"});
  One.start();
  One.becomeLeader();
  const Term Now = One.core().term();
  One.feed({2}, AppendReply{Now, true, {1}, {2}, {}});
  REQUIRE(One.core().commitIndex() == LogIndex{});
  One.feed({2}, AppendReply{Now, true, {1}, {3}, {}});
  REQUIRE(One.core().commitIndex() == LogIndex{3});
}

TEST_CASE("a new leader answers no read before it has committed a record",
          "[consensus][core]") {
  OneReplica One;
  One.hold({{2}, {1}, RecordKind::Command, "old"});
  One.start();
  One.becomeLeader();
  std::optional<bool> Fresh;
  One.core().readBarrier([&](bool Value) { Fresh = Value; });
  const Term Now = One.core().term();
  One.feed({2}, AppendReply{Now, true, {1}, {2}, {.Round_ = 1, .SentAt_ = 0}});
  REQUIRE_FALSE(Fresh.has_value());
  One.feed({2}, AppendReply{Now, true, {1}, {3}, {.Round_ = 1, .SentAt_ = 0}});
  REQUIRE(Fresh == true);
}

TEST_CASE("acknowledgements count only from the store that is a member",
          "[consensus][core]") {
  OneReplica One;
  One.start();
  One.becomeLeader();
  const Envelope Foreign{StoreId{7}, StoreId{1},
                         AppendReply{One.core().term(), true, {1}, {2}, {}}};
  One.core().receive(TimePoint(1001s), {2}, encodeEnvelope(Foreign));
  One.advance(0ms);
  REQUIRE(One.core().commitIndex() == LogIndex{});
}

TEST_CASE("votes count only from the store that is a member",
          "[consensus][core]") {
  OneReplica One;
  One.start();
  One.advance(1s);
  const Term Asked = One.lastMessage<VoteRequest>().Term_;
  One.core().receive(TimePoint(1001s), {2},
                     encodeEnvelope({StoreId{7}, StoreId{1},
                                     VoteReply{{1}, Asked, true, true}}));
  REQUIRE(One.core().role() == RaftRole::PreCandidate);
}

TEST_CASE("a message for the former store has no effect", "[consensus][core]") {
  OneReplica One;
  One.start();
  One.core().receive(
      TimePoint(1000s), {3},
      encodeEnvelope(
          {StoreId{3}, StoreId{8}, AppendRequest{{5}, {1}, {1}, {1}, {}, {}}}));
  One.advance(0ms);
  REQUIRE(One.core().term() == Term{1});
  REQUIRE(One.lastMessage<StoreMismatch>().Member_ == StoreId{8});
}

TEST_CASE("a leader that contradicts a committed record is refused",
          "[consensus][core]") {
  OneReplica One;
  One.start();
  AppendRequest Value{{2}, {1}, {1}, {2}, {}, {}};
  Value.Records_.push_back({{2}, {2}, RecordKind::Command, "x"});
  One.feed({3}, Value);
  Value.Term_ = Value.Records_[0].Term_ = {3};
  REQUIRE_THROWS_AS(One.feed({2}, Value), LogError);
}

TEST_CASE("records out of order are not taken", "[consensus][core]") {
  OneReplica One;
  One.start();
  AppendRequest Value{{2}, {1}, {1}, {1}, {}, {}};
  Value.Records_.push_back({{3}, {2}, RecordKind::Command, "x"});
  One.feed({3}, Value);
  REQUIRE(One.core().term() == Term{1});
}
