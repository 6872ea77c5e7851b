/// Measures what entry and agent add to a request, against the same load sent
/// straight to the upstream in the same run, and what one entry core carries.

#include "dragonfly/agent/Agent.h"
#include "dragonfly/base/Log.h"
#include "dragonfly/entry/Entry.h"
#include "support/FakeControl.h"
#include "support/LoadGenerator.h"
#include "support/LocalDeployment.h"
#include "support/LoopThread.h"
#include "support/StandIn.h"
#include "support/Statistics.h"

#include <ctime>

#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <list>
#include <new>
#include <optional>
#include <vector>

namespace {

/// Allocations of the calling thread.
thread_local std::uint64_t Allocations = 0;

} // namespace

// NOLINTBEGIN(misc-definitions-in-headers)
[[gnu::noinline]] void *operator new(std::size_t Size) {
  ++Allocations;
  if (void *Taken = std::malloc(Size == 0 ? 1 : Size))
    return Taken;
  throw std::bad_alloc();
}
[[gnu::noinline]] void operator delete(void *Taken) noexcept {
  std::free(Taken);
}
[[gnu::noinline]] void operator delete(void *Taken, std::size_t) noexcept {
  std::free(Taken);
}
// NOLINTEND(misc-definitions-in-headers)

namespace {

using namespace dragonfly;
using namespace dragonfly::standin;

const net::Endpoint AnyPort{.Address_ = "127.0.0.1", .Port_ = 0};
constexpr int Agents = 4;
constexpr std::uint32_t SlotsPerAgent = 64;
constexpr std::uint32_t SaturatingConcurrency = 128;
constexpr Duration SaturationLength = std::chrono::seconds(3);
constexpr Duration LatencyLength = std::chrono::seconds(3);
constexpr int Rounds = 5;
/// Share of the measured capacity at which latencies are compared.
constexpr double LatencyShare = 0.3;

/// What a thread has spent so far.
struct Spent {
  double CpuSeconds_ = 0;
  /// Time for which the thread was ready to run but had no processor.
  double WaitSeconds_ = 0;
  std::uint64_t Allocations_ = 0;
};

/// Returns the seconds that the kernel has kept this thread waiting.
double processorWait() {
  std::ifstream In("/proc/thread-self/schedstat");
  double Ran = 0;
  double Waited = 0;
  In >> Ran >> Waited;
  return Waited * 1e-9;
}

Spent spentByThread() {
  timespec Time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &Time);
  return {static_cast<double>(Time.tv_sec) +
              static_cast<double>(Time.tv_nsec) * 1e-9,
          processorWait(), Allocations};
}

/// Every process of a small deployment, each on a thread of its own.
class BenchDeployment {
public:
  BenchDeployment() {
    ControlThread_.call([this] {
      Control_.emplace(ControlThread_.loop(),
                       FakeControlOptions{.Listen_ = AnyPort,
                                          .Plans_ = LocalPlans,
                                          .Purchases_ = LocalPurchases});
    });
    for (std::uint8_t Number = 1; Number <= Agents; ++Number)
      addAgent(Number);
    EntryThread_.call([this] {
      Entry_.emplace(EntryThread_.loop(), localEntry(Control_->endpoint()));
    });
    while (!EntryThread_.call([this] { return Entry_->ready(); }) ||
           ControlThread_.call([this] { return Control_->upstreams(); }) <
               Agents)
      std::this_thread::yield();
  }

  ~BenchDeployment() {
    EntryThread_.call([this] { Entry_.reset(); });
    for (Vm &Row : Vms_)
      Row.Thread_.call([&Row] {
        Row.Agent_.reset();
        Row.Upstream_.reset();
      });
    ControlThread_.call([this] { Control_.reset(); });
  }

  BenchDeployment(const BenchDeployment &) = delete;
  BenchDeployment &operator=(const BenchDeployment &) = delete;

  net::Endpoint entry() {
    return EntryThread_.call([this] { return Entry_->endpoint(); });
  }
  std::vector<net::Endpoint> upstreams() {
    std::vector<net::Endpoint> Result;
    for (Vm &Row : Vms_)
      Result.push_back(Row.UpstreamThread_.call(
          [&Row] { return Row.Upstream_->endpoint(); }));
    return Result;
  }
  Spent entrySpent() { return EntryThread_.call(spentByThread); }

private:
  struct Vm {
    std::optional<StandIn> Upstream_;
    std::optional<agent::Agent> Agent_;
    LoopThread UpstreamThread_;
    LoopThread Thread_;
  };

  void addAgent(std::uint8_t Number) {
    Vm &Row = Vms_.emplace_back();
    const net::Endpoint Upstream = Row.UpstreamThread_.call([&Row] {
      Row.Upstream_.emplace(
          Row.UpstreamThread_.loop(),
          StandInOptions{
              .Listen_ = AnyPort,
              .Behaviour_ = {.ServiceTime_ = std::chrono::milliseconds(1)}});
      return Row.Upstream_->endpoint();
    });
    const net::Endpoint Control =
        ControlThread_.call([this] { return Control_->endpoint(); });
    Row.Thread_.call([&] {
      Row.Agent_.emplace(Row.Thread_.loop(),
                         localAgent(Number, Control, Upstream, SlotsPerAgent));
    });
  }

  std::optional<FakeControl> Control_;
  std::optional<entry::Entry> Entry_;
  std::list<Vm> Vms_;
  LoopThread ControlThread_;
  LoopThread EntryThread_;
};

int Runs = 0;

load::LoadResult send(load::LoadPlan Plan) {
  Plan.RunName_ = "bench" + std::to_string(++Runs);
  LoopThread Sender;
  std::promise<load::LoadResult> Done;
  std::optional<load::LoadGenerator> Load;
  Sender.call([&] {
    Load.emplace(Sender.loop(), std::move(Plan),
                 [&Done](const std::vector<load::LoadResult> &Rows) {
                   Done.set_value(Rows.at(0));
                 });
  });
  const load::LoadResult Result = Done.get_future().get();
  Sender.call([&Load] { Load.reset(); });
  return Result;
}

load::LoadPlan planAt(double Rate) {
  return {.Rows_ = {{.Customer_ = "acme",
                     .Kind_ = "check",
                     .RatePerSecond_ = Rate,
                     .Concurrency_ = SaturatingConcurrency}},
          .Length_ = Rate > 0 ? LatencyLength : SaturationLength};
}

/// Returns the requests per second that the path carries, closed loop.
double measureCapacity(BenchDeployment &Local) {
  load::LoadPlan Plan = planAt(0);
  Plan.Targets_ = {Local.entry()};
  const Spent Before = Local.entrySpent();
  const load::LoadResult Result = send(Plan);
  const Spent After = Local.entrySpent();
  const auto Completed = static_cast<double>(Result.Completed_);
  const double Cpu = After.CpuSeconds_ - Before.CpuSeconds_;
  const double Seconds =
      std::chrono::duration<double>(SaturationLength).count();
  std::printf("saturated: completed %.0f of %llu (refused %llu, unknown %llu, "
              "lost %llu), %.0f/s; entry thread %.2f of "
              "a core; %.0f requests per second of entry core; %.1f "
              "allocations per request in the entry\n",
              Completed, static_cast<unsigned long long>(Result.Sent_),
              static_cast<unsigned long long>(Result.Refused_),
              static_cast<unsigned long long>(Result.Unknown_),
              static_cast<unsigned long long>(Result.Lost_),
              Completed / Seconds, Cpu / Seconds, Completed / Cpu,
              static_cast<double>(After.Allocations_ - Before.Allocations_) /
                  Completed);
  return Completed / Seconds;
}

void compareLatency(BenchDeployment &Local, double Rate) {
  std::vector<double> AddedMedian;
  std::vector<double> AddedTail;
  for (int Round = 0; Round < Rounds; ++Round) {
    load::LoadPlan Plan = planAt(Rate);
    Plan.Seed_ = static_cast<std::uint64_t>(Round) + 1;
    Plan.Targets_ = Local.upstreams();
    Plan.Target_ = load::LoadTarget::Upstream;
    const load::LoadResult Direct = send(Plan);
    Plan.Targets_ = {Local.entry()};
    Plan.Target_ = load::LoadTarget::Entry;
    const Spent Before = Local.entrySpent();
    const load::LoadResult Through = send(Plan);
    const Spent After = Local.entrySpent();
    AddedMedian.push_back(toMilliseconds(Through.P50_ - Direct.P50_));
    AddedTail.push_back(toMilliseconds(Through.P99_ - Direct.P99_));
    std::printf("round %d at %.0f/s: straight p50 %.3f p99 %.3f ms; through "
                "p50 %.3f p99 %.3f ms; ratio %.2f and %.2f; refused %llu; "
                "entry thread ran "
                "%.0f ms, waited for a processor %.0f ms\n",
                Round + 1, Rate, toMilliseconds(Direct.P50_),
                toMilliseconds(Direct.P99_), toMilliseconds(Through.P50_),
                toMilliseconds(Through.P99_),
                toMilliseconds(Through.P50_) / toMilliseconds(Direct.P50_),
                toMilliseconds(Through.P99_) / toMilliseconds(Direct.P99_),
                static_cast<unsigned long long>(Through.Refused_),
                (After.CpuSeconds_ - Before.CpuSeconds_) * 1e3,
                (After.WaitSeconds_ - Before.WaitSeconds_) * 1e3);
  }
  std::printf("added, median over rounds: p50 %.3f ms, p99 %.3f ms\n",
              bench::medianOf(AddedMedian), bench::medianOf(AddedTail));
}

} // namespace

int main() {
  configureLog({.Least_ = Severity::Failure, .Process_ = "bench"});
  BenchDeployment Local;
  const double Capacity = measureCapacity(Local);
  compareLatency(Local, Capacity * LatencyShare);
  return 0;
}
