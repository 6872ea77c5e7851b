/// Loads of the users' heaviest days, each with the pattern that it stands for.
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

/// "noisy" takes 14 times its share of a worker from the headroom of what
/// serves.
JobPlacementOptions options() {
  return {.LossPerWorker_ = [](std::string_view, std::string_view Image) {
    return Image == "noisy" ? 14.0 : 0.0;
  }};
}

std::size_t placedAll(JobPlacement &Placement, const PlacementRequest &Task) {
  std::size_t Count = 0;
  while (Placement.place(Task))
    ++Count;
  return Count;
}

} // namespace

TEST_CASE("no worker is reserved beyond its capacity", "[decide][jobs]") {
  JobPlacement Placement({worker("w1"), worker("w2")}, options());
  CHECK(placedAll(Placement, serving()) == 8);
  for (const PlacementWorker &Row : Placement.workers())
    CHECK(Row.Reserved_.fitsIn(Row.Capacity_));
}

TEST_CASE(
    "tasks that serve are packed, so that whole workers stay free of them",
    "[decide][jobs]") {
  JobPlacement Placement({worker("w1"), worker("w2"), worker("w3")}, options());
  for (int I = 0; I < 4; ++I)
    Placement.place(serving());
  const auto Free = std::ranges::count_if(
      Placement.workers(),
      [](const PlacementWorker &Row) { return Row.Serving_.empty(); });
  CHECK(Free == 2);
}

// Pattern: watches of several images, and batch images that each disturb some
// of them; a worker with one image more keeps more batch images away.
TEST_CASE("tasks that serve are placed beside their own image, then where most "
          "images are, then on free workers",
          "[decide][jobs]") {
  PlacementWorker Own = worker("own");
  Own.Serving_ = {{.Image_ = "watch"}};
  PlacementWorker Mixed = worker("mixed");
  Mixed.Serving_ = {{.Image_ = "a"}, {.Image_ = "b"}};
  PlacementWorker Other = worker("other");
  Other.Serving_ = {{.Image_ = "a"}};
  JobPlacement Placement({worker("free"), Other, Mixed, Own}, options());
  std::vector<std::string> Order;
  while (const auto Chosen = Placement.place(serving()))
    if (const std::string &Name = Placement.workers()[*Chosen].Name_;
        Order.empty() || Order.back() != Name)
      Order.push_back(Name);
  CHECK(Order == std::vector<std::string>{"own", "mixed", "other", "free"});
}

// Pattern: batch jobs of all images wait while few workers are free of watches.
TEST_CASE("batch work that disturbs nobody leaves free workers to the rest",
          "[decide][jobs]") {
  PlacementWorker Busy = worker("busy");
  Busy.Serving_ = {{.Image_ = "watch", .Headroom_ = 2.5}};
  JobPlacement Placement({worker("free"), Busy}, options());
  CHECK(Placement.place(batch(8000, "calm")) == 1U);
  CHECK(Placement.place(batch(8000, "noisy")) == 0U);
}

// Pattern: batch jobs flood in beside watches that must keep their targets.
TEST_CASE("a flood of batch work keeps away where its image disturbs what "
          "serves, and uses the rest",
          "[decide][jobs]") {
  PlacementWorker Busy = worker("busy");
  Busy.Serving_ = {{.Image_ = "watch", .Headroom_ = 2.5}};
  JobPlacement Placement({Busy, worker("free")}, options());
  CHECK(placedAll(Placement, batch(8000, "noisy")) == 8);
  CHECK(Placement.workers()[0].SpareMilliProcessors_ == 0);
  CHECK(placedAll(Placement, batch(8000, "calm")) == 8);
  CHECK(Placement.workers()[0].SpareMilliProcessors_ == 64000);
}

// Pattern: a run is slowed down beside watches that it disturbs, while another
// worker would take it at full speed, or only one that is no better.
TEST_CASE("a run moves only to another worker that leaves it at full speed",
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

TEST_CASE("what serving tasks reserve and do not use is spare",
          "[decide][jobs]") {
  PlacementWorker Row = worker("w1");
  Row.Reserved_.MilliProcessors_ = 64000;
  Row.ServingMilliProcessors_ = 64000;
  JobPlacement Placement({Row}, options());
  CHECK(placedAll(Placement, batch(8000)) == 4);
}

TEST_CASE("one task of a job that would stand still may crowd in",
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

TEST_CASE("a step is spread as widely as it asks for", "[decide][jobs]") {
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

TEST_CASE("a task avoids the worker it failed on, and suspects come last",
          "[decide][jobs]") {
  PlacementWorker Suspect = worker("w1");
  Suspect.Suspect_ = true;
  JobPlacement Placement({Suspect, worker("w2")}, options());
  PlacementRequest Task = batch(1000);
  CHECK(Placement.place(Task) == 1U);
  Task.AvoidedWorker_ = "w2";
  CHECK(Placement.place(Task) == 0U);
}

TEST_CASE("labels and services are musts, a data rack is a wish",
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

// Pattern: a burst of large jobs before small ones, more than can be on time.
TEST_CASE("in a burst, jobs that can be on time come first, the small before "
          "the large",
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
  for (JobOutlook *Each : {&Large, &Late, &Lost})
    Each->Priority_ = 2;
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

// Pattern: watches hold all processors, and short urgent jobs of the same
// priority wait for what becomes free.
TEST_CASE("short jobs that can be served come before watches, lost ones after",
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

TEST_CASE("a chain is as long as its longest path", "[decide][jobs]") {
  const std::vector<std::uint32_t> First{0};
  const std::vector<std::uint32_t> Both{0, 1};
  const std::vector<CriticalPathStep> Steps{
      {.Length_ = seconds(2)},
      {.Length_ = seconds(5)},
      {.DependsOn_ = First, .Length_ = seconds(1)},
      {.DependsOn_ = Both, .Length_ = seconds(3)}};
  CHECK(criticalPathLength(Steps) == seconds(8));
}

} // namespace dragonfly::decide
