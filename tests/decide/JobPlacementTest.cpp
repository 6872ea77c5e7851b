/// Tests of placing tasks on workers and of ordering jobs, with loads like
/// those of the users' busiest days.
#include "dragonfly/decide/JobPlacement.h"
#include "dragonfly/decide/JobOrder.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>
#include <vector>

namespace dragonfly::decide {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

PlacementWorker worker(std::string Name) {
  return {.Name_ = std::move(Name),
          .Service_ = "s",
          .Labels_ = {"a"},
          .Capacity_ = {.MilliProcessors_ = 64000, .MemoryMib_ = 256000}};
}

PlacementRequest batch(std::int64_t MilliProcessors,
                       std::string_view Image = "calm") {
  return {.Service_ = "s",
          .Image_ = Image,
          .Need_ = {.MilliProcessors_ = MilliProcessors, .MemoryMib_ = 1000},
          .UsesSpareProcessors_ = true};
}

PlacementRequest serving() {
  return {.Service_ = "s",
          .Image_ = "watch",
          .Need_ = {.MilliProcessors_ = 13000, .MemoryMib_ = 20000},
          .IsServing_ = true};
}

/// Latency-critical tasks lose 14 times the processor share of "noisy" from
/// their headroom.
JobPlacementOptions options() {
  return {.LossPerWorker_ = [](std::string_view, std::string_view Image) {
    return Image == "noisy" ? 14.0 : 0.0;
  }};
}

/// Places the task until no worker has room; returns how often it was placed.
std::size_t placeAll(JobPlacement &Placement, const PlacementRequest &Task) {
  std::size_t Count = 0;
  while (Placement.place(Task))
    ++Count;
  return Count;
}

} // namespace

TEST_CASE("no worker is reserved beyond its capacity", "[decide][jobs]") {
  JobPlacement Placement({worker("w1"), worker("w2")}, options());
  CHECK(placeAll(Placement, serving()) == 8);
  for (const PlacementWorker &Row : Placement.workers())
    CHECK(Row.Reserved_.fitsIn(Row.Capacity_));
}

TEST_CASE("latency-critical tasks are packed, so that other workers stay free "
          "of them",
          "[decide][jobs]") {
  JobPlacement Placement({worker("w1"), worker("w2"), worker("w3")}, options());
  for (int I = 0; I < 4; ++I)
    Placement.place(serving());
  const auto Free = std::ranges::count_if(
      Placement.workers(),
      [](const PlacementWorker &Row) { return Row.Serving_.empty(); });
  CHECK(Free == 2);
}

// Job batch image interferes with some latency-critical images, so a worker
// with one more latency-critical image excludes more batch images.
TEST_CASE("latency-critical tasks are placed beside their own image, then on "
          "workers with most images, then on free workers",
          "[decide][jobs]") {
  PlacementWorker OwnImage = worker("own");
  OwnImage.Serving_ = {{.Image_ = "watch"}};
  PlacementWorker TwoImages = worker("mixed");
  TwoImages.Serving_ = {{.Image_ = "a"}, {.Image_ = "b"}};
  PlacementWorker OtherImage = worker("other");
  OtherImage.Serving_ = {{.Image_ = "a"}};
  JobPlacement Placement({worker("free"), OtherImage, TwoImages, OwnImage},
                         options());
  std::vector<std::string> Order;
  while (const auto Chosen = Placement.place(serving()))
    if (const std::string &Name = Placement.workers()[*Chosen].Name_;
        Order.empty() || Order.back() != Name)
      Order.push_back(Name);
  CHECK(Order == std::vector<std::string>{"own", "mixed", "other", "free"});
}

// Guards against LOST: a task that needs much room must not wait for as long as
// small ones arrive, nor for workers that lasting tasks fill for good.
TEST_CASE(
    "held room is kept from other tasks, on the worker closest to having it",
    "[decide][jobs]") {
  PlacementWorker Lasting = worker("lasting");
  Lasting.Reserved_.MilliProcessors_ = 52000;
  Lasting.ServingMilliProcessors_ = 52000;
  PlacementWorker Busy = worker("busy");
  Busy.Reserved_.MilliProcessors_ = 60000;
  PlacementWorker Closest = worker("closest");
  Closest.Reserved_.MilliProcessors_ = 58000;
  JobPlacement Placement({Lasting, Busy, Closest}, options());
  REQUIRE_FALSE(Placement.place(serving()));
  REQUIRE(Placement.holdRoom(serving()));
  PlacementRequest Short{.Service_ = "s",
                         .Need_ = {.MilliProcessors_ = 1000, .MemoryMib_ = 10}};
  // 12 on the worker of lasting tasks, 4 on the busy one.
  CHECK(placeAll(Placement, Short) == 16);
  REQUIRE(Placement.holdRoom(serving()));
  CHECK(Placement.workers()[1].Reserved_.MilliProcessors_ == 77000);
  PlacementWorker NoMemory = worker("no memory");
  NoMemory.Reserved_ = {.MilliProcessors_ = 55000, .MemoryMib_ = 240000};
  PlacementWorker OtherService = worker("other service");
  OtherService.Service_ += "t";
  JobPlacement Useless({Lasting, NoMemory, OtherService}, options());
  CHECK_FALSE(Useless.holdRoom(serving()));
}

// Few workers are free of latency-critical tasks while batch jobs of all images
// wait. Images that do not interfere must not use up the free workers.
TEST_CASE("batch tasks without interference leave free workers to other images",
          "[decide][jobs]") {
  PlacementWorker WithServing = worker("busy");
  WithServing.Serving_ = {{.Image_ = "watch", .Headroom_ = 2.5}};
  JobPlacement Placement({worker("free"), WithServing}, options());
  CHECK(Placement.place(batch(8000, "calm")) == 1U);
  CHECK(Placement.place(batch(8000, "noisy")) == 0U);
}

// A burst of batch jobs arrives while latency-critical jobs run. It must not
// make them miss their latency targets.
TEST_CASE(
    "a burst of batch tasks avoids workers where its image interferes with "
    "latency-critical tasks, and fills the others",
    "[decide][jobs]") {
  PlacementWorker WithServing = worker("busy");
  WithServing.Serving_ = {{.Image_ = "watch", .Headroom_ = 2.5}};
  JobPlacement Placement({WithServing, worker("free")}, options());
  CHECK(placeAll(Placement, batch(8000, "noisy")) == 8);
  CHECK(Placement.workers()[0].SpareMilliProcessors_ == 0);
  CHECK(placeAll(Placement, batch(8000, "calm")) == 8);
  CHECK(Placement.workers()[0].SpareMilliProcessors_ == 64000);
}

// A run is throttled beside latency-critical tasks that it interferes with. It
// must not move to a worker where it would be throttled again, nor to a suspect
// one.
TEST_CASE("a run moves only to another worker where it can run at full speed",
          "[decide][jobs]") {
  PlacementWorker Here = worker("here");
  Here.Serving_ = {{.Image_ = "watch", .Headroom_ = 4.0}};
  PlacementWorker Tight = worker("tight");
  Tight.Serving_ = {{.Image_ = "watch", .Headroom_ = 3.0}};
  PlacementRequest Task = batch(8000, "noisy");
  Task.AvoidedWorker_ = "here";
  Task.IsMove_ = true;
  JobPlacement WithoutPlace({Here, Tight}, options());
  CHECK_FALSE(WithoutPlace.place(Task));
  PlacementWorker Failing = worker("failing");
  Failing.Suspect_ = true;
  JobPlacement WithPlace({Here, Tight, Failing, worker("free")}, options());
  CHECK(WithPlace.place(Task) == 3U);
}

TEST_CASE("the unused part of latency-critical reservations is spare",
          "[decide][jobs]") {
  PlacementWorker Row = worker("w1");
  Row.Reserved_.MilliProcessors_ = 64000;
  Row.ServingMilliProcessors_ = 64000;
  JobPlacement Placement({Row}, options());
  CHECK(placeAll(Placement, batch(8000)) == 4);
}

TEST_CASE("a task of a stalled job may overcommit spare processors",
          "[decide][jobs]") {
  PlacementWorker Row = worker("w1");
  Row.SpareMilliProcessors_ = 64000;
  JobPlacement Placement({Row}, options());
  PlacementRequest Task = batch(8000);
  CHECK_FALSE(Placement.place(Task));
  CHECK(Placement.countObstacles(Task).SpareProcessors_ == 1);
  Task.MayOvercommit_ = true;
  CHECK(Placement.place(Task));
}

TEST_CASE("a step has at most its maximum number of runs on each worker",
          "[decide][jobs]") {
  JobPlacement Placement({worker("w1"), worker("w2")}, options());
  PlacementRequest Task = serving();
  Task.MaxPerWorker_ = 1;
  Task.StepRunsPerWorker_ = {0, 0};
  const auto First = Placement.place(Task);
  REQUIRE(First);
  ++Task.StepRunsPerWorker_[*First];
  const auto Second = Placement.place(Task);
  REQUIRE(Second);
  CHECK(*First != *Second);
  ++Task.StepRunsPerWorker_[*Second];
  CHECK_FALSE(Placement.place(Task));
  CHECK(Placement.countObstacles(Task).TooManyOfStep_ == 2);
}

TEST_CASE(
    "a suspect worker is chosen only over the one that the task failed on",
    "[decide][jobs]") {
  PlacementWorker Suspect = worker("w1");
  Suspect.Suspect_ = true;
  JobPlacement Placement({Suspect, worker("w2")}, options());
  PlacementRequest Task = batch(1000);
  CHECK(Placement.place(Task) == 1U);
  Task.AvoidedWorker_ = "w2";
  CHECK(Placement.place(Task) == 0U);
}

TEST_CASE("label and service are required, a data rack is preferred",
          "[decide][jobs]") {
  PlacementWorker Near = worker("w2");
  Near.Labels_ = {"a", "r1"};
  JobPlacement Placement({worker("w1"), Near}, options());
  PlacementRequest Task = batch(1000);
  Task.DataRack_ = "r1";
  CHECK(Placement.place(Task) == 1U);
  Task.DataRack_ = "r9";
  CHECK(Placement.place(Task));
  Task.RequiredLabel_ = "b";
  CHECK_FALSE(Placement.place(Task));
  CHECK(Placement.countObstacles(Task).Label_ == 2);
  Task.RequiredLabel_ = {};
  Task.Service_ = "other";
  CHECK_FALSE(Placement.place(Task));
}

// A burst has more work than can be done on time, and its large jobs come
// before the small ones. Running them in order of arrival would make most jobs
// late.
TEST_CASE("in a burst, jobs that can be on time come first, small ones before "
          "large ones",
          "[decide][jobs]") {
  const JobOutlook Small{.Sequence_ = 9,
                         .Age_ = seconds(1),
                         .LatencyObjective_ = seconds(10),
                         .RemainingCriticalPath_ = seconds(5),
                         .RemainingWork_ = 50};
  JobOutlook Large = Small;
  Large.Sequence_ = 1;
  Large.RemainingWork_ = 500;
  JobOutlook Late = Small;
  Late.Age_ = seconds(8);
  JobOutlook Lost = Small;
  Lost.Age_ = seconds(40);
  JobOutlook Urgent = Lost;
  Urgent.Priority_ = 0;
  for (JobOutlook *Job : {&Large, &Late, &Lost})
    Job->Priority_ = 2;
  JobOutlook Batch = Small;
  Batch.Priority_ = 2;
  CHECK(rankJob(Batch) < rankJob(Large));
  CHECK(rankJob(Large) < rankJob(Late));
  CHECK(rankJob(Late) < rankJob(Lost));
  CHECK(rankJob(Urgent) < rankJob(Batch));
  JobOutlook Watch = Lost;
  Watch.Priority_ = 0;
  Watch.LongRunning_ = true;
  CHECK(rankJob(Watch) < rankJob(Batch));
}

// Long-running jobs hold all processors while short jobs of the same priority
// wait. The short jobs would miss their objective if they waited for
// long-running ones.
TEST_CASE("short jobs come before long-running ones, unless they are too late",
          "[decide][jobs]") {
  const JobOutlook Watch{.LongRunning_ = true, .Sequence_ = 1};
  JobOutlook Check{.Sequence_ = 2,
                   .Age_ = seconds(1),
                   .LatencyObjective_ = seconds(2),
                   .RemainingCriticalPath_ = milliseconds(800),
                   .RemainingWork_ = 7};
  CHECK(rankJob(Check) < rankJob(Watch));
  Check.Age_ = seconds(4);
  CHECK(rankJob(Check) < rankJob(Watch));
  Check.Age_ = seconds(6);
  CHECK(rankJob(Watch) < rankJob(Check));
}

TEST_CASE("the critical path is the longest path through the steps",
          "[decide][jobs]") {
  const std::vector<std::uint32_t> First{0};
  const std::vector<std::uint32_t> Both{0, 1};
  const std::vector<CriticalPathStep> Steps{
      {.Length_ = seconds(2)},
      {.Length_ = seconds(5)},
      {.DependsOn_ = First, .Length_ = seconds(1)},
      {.DependsOn_ = Both, .Length_ = seconds(3)}};
  CHECK(criticalPathLength(Steps) == seconds(8));
}

// Load: workers that fail every run take the tasks that have failed elsewhere.
// Guards against a job that fails because its last attempt meets a second one.
TEST_CASE("the last attempt of a task waits for a proven worker",
          "[decide][jobs]") {
  PlacementRequest Last = batch(8000);
  Last.IsLastAttempt_ = true;
  PlacementWorker Proven = worker("w2");
  Proven.Proven_ = true;
  Proven.SpareMilliProcessors_ = 60000;

  JobPlacement Placement({worker("w1"), Proven}, options());
  CHECK_FALSE(Placement.place(Last));
  CHECK(Placement.countObstacles(Last).Unproven_ == 1);
  CHECK(Placement.countObstacles(Last).SpareProcessors_ == 1);

  SECTION("which is taken as soon as it has room") {
    Proven.SpareMilliProcessors_ = 0;
    JobPlacement Later({worker("w1"), Proven}, options());
    CHECK(Later.place(Last) == 1U);
  }
  SECTION("but takes any where none is proven") {
    JobPlacement Unproven({worker("w1"), worker("w2")}, options());
    CHECK(Unproven.place(Last));
  }
}

TEST_CASE("a limited worker gets as many runs as it has starts left",
          "[decide][jobs]") {
  PlacementWorker Limited = worker("w1");
  Limited.StartsLeft_ = 2;
  JobPlacement Placement({Limited}, options());
  CHECK_FALSE(Placement.place([] {
    PlacementRequest Lasting = serving();
    Lasting.IsLongRunning_ = true;
    return Lasting;
  }()));
  CHECK(placeAll(Placement, batch(1000)) == 2);
  CHECK(Placement.countObstacles(batch(1000)).StartLimit_ == 1);
}

TEST_CASE("a worker whose last run failed comes after the others",
          "[decide][jobs]") {
  PlacementWorker Failing = worker("w1");
  Failing.FailuresInRow_ = 1;
  PlacementWorker Busy = worker("w2");
  Busy.SpareMilliProcessors_ = 40000;
  JobPlacement Placement({Failing, Busy}, options());
  CHECK(Placement.place(batch(8000)) == 1U);
}

TEST_CASE("a task that must be near its data is placed in its rack only",
          "[decide][locality]") {
  PlacementWorker Near = worker("w1");
  Near.Labels_.emplace_back("r1");
  PlacementRequest Task = batch(8000);
  Task.DataRack_ = "r1";
  Task.OnlyNearData_ = true;
  JobPlacement Placement({Near, worker("w2")}, options());
  CHECK(placeAll(Placement, Task) == 8);
  CHECK(Placement.countObstacles(Task).FarFromData_ == 1);
}

} // namespace dragonfly::decide
