/// Runs that were slowed down beside what serves.
#include "dragonfly/decide/RunMove.h"

#include <catch2/catch.hpp>

namespace dragonfly::decide {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

struct MoveCase {
  const char *Name_;
  ThrottledRun Run_;
  bool Moves_;
};

} // namespace

// Pattern: one run in four of a wide step is slowed down beside watches that it
// disturbs, and the whole step waits for it.
TEST_CASE("a run moves where that ends it sooner", "[decide][jobs]") {
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
      {"slowed down a moment ago",
       {.RemainingTime_ = seconds(5),
        .SpeedPercent_ = 0,
        .ThrottledFor_ = milliseconds(300)},
       false},
      {"hardly slowed down",
       {.RemainingTime_ = seconds(9),
        .SpeedPercent_ = 75,
        .ThrottledFor_ = seconds(9)},
       false},
  };
  for (const MoveCase &Each : Cases) {
    INFO(Each.Name_);
    CHECK(shouldMoveRun(Each.Run_) == Each.Moves_);
  }
}

} // namespace dragonfly::decide
