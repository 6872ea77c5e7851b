#include "control/MachineFixture.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::control;
using namespace std::chrono_literals;

namespace {

const std::string Plans = "gold";

} // namespace

TEST_CASE("decoding a truncated command throws CodecError",
          "[control][machine]") {
  const std::string Encoded = encodeCommand(
      {.At_ = 1s,
       .Body_ = PutList{settings::ListName::Plans, {1}, "id", Plans}});
  for (std::size_t Length = 0; Length < Encoded.size(); ++Length) {
    INFO(Length);
    CHECK_THROWS_AS(decodeCommand(Encoded.substr(0, Length)), CodecError);
  }
  CHECK(decodeCommand(Encoded).At_ == 1s);
}

TEST_CASE("restoring an invalid snapshot throws and leaves the state unchanged",
          "[control][machine]") {
  MachineFixture Fixture(false);
  Fixture.apply(PutList{settings::ListName::Plans, {1}, "id", Plans}, 5s);
  const std::string Before = Fixture.machine().snapshot();
  std::string OtherFormat = Before;
  OtherFormat[0] = '\x7f';
  for (const std::string &Bytes :
       {std::string(), Before.substr(0, Before.size() - 1), OtherFormat}) {
    CHECK_THROWS_AS(Fixture.machine().restore(Bytes), CodecError);
    CHECK(Fixture.machine().snapshot() == Before);
  }
}

TEST_CASE("a machine restored from snapshots reaches the same state",
          "[control][machine]") {
  MachineFixture Continuous(false);
  MachineFixture Restarting(true);
  std::vector<std::string> FinalSnapshots;
  for (MachineFixture *Fixture : {&Continuous, &Restarting}) {
    Fixture->apply(PutList{settings::ListName::Plans, {1}, "id", Plans}, 5s);
    Fixture->apply(ClaimRequests{{{{"c", "r"}, "vm", {1}, {2}, 1, 3}}}, 4s);
    Fixture->apply(AcceptTasks{{{{"c", "t"}, "review", {}, 9s, 1s, true, ""}}});
    Fixture->apply(PlaceTasks{{{{1}, {1}, "vm", {9}, {}}}});
    Fixture->apply(MergeReceipts{{{{"c", "r"},
                                   "check",
                                   Outcome::Completed,
                                   Reason::None,
                                   {},
                                   true,
                                   {},
                                   200,
                                   "x"}}});
    FinalSnapshots.push_back(Fixture->machine().snapshot());
    CHECK(Fixture->machine().logTime() == 5s);
  }
  CHECK(FinalSnapshots[0] == FinalSnapshots[1]);
}
