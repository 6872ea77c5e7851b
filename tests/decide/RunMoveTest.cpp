/// Tests of moving throttled runs to other workers.
#include "dragonfly/decide/RunMove.h"

#include <catch2/catch.hpp>

namespace dragonfly::decide {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct MoveCase {
  const char *Name_;
  ThrottledRun Run_;
  bool IsMoved_;
};

} // namespace

// One run in four of a step is throttled beside latency-critical tasks and
// becomes a straggler that the whole step waits for.
TEST_CASE("a throttled run moves if it is expected to end sooner elsewhere",
          "[decide][jobs]") {
  const MoveCase Cases[]{
      {"long and nearly paused",
       {.RemainingTime_ = seconds(2),
        .SpeedPercent_ = 10,
        .ThrottledFor_ = seconds(1)},
       true},
      {"paused, with little left",
       {.RemainingTime_ = milliseconds(200),
        .SpeedPercent_ = 0,
        .ThrottledFor_ = seconds(1)},
       false},
      {"paused, with a second left",
       {.RemainingTime_ = seconds(1),
        .SpeedPercent_ = 0,
        .ThrottledFor_ = seconds(1)},
       true},
      {"at half speed with much left",
       {.RemainingTime_ = seconds(3),
        .SpeedPercent_ = 50,
        .ThrottledFor_ = seconds(1)},
       true},
      {"at half speed with less left than a move costs",
       {.RemainingTime_ = seconds(1),
        .SpeedPercent_ = 50,
        .ThrottledFor_ = seconds(1)},
       false},
      {"throttled a moment ago",
       {.RemainingTime_ = seconds(5),
        .SpeedPercent_ = 0,
        .ThrottledFor_ = milliseconds(300)},
       false},
      {"hardly throttled",
       {.RemainingTime_ = seconds(9),
        .SpeedPercent_ = 75,
        .ThrottledFor_ = seconds(9)},
       false},
  };
  for (const MoveCase &Case : Cases) {
    INFO(Case.Name_);
    CHECK(shouldMoveRun(Case.Run_) == Case.IsMoved_);
  }
}

} // namespace dragonfly::decide
