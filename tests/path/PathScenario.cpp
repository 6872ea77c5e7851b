#include "path/PathScenario.h"

#include <algorithm>
#include <utility>

namespace dragonfly::faults {
namespace {

using namespace std::chrono_literals;

constexpr Duration WarmUp = 2500ms;
constexpr Duration UnderFault = 8s;
/// By when everything must have come to rest after the load has ended.
constexpr Duration Settle = 12s;
/// Longer than a lease and its drift margin.
constexpr Duration PastLease = 1500ms;
constexpr Duration DownTime = 300ms;
/// Longer than a change of a list may take to be in force.
constexpr Duration CutTime = 6s;
/// What a change of a list may take to be in force everywhere.
constexpr Duration InForceBound = 4s;
constexpr Duration RetryDelay = 250ms;
constexpr std::uint32_t MaxTries = 6;
constexpr std::uint64_t CheckEverySteps = 10;
constexpr std::uint64_t ReviewEverySteps = 25;
constexpr std::uint64_t BuildEverySteps = 300;
constexpr std::uint64_t WheelEverySteps = 350;
constexpr std::uint64_t CancelEverySteps = 450;
/// Some cancellations come before the start is fetched, some after.
constexpr Duration CancelAfter = 60ms;
constexpr std::uint64_t EditEverySteps = 400;
/// When the graceful stop of an agent begins, after the fault is armed.
constexpr Duration DrainAfter = 1s;
constexpr Place Drained{Site::Agent, 0};
constexpr const char *Customer = "alnarp";

const std::string Plans =
    R"({"plans":[{"name":"small","processors":8,"memory_mib":16384,)"
    R"("accelerators":0,"concurrent_requests":100,"waiting_requests":500}]})";
const std::string Purchases =
    R"({"purchases":[{"customer":"alnarp","plan":"small"}]})";

} // namespace

PathScenario::PathScenario(PathSettings Settings)
    : Settings_(Settings), Random_(Settings.Seed_), World_(Settings.Seed_) {
  Skip_ = std::uniform_int_distribution<std::uint64_t>(0, 5)(Random_);
  World_.network().Route_ = [this](const RoutedMessage &Value) {
    return route(Value);
  };
  World_.network().OnDelivery_ = [this](const RoutedMessage &Value,
                                        bool After) {
    delivered(Value, After);
  };
}

void PathScenario::broken(const std::string &Detail) {
  Broken_.push_back(Detail);
}

bool PathScenario::matches(const RoutedMessage &Value) const {
  return Armed_ && Value.Message_.index() == Settings_.Step_.Type_ &&
         Value.To_.Site_ == Settings_.Step_.Receiver_;
}

std::vector<Duration> PathScenario::route(const RoutedMessage &Value) {
  if (!matches(Value))
    return {Duration::zero()};
  const PathFault Fault = Settings_.Fault_;
  const bool OnRoute =
      Fault == PathFault::SenderKilled || Fault == PathFault::MessageLost ||
      Fault == PathFault::MessageDoubled ||
      Fault == PathFault::MessageDelayed || Fault == PathFault::OneWayCut ||
      Fault == PathFault::TwoWayCut;
  if (!OnRoute || Strikes_ > 0)
    return {Duration::zero()};
  if (Skip_ > 0) {
    --Skip_;
    return {Duration::zero()};
  }
  strike(Value);
  switch (Fault) {
  case PathFault::MessageDoubled:
    return {Duration::zero(), 40ms};
  case PathFault::MessageDelayed:
    return {PastLease};
  default:
    return {};
  }
}

void PathScenario::delivered(const RoutedMessage &Value, bool After) {
  const PathFault Fault = Settings_.Fault_;
  const bool Wanted = Fault == PathFault::ReceiverKilledAfter
                          ? After
                          : !After && Fault >= PathFault::DiskLost;
  const bool Before = !After && (Fault == PathFault::ReceiverKilledBefore ||
                                 Fault == PathFault::ReceiverFrozen);
  if (!matches(Value) || Strikes_ > 0 || (!Wanted && !Before))
    return;
  if (Skip_ > 0) {
    --Skip_;
    return;
  }
  strike(Value);
}

void PathScenario::strike(const RoutedMessage &Value) {
  ++Strikes_;
  PathNetwork &Network = World_.network();
  const auto KillLeader = [this](Duration Down, bool WithDisk) {
    for (std::size_t Number = 0; Number < PathWorld::Replicas; ++Number)
      if (World_.control(Number) && World_.control(Number)->serving()) {
        killFor({Site::Control, Number}, Down);
        if (WithDisk)
          World_.network().at(World_.network().now() + Down / 2,
                              [this, Number] { World_.loseDisk(Number); });
        return;
      }
  };
  switch (Settings_.Fault_) {
  case PathFault::SenderKilled:
    return killFor(Value.From_, DownTime);
  case PathFault::ReceiverKilledBefore:
  case PathFault::ReceiverKilledAfter:
    return killFor(Value.To_, DownTime);
  case PathFault::ReceiverFrozen:
    return World_.freeze(Value.To_, PastLease);
  case PathFault::MessageLost:
  case PathFault::MessageDoubled:
  case PathFault::MessageDelayed:
    return;
  case PathFault::OneWayCut:
    Network.cut(Value.From_, Value.To_);
    return healLater();
  case PathFault::TwoWayCut:
    Network.isolate(Value.To_);
    return healLater();
  case PathFault::DiskLost:
    return KillLeader(DownTime, /*WithDisk=*/true);
  case PathFault::ClockFast:
    Network.process(Value.To_).ClockPermille_ = 1020;
    return;
  case PathFault::ClockSlow:
    Network.process(Value.To_).ClockPermille_ = 980;
    return;
  case PathFault::LeaderToo:
    killFor(Value.To_, PastLease);
    Network.at(Network.now() + DownTime,
               [KillLeader] { KillLeader(DownTime, false); });
    return;
  case PathFault::SameTwice:
    killFor(Value.To_, DownTime);
    Network.at(Network.now() + PastLease,
               [this, Where = Value.To_] { killFor(Where, DownTime); });
    return;
  }
}

void PathScenario::killFor(const Place &Where, Duration Down) {
  PathNetwork &Network = World_.network();
  World_.kill(Where);
  const std::uint64_t Life = Network.process(Where).Life_;
  Network.at(Network.now() + Down, [this, Where, Life] {
    if (World_.network().process(Where).Life_ == Life)
      World_.start(Where);
  });
}

void PathScenario::healLater() {
  PathNetwork &Network = World_.network();
  Network.at(Network.now() + CutTime, [&Network] { Network.heal(); });
}

std::vector<std::string> PathScenario::run() {
  const TimePoint Start = World_.network().now();
  const TimePoint End = Start + WarmUp + UnderFault;
  while (World_.network().now() < End) {
    Armed_ = World_.network().now() >= Start + WarmUp;
    load();
    if (Settings_.Drain_ && !RunsAtDrain_ && World_.agent(Drained.Number_) &&
        World_.network().now() >= Start + WarmUp + DrainAfter)
      drain();
    World_.step();
    checkConfiguration();
    checkDrain();
    ++Steps_;
  }
  Armed_ = false;
  World_.network().heal();
  const TimePoint Settled = World_.network().now() + Settle;
  while (World_.network().now() < Settled && !atRest()) {
    World_.step();
    checkConfiguration();
  }
  std::ranges::copy(World_.evidence().Violations_, std::back_inserter(Broken_));
  checkRequests();
  checkCounts();
  checkTasks();
  return Broken_;
}

/// True once no task is open and every process runs and has handed over its
/// receipts.
bool PathScenario::atRest() {
  control::ControlService *Leader = World_.leader();
  if (Leader == nullptr)
    return false;
  const bool TasksEnded =
      std::ranges::all_of(Leader->state().tasks().rows(),
                          [](const auto &Row) { return Row.second.ended(); });
  bool Idle = TasksEnded;
  for (std::size_t Number = 0; Number < PathWorld::Entries && Idle; ++Number)
    Idle = World_.entry(Number) != nullptr &&
           World_.entry(Number)->requests().inProgress() == 0 &&
           World_.entry(Number)->pendingReceipts() == 0;
  for (std::size_t Number = 0; Number < PathWorld::Agents && Idle; ++Number)
    Idle = World_.agent(Number) != nullptr &&
           World_.agent(Number)->pendingReceipts() == 0;
  return Idle;
}

void PathScenario::load() {
  const auto Add = [this](const std::string &Kind) {
    const wire::RequestKey Key{Customer, Kind + "-" + std::to_string(Steps_)};
    CallerRow &Row = Callers_[Key];
    Row.Key_ = Key;
    Row.Kind_ = Kind == "build-cancelled" ? "build" : Kind;
    submit(Row);
  };
  if (Steps_ % CheckEverySteps == 0)
    Add("check");
  if (Steps_ % ReviewEverySteps == 0)
    Add("review");
  if (Steps_ % BuildEverySteps == 0)
    Add("build");
  if (Steps_ % WheelEverySteps == 0)
    Add("wheel");
  if (Steps_ % CancelEverySteps == 0) {
    Add("build-cancelled");
    cancelSoon({Customer, "build-cancelled-" + std::to_string(Steps_)});
  }
  if (Steps_ % EditEverySteps == 0)
    edit();
}

/// Cancels at every entry, as its caller does not know which one has it.
void PathScenario::cancelSoon(const wire::RequestKey &Key) {
  PathNetwork &Network = World_.network();
  Network.at(Network.now() + CancelAfter, [this, Key] {
    Callers_[Key].Tries_ = MaxTries;
    for (std::size_t Number = 0; Number < PathWorld::Entries; ++Number)
      World_.network().within(
          {Site::Entry, Number}, Duration::zero(), [this, Number, Key] {
            World_.entry(Number)->requests().cancel(Clock::now(), Key);
          });
  });
}

/// Sends a request to one entry, and again later where it did not complete.
void PathScenario::submit(CallerRow &Row) {
  if (Row.Completed_ || ++Row.Tries_ > MaxTries)
    return;
  const std::size_t Number = (Steps_ + Row.Tries_) % PathWorld::Entries;
  const Place Where{Site::Entry, Number};
  PathNetwork &Network = World_.network();
  Network.at(Network.now() + RetryDelay * Row.Tries_ * Row.Tries_,
             [this, &Row, Tries = Row.Tries_] {
               if (Row.Tries_ == Tries)
                 submit(Row);
             });
  if (!Network.runs(Where)) {
    ++Row.Refused_;
    return;
  }
  Clock::pause(Network.localNow(Where));
  World_.entry(Number)->requests().submit(
      Network.localNow(Where),
      {.Key_ = Row.Key_, .Kind_ = Row.Kind_, .Body_ = "kernels"},
      {.OnAnswer_ = [this, &Row](const entry::AnswerPtr &End) {
        answered(Row, *End);
      }});
}

void PathScenario::answered(CallerRow &Row, const entry::Answer &End) {
  ++Row.Answers_;
  if (End.Outcome_ == Outcome::RefusedNotRun)
    ++Row.Refused_;
  if (End.Outcome_ != Outcome::Completed)
    return;
  Row.Completed_ = true;
  const bool Task = Row.Kind_ == "build" || Row.Kind_ == "wheel";
  if (!Task && End.Body_ != "answer:" + Row.Key_.RequestId_)
    broken("answer of another request: " + Row.Key_.RequestId_ + " got " +
           End.Body_);
  if (!Task && World_.evidence().Runs_[Row.Key_] == 0)
    broken("completed without a run: " + Row.Key_.RequestId_);
}

void PathScenario::edit() {
  control::ControlService *Leader = World_.leader();
  if (Leader == nullptr || EditPending_)
    return;
  const auto &Lists = Leader->state().lists();
  const auto List = Edits_.empty() ? settings::ListName::Plans
                                   : settings::ListName::Purchases;
  Leader->putList(
      {.List_ = List,
       .ExpectedVersion_ = Lists.list(List).Version_,
       .ChangeId_ = "edit-" + std::to_string(Steps_),
       .Content_ = Edits_.empty() ? Plans : Purchases},
      [this, List](consensus::ProposeStatus Status,
                   const control::PutOutcome &Result) {
        if (Status != consensus::ProposeStatus::Committed ||
            Result.Status_ != control::PutStatus::Accepted)
          return;
        const bool Purchased = List == settings::ListName::Purchases;
        Edits_.push_back({World_.network().now(),
                          Purchased ? Result.Version_ : ListVersion{}});
      });
}

void PathScenario::drain() {
  RunsAtDrain_ = World_.worker(Drained.Number_).runs();
  DrainLife_ = World_.network().process(Drained).Life_;
  World_.drain(Drained);
}

/// From the moment that the stop begins until the next start no request begins
/// at the upstream. What had begun ends: the stop waits for it.
void PathScenario::checkDrain() {
  const bool SameLife = World_.network().process(Drained).Life_ == DrainLife_;
  if (!RunsAtDrain_ || !SameLife)
    return;
  if (World_.worker(Drained.Number_).runs() > *RunsAtDrain_)
    broken("a leaving upstream received a request");
  if (!World_.stopped(Drained))
    return;
  if (World_.evidence().Checkpoints_ == 0)
    broken("a graceful stop made no checkpoint");
  killFor(Drained, DownTime);
}

void PathScenario::checkConfiguration() {
  const TimePoint Now = World_.network().now();
  const auto Check = [&](const Place &Where, link::ControlLink &Link) {
    const ListVersion InForce = Link.inForce().Purchases_;
    auto &[Life, Highest] = Seen_[Where];
    if (std::exchange(Life, World_.network().process(Where).Life_) != Life)
      Highest = {};
    if (InForce < Highest)
      broken("a list went back");
    Highest = std::max(Highest, InForce);
    if (!Link.configurationFresh())
      return;
    for (const Edit &Accepted : Edits_)
      if (Now > Accepted.AcceptedAt_ + InForceBound &&
          InForce < Accepted.Version_)
        broken("an accepted list is not in force");
  };
  for (std::size_t Number = 0; Number < PathWorld::Entries; ++Number)
    if (const Place Where{Site::Entry, Number}; World_.network().runs(Where)) {
      Clock::pause(World_.network().localNow(Where));
      Check(Where, World_.entry(Number)->link());
    }
  for (std::size_t Number = 0; Number < PathWorld::Agents; ++Number)
    if (const Place Where{Site::Agent, Number}; World_.network().runs(Where)) {
      Clock::pause(World_.network().localNow(Where));
      Check(Where, World_.agent(Number)->link());
    }
}

void PathScenario::checkRequests() {
  std::size_t Completed = 0;
  for (const auto &[Key, Row] : Callers_) {
    const std::uint64_t Runs = World_.evidence().Runs_[Key];
    Completed += Row.Completed_ ? 1 : 0;
    if (Row.Kind_ == "review" && Runs > 1)
      broken("a non-idempotent request ran twice: " + Key.RequestId_);
    if (Row.Refused_ >= Row.Tries_ && Runs > 0)
      broken("refused as not run, but it ran: " + Key.RequestId_);
  }
  if (Completed * 10 < Callers_.size() * 8)
    broken("no progress: " + std::to_string(Completed) + " of " +
           std::to_string(Callers_.size()) + " requests completed");
}

/// Each request that a caller was told is complete counts once; none counts
/// that did not run.
void PathScenario::checkCounts() {
  control::ControlService *Leader = World_.leader();
  if (Leader == nullptr) {
    broken("no replica serves in the end");
    return;
  }
  for (const std::string Kind : {"check", "review"}) {
    std::uint64_t Told = 0;
    std::uint64_t Ran = 0;
    for (const auto &[Key, Row] : Callers_) {
      if (Row.Kind_ != Kind)
        continue;
      Told += Row.Completed_ ? 1 : 0;
      Ran += World_.evidence().Runs_[Key] > 0 ? 1 : 0;
    }
    std::uint64_t Counted = 0;
    for (const control::CountRow &Row : Leader->state().counts().rows())
      if (Row.Kind_ == Kind)
        Counted += Row.Requests_[static_cast<std::size_t>(Outcome::Completed)];
    if (Counted < Told || Counted > Ran)
      broken(Kind + ": counted " + std::to_string(Counted) + ", told " +
             std::to_string(Told) + ", ran " + std::to_string(Ran));
  }
}

void PathScenario::checkTasks() {
  control::ControlService *Leader = World_.leader();
  if (Leader == nullptr)
    return;
  for (const auto &[Id, Task] : Leader->state().tasks().rows()) {
    if (!Task.ended())
      broken("task " + std::to_string(Id.Value_) + " never ended: state " +
             std::to_string(static_cast<int>(Task.State_)) + " on " +
             Task.Worker_ + " under epoch " +
             std::to_string(Task.Epoch_.Value_));
    // An idempotent task whose end was not heard of in time may run again; one
    // that is not may not, and an end that control knows has happened.
    const std::uint64_t Completions = World_.evidence().Completions_[Id];
    if (Task.NonIdempotent_ && Completions > 1)
      broken("non-idempotent task " + std::to_string(Id.Value_) +
             " was completed twice");
    if (Task.State_ == wire::TaskState::Finished && Completions == 0)
      broken("task " + std::to_string(Id.Value_) + " never completed");
  }
}

} // namespace dragonfly::faults
