#include "dragonfly/decide/WorkerProbation.h"

#include <catch2/catch.hpp>

namespace dragonfly::decide {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST_CASE("a worker with a suspect task is closed for a moment",
          "[decide][crash]") {
  constexpr TimePoint Start{seconds(100)};
  WorkerProbation Probation;
  CHECK_FALSE(Probation.isClosed(Start, "w1"));
  Probation.close(Start, "w1");
  CHECK(Probation.isClosed(Start + milliseconds(400), "w1"));
  CHECK_FALSE(Probation.isClosed(Start + milliseconds(500), "w1"));
  CHECK_FALSE(Probation.isClosed(Start, "w2"));
}

// Guards against idle workers: suspects of one crash may be many.
TEST_CASE("most workers of each service stay open", "[decide][crash]") {
  const WorkerProbation Probation;
  std::vector<PlacementWorker> Workers(7, {.Service_ = "a"});
  Workers.resize(9, {.Service_ = "b"});
  CHECK(Probation.mayClose(Workers, "a"));
  Workers[0].Closed_ = true;
  CHECK(Probation.mayClose(Workers, "a"));
  Workers[1].Closed_ = true;
  CHECK_FALSE(Probation.mayClose(Workers, "a"));
  // A small service may close one.
  CHECK(Probation.mayClose(Workers, "b"));
  Workers[7].Closed_ = true;
  CHECK_FALSE(Probation.mayClose(Workers, "b"));
}

// Guards against LOST: tasks that began beside one at fault waited for workers
// of their own.
TEST_CASE("only tasks that are suspected again and again wait",
          "[decide][crash]") {
  const WorkerProbation Probation;
  CHECK_FALSE(Probation.mustWait(1, {}));
  CHECK(Probation.mustWait(2, milliseconds(900)));
  CHECK_FALSE(Probation.mustWait(2, milliseconds(1100)));
  CHECK(Probation.mustWait(3, seconds(10)));
}

} // namespace dragonfly::decide
