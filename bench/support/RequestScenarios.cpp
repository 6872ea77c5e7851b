#include "support/RequestScenarios.h"

#include <algorithm>
#include <numeric>

namespace dragonfly::bench {

using namespace std::chrono_literals;

namespace {

constexpr double FloodFactor = 10;
constexpr double Permille = 1000;

/// A span of simulated time, since the start of a run.
struct Window {
  Duration From_{};
  Duration To_{};

  bool holds(Duration At) const { return From_ <= At && At < To_; }
  /// Part of [\p From, \p To) that lies in the window.
  Duration overlap(Duration From, Duration To) const {
    return std::max(Duration::zero(),
                    std::min(To, To_) - std::max(From, From_));
  }
  Duration length() const { return To_ - From_; }
};

constexpr Window FloodWindow{8s, 16s};

RequestRunOptions optionsFor(const Deployment &Site, std::uint64_t Seed,
                             EntryPolicyMaker Policy = shippedEntry) {
  RequestRunOptions Options;
  Options.Site_ = Site;
  Options.Policy_ = std::move(Policy);
  Options.Seed_ = Seed;
  Options.Length_ = 18s;
  return Options;
}

Flood floodOf(std::size_t Kind, Window When, double Factor = FloodFactor) {
  return {.Kind_ = Kind,
          .Factor_ = Factor,
          .From_ = When.From_,
          .To_ = When.To_,
          .Customer_ = std::nullopt};
}

double p99(const RequestRun &Run, std::size_t Kind, Window When,
           std::optional<std::uint32_t> Customer = std::nullopt) {
  std::vector<double> Latencies;
  for (const RequestRecord &Record : Run.records())
    if (Record.Kind_ == Kind && Record.Fate_ == Fate::Completed &&
        When.holds(Record.OfferedAt_) &&
        Record.Customer_ == Customer.value_or(Record.Customer_))
      Latencies.push_back(toMilliseconds(Record.latency()));
  return quantileOf(std::move(Latencies), 0.99);
}

std::size_t countFate(const RequestRun &Run, std::size_t Kind, Window When,
                      Fate Value) {
  return static_cast<std::size_t>(
      std::ranges::count_if(Run.records(), [&](const RequestRecord &Record) {
        return Record.Kind_ == Kind && Record.Fate_ == Value &&
               When.holds(Record.OfferedAt_);
      }));
}

double slowestRefusal(const RequestRun &Run, Window When) {
  double Slowest = 0;
  for (const RequestRecord &Record : Run.records())
    if (Record.Fate_ == Fate::Refused && When.holds(Record.OfferedAt_))
      Slowest = std::max(Slowest, toMilliseconds(Record.latency()));
  return Slowest;
}

/// Returns the slots that a kind kept busy on average, counting only requests
/// that were answered within their deadline or still run.
double busySlots(const RequestRun &Run, const Deployment &Site,
                 std::size_t Kind, Window When) {
  Duration Busy{};
  for (const RequestRecord &Record : Run.records()) {
    if (Record.Kind_ != Kind || Record.Service_ == Duration::zero())
      continue;
    const bool InTime = Record.Fate_ == Fate::Completed &&
                        Record.latency() <= Site.Kinds_[Kind].Deadline_;
    if (InTime || Record.Fate_ == Fate::Open)
      Busy +=
          When.overlap(Record.StartedAt_, Record.StartedAt_ + Record.Service_);
  }
  return static_cast<double>(Busy.count()) /
         static_cast<double>(When.length().count());
}

double slotsOf(const Deployment &Site) {
  return static_cast<double>(Site.Workers_ * Site.Slots_);
}

std::unique_ptr<RequestRun> ran(RequestRunOptions Options) {
  auto Run = std::make_unique<RequestRun>(std::move(Options));
  Run->run();
  return Run;
}

/// Runs each seed with and without a flood of \p Kind.
struct FloodRatio {
  std::vector<double> P99_;
  std::vector<double> NotAnswered_;
};

FloodRatio underFlood(const Deployment &Site, const Seeds &Runs,
                      std::size_t Kind, const EntryPolicyMaker &Policy) {
  FloodRatio Ratio;
  for (std::uint64_t Seed : Runs) {
    const auto Calm = ran(optionsFor(Site, Seed, Policy));
    RequestRunOptions Options = optionsFor(Site, Seed, Policy);
    Options.Floods_ = {floodOf(Kind, FloodWindow)};
    const auto Flooded = ran(std::move(Options));
    Ratio.P99_.push_back(ratioOf(p99(*Flooded, UrgentKind, FloodWindow),
                                 p99(*Calm, UrgentKind, FloodWindow)));
    Ratio.NotAnswered_.push_back(static_cast<double>(
        countFate(*Flooded, UrgentKind, FloodWindow, Fate::Lost) +
        countFate(*Flooded, UrgentKind, FloodWindow, Fate::Refused)));
  }
  return Ratio;
}

} // namespace

Measures floodOfLeastUrgent(const Deployment &Site, const Seeds &Runs) {
  Measures Found;
  for (std::size_t Kind : {WatchKind, DeadlineKind}) {
    const std::string Flood = "10x " + Site.Kinds_[Kind].Name_;
    const FloodRatio Own = underFlood(Site, Runs, Kind, shippedEntry);
    const FloodRatio Other = underFlood(Site, Runs, Kind, oneSharedQueue);
    Found.push_back({Flood + ": urgent p99, flooded / unflooded",
                     "at most 1.2x its unflooded value", BoundSide::AtMost, 1.2,
                     Own.P99_, "one shared queue", Other.P99_});
    Found.push_back({Flood + ": urgent requests not answered",
                     "none of its requests lost", BoundSide::AtMost, 0,
                     Own.NotAnswered_, "one shared queue", Other.NotAnswered_});
  }
  return Found;
}

Measures floodOfMostUrgent(const Deployment &Site, const Seeds &Runs) {
  // Late enough for the watches to have reached their full number.
  constexpr Window Late{20s, 28s};
  std::vector<double> Kept[3];
  std::vector<double> Goodput;
  std::vector<double> Refusal;
  for (std::uint64_t Seed : Runs) {
    RequestRunOptions Options = optionsFor(Site, Seed);
    Options.Length_ = 30s;
    Options.Floods_ = {floodOf(UrgentKind, Late)};
    // The others ask for half as much again as they are guaranteed.
    for (std::size_t Kind : {DeadlineKind, WatchKind})
      Options.LoadFactors_[Kind] = 1.5 * Site.Kinds_[Kind].FloorPermille_ /
                                   Permille / Site.Kinds_[Kind].Load_;
    const auto Run = ran(std::move(Options));
    double Others = 0;
    for (std::size_t Kind : {DeadlineKind, WatchKind}) {
      const double Slots = busySlots(*Run, Site, Kind, Late);
      Others += Slots;
      Kept[Kind].push_back(
          Slots /
          (slotsOf(Site) * Site.Kinds_[Kind].FloorPermille_ / Permille));
    }
    Goodput.push_back(busySlots(*Run, Site, UrgentKind, Late) /
                      (slotsOf(Site) - Others));
    Refusal.push_back(slowestRefusal(*Run, Late));
  }
  const std::string Flood = "10x " + Site.Kinds_[UrgentKind].Name_ + ": ";
  return {{Flood + Site.Kinds_[DeadlineKind].Name_ + " kept of its share",
           "every other kind keeps at least 90% of its guaranteed share",
           BoundSide::AtLeast,
           0.9,
           Kept[DeadlineKind],
           "",
           {}},
          {Flood + Site.Kinds_[WatchKind].Name_ + " kept of its share",
           "every other kind keeps at least 90% of its guaranteed share",
           BoundSide::AtLeast,
           0.9,
           Kept[WatchKind],
           "",
           {}},
          {Flood + "goodput of the capacity left",
           "goodput at least 90% of the capacity left to it",
           BoundSide::AtLeast,
           0.9,
           Goodput,
           "",
           {}},
          {Flood + "slowest refusal, ms",
           "refused inside 50 ms, as not run",
           BoundSide::AtMost,
           50,
           Refusal,
           "",
           {}}};
}

Measures floodsThenCalm(const Deployment &Site, const Seeds &Runs) {
  constexpr Window First{4s, 9s};
  constexpr Window Second{9s, 14s};
  constexpr Window After{24s, 30s};
  std::vector<double> Back;
  std::vector<double> Attempts;
  std::vector<double> Unbounded;
  const auto AttemptsOf = [](const RequestRun &Run) {
    double Sum = 0;
    double Dispatched = 0;
    for (const RequestRecord &Record : Run.records()) {
      Sum += Record.Attempts_;
      Dispatched += Record.Attempts_ > 0 ? 1 : 0;
    }
    return Sum / Dispatched;
  };
  for (std::uint64_t Seed : Runs) {
    RequestRunOptions Calm = optionsFor(Site, Seed);
    Calm.Length_ = 31s;
    RequestRunOptions Flooded = Calm;
    Flooded.Floods_ = {floodOf(WatchKind, First), floodOf(UrgentKind, Second)};
    RequestRunOptions NoBudget = Flooded;
    NoBudget.Policy_ = noRetryBudget;
    const auto CalmRun = ran(std::move(Calm));
    const auto FloodedRun = ran(std::move(Flooded));
    Back.push_back(ratioOf(p99(*FloodedRun, UrgentKind, After),
                           p99(*CalmRun, UrgentKind, After)));
    Attempts.push_back(AttemptsOf(*FloodedRun));
    Unbounded.push_back(AttemptsOf(*ran(std::move(NoBudget))));
  }
  return {{"both floods, then calm: urgent p99 after 10 s / unflooded",
           "back to 1.1x within 10 s",
           BoundSide::AtMost,
           1.1,
           Back,
           "",
           {}},
          {"both floods: attempts / requests", "attempts at most 1.1x requests",
           BoundSide::AtMost, 1.1, Attempts, "no retry budget", Unbounded}};
}

Measures customerBeyondPlan(const Deployment &Site, const Seeds &Runs) {
  constexpr Window Long{8s, 38s};
  const auto Worst = [&](const EntryPolicyMaker &Policy) {
    std::vector<double> Ratios;
    for (std::uint64_t Seed : Runs) {
      RequestRunOptions Calm = optionsFor(Site, Seed, Policy);
      Calm.Length_ = Long.To_ + 2s;
      Calm.PlanConcurrent_ = 36;
      Calm.PlanWaiting_ = 120;
      RequestRunOptions Flooded = Calm;
      Flood Wave = floodOf(UrgentKind, Long, 5 * FloodFactor);
      Wave.Customer_ = 0;
      Flooded.Floods_ = {Wave};
      const auto CalmRun = ran(std::move(Calm));
      const auto FloodedRun = ran(std::move(Flooded));
      double Largest = 0;
      for (std::uint32_t Customer = 1; Customer < 6; ++Customer)
        Largest = std::max(Largest,
                           ratioOf(p99(*FloodedRun, UrgentKind, Long, Customer),
                                   p99(*CalmRun, UrgentKind, Long, Customer)));
      Ratios.push_back(Largest);
    }
    return Ratios;
  };
  return {{"a customer at 50x: worst p99 of another / calm",
           "does not move any other customer's p99 by more than 10%",
           BoundSide::AtMost, 1.1, Worst(shippedEntry), "one shared queue",
           Worst(oneSharedQueue)}};
}

namespace {

struct FailingOutcome {
  std::vector<double> Share_;
  std::vector<double> Tries_;
  std::vector<double> Ejected_;
  std::vector<double> Answered_;
};

/// Lets \p Failing workers fail everything from 5 s on; the share of what
/// reaches them counts from 10 s on.
FailingOutcome withFailing(const Deployment &Site, const Seeds &Runs,
                           std::size_t Failing,
                           const EntryPolicyMaker &Policy) {
  FailingOutcome Found;
  for (std::uint64_t Seed : Runs) {
    std::uint64_t BadAtTen = 0;
    std::uint64_t AllAtTen = 0;
    RequestRunOptions Options = optionsFor(Site, Seed, Policy);
    Options.Length_ = 40s;
    const auto Count = [Failing](RequestRun &Run, bool Bad) {
      std::uint64_t Sum = 0;
      for (std::size_t Index = 0; Index < Run.workers().size(); ++Index)
        Sum += !Bad || Index < Failing ? Run.workers()[Index].Reached_ : 0;
      return Sum;
    };
    Options.OnStep_ = [&](RequestRun &Run, Duration At) {
      for (std::size_t Index = 0; Index < Failing; ++Index)
        Run.workers()[Index].FailsEverything_ = At >= 5s;
      if (At == 10s) {
        BadAtTen = Count(Run, true);
        AllAtTen = Count(Run, false);
      }
    };
    const auto Run = ran(std::move(Options));
    const double Bad = static_cast<double>(Count(*Run, true) - BadAtTen);
    const double All = static_cast<double>(Count(*Run, false) - AllAtTen);
    constexpr Window Later{10s, 39s};
    const double Completed = static_cast<double>(
        countFate(*Run, UrgentKind, Later, Fate::Completed));
    const double Refused =
        static_cast<double>(countFate(*Run, UrgentKind, Later, Fate::Refused) +
                            countFate(*Run, UrgentKind, Later, Fate::Lost));
    Found.Share_.push_back(Bad / All);
    Found.Tries_.push_back(Bad);
    Found.Ejected_.push_back(static_cast<double>(Run->ejected()));
    Found.Answered_.push_back(Completed / (Completed + Refused));
  }
  return Found;
}

} // namespace

Measures failingWorkers(const Deployment &Site, const Seeds &Runs) {
  const FailingOutcome One = withFailing(Site, Runs, 1, shippedEntry);
  const FailingOutcome Least = withFailing(Site, Runs, 1, leastConnections);
  const FailingOutcome Chance = withFailing(Site, Runs, 1, randomUpstream);
  const std::size_t Half = Site.Workers_ / 2;
  const FailingOutcome Many = withFailing(Site, Runs, Half, shippedEntry);
  return {{"a failing worker: share of attempts that reach it",
           "under 1% of requests reach it after 5 s", BoundSide::AtMost, 0.01,
           One.Share_, "least connections", Least.Share_},
          {"a failing worker: share of attempts that reach it",
           "under 1% of requests reach it after 5 s", BoundSide::AtMost, 0.01,
           One.Share_, "random upstream", Chance.Share_},
          {"a failing worker: tries in 30 s by 3 entries",
           "tried again sparingly: at most once per ejection of 5 s",
           BoundSide::AtMost, 18, One.Tries_, "least connections",
           Least.Tries_},
          {"a failing worker: tries in 30 s by 3 entries",
           "it is tried again",
           BoundSide::AtLeast,
           1,
           One.Tries_,
           "",
           {}},
          {"half the fleet failing: upstreams ejected",
           "half the fleet failing does not eject all",
           BoundSide::AtMost,
           static_cast<double>(Half),
           Many.Ejected_,
           "",
           {}},
          {"half the fleet failing: urgent requests answered",
           "",
           BoundSide::Unbounded,
           0,
           Many.Answered_,
           "",
           {}}};
}

Measures cancellationWave(const Deployment &Site, const Seeds &Runs) {
  constexpr Window Wave{12s, 14s};
  constexpr std::size_t PerStep = 2000;
  std::vector<double> Ratios;
  std::vector<double> Cancelled;
  for (std::uint64_t Seed : Runs) {
    Deployment Large = Site;
    Large.QueueLimit_ = 8000;
    Large.Kinds_[DeadlineKind].Deadline_ = 1h;
    RequestRunOptions Calm = optionsFor(Large, Seed);
    Calm.PlanWaiting_ = 100000;
    Calm.LoadFactors_[DeadlineKind] = 60;
    RequestRunOptions Waved = Calm;
    std::size_t Sum = 0;
    Waved.OnStep_ = [&Sum, Wave](RequestRun &Run, Duration At) {
      if (At > Wave.From_ && At <= Wave.From_ + 1s)
        Sum += Run.cancel(DeadlineKind, PerStep);
    };
    const auto CalmRun = ran(std::move(Calm));
    const auto WavedRun = ran(std::move(Waved));
    const double Ratio = ratioOf(p99(*WavedRun, UrgentKind, Wave),
                                 p99(*CalmRun, UrgentKind, Wave));
    Ratios.push_back(std::max(Ratio, 1 / Ratio));
    Cancelled.push_back(static_cast<double>(Sum));
  }
  return {{"cancellations in one second: urgent p99, either way",
           "no urgent p99 change above 10%",
           BoundSide::AtMost,
           1.1,
           Ratios,
           "",
           {}},
          {"cancellations in one second: count",
           "10,000 in one second",
           BoundSide::AtLeast,
           10000,
           Cancelled,
           "",
           {}}};
}

} // namespace dragonfly::bench
