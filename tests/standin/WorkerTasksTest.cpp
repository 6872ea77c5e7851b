#include "support/WorkerTasks.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::standin;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start(10s);

TaskStart makeStart(std::uint64_t EpochValue) {
  return {.Task_ = TaskId{1},
          .Epoch_ = Epoch{EpochValue},
          .Need_ = {.MilliProcessors_ = 500, .MemoryMib_ = 64}};
}

WorkerTasks makeTasks() {
  WorkerTasks Tasks(1s);
  Tasks.setLease(Start + 1h);
  Tasks.tick(Start);
  return Tasks;
}

} // namespace

TEST_CASE("a task runs to its end at its throttled pace", "[standin][tasks]") {
  WorkerTasks Tasks = makeTasks();
  REQUIRE(Tasks.start(Start, makeStart(1)));
  CHECK(Tasks.usage().MilliProcessors_ == 500);
  CHECK(Tasks.throttle(TaskId{1}, Epoch{1}, 500));
  Tasks.tick(Start + 1s);
  CHECK(Tasks.rows()[0].State_ == WorkerTaskState::Running);
  CHECK(Tasks.tick(Start + 2s).size() == 1);
  CHECK(Tasks.tick(Start + 3s).empty());
  CHECK(Tasks.rows()[0].State_ == WorkerTaskState::Finished);
  CHECK(Tasks.usage().MilliProcessors_ == 0);
}

TEST_CASE("older epochs and second starts are refused", "[standin][tasks]") {
  WorkerTasks Tasks = makeTasks();
  REQUIRE(Tasks.start(Start, makeStart(5)));
  CHECK_FALSE(Tasks.start(Start, makeStart(6)));
  CHECK_FALSE(Tasks.stop(TaskId{1}, Epoch{4}));
  CHECK_FALSE(Tasks.checkpoint(TaskId{1}, Epoch{4}));
  CHECK_FALSE(Tasks.throttle(TaskId{2}, Epoch{5}, 500));
  REQUIRE(Tasks.stop(TaskId{1}, Epoch{5}));
  CHECK_FALSE(Tasks.start(Start, makeStart(4)));
  CHECK(Tasks.start(Start, makeStart(6)));
}

TEST_CASE("a checkpoint resumes on another worker", "[standin][tasks]") {
  WorkerTasks First = makeTasks();
  REQUIRE(First.start(Start, makeStart(1)));
  First.tick(Start + 600ms);
  const auto Checkpoint = First.checkpoint(TaskId{1}, Epoch{1});
  REQUIRE(Checkpoint);
  WorkerTasks Second = makeTasks();
  TaskStart Resume = makeStart(2);
  Resume.Checkpoint_ = *Checkpoint;
  REQUIRE(Second.start(Start, Resume));
  Second.tick(Start + 399ms);
  CHECK(Second.rows()[0].State_ == WorkerTaskState::Running);
  Second.tick(Start + 400ms);
  CHECK(Second.rows()[0].State_ == WorkerTaskState::Finished);
}

TEST_CASE("no task starts or runs on without a lease", "[standin][tasks]") {
  WorkerTasks Tasks(10s);
  Tasks.tick(Start);
  CHECK_FALSE(Tasks.start(Start, makeStart(1)));
  Tasks.setLease(Start + 2s);
  REQUIRE(Tasks.start(Start, makeStart(1)));
  Tasks.tick(Start + 1s);
  CHECK(Tasks.rows().size() == 1);
  Tasks.tick(Start + 2s);
  CHECK(Tasks.rows().empty());
}
