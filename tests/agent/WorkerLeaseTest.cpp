#include "dragonfly/agent/WorkerLease.h"

#include <catch2/catch.hpp>

namespace dragonfly::agent {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{seconds(100)};

} // namespace

TEST_CASE("nothing is granted before the worker's clock is known",
          "[agent][lease]") {
  WorkerLease Lease;
  Lease.renewed(Start, seconds(4));
  CHECK(Lease.grant(Start) == WorkerTime::zero());
  Lease.clockRead(Start, WorkerTime(7000));
  CHECK(Lease.grant(Start) > WorkerTime(7000));
}

TEST_CASE("a lease ends on the worker's slow clock by the time that control "
          "allows",
          "[agent][lease]") {
  WorkerLease Lease;
  Lease.renewed(Start, seconds(4));
  Lease.clockRead(Start, WorkerTime(7000));
  const WorkerTime Granted = Lease.grant(Start + milliseconds(100));
  // A clock that is 2% slow shows 3920 ms more after 4 s.
  CHECK(Granted <= WorkerTime(7000 + 3920));
  CHECK(Granted > WorkerTime(7000 + 3800));
}

// Guards against TWICE and LOST: a single reading of the worker's clock that is
// far off would decide on all later leases.
TEST_CASE("a reading of the worker's clock counts until the next one",
          "[agent][lease]") {
  const std::int64_t Off = GENERATE(0, 1'000'000'000'000);
  WorkerLease Lease;
  Lease.renewed(Start, seconds(4));
  Lease.clockRead(Start, WorkerTime(7000));
  Lease.clockRead(Start, WorkerTime(Off));
  Lease.clockRead(Start, WorkerTime(7100));
  const WorkerTime Granted = Lease.grant(Start);
  CHECK(Granted > WorkerTime(7100 + 3800));
  CHECK(Granted <= WorkerTime(7100 + 4000));
}

// Guards against two runs of one task: a lease that is granted on an old
// reading of the worker's clock outlasts the time that control allows.
TEST_CASE("a lease ends in time however old the reading of the clock is",
          "[agent][lease]") {
  const int Permille = GENERATE(980, 1000, 1020);
  const Duration Age =
      GENERATE(milliseconds(0), milliseconds(3900), milliseconds(60000));
  const Duration Travel = GENERATE(milliseconds(0), milliseconds(800));
  WorkerLease Lease;
  Lease.clockRead(Start + Travel, WorkerTime(7000));
  const TimePoint Now = Start + Travel + Age;
  Lease.renewed(Now, seconds(4));
  const WorkerTime Granted = Lease.grant(Now);
  // What the clock shows by the time that control allows.
  const Duration Shown = (Now + seconds(4) - Start) * Permille / 1000;
  CHECK(Granted <= std::chrono::floor<WorkerTime>(Shown) + WorkerTime(7000));
}

TEST_CASE("a lease that control does not renew is not granted again",
          "[agent][lease]") {
  WorkerLease Lease;
  Lease.renewed(Start, seconds(4));
  Lease.clockRead(Start, WorkerTime(7000));
  Lease.grant(Start);
  CHECK(Lease.grant(Start + seconds(4)) == WorkerTime::zero());
  CHECK_FALSE(Lease.isOver(Start + seconds(4)));
  CHECK(Lease.isOver(Start + milliseconds(4200)));
}

// A worker that had crashed for good kept its runs on the books for as long as
// its agent lived: each unanswered call prolonged the lease.
TEST_CASE("the lease of a silent worker runs out although control renews it",
          "[agent][lease]") {
  WorkerLease Lease;
  Lease.renewed(Start, seconds(4));
  Lease.clockRead(Start, WorkerTime(7000));
  Lease.grant(Start);
  Lease.setSilent(true);
  Lease.renewed(Start + seconds(4), seconds(4));
  CHECK(Lease.grant(Start + seconds(1)) == WorkerTime::zero());
  CHECK(Lease.isOver(Start + milliseconds(4200)));

  SECTION("and is granted again once it answers") {
    Lease.setSilent(false);
    CHECK(Lease.grant(Start + seconds(5)) > WorkerTime::zero());
    CHECK_FALSE(Lease.isOver(Start + seconds(8)));
  }
}

// Guards against TWICE: what an earlier process granted begins no empty book.
TEST_CASE("a lease may be running that an earlier process of the agent granted",
          "[agent][lease]") {
  const WorkerLease Lease({}, Start);
  CHECK_FALSE(Lease.isOver(Start));
  CHECK_FALSE(Lease.isOver(Start + wire::MaxWorkerLeaseTerm));
  CHECK(Lease.isOver(Start + wire::MaxWorkerLeaseTerm + milliseconds(200)));
}

TEST_CASE("a worker that ends is granted nothing more", "[agent][lease]") {
  WorkerLease Lease;
  Lease.renewed(Start, seconds(4));
  Lease.clockRead(Start, WorkerTime(7000));
  Lease.close();
  CHECK(Lease.grant(Start) == WorkerTime::zero());
}

} // namespace dragonfly::agent
