#include "dragonfly/decide/ServingLayout.h"

#include <catch2/catch.hpp>

#include <algorithm>

namespace dragonfly::decide {
namespace {

constexpr Resources WorkerCapacity{.MilliProcessors_ = 16000,
                                   .MemoryMib_ = 64000};
constexpr double HeavyLoss = 14;

/// Serving image "A" is disturbed by batch image "x", "B" by "y".
ServingLayoutOptions options() {
  return {.LossPerWorker_ = [](std::string_view Serving,
                               std::string_view Batch) {
    return (Serving == "A" && Batch == "x") || (Serving == "B" && Batch == "y")
               ? HeavyLoss
               : 0.0;
  }};
}

const std::vector<BatchDemand> Demands = {
    {.Image_ = "x", .MilliProcessors_ = 40000},
    {.Image_ = "y", .MilliProcessors_ = 40000}};

LayoutTask task(const std::string &Image, std::size_t Step,
                std::int64_t MilliProcessors = 3000) {
  return {.Image_ = Image,
          .Need_ = {.MilliProcessors_ = MilliProcessors, .MemoryMib_ = 6000},
          .Step_ = Step,
          .IsMovable_ = true};
}

LayoutWorker worker(std::vector<LayoutTask> Tasks) {
  LayoutWorker Row{.Capacity_ = WorkerCapacity, .Tasks_ = std::move(Tasks)};
  for (const LayoutTask &Task : Row.Tasks_)
    Row.Reserved_ += Task.Need_;
  return Row;
}

/// Carries the relocations out.
void apply(std::vector<LayoutWorker> &Workers,
           const std::vector<Relocation> &Moves) {
  std::vector<LayoutTask> Moved;
  for (const Relocation &Move : Moves) {
    Moved.push_back(Workers[Move.From_].Tasks_[Move.Task_]);
    Workers[Move.From_].Reserved_ -= Moved.back().Need_;
  }
  for (const Relocation &Move : Moves)
    Workers[Move.From_].Tasks_.erase(Workers[Move.From_].Tasks_.begin() +
                                     static_cast<std::ptrdiff_t>(Move.Task_));
  for (std::size_t Index = 0; Index < Moves.size(); ++Index) {
    LayoutWorker &To = Workers[Moves[Index].To_];
    To.Tasks_.push_back(Moved[Index]);
    To.Reserved_ += Moved[Index].Need_;
    CHECK(To.Reserved_.fitsIn(To.Capacity_));
  }
}

/// Relocates until nothing is gained and returns the number of relocations.
std::size_t settle(std::vector<LayoutWorker> &Workers) {
  constexpr std::size_t Limit = 50;
  std::size_t Count = 0;
  while (Count < Limit) {
    const std::vector<Relocation> Moves =
        ServingLayout(Workers, Demands, options()).nextRelocations(0);
    if (Moves.empty())
      break;
    apply(Workers, Moves);
    Count += Moves.size();
  }
  return Count;
}

std::ptrdiff_t workersWithout(const std::vector<LayoutWorker> &Workers,
                              const std::string &Image) {
  return std::ranges::count_if(Workers, [&](const LayoutWorker &Row) {
    return std::ranges::none_of(Row.Tasks_, [&](const LayoutTask &Task) {
      return Task.Image_ == Image;
    });
  });
}

// Pattern: after a burst of watches, or after all workers were lost, each
// worker has tasks of several latency-critical images. A batch image that
// disturbs one of them then fits nowhere, although processors are idle.
TEST_CASE("mixed latency-critical images are separated",
          "[decide][serving-layout]") {
  std::vector<LayoutWorker> Workers(
      4, worker({task("A", 0), task("A", 1), task("B", 2), task("B", 3)}));
  const double CostBefore = ServingLayout(Workers, Demands, options()).cost();
  CHECK(settle(Workers) <= 8);
  CHECK(workersWithout(Workers, "A") == 2);
  CHECK(workersWithout(Workers, "B") == 2);
  CHECK(ServingLayout(Workers, Demands, options()).cost() < CostBefore / 3);
}

TEST_CASE("on full workers tasks are exchanged", "[decide][serving-layout]") {
  std::vector<LayoutWorker> Workers(
      2, worker({task("A", 0, 8000), task("B", 1, 8000)}));
  const std::vector<Relocation> Moves =
      ServingLayout(Workers, Demands, options()).nextRelocations(0);
  REQUIRE(Moves.size() == 2);
  CHECK(Moves[0].From_ == Moves[1].To_);
  CHECK(Moves[0].To_ == Moves[1].From_);
  apply(Workers, Moves);
  CHECK(workersWithout(Workers, "A") == 1);
  CHECK(workersWithout(Workers, "B") == 1);
}

TEST_CASE("tasks stay where a relocation gains nothing",
          "[decide][serving-layout]") {
  SECTION("images are separate already") {
    std::vector<LayoutWorker> Workers = {worker({task("A", 0), task("A", 1)}),
                                         worker({task("B", 2), task("B", 3)})};
    CHECK(settle(Workers) == 0);
  }
  SECTION("no batch image is in demand") {
    const std::vector<LayoutWorker> Workers(
        2, worker({task("A", 0), task("B", 1)}));
    CHECK(ServingLayout(Workers, {}, options()).nextRelocations(0).empty());
  }
  SECTION("most workers are free") {
    std::vector<LayoutWorker> Workers(40);
    std::ranges::fill(Workers, worker({}));
    Workers[0] = worker({task("A", 0), task("B", 1)});
    CHECK(settle(Workers) == 0);
  }
}

TEST_CASE("relocations respect the limits of tasks",
          "[decide][serving-layout]") {
  std::vector<LayoutWorker> Workers = {
      worker({task("A", 0), task("B", 2), task("B", 3)}),
      worker({task("A", 0), task("B", 4)})};
  SECTION("tasks that may not be stopped stay") {
    for (LayoutWorker &Row : Workers)
      for (LayoutTask &Task : Row.Tasks_)
        Task.IsMovable_ = false;
    CHECK(settle(Workers) == 0);
  }
  SECTION("no worker gets more tasks of a step than allowed") {
    for (LayoutWorker &Row : Workers)
      Row.Tasks_[0].MaxPerWorker_ = 1;
    settle(Workers);
    for (const LayoutWorker &Row : Workers)
      CHECK(std::ranges::count(Row.Tasks_, 0U, &LayoutTask::Step_) == 1);
  }
  SECTION("no task moves to a suspect worker") {
    for (LayoutWorker &Row : Workers)
      Row.Suspect_ = true;
    CHECK(settle(Workers) == 0);
  }
  SECTION("tasks stay with the workers of their service") {
    Workers[0].Service_ = "sorting";
    Workers[1].Service_ = "orders";
    CHECK(settle(Workers) == 0);
  }
}

} // namespace
} // namespace dragonfly::decide
