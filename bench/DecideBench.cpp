/// Measures the cost of routing, admission and placement at several fleet
/// sizes, in wall-clock time, bytes of memory and bytes on the wire. Prints a
/// Markdown table; tick times also as a ratio to the smallest fleet.
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

std::uint64_t AllocationCount = 0;
/// Heap bytes currently allocated.
std::uint64_t LiveBytes = 0;

constexpr TimePoint Start{1000s};
constexpr std::size_t LargestFleet = 5900;
constexpr std::size_t LargestFleetTasks = 66000;
constexpr std::array<std::size_t, 4> FleetSizes{11, 100, 1000, LargestFleet};

/// Returns the mean wall-clock time of \p Calls calls of \p Operation, in
/// microseconds.
double microseconds(std::size_t Calls, const std::function<void()> &Operation) {
  const auto Before = std::chrono::steady_clock::now();
  for (std::size_t Call = 0; Call < Calls; ++Call)
    Operation();
  const std::chrono::duration<double, std::micro> Elapsed =
      std::chrono::steady_clock::now() - Before;
  return Elapsed.count() / static_cast<double>(Calls);
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
  Router UpstreamRouter({.AvailabilityZone_ = "az-1"});
  UpstreamRouter.setUpstreams(makeUpstreams(Workers));
  TimePoint Now = Start;
  const std::uint64_t Before = AllocationCount;
  const double MicrosecondsPerCall = microseconds(Calls, [&] {
    Now += 10us;
    const auto Picked = UpstreamRouter.pick(Now, {});
    UpstreamRouter.recordStart(Now, *Picked);
    UpstreamRouter.recordResult(Now, *Picked, AttemptResult::Answered, 5ms);
  });
  std::printf("| routing | %zu | %.3f us (bound 2 us: %s) | allocations %llu "
              "(bound 0: %s) |\n",
              Workers, MicrosecondsPerCall,
              MicrosecondsPerCall < 2 ? "met" : "NOT MET",
              static_cast<unsigned long long>(AllocationCount - Before),
              AllocationCount == Before ? "met" : "NOT MET");
}

void measureAdmission() {
  constexpr std::size_t Calls = 200000;
  Admission RequestAdmission(
      {.Kinds_ = {{.Name_ = "check", .FloorPermille_ = 500},
                  {.Name_ = "review", .FloorPermille_ = 300, .Rank_ = 1}}});
  RequestAdmission.setCapacity(30);
  std::vector<CustomerPolicy> Customers(300);
  for (std::size_t Index = 0; Index < Customers.size(); ++Index)
    Customers[Index] = {"c" + std::to_string(Index), 30, 100};
  RequestAdmission.setCustomers(Customers);
  std::vector<RequestHandle> Running;
  std::size_t Call = 0;
  TimePoint Now = Start;
  const double MicrosecondsPerCall = microseconds(Calls, [&] {
    Now += 10us;
    RequestAdmission.offer(Now, {.Customer_ = Customers[++Call % 300].Name_,
                                 .Kind_ = "check",
                                 .Deadline_ = Now + 500ms});
    for (const AdmissionCommand &Command : RequestAdmission.tick(Now))
      if (Command.Verdict_ == AdmissionVerdict::Dispatch)
        Running.push_back(Command.Request_);
    if (Running.size() >= 30) {
      RequestAdmission.finish(Now, Running.back(), 5ms);
      Running.pop_back();
    }
  });
  std::printf("| admission, 300 customers, queue full | - | %.3f us | |\n",
              MicrosecondsPerCall);
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

/// A fleet with the same number of waiting tasks per worker as the largest one.
struct FilledFleet {
  explicit FilledFleet(std::size_t Workers) : Workers_(Workers) {
    for (std::size_t Index = 0; Index < Workers; ++Index)
      Placement_.setWorker(Start, makeWorker(Index));
    const std::size_t Tasks = Workers * LargestFleetTasks / LargestFleet;
    for (std::size_t Task = 0; Task < Tasks; ++Task)
      Placement_.addTask(Start, makeTask(++LastTask_, Random_));
  }

  Placement Placement_{PlacementOptions{}};
  RandomEngine Random_{1};
  std::uint64_t LastTask_ = 0;
  std::size_t Workers_;
};

/// Returns the mean time of a tick with one change of each kind, in
/// microseconds. \p SmallestTick is that of the smallest fleet, 0 if none.
double measurePlacement(std::size_t Workers, double SmallestTick) {
  FilledFleet Fleet(Workers);
  const std::size_t Tasks = Fleet.Placement_.waitingTaskCount();
  std::size_t Started = 0;
  const double FillTime =
      microseconds(1, [&] { Started = Fleet.Placement_.tick(Start).size(); });
  TimePoint Now = Start + 10s;
  // In each tick one task ends, another is added and one worker reports, so the
  // number of changes does not grow with the fleet.
  std::uint64_t EndedTasks = 0;
  constexpr std::size_t Ticks = 2000;
  const std::size_t EndCount = std::min<std::size_t>(Ticks, Started / 2);
  const double BusyTick = microseconds(EndCount, [&] {
    Now += 1ms;
    Fleet.Placement_.recordTaskEnd(Now, {++EndedTasks},
                                   PlacementOutcome::Finished);
    Fleet.Placement_.addTask(Now, makeTask(++Fleet.LastTask_, Fleet.Random_));
    Fleet.Placement_.setWorker(Now, makeWorker(EndedTasks % Workers));
    Fleet.Placement_.tick(Now);
  });
  const double QuietTick = microseconds(Ticks, [&] {
    Now += 1ms;
    Fleet.Placement_.tick(Now);
  });
  const double MicrosecondsPerStart =
      FillTime / static_cast<double>(std::max<std::size_t>(1, Started));
  std::printf("| placement of one of %zu tasks | %zu | %.2f us (bound 50 us: "
              "%s) | started %zu |\n",
              Tasks, Workers, MicrosecondsPerStart,
              MicrosecondsPerStart < 50 ? "met" : "NOT MET", Started);
  std::printf("| tick: one end, one start, one report | %zu | %.2f us | %.2fx "
              "of the smallest fleet |\n",
              Workers, BusyTick,
              SmallestTick > 0 ? BusyTick / SmallestTick : 1.0);
  std::printf("| tick: nothing changed | %zu | %.3f us | |\n", Workers,
              QuietTick);
  return BusyTick;
}

/// Measures a tick in which every worker reports.
void measureReports(std::size_t Workers) {
  FilledFleet Fleet(Workers);
  Fleet.Placement_.tick(Start);
  const TimePoint Now = Start + 10s;
  const double Microseconds = microseconds(1, [&] {
    for (std::size_t Index = 0; Index < Workers; ++Index)
      Fleet.Placement_.setWorker(Now, makeWorker(Index));
    Fleet.Placement_.tick(Now);
  });
  std::printf("| tick: every worker reports | %zu | %.0f us | %.3f us per "
              "worker |\n",
              Workers, Microseconds,
              Microseconds / static_cast<double>(Workers));
}

void measureCancellations() {
  FilledFleet Fleet(LargestFleet);
  Fleet.Placement_.tick(Start);
  constexpr std::uint64_t Count = 10000;
  const TimePoint Now = Start + 10s;
  const double Microseconds = microseconds(1, [&] {
    for (std::uint64_t Id = 1; Id <= Count; ++Id)
      Fleet.Placement_.removeTask(Now, {Id});
    Fleet.Placement_.tick(Now);
  });
  std::printf("| 10,000 cancellations and the tick after | %zu | %.0f us | "
              "%.2f us each |\n",
              LargestFleet, Microseconds, Microseconds / Count);
}

void printMemory(const char *Label, std::uint64_t Before, std::size_t Count) {
  std::printf("| memory: %s | - | %.0f bytes | |\n", Label,
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
  Router UpstreamRouter({.AvailabilityZone_ = "az-1"});
  UpstreamRouter.setUpstreams(makeUpstreams(Upstreams));
  printMemory("one upstream in the router", Before, Upstreams);
  Admission RequestAdmission(
      {.Kinds_ = {{.Name_ = "check", .QueueLimit_ = 100000}}});
  RequestAdmission.setCustomers({{"c", 1, 100000}});
  constexpr std::size_t Waiting = 10000;
  Before = LiveBytes;
  for (std::size_t Request = 0; Request < Waiting; ++Request)
    RequestAdmission.offer(
        Start, {.Customer_ = "c", .Kind_ = "check", .Deadline_ = Start + 24h});
  printMemory("one waiting request in admission", Before, Waiting);
}

/// Returns the size of a frame that holds \p Value, in bytes.
std::size_t frameBytes(wire::Message Value) {
  return wire::encodeFrame({.Kind_ = wire::FrameKind::OneWay,
                            .Sender_ = {~0ULL},
                            .Sequence_ = 1000000,
                            .Message_ = std::move(Value)})
      .size();
}

/// Prints the bytes that the second row of a message adds to its frame.
template <typename Rows> void printRow(const char *Label, Rows One, Rows Two) {
  const std::size_t BytesPerRow = frameBytes(Two) - frameBytes(One);
  std::printf("| bytes: %s | - | %zu bytes | frame with one %zu |\n", Label,
              BytesPerRow, frameBytes(One));
}

void measureBytes() {
  wire::Heartbeat Heartbeat;
  Heartbeat.Name_ = "agent-5900";
  Heartbeat.AvailabilityZone_ = "az-1";
  Heartbeat.Rack_ = "rack-1966";
  Heartbeat.Address_ = "10.100.100.100:7100";
  std::printf("| bytes: heartbeat | - | %zu bytes | answer %zu |\n",
              frameBytes(Heartbeat),
              frameBytes(wire::HeartbeatAck{.Leader_ = "10.100.1.1:7000"}));
  const wire::Upstream Row{.Name_ = Heartbeat.Name_,
                           .Incarnation_ = {~0ULL},
                           .AvailabilityZone_ = Heartbeat.AvailabilityZone_,
                           .Rack_ = Heartbeat.Rack_,
                           .Address_ = Heartbeat.Address_};
  printRow("one upstream in a table", wire::Upstreams{.Rows_ = {Row}},
           wire::Upstreams{.Rows_ = {Row, Row}});
  const wire::TaskDirective Directive{.Kind_ = "lot-review",
                                      .Body_ = std::string(64, 'b')};
  printRow("one directive with a body of 64 bytes",
           wire::Directives{{Directive}},
           wire::Directives{{Directive, Directive}});
  printRow("one task report", wire::TaskReports{.Rows_ = {{}}},
           wire::TaskReports{.Rows_ = {{}, {}}});
}

} // namespace

void *operator new(std::size_t Size) {
  ++AllocationCount;
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
