/// What the group bears while its leader replaces a replica that lost its disk.
#include "control/ServiceCluster.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>

namespace dragonfly::control {
namespace {

using namespace std::chrono_literals;

PutList change(std::uint64_t Expected, std::string Id) {
  return {settings::ListName::Plans, {Expected}, std::move(Id), "gold"};
}

/// Returns whether the leader has committed that replica \p I votes with the
/// data folder that it has now, as the replica knows.
bool votes(ServiceCluster &Cluster, std::size_t I) {
  const consensus::ReplicatedLog &Log = Cluster.node(I).log();
  const consensus::ReplicatedLog &Leader = Cluster.node(Cluster.leader()).log();
  return Log.commitIndex() == Leader.commitIndex() &&
         std::ranges::any_of(Log.members(), [&](const consensus::Member &Row) {
           return Row.Id_ == ReplicaId{I + 1} && Row.Voter_ &&
                  Row.Store_ == Log.store();
         });
}

bool isLearner(ServiceCluster &Cluster, std::size_t I) {
  const auto &Members = Cluster.node(Cluster.leader()).log().members();
  return std::ranges::any_of(Members, [&](const consensus::Member &Row) {
    return Row.Id_ == ReplicaId{I + 1} && !Row.Voter_;
  });
}

std::size_t follower(ServiceCluster &Cluster) {
  return Cluster.leader() == 0 ? 1 : 0;
}

/// Returns the time until replica \p I votes, or nothing after \p Limit.
std::optional<Duration> timeUntilVotes(ServiceCluster &Cluster, std::size_t I,
                                       Duration Limit) {
  const TimePoint Began = Cluster.now();
  for (; Cluster.now() - Began < Limit; Cluster.run(10ms))
    if (votes(Cluster, I))
      return Cluster.now() - Began;
  return std::nullopt;
}

/// Runs until a replica leads, also where it does not serve yet, and returns
/// it.
std::optional<std::size_t> runUntilElected(ServiceCluster &Cluster) {
  const TimePoint Began = Cluster.now();
  for (; Cluster.now() - Began < 10s; Cluster.run(2ms))
    for (std::size_t I = 0; I < 3; ++I)
      if (Cluster.exists(I) &&
          Cluster.node(I).log().role() == consensus::RaftRole::Leader)
        return I;
  return std::nullopt;
}

} // namespace

// Guards against LOST: a replica that came back with an empty disk stayed a
// learner for 1.5 s after it had caught up. A second disk that was lost
// meanwhile left one voter of two, and the group never elected a leader again.
TEST_CASE("a replica that lost its disk votes as soon as it has caught up",
          "[control][group]") {
  ServiceCluster Cluster;
  Cluster.repairGroup();
  REQUIRE(Cluster.put(Cluster.leader(), change(1, "a")));
  const std::size_t Wiped = follower(Cluster);
  const std::size_t Leader = Cluster.leader();
  Cluster.loseDisk(Wiped);
  while (!isLearner(Cluster, Wiped))
    Cluster.run(2ms);
  // What the new learner acknowledges takes longer than the next look at the
  // members.
  Cluster.cut(Wiped, Leader);
  Cluster.run(100ms);
  Cluster.heal();
  const auto Took = timeUntilVotes(Cluster, Wiped, 5s);
  REQUIRE(Took);
  // The leader sends again after half an election timeout.
  CHECK(*Took <= 300ms);

  SECTION("and then the disk of the leader may be lost") {
    const std::size_t Second = Cluster.leader();
    Cluster.loseDisk(Second);
    REQUIRE(timeUntilVotes(Cluster, Second, 10s));
  }
  SECTION("and then the other disk may be lost while all others are down") {
    const std::size_t Second = 3 - Wiped - Cluster.leader();
    for (std::size_t I = 0; I < 3; ++I)
      Cluster.kill(I);
    Cluster.run(1s);
    for (std::size_t I = 0; I < 3; ++I)
      if (I != Second)
        Cluster.start(I);
    Cluster.loseDisk(Second);
    REQUIRE(timeUntilVotes(Cluster, Second, 10s));
  }
  CHECK(Cluster.node(Cluster.leader())
            .state()
            .lists()
            .list(settings::ListName::Plans)
            .Version_ == ListVersion{2});
}

// Guards against LOST: a new leader knew nothing of the announcements that came
// before its election, and waited for the next one. Until the replacement
// votes, another lost disk ends the group.
TEST_CASE("a new leader admits a replica that announced its new disk before",
          "[control][group]") {
  Duration Longest{};
  for (Duration Alone = 3s; Alone < 3500ms; Alone += 100ms) {
    ServiceCluster Cluster;
    Cluster.repairGroup();
    REQUIRE(Cluster.put(Cluster.leader(), change(1, "a")));
    const std::size_t Wiped = Cluster.leader();
    const std::size_t Dark = (Wiped + 1) % 3;
    Cluster.kill(Dark);
    Cluster.loseDisk(Wiped);
    Cluster.run(Alone);
    Cluster.start(Dark);
    const auto Leader = runUntilElected(Cluster);
    REQUIRE(Leader);
    const TimePoint Led = Cluster.now();
    const auto Admitted = [&] {
      return std::ranges::any_of(
          Cluster.node(*Leader).log().members(),
          [Store = Cluster.node(Wiped).log().store()](
              const consensus::Member &Row) { return Row.Store_ == Store; });
    };
    while (!Admitted() && Cluster.now() - Led < 5s)
      Cluster.run(2ms);
    REQUIRE(Admitted());
    Longest = std::max(Longest, Cluster.now() - Led);
    REQUIRE(timeUntilVotes(Cluster, Wiped, 5s));
  }
  INFO("longest: "
       << std::chrono::duration_cast<std::chrono::milliseconds>(Longest).count()
       << " ms");
  // It looks at the members each 20 ms.
  CHECK(Longest <= 50ms);
}

// Guards against CONFIG: a new leader acknowledged a change before the replica
// with the empty disk voted, and its own disk was lost then.
TEST_CASE("what a new leader acknowledges outlives its disk",
          "[control][group]") {
  ServiceCluster Cluster;
  Cluster.repairGroup();
  REQUIRE(Cluster.put(Cluster.leader(), change(1, "a")));
  const std::size_t Wiped = Cluster.leader();
  const std::size_t Dark = (Wiped + 1) % 3;
  Cluster.kill(Dark);
  Cluster.loseDisk(Wiped);
  Cluster.run(3s);
  Cluster.start(Dark);
  // An operator that tries again and again.
  bool Acknowledged = false;
  std::size_t Leader = 0;
  for (int Tries = 0; Tries < 2000 && !Acknowledged; ++Tries) {
    for (std::size_t I = 0; I < 3; ++I)
      if (Cluster.node(I).serving())
        Cluster.node(I).putList(
            change(2, "b"),
            [&, I](consensus::ProposeStatus Status, const PutOutcome &Outcome) {
              if (Status != consensus::ProposeStatus::Committed ||
                  Outcome.Status_ != PutStatus::Accepted)
                return;
              Acknowledged = true;
              Leader = I;
            });
    Cluster.run(2ms);
  }
  REQUIRE(Acknowledged);
  Cluster.loseDisk(Leader);
  REQUIRE_NOTHROW(Cluster.leader());
  CHECK(Cluster.node(Cluster.leader())
            .state()
            .lists()
            .list(settings::ListName::Plans)
            .Version_ == ListVersion{3});
}

// Guards against slower restarts for the sake of the one before.
TEST_CASE("a new leader serves at once unless it can replace a lost disk",
          "[control][group]") {
  ServiceCluster Cluster;
  Cluster.repairGroup();
  REQUIRE(Cluster.put(Cluster.leader(), change(1, "a")));
  const std::size_t First = Cluster.leader();
  const std::size_t Other = (First + 1) % 3;
  Duration Allowed = 10ms;
  SECTION("all disks are there") { Cluster.kill(First); }
  SECTION("a replica is down") {
    Cluster.kill(Other);
    Cluster.run(3s);
    Cluster.kill(First);
    Cluster.run(1s);
    Cluster.start(Other);
  }
  SECTION("the replacement never answers") {
    Cluster.kill(Other);
    Cluster.loseDisk(First);
    Cluster.run(3s);
    for (std::size_t To = 0; To < 3; ++To)
      Cluster.cut(To, First);
    Cluster.start(Other);
    Allowed = 520ms;
  }
  const auto Leader = runUntilElected(Cluster);
  REQUIRE(Leader);
  REQUIRE(Leader != First);
  const TimePoint Led = Cluster.now();
  while (!Cluster.node(*Leader).serving() && Cluster.now() - Led < 5s)
    Cluster.run(2ms);
  CHECK(Cluster.now() - Led <= Allowed);
}

// Guards against LOST: what a follower heard before a replica's disk was lost
// is no reason, once it leads, to take the vote of the new disk back.
TEST_CASE("a new leader does not go back to a disk that was replaced meanwhile",
          "[control][group]") {
  ServiceCluster Cluster;
  Cluster.repairGroup();
  REQUIRE(Cluster.put(Cluster.leader(), change(1, "a")));
  const std::size_t First = Cluster.leader();
  const std::size_t Next = First == 0 ? 1 : 0;
  const std::size_t Wiped = 3 - First - Next;
  Cluster.run(1s);
  const auto Announce = [&](StoreId Store) {
    Cluster.node(Next).handle(
        Cluster.now(),
        wire::JoinGroup{.Id_ = {Wiped + 1},
                        .Store_ = Store,
                        .Address_ =
                            "127.0.2." + std::to_string(Wiped + 1) + ":7000"},
        [](const wire::Message &) {});
  };
  Announce(Cluster.node(Wiped).log().store());
  // The next leader hears nothing of the new disk.
  Cluster.cut(Wiped, Next);
  Cluster.loseDisk(Wiped);
  REQUIRE(timeUntilVotes(Cluster, Wiped, 1s));
  const StoreId Store = Cluster.node(Wiped).log().store();
  Cluster.cut(Wiped, First);
  Cluster.cut(First, Wiped);
  Cluster.run(20ms);
  Cluster.node(First).transferLeadership();
  REQUIRE(Cluster.leader() == Next);
  const TimePoint Led = Cluster.now();
  for (; Cluster.now() - Led < 500ms; Cluster.run(2ms)) {
    const auto &Rows = Cluster.node(Next).log().members();
    const auto Row =
        std::ranges::find(Rows, ReplicaId{Wiped + 1}, &consensus::Member::Id_);
    REQUIRE(Row != Rows.end());
    REQUIRE(Row->Store_ == Store);
    REQUIRE(Row->Voter_);
  }
}

// Guards against LOST: the announcement of a process without a data folder kept
// the leader from every other change of the members.
TEST_CASE("a process without a data folder does not hold up the repair",
          "[control][group]") {
  ServiceCluster Cluster;
  Cluster.repairGroup();
  REQUIRE(Cluster.put(Cluster.leader(), change(1, "a")));
  Cluster.node(Cluster.leader())
      .handle(Cluster.now(),
              wire::JoinGroup{.Id_ = {9}, .Address_ = "127.0.2.9:7000"},
              [](const wire::Message &) {});
  const std::size_t Wiped = follower(Cluster);
  Cluster.loseDisk(Wiped);
  const auto Took = timeUntilVotes(Cluster, Wiped, 5s);
  REQUIRE(Took);
  CHECK(*Took <= 700ms);
}

// Guards against a repair that waits in silence: the last reason that was
// logged stood for all replicas and all later leaderships of the process.
TEST_CASE("each delay of a repair is logged once in each leadership",
          "[control][group]") {
  std::map<std::size_t, int> Lines;
  ServiceCluster Cluster;
  Cluster.repairGroup();
  REQUIRE(Cluster.put(Cluster.leader(), change(1, "a")));
  // Neither the replica with the new disk nor a fourth one, which does not
  // exist, ever acknowledges anything.
  const std::size_t Wiped = follower(Cluster);
  const std::size_t Fourth = 3;
  const auto CutLearners = [&] {
    for (std::size_t I = 0; I < Fourth; ++I) {
      Cluster.cut(I, Fourth);
      Cluster.cut(Wiped, I);
    }
  };
  CutLearners();
  Cluster.loseDisk(Wiped);
  const std::map<std::size_t, StoreId> Stores = {
      {Wiped, Cluster.node(Wiped).log().store()}, {Fourth, StoreId{77}}};
  const auto RunWithAnnouncements = [&] {
    for (int I = 0; I < 20; ++I) {
      for (const auto &[Replica, Store] : Stores)
        Cluster.node(Cluster.leader())
            .handle(Cluster.now(),
                    wire::JoinGroup{.Id_ = {Replica + 1}, .Store_ = Store},
                    [](const wire::Message &) {});
      Cluster.run(50ms);
    }
  };
  configureLog(
      {.Format_ = LogFormat::Text, .Sink_ = [&Lines](std::string_view Line) {
         if (Line.find("member-change-delayed") == std::string_view::npos ||
             Line.find("not-caught-up") == std::string_view::npos)
           return;
         for (std::size_t I = 0; I <= Fourth; ++I)
           if (Line.find("replica=" + std::to_string(I + 1)) !=
               std::string_view::npos)
             ++Lines[I];
       }});
  // One of the two others leads twice in three leaderships.
  for (int Leadership = 1; Leadership <= 3; ++Leadership) {
    INFO("leadership " << Leadership << " of replica " << Cluster.leader() + 1);
    RunWithAnnouncements();
    CHECK(isLearner(Cluster, Wiped));
    CHECK(isLearner(Cluster, Fourth));
    CHECK(Lines[Wiped] == Leadership);
    CHECK(Lines[Fourth] == Leadership);
    Cluster.isolate(Cluster.leader());
    Cluster.run(2s);
    Cluster.heal();
    CutLearners();
  }
  configureLog({.Sink_ = [](std::string_view) {}});
}

} // namespace dragonfly::control
