#include "support/TaskRun.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <numbers>
#include <numeric>
#include <utility>

namespace dragonfly::bench {

using namespace decide;
using namespace std::chrono_literals;

namespace {

constexpr std::size_t Kinds = 4;
constexpr std::size_t Customers = 6;
/// Slowdown of requests per share of a VM that a kind uses; hidden from the
/// policies.
constexpr std::array<double, Kinds> OnRequests{0.2, 0.8, 2.5, 5.0};
/// The same between the kinds of tasks; rows suffer from columns.
constexpr std::array<std::array<double, Kinds>, Kinds> OnTasks{
    {{0.1, 0.2, 0.4, 0.6},
     {0.2, 0.1, 0.3, 0.8},
     {0.1, 0.3, 0.8, 0.4},
     {0.3, 0.2, 0.5, 1.0}}};
/// Share of a VM's processors that requests use on average.
constexpr double RequestShare = 0.2;
constexpr double DriftSeconds = 200;
constexpr double MostWrong = 8;
constexpr double BiasDeviation = 0.7;
constexpr double TaskDeviation = 0.5;
constexpr Duration ReportPeriod = 2s;
constexpr Duration ReportDelay = 3s;
constexpr Duration FailsAfter = 1s;
constexpr Duration SwapsFor = 2s;
constexpr Duration LossNoticedAfter = 3300ms;
constexpr Duration RackLoss = 40s;
/// Share of the tasks that arrives in noisy waves, and their number.
constexpr double InWaves = 0.3;
constexpr int Waves = 3;
constexpr double WaveSeconds = 10;

double secondsOf(Duration Value) {
  return std::chrono::duration<double>(Value).count();
}

Duration durationOf(double Seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Seconds));
}

double clippedRatio(double Logarithm) {
  return std::clamp(std::exp(Logarithm), 1 / MostWrong, MostWrong);
}

double drift(std::size_t Kind, Duration At) {
  const double Phase = static_cast<double>(Kind) * 1.7;
  return 1 +
         0.5 * std::sin(2 * std::numbers::pi * secondsOf(At) / DriftSeconds +
                        Phase);
}

} // namespace

TaskRun::TaskRun(TaskRunOptions Options)
    : Options_(std::move(Options)), Random_(Options_.Seed_ * 7919) {
  PlacementOptions Placement = Options_.Site_.Placement_;
  Placement.Seed_ = Options_.Seed_;
  Policy_ = Options_.Policy_(Placement);
  Hosts_.resize(Options_.Site_.Workers_);
  std::normal_distribution<double> Bias(0, BiasDeviation);
  for (std::size_t Group = 0; Group < Kinds * Customers; ++Group) {
    SizeBias_.push_back(Bias(Random_));
    TimeBias_.push_back(Bias(Random_));
  }
  makeTasks();
}

std::string TaskRun::hostName(std::size_t Host) const {
  return "w" + std::to_string(Host);
}

FakeTask TaskRun::makeTask(std::uint64_t Id) {
  std::normal_distribution<double> Noise(0, TaskDeviation);
  std::uniform_real_distribution<double> Unit(0, 1);
  const Resources &Vm = Options_.Site_.Capacity_;
  FakeTask Task;
  Task.Kind_ = Random_() % Kinds;
  const std::size_t Customer = Random_() % Customers;
  const std::size_t Group = Task.Kind_ * Customers + Customer;
  const auto Part = [&](std::int64_t Whole, double Share) {
    return static_cast<std::int64_t>(static_cast<double>(Whole) * Share);
  };
  const double Share = 0.02 + 0.1 * Unit(Random_);
  Task.Row_.Task_ = {Id};
  Task.Row_.Customer_ = "c" + std::to_string(Customer);
  Task.Row_.Kind_ = "k" + std::to_string(Task.Kind_);
  Task.Row_.Need_ = {Part(Vm.MilliProcessors_, Share),
                     Part(Vm.MemoryMib_, Share * 0.7), 0};
  const double Declared = 15 + 30 * Unit(Random_);
  Task.Row_.ExpectedRunTime_ = durationOf(Declared);
  constexpr double MostOfVm = 0.4;
  const double Size = clippedRatio(SizeBias_[Group] + Noise(Random_));
  const double Used = std::min(MostOfVm, Share * Size);
  Task.Usage_ = {Part(Vm.MilliProcessors_, Used),
                 Part(Vm.MemoryMib_, Used * 0.7), 0};
  Task.RunSeconds_ = Declared * clippedRatio(TimeBias_[Group] + Noise(Random_));
  return Task;
}

void TaskRun::makeTasks() {
  const double Length = secondsOf(Options_.Length_);
  const double Budget =
      Options_.Load_ * Length * static_cast<double>(Hosts_.size()) *
      static_cast<double>(Options_.Site_.Capacity_.MilliProcessors_) *
      (1 - RequestShare);
  std::uniform_real_distribution<double> Unit(0, 1);
  double Work = 0;
  for (std::uint64_t Id = 1; Work < Budget; ++Id) {
    FakeTask Task = makeTask(Id);
    Work +=
        static_cast<double>(Task.Usage_.MilliProcessors_) * Task.RunSeconds_;
    const bool Waved = Unit(Random_) < InWaves;
    const double Wave =
        Length * (1 + std::floor(Waves * Unit(Random_))) / (Waves + 1);
    Task.ArrivesAt_ = durationOf(Waved ? Wave + WaveSeconds * Unit(Random_)
                                       : Length * Unit(Random_));
    const double Slack = 2.5 + 3.5 * Unit(Random_);
    Task.Row_.Deadline_ =
        timeOf(Task.ArrivesAt_ + 20s +
               durationOf(Slack * secondsOf(Task.Row_.ExpectedRunTime_)));
    Tasks_.push_back(std::move(Task));
  }
  for (std::size_t Index = 0; Index < Options_.ImpossibleTasks_; ++Index)
    Tasks_[Index * Tasks_.size() / (Options_.ImpossibleTasks_ + 1)]
        .Impossible_ = true;
  std::ranges::sort(Tasks_, {}, &FakeTask::ArrivesAt_);
  for (std::size_t Index = 0; Index < Tasks_.size(); ++Index)
    Tasks_[Index].Row_.Task_ = {Index + 1};
}

void TaskRun::submitDue(Duration At) {
  for (; NextDue_ < Tasks_.size() && Tasks_[NextDue_].ArrivesAt_ <= At;
       ++NextDue_) {
    FakeTask &Task = Tasks_[NextDue_];
    const Reason Why = Policy_.AddTask_(timeOf(At), Task.Row_);
    Task.State_ =
        Why == Reason::None ? FakeTaskState::Waiting : FakeTaskState::Parked;
  }
}

/// A lost rack's tasks lose their work; control notices after the lease.
void TaskRun::loseRack(Duration At) {
  if (!Options_.RackLossAt_)
    return;
  const Duration Since = At - *Options_.RackLossAt_;
  const bool Down = Since >= Duration::zero() && Since < RackLoss;
  for (std::size_t Host = 0;
       Host < std::min(Options_.Site_.WorkersPerRack_, Hosts_.size()); ++Host) {
    Hosts_[Host].Alive_ = !Down;
    if (!Down || Since < LossNoticedAfter || !Hosts_[Host].Listed_)
      continue;
    Hosts_[Host].Listed_ = false;
    for (std::size_t Index : Hosts_[Host].Tasks_) {
      Tasks_[Index].State_ = FakeTaskState::Waiting;
      Tasks_[Index].DoneSeconds_ = 0;
    }
    Hosts_[Host].Tasks_.clear();
    Hosts_[Host].Reserved_ = {};
    Policy_.RemoveWorker_(timeOf(At), hostName(Host));
  }
}

/// Works out contention, slowdown and usage of a worker.
void TaskRun::measure(Duration At, std::size_t Host) {
  HostState &Own = Hosts_[Host];
  const Resources &Vm = Options_.Site_.Capacity_;
  const auto Whole = static_cast<double>(Vm.MilliProcessors_);
  Own.Shares_.assign(Kinds, 0);
  Own.Usage_ = {};
  for (std::size_t Index : Own.Tasks_) {
    const FakeTask &Task = Tasks_[Index];
    Own.Shares_[Task.Kind_] +=
        static_cast<double>(Task.Usage_.MilliProcessors_) * Task.Throttle_ /
        Whole;
    Own.Usage_.MemoryMib_ += Task.Usage_.MemoryMib_;
  }
  const double OfTasks =
      std::accumulate(Own.Shares_.begin(), Own.Shares_.end(), 0.0);
  const double Demand = OfTasks + RequestShare * drift(Host + Kinds, At);
  Own.Contention_ = std::max(1.0, Demand);
  Own.Slowdown_ = 1 + 2 * (Own.Contention_ - 1);
  for (std::size_t Kind = 0; Kind < Kinds; ++Kind)
    Own.Slowdown_ += OnRequests[Kind] * Own.Shares_[Kind] * drift(Kind, At) *
                     (0.6 + 0.4 * std::min(Demand, 1.5));
  // No more can be measured than there is.
  Own.Usage_.MilliProcessors_ =
      static_cast<std::int64_t>(std::min(Demand, 1.0) * Whole);
}

void TaskRun::advance(Duration At, std::size_t Host, double Seconds) {
  const HostState &Own = Hosts_[Host];
  const std::vector<std::size_t> Running = Own.Tasks_;
  for (std::size_t Index : Running) {
    FakeTask &Task = Tasks_[Index];
    double Slower = Own.Contention_;
    for (std::size_t Kind = 0; Kind < Kinds; ++Kind)
      Slower += OnTasks[Task.Kind_][Kind] * Own.Shares_[Kind];
    if (Own.Alive_)
      Task.DoneSeconds_ += Seconds * Task.Throttle_ / Slower;
    finishOrFail(At, Index);
  }
}

void TaskRun::finishOrFail(Duration At, std::size_t Index) {
  FakeTask &Task = Tasks_[Index];
  if (!Hosts_[Task.Worker_].Alive_)
    return;
  if (Task.Impossible_ && At - Task.StartedAt_ >= FailsAfter) {
    leave(At, Index, PlacementOutcome::Failed);
    return;
  }
  if (Task.DoneSeconds_ < Task.RunSeconds_)
    return;
  leave(At, Index, PlacementOutcome::Finished);
  Task.State_ = FakeTaskState::Done;
  Task.Missed_ = timeOf(At) > Task.Row_.Deadline_;
  ++Totals_.Finished_;
  Totals_.WorkDone_ += static_cast<double>(Task.Usage_.MilliProcessors_) *
                       Task.RunSeconds_ / 1000;
}

/// A VM whose memory is full swaps for a while and then kills its newest task,
/// which loses its work.
void TaskRun::killForMemory(Duration At, std::size_t Host) {
  HostState &Own = Hosts_[Host];
  if (Own.Usage_.MemoryMib_ <= Options_.Site_.Capacity_.MemoryMib_ ||
      At < Own.NextKillAt_)
    return;
  const std::size_t Index = Own.Tasks_.back();
  Own.NextKillAt_ = At + SwapsFor;
  Tasks_[Index].DoneSeconds_ = 0;
  ++Totals_.Evictions_;
  leave(At, Index, PlacementOutcome::Lost);
}

void TaskRun::leave(Duration At, std::size_t Index, PlacementOutcome Result) {
  FakeTask &Task = Tasks_[Index];
  HostState &Own = Hosts_[Task.Worker_];
  std::erase(Own.Tasks_, Index);
  Own.Reserved_ -= Task.Reserve_;
  Task.State_ = FakeTaskState::Waiting;
  Task.Throttle_ = 1;
  Policy_.Ended_(timeOf(At), Task.Row_.Task_, Result);
}

void TaskRun::report(Duration At, std::size_t Host) {
  const HostState &Own = Hosts_[Host];
  std::normal_distribution<double> Noise(1, 0.05);
  LateReport Late;
  Late.DueAt_ = At + ReportDelay;
  Late.Host_ = Host;
  Late.Row_.Name_ = hostName(Host);
  Late.Row_.AvailabilityZone_ = zoneName(Options_.Site_, Host);
  Late.Row_.Rack_ = "r" + std::to_string(Host / Options_.Site_.WorkersPerRack_);
  Late.Row_.Capacity_ = Options_.Site_.Capacity_;
  Late.Row_.Usage_ = Own.Usage_;
  Late.Row_.SlowdownPermille_ = static_cast<std::uint32_t>(
      1000 * std::max(1.0, Own.Slowdown_ * Noise(Random_)));
  for (std::size_t Index : Own.Tasks_) {
    Resources Used = Tasks_[Index].Usage_;
    Used.MilliProcessors_ =
        static_cast<std::int64_t>(static_cast<double>(Used.MilliProcessors_) *
                                  Tasks_[Index].Throttle_ / Own.Contention_);
    Late.Usage_.emplace_back(Tasks_[Index].Row_.Task_, Used);
  }
  Reports_.push_back(std::move(Late));
}

void TaskRun::deliver(Duration At) {
  for (; !Reports_.empty() && Reports_.front().DueAt_ <= At;
       Reports_.pop_front()) {
    const LateReport &Late = Reports_.front();
    if (!Hosts_[Late.Host_].Alive_)
      continue;
    Hosts_[Late.Host_].Listed_ = true;
    for (const auto &[Task, Usage] : Late.Usage_)
      Policy_.ReportUsage_(timeOf(At), Task, Usage);
    Policy_.SetWorker_(timeOf(At), Late.Row_);
  }
}

void TaskRun::obey(Duration At, const PlacementCommand &Command) {
  const std::size_t Index = Command.Task_.Value_ - 1;
  FakeTask &Task = Tasks_[Index];
  switch (Command.Action_) {
  case PlacementAction::Start: {
    Task.State_ = FakeTaskState::Running;
    Task.Worker_ = std::stoul(Command.Worker_.substr(1));
    Task.StartedAt_ = At;
    Task.Reserve_ = Command.Reservation_;
    ++Task.Starts_;
    HostState &Own = Hosts_[Task.Worker_];
    Own.Tasks_.push_back(Index);
    Own.Reserved_ += Task.Reserve_;
    Totals_.OverCommitted_ +=
        Own.Reserved_.fitsIn(Options_.Site_.Capacity_) ? 0 : 1;
    break;
  }
  case PlacementAction::Throttle:
    Task.Throttle_ = Command.ThrottlePermille_ / 1000.0;
    break;
  case PlacementAction::Unthrottle:
    Task.Throttle_ = 1;
    break;
  case PlacementAction::Checkpoint:
    ++Totals_.Evictions_;
    leave(At, Index, PlacementOutcome::Evicted);
    break;
  case PlacementAction::Park:
    Task.State_ = FakeTaskState::Parked;
    ++Totals_.Parked_;
    break;
  }
}

void TaskRun::step(RequestRun &Requests, Duration At) {
  const double Seconds = secondsOf(At - std::exchange(LastStep_, At));
  submitDue(At);
  loseRack(At);
  const bool Reports = At % ReportPeriod == Duration::zero();
  for (std::size_t Host = 0; Host < Hosts_.size(); ++Host) {
    measure(At, Host);
    if (Hosts_[Host].Alive_) {
      killForMemory(At, Host);
      if (Reports)
        report(At, Host);
    }
    advance(At, Host, Seconds);
    Requests.workers()[Host].Slowdown_ = Hosts_[Host].Slowdown_;
    Requests.workers()[Host].Alive_ = Hosts_[Host].Alive_;
  }
  deliver(At);
  for (const PlacementCommand &Command : Policy_.Tick_(timeOf(At)))
    obey(At, Command);
}

TaskTotals TaskRun::totals() const {
  TaskTotals Found = Totals_;
  for (const FakeTask &Task : Tasks_) {
    const bool Due = Task.Row_.Deadline_ <= timeOf(LastStep_);
    const bool Open = Task.State_ != FakeTaskState::Done && !Task.Impossible_;
    Found.Missed_ += Task.Missed_ || (Due && Open) ? 1 : 0;
    if (Task.Impossible_)
      Found.MostStartsOfImpossible_ =
          std::max(Found.MostStartsOfImpossible_, Task.Starts_);
  }
  return Found;
}

} // namespace dragonfly::bench
