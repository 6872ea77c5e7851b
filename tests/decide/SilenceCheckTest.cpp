#include "dragonfly/decide/SilenceCheck.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::decide;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start(10s);
constexpr Duration AnswerTime = 200ms;

/// A check of a connection on which a frame left at `Start` without an answer,
/// once its probe is overdue and a second connection was asked for.
SilenceCheck overdue() {
  SilenceCheck Check(Start);
  Check.recordSent(Start);
  REQUIRE(Check.advance(Start + AnswerTime, true) == SilenceAction::Probe);
  REQUIRE(Check.advance(Start + 2 * AnswerTime, true) ==
          SilenceAction::OpenSecond);
  return Check;
}

} // namespace

TEST_CASE("a connection with answers in time is not probed", "[silence]") {
  SilenceCheck Check(Start);
  for (Duration At = 0ms; At < 5s; At += 50ms) {
    Check.recordSent(Start + At);
    Check.recordAnswer(Start + At);
    REQUIRE(Check.advance(Start + At + 49ms, false) == SilenceAction::None);
  }
  CHECK(Check.due(false) == TimePoint::max());
}

TEST_CASE(
    "a silent connection is replaced once its peer has answered elsewhere",
    "[silence]") {
  SilenceCheck Check = overdue();
  const TimePoint Now = Start + 2 * AnswerTime + 5ms;
  REQUIRE(Check.recordSecondAnswer(Now) == SilenceAction::Probe);
  CHECK(Check.advance(Now + AnswerTime - 1ms, true) == SilenceAction::None);
  CHECK(Check.advance(Now + AnswerTime, true) == SilenceAction::Replace);
}

// Guards against LOST: sessions of a frozen leader would end with each freeze.
TEST_CASE("a peer that answers nowhere keeps its connection", "[silence]") {
  SilenceCheck Check = overdue();
  for (TimePoint Now = Start + 2 * AnswerTime; Now < Start + 1min; Now += 10ms)
    CHECK(Check.advance(Now, true) != SilenceAction::Replace);
  Check.recordAnswer(Start + AnswerTime);
  CHECK_FALSE(Check.inProgress());
}

TEST_CASE("a thawed peer that answers the second connection first keeps the "
          "other",
          "[silence]") {
  SilenceCheck Check = overdue();
  const TimePoint Thawed = Start + 3s;
  REQUIRE(Check.recordSecondAnswer(Thawed) == SilenceAction::Probe);
  Check.recordAnswer(Start + AnswerTime);
  CHECK_FALSE(Check.inProgress());
  CHECK(Check.advance(Thawed + AnswerTime, true) != SilenceAction::Replace);
}

// Guards against LOST: after a pause of this process its timers run before the
// answers that have arrived meanwhile are read.
TEST_CASE("a check that was paused itself proves nothing", "[silence]") {
  SilenceCheck Check = overdue();
  const TimePoint Now = Start + 2 * AnswerTime + 5ms;
  REQUIRE(Check.recordSecondAnswer(Now) == SilenceAction::Probe);
  const TimePoint Resumed = Now + 2s;
  CHECK(Check.advance(Resumed, true) == SilenceAction::None);
  SECTION("and ends with the answer that is read then") {
    Check.recordAnswer(Now);
    CHECK_FALSE(Check.inProgress());
  }
  SECTION("and goes on where none comes") {
    CHECK(Check.advance(Resumed + AnswerTime, true) == SilenceAction::Replace);
  }
}

TEST_CASE("a probe behind bytes that the peer still takes is waited for",
          "[silence]") {
  SilenceCheck Check = overdue();
  TimePoint Now = Start + 2 * AnswerTime;
  REQUIRE(Check.recordSecondAnswer(Now) == SilenceAction::Probe);
  for (int Step = 0; Step < 10; ++Step) {
    Now += AnswerTime;
    Check.recordProgress(Now - 10ms);
    REQUIRE(Check.advance(Now, true) == SilenceAction::None);
  }
  Now += AnswerTime;
  CHECK(Check.advance(Now, true) == SilenceAction::Replace);
}

// Guards against a crash: a peer that restarts right after it has answered on
// the second connection closes it, and there is nothing to go on with.
TEST_CASE("a check whose second connection closes needs another one",
          "[silence]") {
  SilenceCheck Check = overdue();
  const TimePoint Now = Start + 2 * AnswerTime + 5ms;
  REQUIRE(Check.recordSecondAnswer(Now) == SilenceAction::Probe);
  Check.recordSecondLost(Now + 50ms);
  CHECK(Check.advance(Now + AnswerTime, true) == SilenceAction::None);
  CHECK(Check.advance(Now + AnswerTime + 50ms, true) ==
        SilenceAction::OpenSecond);
  CHECK(Check.recordSecondAnswer(Now + 2 * AnswerTime) == SilenceAction::Probe);
}

// Guards against LOST: parts that go on coming hide that nothing arrives at the
// peer; only an answer to what left later proves that.
TEST_CASE("an answer to an earlier frame does not end a check", "[silence]") {
  SilenceCheck Check = overdue();
  Check.recordAnswer(Start - 1ms);
  CHECK(Check.inProgress());
}

TEST_CASE("a connection that only waits is probed now and then", "[silence]") {
  SilenceCheck Check(Start);
  Check.recordSent(Start);
  REQUIRE(Check.advance(Start + AnswerTime, true) == SilenceAction::Probe);
  Check.recordAnswer(Start + AnswerTime);
  CHECK(Check.due(false) == TimePoint::max());
  CHECK(Check.due(true) == Start + AnswerTime + 2s);
}

TEST_CASE("a peer that gives no sign is tried on one new connection a second",
          "[silence]") {
  SilenceCheck Check = overdue();
  std::size_t Opened = 0;
  for (Duration At = 401ms; At <= 10400ms; At += 1ms)
    Opened +=
        Check.advance(Start + At, true) == SilenceAction::OpenSecond ? 1 : 0;
  CHECK(Opened == 10);
}
