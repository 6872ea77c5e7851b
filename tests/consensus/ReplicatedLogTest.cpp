#include "dragonfly/consensus/ReplicatedLog.h"

#include "support/LogCluster.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::bench;
using namespace dragonfly::consensus;
using namespace std::chrono_literals;

namespace {

constexpr Duration Patience = 10s;

Replica &awaitLeader(LogCluster &Group) {
  REQUIRE(Group.runUntil([&] { return Group.leader() != nullptr; }, Patience));
  return *Group.leader();
}

ProposeResult proposeAt(LogCluster &Group, Replica &At, std::string Command) {
  std::optional<ProposeResult> Result;
  At.Log_->propose(std::move(Command),
                   [&](ProposeResult Value) { Result = std::move(Value); });
  REQUIRE(Group.runUntil([&] { return Result.has_value(); }, Patience));
  return *Result;
}

ProposeStatus changeAt(LogCluster &Group, Replica &At, const Member &Target,
                       bool Remove = false) {
  std::optional<ProposeStatus> Result;
  At.Log_->changeMember(Target, Remove, [&](const ProposeResult &Value) {
    Result = Value.Status_;
  });
  REQUIRE(Group.runUntil([&] { return Result.has_value(); }, Patience));
  return *Result;
}

/// Makes the link between each pair of replicas carry \p BytesPerMs, one
/// message after the other.
void limitLinks(LogCluster &Group, std::size_t BytesPerMs) {
  using Pair = std::pair<ReplicaId, ReplicaId>;
  const auto FreeAt = std::make_shared<std::map<Pair, TimePoint>>();
  Group.Route_ = [&Group, BytesPerMs, FreeAt](const RoutedBytes &Value) {
    TimePoint &Free = (*FreeAt)[{Value.From_, Value.To_}];
    Free = std::max(Free, Group.now()) +
           Duration(1ms) * static_cast<Duration::rep>(Value.Bytes_.size()) /
               static_cast<Duration::rep>(BytesPerMs);
    return std::vector<Duration>{Free - Group.now() + 1ms};
  };
}

/// Makes the newest command the whole state of each replica.
void keepNewestOnly(LogCluster &Group) {
  Group.OnApply_ = [&Group](ReplicaId Id, std::string_view, bool After) {
    std::vector<std::string> &Applied = Group.replica(Id).Applied_;
    if (After && Applied.size() > 1)
      Applied.erase(Applied.begin(), Applied.end() - 1);
  };
}

void requireSameState(LogCluster &Group) {
  const std::vector<std::string> Wanted = awaitLeader(Group).Applied_;
  REQUIRE(Group.runUntil(
      [&] {
        return std::ranges::all_of(Group.replicas(), [&](const Replica &Row) {
          return Row.Applied_ == Wanted;
        });
      },
      Patience));
}

} // namespace

TEST_CASE("one leader is elected and commands commit on all replicas",
          "[consensus][log]") {
  LogCluster Group({.Seed_ = 7});
  Replica &Leader = awaitLeader(Group);
  for (int I = 0; I < 20; ++I)
    REQUIRE(proposeAt(Group, Leader, std::to_string(I)).Status_ ==
            ProposeStatus::Committed);
  requireSameState(Group);
  REQUIRE(Leader.Applied_.size() == 20);
  REQUIRE(Leader.Log_->holdsLeaderLease(Group.now()));
}

TEST_CASE("a follower refuses proposals, reads and changes",
          "[consensus][log]") {
  LogCluster Group({.Seed_ = 8});
  const Replica &Leader = awaitLeader(Group);
  Replica &Follower = Group.replicas()[Leader.Id_.Value_ % 3];
  REQUIRE(proposeAt(Group, Follower, "x").Status_ == ProposeStatus::NotLeader);
  REQUIRE(changeAt(Group, Follower, {}) == ProposeStatus::NotLeader);
  std::optional<bool> Read;
  Follower.Log_->readBarrier([&](bool Value) { Read = Value; });
  Group.run(10ms);
  REQUIRE(Read == false);
}

TEST_CASE("a leader that is cut off steps down within an election timeout",
          "[consensus][log]") {
  LogCluster Group({.Seed_ = 9});
  Replica &Old = awaitLeader(Group);
  Group.run(1s);
  Group.isolate(Old.Id_);
  std::optional<ProposeResult> Lost;
  Old.Log_->propose("lost", [&](const ProposeResult &Value) { Lost = Value; });
  Group.run(500ms);
  REQUIRE(Old.Log_->role() != RaftRole::Leader);
  REQUIRE(Lost->Status_ == ProposeStatus::Unknown);
  REQUIRE(proposeAt(Group, awaitLeader(Group), "kept").Status_ ==
          ProposeStatus::Committed);
  Group.heal();
  requireSameState(Group);
  REQUIRE(Old.Applied_ == std::vector<std::string>{"kept"});
}

TEST_CASE("a replica that returns after a cut does not disturb the leader",
          "[consensus][log]") {
  LogCluster Group({.Seed_ = 10});
  const Replica &Leader = awaitLeader(Group);
  const Term Before = Leader.Log_->term();
  const ReplicaId Away = Group.replicas()[Leader.Id_.Value_ % 3].Id_;
  Group.isolate(Away);
  Group.run(10s);
  Group.heal();
  Group.run(3s);
  REQUIRE(Leader.Log_->role() == RaftRole::Leader);
  REQUIRE(Leader.Log_->term() == Before);
}

TEST_CASE("a lagging replica is brought up by a chunked snapshot",
          "[consensus][snapshot]") {
  LogCluster Group(
      {.Seed_ = 11, .SnapshotEveryRecords_ = 40, .MaxBatchBytes_ = 64});
  Replica &Leader = awaitLeader(Group);
  const ReplicaId Away = Group.replicas()[Leader.Id_.Value_ % 3].Id_;
  bool Restored = false;
  Group.OnRestore_ = [&](ReplicaId Id, bool) { Restored |= Id == Away; };
  Group.isolate(Away);
  for (int I = 0; I < 200; ++I)
    proposeAt(Group, Leader, std::to_string(I));
  Group.heal();
  requireSameState(Group);
  REQUIRE(Restored);
}

TEST_CASE("state survives a restart of all replicas", "[consensus][log]") {
  LogCluster Group({.Seed_ = 12, .SnapshotEveryRecords_ = 30});
  for (int I = 0; I < 100; ++I)
    proposeAt(Group, awaitLeader(Group), std::to_string(I));
  for (const Replica &Row : Group.replicas())
    Group.kill(Row.Id_, false);
  proposeAt(Group, awaitLeader(Group), "last");
  requireSameState(Group);
  REQUIRE(Group.leader()->Applied_.size() == 101);
}

// Pattern: all VMs lose power and come back within half a second, and callers
// wait for the first leader (large/trouble-1).
TEST_CASE("a group that comes back bit by bit has a leader within two election "
          "timeouts of the last replica",
          "[consensus][log]") {
  constexpr std::uint64_t Seeds = 40;
  constexpr Duration Apart = 110ms;
  const Duration Bound = 2 * ReplicatedLogOptions().ElectionTimeout_;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    INFO("seed " << Seed);
    LogCluster Group({.Replicas_ = 5, .Seed_ = Seed});
    awaitLeader(Group);
    for (Replica &Row : Group.replicas()) {
      Group.kill(Row.Id_, false);
      Row.RestartAt_ =
          Group.now() + Apart * static_cast<std::int64_t>(Row.Id_.Value_);
    }
    Group.run(Apart * 5);
    CHECK(Group.runUntil([&] { return Group.leader() != nullptr; }, Bound));
  }
}

// Pattern: a planned restart of each VM in turn, the leader among them.
TEST_CASE("a leader that stops hands over within a few round trips",
          "[consensus][log]") {
  constexpr std::uint64_t Seeds = 20;
  for (std::uint64_t Seed = 1; Seed <= Seeds; ++Seed) {
    INFO("seed " << Seed);
    LogCluster Group({.Replicas_ = 5, .Seed_ = Seed});
    Replica &Old = awaitLeader(Group);
    // One follower lags and cannot be reached.
    Group.isolate({Old.Id_.Value_ == 1 ? 2U : 1U});
    REQUIRE(proposeAt(Group, Old, "before").Status_ ==
            ProposeStatus::Committed);
    Old.Log_->transferLeadership();
    CHECK_FALSE(Old.Log_->holdsLeaderLease(Group.now()));
    CHECK(proposeAt(Group, Old, "refused").Status_ == ProposeStatus::NotLeader);
    CHECK(Group.runUntil(
        [&] { return Group.leader() != nullptr && Group.leader() != &Old; },
        100ms));
    Group.heal();
    REQUIRE(proposeAt(Group, awaitLeader(Group), "after").Status_ ==
            ProposeStatus::Committed);
    requireSameState(Group);
    CHECK(Old.Applied_ == std::vector<std::string>{"before", "after"});
  }
}

TEST_CASE("a leader whose hand-over finds nobody steps down",
          "[consensus][log]") {
  LogCluster Group({.Seed_ = 5});
  Replica &Old = awaitLeader(Group);
  Old.Log_->transferLeadership();
  Group.isolate(Old.Id_);
  Group.run(ReplicatedLogOptions().ElectionTimeout_ + 10ms);
  CHECK(Old.Log_->role() != RaftRole::Leader);
}

TEST_CASE("a replica that lost its folder neither votes nor campaigns",
          "[consensus][membership]") {
  LogCluster Group({.Seed_ = 13});
  const Replica &Leader = awaitLeader(Group);
  const ReplicaId First = Leader.Id_;
  const ReplicaId Wiped{First.Value_ % 3 + 1};
  const ReplicaId Behind{Wiped.Value_ % 3 + 1};
  Group.run(1s);
  Group.isolate(Behind);
  REQUIRE(proposeAt(Group, Group.replica(First), "kept").Status_ ==
          ProposeStatus::Committed);
  Group.heal();
  Group.isolate(First);
  Group.loseDisk(Wiped);
  Group.run(20s);
  REQUIRE(Group.leader() == nullptr);
  Group.heal();
  const Replica &Next = awaitLeader(Group);
  REQUIRE(Next.Id_ != Wiped);
  REQUIRE(Group.runUntil([&] { return !Next.Applied_.empty(); }, Patience));
  REQUIRE(Next.Applied_.front() == "kept");
}

TEST_CASE("a replica that lost its folder before a first start has finished",
          "[consensus][membership]") {
  LogCluster Group({.Seed_ = 14});
  Group.isolate({3});
  Group.run(10s);
  REQUIRE(Group.leader() == nullptr);
  Group.loseDisk({3});
  Group.heal();
  const Replica &Leader = awaitLeader(Group);
  REQUIRE(Leader.Log_->members()[2].Store_ == Group.replica({3}).Log_->store());
}

TEST_CASE("a lost folder is replaced as a learner and then promoted",
          "[consensus][membership]") {
  LogCluster Group({.Seed_ = 15});
  Replica &Leader = awaitLeader(Group);
  const ReplicaId Wiped{Leader.Id_.Value_ % 3 + 1};
  proposeAt(Group, Leader, "before");
  Group.loseDisk(Wiped);
  Group.run(1s);
  const StoreId Store = Group.replica(Wiped).Log_->store();
  Member Row{.Id_ = Wiped, .Store_ = Store, .Voter_ = true, .Address_ = "a"};
  REQUIRE(changeAt(Group, Leader, Row) == ProposeStatus::Refused);
  Row.Voter_ = false;
  Row.Store_ = {};
  REQUIRE(changeAt(Group, Leader, Row) == ProposeStatus::Committed);
  requireSameState(Group);
  Group.run(100ms);
  Row.Voter_ = true;
  Row.Store_ = Store;
  REQUIRE(changeAt(Group, Leader, Row) == ProposeStatus::Committed);
  const ReplicaId Third{Wiped.Value_ % 3 + 1};
  Group.isolate(Third);
  REQUIRE(proposeAt(Group, Leader, "after").Status_ ==
          ProposeStatus::Committed);
}

TEST_CASE("a leader that is removed steps down once that is committed",
          "[consensus][membership]") {
  LogCluster Group({.Seed_ = 16});
  Replica &Leader = awaitLeader(Group);
  const Member Self = Leader.Log_->members()[Leader.Id_.Value_ - 1];
  Group.run(100ms);
  REQUIRE(changeAt(Group, Leader, Self, /*Remove=*/true) ==
          ProposeStatus::Committed);
  REQUIRE(Leader.Log_->role() == RaftRole::Follower);
  const Replica &Next = awaitLeader(Group);
  REQUIRE(Next.Id_ != Leader.Id_);
  REQUIRE(Next.Log_->members().size() == 2);
}

TEST_CASE("a read barrier ends only after a quorum has answered it",
          "[consensus][read]") {
  LogCluster Group({.Seed_ = 17});
  Replica &Leader = awaitLeader(Group);
  proposeAt(Group, Leader, "x");
  std::optional<bool> Read;
  Leader.Log_->readBarrier([&](bool Value) { Read = Value; });
  REQUIRE(Group.runUntil([&] { return Read.has_value(); }, 100ms));
  REQUIRE(*Read);
  Group.isolate(Leader.Id_);
  Read.reset();
  Leader.Log_->readBarrier([&](bool Value) { Read = Value; });
  REQUIRE(Group.runUntil([&] { return Read.has_value(); }, 1s));
  REQUIRE_FALSE(*Read);
}

// Guards against a disk that some hundred large records fill, since snapshots
// are made by the number of records alone, and against a replica with a new
// disk that receives all of them.
TEST_CASE("the log is compacted by bytes", "[consensus][log]") {
  constexpr std::size_t RecordBytes = 10'000;
  constexpr std::size_t MaxLogBytes = 100'000;
  LogCluster Group({.Seed_ = 13, .MaxLogBytes_ = MaxLogBytes});
  Replica &Leader = awaitLeader(Group);
  for (int I = 0; I < 100; ++I)
    REQUIRE(proposeAt(Group, Leader, std::string(RecordBytes, 'a')).Status_ ==
            ProposeStatus::Committed);
  requireSameState(Group);
  for (const Replica &Row : Group.replicas()) {
    const Recovered &Kept = Row.Disk_->Current_;
    CHECK(Kept.Snapshot_.Index_.Value_ >= 90);
    CHECK(Kept.Records_.size() * RecordBytes <= MaxLogBytes + RecordBytes);
  }
}

// Guards against a replacement that cannot vote within the time that it is
// given (4 s), while further disks are lost: it was sent the records behind the
// last snapshot, which may be many times the state.
TEST_CASE("a new disk catches up in the time that the state takes to copy",
          "[consensus][snapshot]") {
  constexpr std::size_t RecordBytes = 350'000;
  constexpr std::size_t MaxLogBytes = 16U << 20U;
  constexpr std::size_t BytesPerMs = 3'125; // 25 Mbit/s
  LogCluster Group({.Seed_ = 21, .MaxLogBytes_ = MaxLogBytes});
  keepNewestOnly(Group);
  Replica &Leader = awaitLeader(Group);
  const std::size_t Compacted = GENERATE(0U, 1U);
  const std::size_t Records = (Compacted + 1) * MaxLogBytes / RecordBytes - 1;
  for (std::size_t I = 0; I < Records; ++I)
    REQUIRE(proposeAt(Group, Leader, std::string(RecordBytes, 'a')).Status_ ==
            ProposeStatus::Committed);
  limitLinks(Group, BytesPerMs);
  const ReplicaId Wiped{Leader.Id_.Value_ % 3 + 1};
  Group.loseDisk(Wiped);
  Group.run(1s);
  const auto HasCaughtUp = [&] {
    const Replica &New = Group.replica(Wiped);
    return New.Log_ && New.Log_->appliedIndex() >= Leader.Log_->commitIndex();
  };
  REQUIRE(
      changeAt(Group, Leader, {.Id_ = Wiped, .Store_ = {}, .Voter_ = false}) ==
      ProposeStatus::Committed);
  CHECK(Group.runUntil(HasCaughtUp, 4s));
}

// Guards against a group that stands still once a learner votes: it counted as
// caught up by its number of records, lacked many megabytes, and was needed for
// each commit.
TEST_CASE("a learner that lacks large records does not raise the quorum",
          "[consensus][membership]") {
  constexpr std::size_t RecordBytes = 350'000;
  constexpr std::size_t BytesPerMs = 3'125; // 25 Mbit/s
  LogCluster Group({.Replicas_ = 4, .Seed_ = 22});
  keepNewestOnly(Group);
  Replica &Leader = awaitLeader(Group);
  const ReplicaId Id{Leader.Id_.Value_ % 4 + 1};
  const ReplicaId Gone{Id.Value_ % 4 + 1};
  proposeAt(Group, Leader, "before");
  Member Row{.Id_ = Id,
             .Store_ = Group.replica(Id).Log_->store(),
             .Voter_ = false,
             .Address_ = {}};
  REQUIRE(changeAt(Group, Leader, Row) == ProposeStatus::Committed);
  Group.isolate(Id);
  for (int I = 0; I < 40; ++I)
    REQUIRE(proposeAt(Group, Leader, std::string(RecordBytes, 'a')).Status_ ==
            ProposeStatus::Committed);
  limitLinks(Group, BytesPerMs);
  Group.heal();
  Group.isolate(Gone);
  Row.Voter_ = true;
  REQUIRE(Group.runUntil(
      [&] { return !Leader.Log_->changeObstacle(Row, false); }, Patience));
  const TimePoint Began = Group.now();
  REQUIRE(changeAt(Group, Leader, Row) == ProposeStatus::Committed);
  REQUIRE(proposeAt(Group, Leader, "after").Status_ ==
          ProposeStatus::Committed);
  // An operator asks another process after a second without an answer.
  CHECK(Group.now() - Began < 1s);
}

// Guards against a learner for which a snapshot is always too old: the records
// behind it are gone by the time that its bytes have arrived.
TEST_CASE("a learner catches up while large records go on",
          "[consensus][snapshot]") {
  constexpr std::size_t RecordBytes = 350'000;
  constexpr std::size_t BytesPerMs = 3'125; // 25 Mbit/s
  constexpr Duration RecordPeriod = 200ms;  // 14 Mbit/s
  LogCluster Group({.Seed_ = 23, .MaxLogBytes_ = 4 * RecordBytes});
  keepNewestOnly(Group);
  Replica &Leader = awaitLeader(Group);
  limitLinks(Group, BytesPerMs);
  TimePoint NextRecord = Group.now();
  Group.OnTime_ = [&] {
    if (Group.now() < NextRecord)
      return;
    NextRecord += RecordPeriod;
    Leader.Log_->propose(std::string(RecordBytes, 'a'), [](auto) {});
  };
  Group.run(5s);
  const ReplicaId Wiped{Leader.Id_.Value_ % 3 + 1};
  Group.loseDisk(Wiped);
  Group.run(1s);
  REQUIRE(
      changeAt(Group, Leader, {.Id_ = Wiped, .Store_ = {}, .Voter_ = false}) ==
      ProposeStatus::Committed);
  const auto HasCaughtUp = [&] {
    const Replica &New = Group.replica(Wiped);
    return New.Log_ && New.Log_->appliedIndex() >= Leader.Log_->commitIndex();
  };
  CHECK(Group.runUntil(HasCaughtUp, 4s));
}
