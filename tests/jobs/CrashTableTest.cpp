#include "dragonfly/jobs/CrashTable.h"

#include <catch2/catch.hpp>

namespace dragonfly::jobs {
namespace {

using std::chrono::seconds;

TaskName task(std::uint32_t Index, const char *Job = "5c0e7a21d94b36f8") {
  return {.Job_ = Job, .Step_ = 0, .Index_ = Index};
}

/// Each crash is of another life.
struct Fixture {
  std::vector<TaskName> crash(const std::vector<TaskName> &Suspects) {
    Last_ = {.Worker_ = "w1", .Born_ = ++Born_};
    for (const TaskName &Task : Suspects)
      Last_.Suspects_.push_back({.Task_ = Task, .Run_ = 1});
    return Table_.record(At_, Last_, Suspects);
  }

  CrashTable Table_;
  Duration At_ = seconds(100);
  std::uint64_t Born_ = 0;
  WorkerCrash Last_;
};

} // namespace

// Guards against BUDGET: one task crashed worker after worker.
TEST_CASE("a task that crashes a second worker alone is given up",
          "[jobs][crash]") {
  Fixture On;
  CHECK(On.crash({task(1), task(2)}).empty());
  CHECK(On.crash({task(1)}) == std::vector{task(1)});
}

// Guards against a job that fails without cause: healthy tasks that had begun
// beside the one at fault.
TEST_CASE("a task that was suspect before takes the blame from the others",
          "[jobs][crash]") {
  Fixture On;
  CHECK(On.crash({task(1), task(2)}).empty());
  // One of the others may be at fault, so that it is not given up yet.
  CHECK(On.crash({task(1), task(4), task(5)}).empty());
  CHECK(On.Table_.crashes(task(1)) == 2);
  CHECK(On.Table_.crashes(task(2)) == 1);
  CHECK_FALSE(On.Table_.isSuspect(task(4)));
  CHECK_FALSE(On.Table_.isSuspect(task(5)));
  CHECK(On.crash({task(1), task(6)}) == std::vector{task(1)});
}

TEST_CASE("several suspects are not given up before the fifth crash",
          "[jobs][crash]") {
  Fixture On;
  for (int I = 0; I < 4; ++I)
    CHECK(On.crash({task(1), task(2)}).empty());
  SECTION("of both") {
    CHECK(On.crash({task(1), task(2)}) == std::vector{task(1), task(2)});
  }
  SECTION("unless its worker has outlived a run of it") {
    On.Table_.clear(task(2));
    CHECK(On.crash({task(1), task(2)}) == std::vector{task(1)});
  }
}

// Guards against healthy tasks that wait: of hundreds that began beside the one
// at fault, each was tried alone.
TEST_CASE("a task that is given up clears those beside it", "[jobs][crash]") {
  Fixture On;
  CHECK(On.crash({task(1), task(2), task(3)}).empty());
  CHECK(On.crash({task(3), task(4)}).empty());
  CHECK(On.crash({task(4)}).empty());
  CHECK(On.crash({task(1)}) == std::vector{task(1)});
  CHECK_FALSE(On.Table_.isSuspect(task(2)));
  // What the task was no suspect of remains.
  CHECK(On.Table_.crashes(task(3)) == 1);
  CHECK(On.Table_.crashes(task(4)) == 1);
}

// Guards against a job that fails without cause: what had begun beside a task
// may have ended or been cancelled before the crash is recorded.
TEST_CASE("a suspect beside a task that has ended was not alone",
          "[jobs][crash]") {
  Fixture On;
  CHECK(On.crash({task(1)}).empty());
  const WorkerCrash Second{.Worker_ = "w9",
                           .Born_ = 9,
                           .Suspects_ = {{.Task_ = task(1), .Run_ = 2},
                                         {.Task_ = task(2), .Run_ = 1}}};
  CHECK(On.Table_.record(On.At_, Second, {task(1)}).empty());
  CHECK(On.Table_.crashes(task(1)) == 2);
}

// Guards against a job that fails without cause: two runs of one task that had
// begun on the worker made one crash count as two.
TEST_CASE("several runs of a task are one suspect of a crash",
          "[jobs][crash]") {
  Fixture On;
  SECTION("beside another task") {
    CHECK(On.crash({task(1), task(1), task(2)}).empty());
    CHECK(On.Table_.crashes(task(1)) == 1);
    CHECK(On.crash({task(1), task(1), task(2)}).empty());
    CHECK(On.Table_.crashes(task(1)) == 2);
  }
  SECTION("alone") {
    CHECK(On.crash({task(1), task(1)}).empty());
    CHECK(On.Table_.crashes(task(1)) == 1);
    // No other task had begun beside it.
    CHECK(On.crash({task(1), task(1)}) == std::vector{task(1)});
  }
}

TEST_CASE("a crash that is told again counts once", "[jobs][crash]") {
  Fixture On;
  CHECK(On.crash({task(1)}).empty());
  CHECK(On.Table_.record(On.At_, On.Last_, {task(1)}).empty());
  CHECK(On.Table_.crashes(task(1)) == 1);
}

// Guards against a job that fails without cause: a lasting task outlives many
// workers.
TEST_CASE("a suspicion ends after a while", "[jobs][crash]") {
  Fixture On;
  CHECK(On.crash({task(1)}).empty());
  On.At_ += CrashTable::SuspicionTime + seconds(1);
  CHECK(On.crash({task(1)}).empty());
  CHECK(On.Table_.crashes(task(1)) == 1);
}

TEST_CASE("a crash without suspects counts against nobody", "[jobs][crash]") {
  Fixture On;
  CHECK(On.crash({}).empty());
  CHECK(On.Table_.empty());
}

TEST_CASE("the tasks of an ended job are forgotten", "[jobs][crash]") {
  Fixture On;
  const TaskName Other = task(1, "6c0e7a21d94b36f8");
  On.crash({task(1), task(2), Other});
  On.Table_.removeJob("5c0e7a21d94b36f8");
  CHECK_FALSE(On.Table_.isSuspect(task(1)));
  CHECK_FALSE(On.Table_.isSuspect(task(2)));
  CHECK(On.Table_.isSuspect(Other));
}

} // namespace dragonfly::jobs
