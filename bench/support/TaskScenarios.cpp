#include "support/TaskScenarios.h"

#include <algorithm>

namespace dragonfly::bench {

using namespace std::chrono_literals;

namespace {

/// Readings are learnt from before this time; nothing is measured yet.
constexpr Duration Warm = 60s;
/// Requests beside the tasks, as a share of their usual rate.
constexpr double RequestRate = 0.1;

struct Outcome {
  TaskTotals Tasks_;
  double UrgentP99_ = 0;
};

Outcome runBoth(const TaskRunOptions &Options) {
  TaskRun Tasks(Options);
  RequestRunOptions Beside;
  Beside.Site_ = Options.Site_;
  Beside.Seed_ = Options.Seed_;
  Beside.Length_ = Options.Length_;
  Beside.LoadFactors_ = {RequestRate, RequestRate, RequestRate};
  Beside.OnStep_ = [&Tasks](RequestRun &Run, Duration At) {
    Tasks.step(Run, At);
  };
  RequestRun Requests(std::move(Beside));
  Requests.run();
  std::vector<double> Latencies;
  for (const RequestRecord &Record : Requests.records())
    if (Record.Kind_ == UrgentKind && Record.Fate_ == Fate::Completed &&
        Record.OfferedAt_ >= Warm)
      Latencies.push_back(toMilliseconds(Record.latency()));
  return {Tasks.totals(), quantileOf(std::move(Latencies), 0.99)};
}

TaskRunOptions optionsFor(const Deployment &Site, std::uint64_t Seed) {
  TaskRunOptions Options;
  Options.Site_ = Site;
  Options.Seed_ = Seed;
  Options.RackLossAt_ = 150s;
  return Options;
}

double asDouble(std::size_t Value) { return static_cast<double>(Value); }

} // namespace

Measures againstFirstFit(const Deployment &Site, const Seeds &Runs) {
  std::vector<double> P99;
  std::vector<double> Throughput;
  std::vector<double> Evictions;
  std::vector<double> Missed;
  std::vector<double> OverCommitted;
  for (std::uint64_t Seed : Runs) {
    TaskRunOptions Options = optionsFor(Site, Seed);
    const Outcome Own = runBoth(Options);
    Options.Policy_ = firstFit;
    const Outcome Other = runBoth(Options);
    P99.push_back(ratioOf(Own.UrgentP99_, Other.UrgentP99_));
    Throughput.push_back(ratioOf(Own.Tasks_.WorkDone_, Other.Tasks_.WorkDone_));
    Evictions.push_back(ratioOf(asDouble(Own.Tasks_.Evictions_),
                                asDouble(Other.Tasks_.Evictions_)));
    Missed.push_back(
        ratioOf(asDouble(Own.Tasks_.Missed_), asDouble(Other.Tasks_.Missed_)));
    OverCommitted.push_back(asDouble(Own.Tasks_.OverCommitted_));
  }
  return {{"against first-fit: urgent p99",
           "urgent p99 at most 0.7x",
           BoundSide::AtMost,
           0.7,
           P99,
           "",
           {}},
          {"against first-fit: batch throughput",
           "batch throughput at least 1.15x",
           BoundSide::AtLeast,
           1.15,
           Throughput,
           "",
           {}},
          {"against first-fit: evictions",
           "evictions at most 0.5x",
           BoundSide::AtMost,
           0.5,
           Evictions,
           "",
           {}},
          {"against first-fit: deadlines missed",
           "deadlines missed at most 0.5x",
           BoundSide::AtMost,
           0.5,
           Missed,
           "",
           {}},
          {"starts that over-commit a VM",
           "no VM ever over-committed",
           BoundSide::AtMost,
           0,
           OverCommitted,
           "",
           {}}};
}

Measures impossibleJobs(const Deployment &Site, const Seeds &Runs) {
  constexpr std::size_t Jobs = 10;
  std::vector<double> Starts;
  std::vector<double> NotParked;
  std::vector<double> Evictions;
  std::vector<double> Accepted;
  for (std::uint64_t Seed : Runs) {
    TaskRunOptions Options = optionsFor(Site, Seed);
    Options.Load_ = 0.4;
    Options.RackLossAt_.reset();
    const Outcome Without = runBoth(Options);
    Options.ImpossibleTasks_ = Jobs;
    const Outcome With = runBoth(Options);
    Starts.push_back(With.Tasks_.MostStartsOfImpossible_);
    NotParked.push_back(asDouble(Jobs) - asDouble(With.Tasks_.Parked_));
    Evictions.push_back(std::max(0.0, asDouble(With.Tasks_.Evictions_) -
                                          asDouble(Without.Tasks_.Evictions_)) /
                        asDouble(Jobs));
    decide::Placement Fleet({});
    decide::WorkerRow Worker;
    Worker.Name_ = "w";
    Worker.Capacity_ = Site.Capacity_;
    Fleet.setWorker(TimePoint(1s), Worker);
    decide::TaskRow Task;
    Task.Task_ = {Seed};
    Task.Need_ = Site.Capacity_ + Resources{1, 0, 0};
    Accepted.push_back(
        Fleet.addTask(TimePoint(1s), Task) == Reason::NeverFits ? 0 : 1);
  }
  return {{"impossible jobs: most starts of one",
           "after at most 3 starts",
           BoundSide::AtMost,
           3,
           Starts,
           "",
           {}},
          {"impossible jobs: not parked, of 10",
           "parked with its type",
           BoundSide::AtMost,
           0,
           NotParked,
           "",
           {}},
          {"impossible jobs: evictions caused by one",
           "at most one eviction caused",
           BoundSide::AtMost,
           1,
           Evictions,
           "",
           {}},
          {"jobs no VM could hold that were accepted",
           "one no VM could hold is refused on submission",
           BoundSide::AtMost,
           0,
           Accepted,
           "",
           {}}};
}

Measures weightsOfDeployments(const Deployment &Site, const Seeds &Runs) {
  std::vector<double> P99;
  std::vector<double> Throughput;
  std::vector<double> Evictions;
  for (std::uint64_t Seed : Runs) {
    TaskRunOptions Options = optionsFor(Site, Seed);
    Options.Site_.Placement_ = makeNotbandet().Placement_;
    const Outcome Tail = runBoth(Options);
    Options.Site_.Placement_ = makeSiamSpoke().Placement_;
    const Outcome Batch = runBoth(Options);
    P99.push_back(ratioOf(Tail.UrgentP99_, Batch.UrgentP99_));
    Throughput.push_back(
        ratioOf(Batch.Tasks_.WorkDone_, Tail.Tasks_.WorkDone_));
    Evictions.push_back(ratioOf(asDouble(Batch.Tasks_.Evictions_),
                                asDouble(Tail.Tasks_.Evictions_)));
  }
  // The least ratio that still counts as a win.
  constexpr double Win = 0.999;
  return {{"weights of notbandet / siam-spoke: urgent p99",
           "each wins on what it weighs",
           BoundSide::AtMost,
           Win,
           P99,
           "",
           {}},
          {"weights of siam-spoke / notbandet: batch throughput",
           "each wins on what it weighs",
           BoundSide::AtLeast,
           1 / Win,
           Throughput,
           "",
           {}},
          {"weights of siam-spoke / notbandet: evictions",
           "each wins on what it weighs",
           BoundSide::AtMost,
           Win,
           Evictions,
           "",
           {}}};
}

} // namespace dragonfly::bench
