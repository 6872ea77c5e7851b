/// Measures what a decision costs: routing, admission, placement and a tick at
/// several sizes of the fleet. Times are wall-clock and printed with a ratio.
#include "dragonfly/base/Random.h"
#include "dragonfly/decide/Admission.h"
#include "dragonfly/decide/Placement.h"
#include "dragonfly/decide/Router.h"
#include "dragonfly/wire/Frame.h"

#include <malloc.h>

#include <array>
#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <functional>
#include <new>
#include <string>
#include <vector>

using namespace dragonfly;
using namespace dragonfly::decide;
using namespace std::chrono_literals;

namespace {

std::uint64_t Allocations = 0;
/// Bytes that are allocated now.
std::uint64_t LiveBytes = 0;

constexpr TimePoint Start{1000s};
constexpr std::size_t LargestFleet = 5900;
constexpr std::size_t TasksOfLargest = 66000;
constexpr std::array<std::size_t, 4> FleetSizes{11, 100, 1000, LargestFleet};

/// Returns the microseconds that one call of \p Run takes.
double microseconds(std::size_t Calls, const std::function<void()> &Run) {
  const auto Before = std::chrono::steady_clock::now();
  for (std::size_t Call = 0; Call < Calls; ++Call)
    Run();
  const std::chrono::duration<double, std::micro> Taken =
      std::chrono::steady_clock::now() - Before;
  return Taken.count() / static_cast<double>(Calls);
}

std::vector<UpstreamRow> makeUpstreams(std::size_t Count) {
  std::vector<UpstreamRow> Rows(Count);
  for (std::size_t Index = 0; Index < Count; ++Index) {
    Rows[Index].Name_ = "w" + std::to_string(Index);
    Rows[Index].AvailabilityZone_ = "az-" + std::to_string(Index % 4);
    Rows[Index].Slots_ = Rows[Index].FreeSlots_ = 8;
  }
  return Rows;
}

void measureRouting(std::size_t Workers) {
  constexpr std::size_t Calls = 200000;
  Router Route({.AvailabilityZone_ = "az-1"});
  Route.setUpstreams(makeUpstreams(Workers));
  TimePoint Now = Start;
  const std::uint64_t Before = Allocations;
  const double Taken = microseconds(Calls, [&] {
    Now += 10us;
    const auto Picked = Route.pick(Now, {});
    Route.started(Now, *Picked);
    Route.finished(Now, *Picked, AttemptResult::Answered, 5ms);
  });
  std::printf("| routing | %zu | %.3f us (bound 2 us: %s) | allocations %llu "
              "(bound 0: %s) |\n",
              Workers, Taken, Taken < 2 ? "met" : "NOT MET",
              static_cast<unsigned long long>(Allocations - Before),
              Allocations == Before ? "met" : "NOT MET");
}

void measureAdmission() {
  constexpr std::size_t Calls = 200000;
  Admission Admit(
      {.Kinds_ = {{.Name_ = "check", .FloorPermille_ = 500},
                  {.Name_ = "review", .FloorPermille_ = 300, .Rank_ = 1}}});
  Admit.setCapacity(30);
  std::vector<CustomerPolicy> Customers(300);
  for (std::size_t Index = 0; Index < Customers.size(); ++Index)
    Customers[Index] = {"c" + std::to_string(Index), 30, 100};
  Admit.setCustomers(Customers);
  std::vector<RequestHandle> Running;
  std::size_t Call = 0;
  TimePoint Now = Start;
  const double Taken = microseconds(Calls, [&] {
    Now += 10us;
    Admit.offer(Now, {.Customer_ = Customers[++Call % 300].Name_,
                      .Kind_ = "check",
                      .Deadline_ = Now + 500ms});
    for (const AdmissionCommand &Command : Admit.tick(Now))
      if (Command.Verdict_ == AdmissionVerdict::Dispatch)
        Running.push_back(Command.Request_);
    if (Running.size() >= 30) {
      Admit.finish(Now, Running.back(), 5ms);
      Running.pop_back();
    }
  });
  std::printf("| admission, 300 customers, queue full | - | %.3f us | |\n",
              Taken);
}

WorkerRow makeWorker(std::size_t Index) {
  WorkerRow Row;
  Row.Name_ = "w" + std::to_string(Index);
  Row.AvailabilityZone_ = "az-" + std::to_string(Index % 8);
  Row.Rack_ = "r" + std::to_string(Index / 3);
  Row.Capacity_ = {64000, 238418, Index % 50 == 0 ? 2 : 0};
  Row.Usage_ = {20000, 80000, 0};
  return Row;
}

TaskRow makeTask(std::uint64_t Id, RandomEngine &Random) {
  TaskRow Row;
  Row.Task_ = {Id};
  Row.Customer_ = "c" + std::to_string(Id % 300);
  Row.Kind_ = "k" + std::to_string(Id % 6);
  const auto Size = static_cast<std::int64_t>(1000 + Random() % 4000);
  Row.Need_ = {Size, Size * 3, 0};
  Row.Deadline_ = Start + 1h + std::chrono::seconds(Random() % 3600);
  Row.ExpectedRunTime_ = 60s;
  return Row;
}

/// A fleet with as many tasks per worker as the largest one has.
struct FilledFleet {
  explicit FilledFleet(std::size_t Workers) : Workers_(Workers) {
    for (std::size_t Index = 0; Index < Workers; ++Index)
      Placement_.setWorker(Start, makeWorker(Index));
    const std::size_t Tasks = Workers * TasksOfLargest / LargestFleet;
    for (std::size_t Task = 0; Task < Tasks; ++Task)
      Placement_.addTask(Start, makeTask(++LastTask_, Random_));
  }

  Placement Placement_{PlacementOptions{}};
  RandomEngine Random_{1};
  std::uint64_t LastTask_ = 0;
  std::size_t Workers_;
};

/// Returns the cost of a quiet tick, so that the caller can compare.
double measurePlacement(std::size_t Workers, double SmallestTick) {
  FilledFleet Fleet(Workers);
  const std::size_t Tasks = Fleet.Placement_.waitingTaskCount();
  std::size_t Started = 0;
  const double Fill =
      microseconds(1, [&] { Started = Fleet.Placement_.tick(Start).size(); });
  TimePoint Now = Start + 10s;
  // A task ends, another starts, and one worker reports: what changes in a
  // tick does not grow with the fleet.
  std::uint64_t Ending = 0;
  constexpr std::size_t Ticks = 2000;
  const std::size_t Ends = std::min<std::size_t>(Ticks, Started / 2);
  const double Busy = microseconds(Ends, [&] {
    Now += 1ms;
    Fleet.Placement_.recordTaskEnd(Now, {++Ending}, PlacementOutcome::Finished);
    Fleet.Placement_.addTask(Now, makeTask(++Fleet.LastTask_, Fleet.Random_));
    Fleet.Placement_.setWorker(Now, makeWorker(Ending % Workers));
    Fleet.Placement_.tick(Now);
  });
  const double Quiet = microseconds(Ticks, [&] {
    Now += 1ms;
    Fleet.Placement_.tick(Now);
  });
  const double Each =
      Fill / static_cast<double>(std::max<std::size_t>(1, Started));
  std::printf("| placement of one of %zu tasks | %zu | %.2f us (bound 50 us: "
              "%s) | started %zu |\n",
              Tasks, Workers, Each, Each < 50 ? "met" : "NOT MET", Started);
  std::printf("| tick: one end, one start, one report | %zu | %.2f us | %.2fx "
              "of the smallest fleet |\n",
              Workers, Busy, SmallestTick > 0 ? Busy / SmallestTick : 1.0);
  std::printf("| tick: nothing changed | %zu | %.3f us | |\n", Workers, Quiet);
  return Busy;
}

/// Each worker reports and a share of the tasks ends within one tick.
void measureReports(std::size_t Workers) {
  FilledFleet Fleet(Workers);
  Fleet.Placement_.tick(Start);
  const TimePoint Now = Start + 10s;
  const double Taken = microseconds(1, [&] {
    for (std::size_t Index = 0; Index < Workers; ++Index)
      Fleet.Placement_.setWorker(Now, makeWorker(Index));
    Fleet.Placement_.tick(Now);
  });
  std::printf("| tick: every worker reports | %zu | %.0f us | %.3f us per "
              "worker |\n",
              Workers, Taken, Taken / static_cast<double>(Workers));
}

void measureCancellations() {
  FilledFleet Fleet(LargestFleet);
  Fleet.Placement_.tick(Start);
  constexpr std::uint64_t Count = 10000;
  const TimePoint Now = Start + 10s;
  const double Taken = microseconds(1, [&] {
    for (std::uint64_t Id = 1; Id <= Count; ++Id)
      Fleet.Placement_.removeTask(Now, {Id});
    Fleet.Placement_.tick(Now);
  });
  std::printf("| 10,000 cancellations and the tick after | %zu | %.0f us | "
              "%.2f us each |\n",
              LargestFleet, Taken, Taken / Count);
}

void printMemory(const char *What, std::uint64_t Before, std::size_t Count) {
  std::printf("| memory: %s | - | %.0f bytes | |\n", What,
              static_cast<double>(LiveBytes - Before) /
                  static_cast<double>(Count));
}

void measurePlacementMemory() {
  constexpr std::size_t Workers = 1000;
  RandomEngine Random(1);
  std::uint64_t Before = LiveBytes;
  Placement Fleet{PlacementOptions{}};
  for (std::size_t Index = 0; Index < Workers; ++Index)
    Fleet.setWorker(Start, makeWorker(Index));
  printMemory("one worker in placement", Before, Workers);
  constexpr std::size_t Tasks = 11186;
  Before = LiveBytes;
  for (std::uint64_t Id = 1; Id <= Tasks; ++Id)
    Fleet.addTask(Start, makeTask(Id, Random));
  Fleet.tick(Start);
  printMemory("one task in placement", Before, Tasks);
}

void measureEntryMemory() {
  constexpr std::size_t Upstreams = 1000;
  std::uint64_t Before = LiveBytes;
  Router Route({.AvailabilityZone_ = "az-1"});
  Route.setUpstreams(makeUpstreams(Upstreams));
  printMemory("one upstream in the router", Before, Upstreams);
  Admission Admit({.Kinds_ = {{.Name_ = "check", .QueueLimit_ = 100000}}});
  Admit.setCustomers({{"c", 1, 100000}});
  constexpr std::size_t Waiting = 10000;
  Before = LiveBytes;
  for (std::size_t Request = 0; Request < Waiting; ++Request)
    Admit.offer(Start,
                {.Customer_ = "c", .Kind_ = "check", .Deadline_ = Start + 24h});
  printMemory("one waiting request in admission", Before, Waiting);
}

/// Bytes of a frame that holds \p Value.
std::size_t frameBytes(wire::Message Value) {
  return wire::encodeFrame({.Kind_ = wire::FrameKind::OneWay,
                            .Sender_ = {~0ULL},
                            .Sequence_ = 1000000,
                            .Message_ = std::move(Value)})
      .size();
}

/// Prints what one more row adds to a message.
template <typename Rows> void printRow(const char *What, Rows One, Rows Two) {
  const std::size_t Each = frameBytes(Two) - frameBytes(One);
  std::printf("| bytes: %s | - | %zu bytes | frame with one %zu |\n", What,
              Each, frameBytes(One));
}

void measureBytes() {
  wire::Heartbeat Beat;
  Beat.Name_ = "agent-5900";
  Beat.AvailabilityZone_ = "az-1";
  Beat.Rack_ = "rack-1966";
  Beat.Address_ = "10.100.100.100:7100";
  std::printf("| bytes: heartbeat | - | %zu bytes | answer %zu |\n",
              frameBytes(Beat),
              frameBytes(wire::HeartbeatAck{.Leader_ = "10.100.1.1:7000"}));
  const wire::Upstream Row{.Name_ = Beat.Name_,
                           .Incarnation_ = {~0ULL},
                           .AvailabilityZone_ = Beat.AvailabilityZone_,
                           .Rack_ = Beat.Rack_,
                           .Address_ = Beat.Address_};
  printRow("one upstream in a table", wire::Upstreams{.Rows_ = {Row}},
           wire::Upstreams{.Rows_ = {Row, Row}});
  const wire::TaskDirective Order{.Kind_ = "lot-review",
                                  .Body_ = std::string(64, 'b')};
  printRow("one directive with a body of 64 bytes", wire::Directives{{Order}},
           wire::Directives{{Order, Order}});
  printRow("one task report", wire::TaskReports{.Rows_ = {{}}},
           wire::TaskReports{.Rows_ = {{}, {}}});
}

} // namespace

void *operator new(std::size_t Size) {
  ++Allocations;
  void *Memory = std::malloc(Size);
  if (Memory == nullptr)
    throw std::bad_alloc();
  LiveBytes += malloc_usable_size(Memory);
  return Memory;
}

void operator delete(void *Memory) noexcept {
  LiveBytes -= malloc_usable_size(Memory);
  std::free(Memory);
}

void operator delete(void *Memory, std::size_t) noexcept {
  operator delete(Memory);
}

int main() {
  std::puts("| decision | workers | cost | |\n| --- | --- | --- | --- |");
  for (std::size_t Workers : FleetSizes)
    measureRouting(Workers);
  measureAdmission();
  double SmallestTick = 0;
  for (std::size_t Workers : FleetSizes) {
    const double Tick = measurePlacement(Workers, SmallestTick);
    SmallestTick = SmallestTick > 0 ? SmallestTick : Tick;
  }
  for (std::size_t Workers : FleetSizes)
    measureReports(Workers);
  measureCancellations();
  measurePlacementMemory();
  measureEntryMemory();
  measureBytes();
  return 0;
}
