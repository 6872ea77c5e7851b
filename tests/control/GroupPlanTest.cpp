#include "dragonfly/control/GroupPlan.h"
#include "dragonfly/control/GroupFounding.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

namespace dragonfly::control {
namespace {

using consensus::Member;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{seconds(1000)};
constexpr ReplicaId Self{1};

Member member(std::uint64_t Id, bool Voter = true, std::uint64_t Store = 0) {
  return {.Id_ = {Id},
          .Store_ = {Store == 0 ? Id * 10 : Store},
          .Voter_ = Voter,
          .Address_ = "a" + std::to_string(Id)};
}

/// Returns sightings of replicas 2 to 4 at \p At, with the stores that
/// `member()` assigns.
std::map<ReplicaId, ReplicaSighting> allSeen(TimePoint At) {
  std::map<ReplicaId, ReplicaSighting> Seen;
  for (std::uint64_t Id = 2; Id <= 4; ++Id)
    Seen[{Id}] = {.Store_ = {Id * 10},
                  .Address_ = "a" + std::to_string(Id),
                  .SeenAt_ = At};
  return Seen;
}

std::optional<GroupChange>
plan(const std::vector<Member> &Members,
     const std::map<ReplicaId, ReplicaSighting> &Seen, TimePoint Now,
     const std::vector<ReplicaId> &Lagging = {}) {
  return planGroupChange({.Self_ = Self}, Members, Seen, Start, Now, Lagging);
}

const std::vector<Member> CompleteGroup{member(1), member(2), member(3),
                                        member(4, false)};

} // namespace

TEST_CASE("a complete group needs no change", "[control][group]") {
  const TimePoint Now = Start + seconds(100);
  CHECK_FALSE(plan(CompleteGroup, allSeen(Now), Now));
}

TEST_CASE("a replica that is not a member joins as a learner",
          "[control][group]") {
  const auto Change =
      plan({member(1), member(2), member(3)}, allSeen(Start), Start);
  REQUIRE(Change);
  CHECK(Change->Target_ == member(4, false));
}

TEST_CASE("a replica that lost its disk joins again as a learner",
          "[control][group]") {
  auto Seen = allSeen(Start);
  Seen[{2}].Store_ = {77};
  const auto Change = plan(CompleteGroup, Seen, Start);
  REQUIRE(Change);
  CHECK(Change->Target_ == member(2, false, 77));

  SECTION("and a learner replaces it as voter") {
    const auto Next =
        plan({member(1), member(2, false, 77), member(3), member(4, false)},
             Seen, Start, {{2}});
    REQUIRE(Next);
    CHECK(Next->Target_ == member(4));
  }
}

TEST_CASE("an absent voter is replaced by promotion, then demoted",
          "[control][group]") {
  const TimePoint Now = Start + seconds(3);
  auto Seen = allSeen(Now);
  Seen[{3}].SeenAt_ = Start;
  const auto First = plan(CompleteGroup, Seen, Now);
  REQUIRE(First);
  CHECK(First->Target_ == member(4));
  const auto Second =
      plan({member(1), member(2), member(3), member(4)}, Seen, Now);
  REQUIRE(Second);
  CHECK(Second->Target_ == member(3, false));
}

TEST_CASE("a new leader replaces no voter before the voter timeout",
          "[control][group]") {
  CHECK_FALSE(plan(CompleteGroup, {}, Start + milliseconds(2000)));
  // No learner is present to replace a voter.
  CHECK_FALSE(plan(CompleteGroup, {}, Start + seconds(10)));
}

TEST_CASE("a learner that lags is not promoted", "[control][group]") {
  const TimePoint Now = Start + seconds(3);
  auto Seen = allSeen(Now);
  Seen[{3}].SeenAt_ = Start;
  CHECK_FALSE(plan(CompleteGroup, Seen, Now, {{4}}));
}

TEST_CASE("a learner absent past its timeout is removed", "[control][group]") {
  const TimePoint Now = Start + seconds(70);
  auto Seen = allSeen(Now);
  Seen.erase({4});
  const auto Change = plan(CompleteGroup, Seen, Now);
  REQUIRE(Change);
  CHECK(Change->Remove_);
  CHECK(Change->Target_.Id_ == ReplicaId{4});
}

TEST_CASE("the leader never demotes itself", "[control][group]") {
  const TimePoint Now = Start + seconds(5);
  const auto Change =
      plan({member(1), member(2), member(3), member(4)}, allSeen(Now), Now);
  REQUIRE(Change);
  CHECK(Change->Target_.Id_ != Self);
  CHECK_FALSE(Change->Target_.Voter_);
}

TEST_CASE("founders are chosen when enough candidates are known",
          "[control][group]") {
  FounderChoice Choice({.Wanted_ = 3});
  for (const std::uint64_t Id : {9, 4, 9})
    Choice.addCandidate(Start, {.Id_ = {Id}, .Address_ = std::to_string(Id)});
  CHECK(Choice.decide(Start).empty());
  Choice.addCandidate(Start, {.Id_ = {7}, .Address_ = "7"});
  const auto Chosen = Choice.decide(Start);
  REQUIRE(Chosen.size() == 3);
  CHECK(Chosen.front().Id_ == ReplicaId{4});

  SECTION("and later candidates do not change the choice") {
    Choice.addCandidate(Start, {.Id_ = {1}, .Address_ = "1"});
    CHECK(Choice.decide(Start + seconds(9)).size() == 3);
    CHECK(Choice.decide(Start + seconds(9)).front().Id_ == ReplicaId{4});
  }
}

TEST_CASE("fewer founders are chosen after the grace period",
          "[control][group]") {
  FounderChoice Choice({.Wanted_ = 5, .GracePeriod_ = milliseconds(1500)});
  CHECK(Choice.decide(Start).empty());
  Choice.addCandidate(Start, {.Id_ = {1}, .Address_ = "1"});
  Choice.addCandidate(Start + seconds(1), {.Id_ = {2}, .Address_ = "2"});
  CHECK(Choice.decide(Start + seconds(2)).empty());
  CHECK(Choice.decide(Start + milliseconds(2500)).size() == 2);
}

} // namespace dragonfly::control
