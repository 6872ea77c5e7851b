#include "dragonfly/control/UpstreamTable.h"
#include "dragonfly/base/Log.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::control;
using namespace std::chrono_literals;

namespace {

constexpr Duration LeaseTerm = 3s;
constexpr Duration DriftMargin = 300ms;

/// One heartbeat, the time at which it arrives and the expected state after it.
struct BeatStep {
  const char *Name_;
  Duration At_;
  std::uint64_t Process_;
  const char *Address_;
  bool Draining_;
  bool Renewed_;
  std::uint64_t Holder_;    ///< Process that holds the name.
  std::uint64_t Published_; ///< Process that entries are sent.
};

struct BeatCase {
  const char *Name_;
  std::vector<BeatStep> Steps_;
};

const std::vector<BeatCase> Cases{
    {"joins, drains and comes back",
     {{"join", 0s, 1, "a", false, true, 1, 1},
      {"drain", 1s, 1, "a", true, true, 1, 1},
      {"serve again", 2s, 1, "a", false, true, 1, 1}}},
    {"restarts at the same address",
     {{"join", 0s, 1, "a", false, true, 1, 1},
      {"new process", 1s, 2, "a", false, false, 1, 2},
      {"late heartbeat of the old one", 1s, 1, "a", false, true, 1, 2},
      {"lease is not expired", 4200ms, 2, "a", false, false, 1, 2},
      {"lease has expired", 4400ms, 2, "a", false, true, 2, 2},
      {"replaced process is refused", 9s, 1, "a", false, false, 2, 2}}},
    {"two processes claim one name",
     {{"join", 0s, 1, "a", false, true, 1, 1},
      {"challenge", 1s, 2, "b", false, false, 1, 1},
      {"renewal", 2s, 1, "a", false, true, 1, 1},
      {"challenge again", 5200ms, 2, "b", false, false, 1, 1},
      {"lease of the first process has expired", 5400ms, 2, "b", false, true, 2,
       2}}},
};

wire::Heartbeat beatOf(const BeatStep &Step) {
  wire::Heartbeat Beat;
  Beat.Name_ = "vm";
  Beat.Incarnation_ = {Step.Process_};
  Beat.Sequence_ = static_cast<std::uint64_t>(Step.At_.count()) + 1;
  Beat.Address_ = Step.Address_;
  Beat.Draining_ = Step.Draining_;
  return Beat;
}

UpstreamTable makeTable(Incarnation HolderOfTasks = {}) {
  configureLog({.Sink_ = [](std::string_view) {}});
  return UpstreamTable(
      {.LeaseTerm_ = LeaseTerm,
       .DriftMargin_ = DriftMargin,
       .HolderOfTasks_ = [=](const std::string &) { return HolderOfTasks; }});
}

} // namespace

TEST_CASE("only one incarnation at a time holds a name",
          "[control][upstreams]") {
  for (const BeatCase &Case : Cases) {
    UpstreamTable Table = makeTable();
    for (const BeatStep &Step : Case.Steps_) {
      INFO(Case.Name_ << ": " << Step.Name_);
      CHECK(Table.heartbeat(TimePoint(100s) + Step.At_, beatOf(Step), true) ==
            Step.Renewed_);
      CHECK(Table.holdsName("vm", {Step.Holder_}));
      const wire::Upstreams Published = Table.upstreams();
      REQUIRE(Published.Rows_.size() == 1);
      CHECK(Published.Rows_[0].Incarnation_ == Incarnation{Step.Published_});
      CHECK(Published.Rows_[0].Draining_ == Step.Draining_);
    }
  }
}

TEST_CASE("an upstream without heartbeats is removed when its lease expires",
          "[control][upstreams]") {
  UpstreamTable Table = makeTable();
  const TimePoint At(100s);
  Table.heartbeat(At, beatOf({"", 0s, 1, "a", false, true, 1, 1}), true);
  const std::uint64_t Version = Table.version();
  Table.tick(At + LeaseTerm + DriftMargin);
  CHECK(Table.upstreams().Rows_.size() == 1);
  Table.tick(At + LeaseTerm + DriftMargin + 1ms);
  CHECK(Table.upstreams().Rows_.empty());
  CHECK(Table.version() > Version);
}

TEST_CASE("a new leader treats every lease as renewed at its election",
          "[control][upstreams]") {
  UpstreamTable Table = makeTable();
  const TimePoint At(100s);
  Table.heartbeat(At, beatOf({"", 0s, 1, "a", false, true, 1, 1}), false);
  const std::uint64_t Version = Table.version();
  Table.lead(At + 2s, {7});
  CHECK(Table.version() > Version);
  for (const std::string Worker : {"vm", "never heard"}) {
    CHECK_FALSE(
        Table.hasLeaseExpired(At + 2s + LeaseTerm + DriftMargin, Worker));
    CHECK(
        Table.hasLeaseExpired(At + 2s + LeaseTerm + DriftMargin + 1ms, Worker));
  }
}

TEST_CASE("a name with tasks is given only to the holder of the tasks",
          "[control][upstreams]") {
  UpstreamTable Table = makeTable({1});
  const TimePoint At(100s);
  CHECK_FALSE(
      Table.heartbeat(At, beatOf({"", 0s, 2, "b", false, true, 1, 1}), true));
  CHECK(Table.heartbeat(At, beatOf({"", 0s, 1, "a", false, true, 1, 1}), true));
  CHECK(Table.holdsName("vm", {1}));
}

TEST_CASE("a follower gives a name in use to no second process",
          "[control][upstreams]") {
  UpstreamTable Table = makeTable();
  const TimePoint At(100s);
  for (Duration Passed{}; Passed < 10s; Passed += 500ms) {
    Table.heartbeat(At + Passed, beatOf({"", Passed, 1, "a"}), false);
    Table.heartbeat(At + Passed, beatOf({"", Passed, 2, "b"}), false);
    CHECK(Table.holdsName("vm", {1}));
  }
  Table.lead(At + 10s, {7});
  CHECK(Table.heartbeat(At + 10s, beatOf({"", 10s, 1, "a"}), true));
}

TEST_CASE("a new leader gives a name back to the holder of its tasks",
          "[control][upstreams]") {
  Incarnation Holder;
  UpstreamTable Table(
      {.LeaseTerm_ = LeaseTerm,
       .DriftMargin_ = DriftMargin,
       .HolderOfTasks_ = [&](const std::string &) { return Holder; }});
  const TimePoint At(100s);
  Table.heartbeat(At, beatOf({"", 0s, 1, "a"}), false);
  Table.heartbeat(At + 5s, beatOf({"", 5s, 2, "b"}), false);
  REQUIRE(Table.holdsName("vm", {2}));
  Holder = {1};
  Table.lead(At + 6s, {7});
  CHECK(Table.heartbeat(At + 6s, beatOf({"", 6s, 1, "a"}), true));
  CHECK_FALSE(Table.heartbeat(At + 6s, beatOf({"", 6s, 2, "b"}), true));
}

TEST_CASE("draining and expired entries are not counted as live",
          "[control][upstreams]") {
  UpstreamTable Table = makeTable();
  const TimePoint At(100s);
  CHECK(Table.liveEntryCount() == 1);
  for (const std::string Name : {"entry-1", "entry-2", "entry-3"}) {
    wire::Heartbeat Beat;
    Beat.Role_ = wire::Role::Entry;
    Beat.Name_ = Name;
    Beat.Draining_ = Name == "entry-3";
    Table.heartbeat(At, Beat, true);
  }
  CHECK(Table.liveEntryCount() == 2);
  Table.tick(At + 4s);
  CHECK(Table.liveEntryCount() == 1);
}
