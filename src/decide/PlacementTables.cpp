#include "decide/PlacementTables.h"

#include <algorithm>

namespace dragonfly::decide {
namespace {

constexpr double Permille = 1000;
/// Measured usage is raised by the fraction 1 / UsageMarginDivisor.
constexpr std::int64_t UsageMarginDivisor = 10;
/// Processor share that a throttled task keeps, in thousandths.
constexpr std::uint32_t ThrottledPermille = 400;

/// Slowdown limits above undisturbed, in thousandths, at a tail latency weight
/// of 1. A lower weight raises them in inverse proportion.
constexpr double HighExcessSlowdown = 1800;
constexpr double LowExcessSlowdown = 720;
constexpr double StartExcessSlowdown = 1300;
/// Grace period for throttling: the minimum, and what is added if evictions
/// weigh as much as tail latency.
constexpr Duration MinThrottleGrace = std::chrono::seconds(2);
constexpr double AddedThrottleGraceSeconds = 12;
/// Oversubscription at a batch throughput weight of 1.
constexpr double OversubscriptionPerThroughput = 0.5;
/// Quantile of the measured processor usage to reserve: the minimum, and what
/// is added at an eviction weight of 1.
constexpr double MinProcessorQuantile = 0.5;
constexpr double QuantilePerEvictions = 0.2;

/// Derives the limits from the deployment's weights. A high weight of tail
/// latency lowers the accepted slowdown, one of batch throughput raises the
/// oversubscription of processors, and one of evictions lengthens the grace
/// period for throttling.
PressureLimits pressureLimits(const PlacementOptions &Options) {
  const double TailWeight =
      std::max(Options.TailLatencyPermille_, 1U) / Permille;
  const double EvictionWeight = Options.EvictionsPermille_ / Permille;
  const auto FromExcess = [TailWeight](double ExcessSlowdown) {
    return static_cast<std::uint32_t>(Permille + ExcessSlowdown / TailWeight);
  };
  PressureLimits Limits;
  Limits.HighSlowdownPermille_ = FromExcess(HighExcessSlowdown);
  Limits.LowSlowdownPermille_ = FromExcess(LowExcessSlowdown);
  Limits.MaxStartSlowdownPermille_ = FromExcess(StartExcessSlowdown);
  Limits.ProcessorOversubscription_ = OversubscriptionPerThroughput *
                                      Options.BatchThroughputPermille_ /
                                      Permille;
  Limits.ThrottleGrace_ =
      MinThrottleGrace +
      std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
          AddedThrottleGraceSeconds * EvictionWeight / TailWeight));
  return Limits;
}

/// Returns the expected usage of a task: its measured peak with a margin, else
/// its reservation.
Resources expectedUsage(const TaskEntry &Task) {
  const auto WithMargin = [](std::int64_t Used, std::int64_t Reserved) {
    return Used > 0 ? Used + Used / UsageMarginDivisor : Reserved;
  };
  return {WithMargin(Task.PeakUsage_.MilliProcessors_,
                     Task.Reservation_.MilliProcessors_),
          WithMargin(Task.PeakUsage_.MemoryMib_, Task.Reservation_.MemoryMib_),
          0};
}

/// A high weight of evictions raises the reserved quantile.
double processorQuantile(const PlacementOptions &Options) {
  return MinProcessorQuantile +
         QuantilePerEvictions * Options.EvictionsPermille_ / Permille;
}

} // namespace

PlacementState::PlacementState(PlacementOptions Options)
    : Options_(Options), Random_(Options.Seed_),
      Limits_(pressureLimits(Options)), Needs_(processorQuantile(Options)),
      Interference_(Options.TailLatencyPermille_ / Permille) {}

WorkerEntry *PlacementState::worker(const std::string &Name) {
  const auto Found = WorkerNames_.find(Name);
  return Found == WorkerNames_.end() ? nullptr : &Workers_[Found->second];
}

TaskEntry *PlacementState::task(TaskId Id) {
  const auto Found = TaskIds_.find(Id);
  return Found == TaskIds_.end() ? nullptr : &Tasks_[Found->second];
}

TaskIndex PlacementState::addEntry(const TaskRow &Row) {
  if (FreeTasks_.empty()) {
    FreeTasks_.push_back(static_cast<TaskIndex>(Tasks_.size()));
    Tasks_.emplace_back();
  }
  const TaskIndex Index = FreeTasks_.back();
  FreeTasks_.pop_back();
  TaskIds_[Row.Task_] = Index;
  TaskEntry &Task = Tasks_[Index];
  Task = TaskEntry();
  Task.Row_ = Row;
  Task.Kind_ = Kinds_.intern(Row.Kind_);
  Task.Group_ = Groups_.intern(Row.Kind_ + '\n' + Row.Customer_);
  Task.RemainingRunTime_ = Needs_.corrected(Task.Group_, Row.ExpectedRunTime_);
  return Index;
}

void PlacementState::removeEntry(TaskIndex Index) {
  TaskEntry &Task = Tasks_[Index];
  TaskIds_.erase(Task.Row_.Task_);
  Task.Phase_ = TaskPhase::Free;
  FreeTasks_.push_back(Index);
}

void PlacementState::adjustShapeCount(const Resources &Capacity, int By) {
  auto Found = std::ranges::find(VmShapes_, Capacity,
                                 &std::pair<Resources, std::uint32_t>::first);
  if (Found == VmShapes_.end())
    Found = VmShapes_.insert(VmShapes_.end(), {Capacity, 0});
  Found->second =
      static_cast<std::uint32_t>(static_cast<std::int64_t>(Found->second) + By);
  if (Found->second == 0)
    VmShapes_.erase(Found);
}

bool PlacementState::fitsSomewhere(const Resources &Need) const {
  return VmShapes_.empty() ||
         std::ranges::any_of(VmShapes_, [&Need](const auto &Shape) {
           return Need.fitsIn(Shape.first);
         });
}

void PlacementState::enqueue(TimePoint Now, TaskIndex Index) {
  TaskEntry &Task = Tasks_[Index];
  const Resources Corrected = Needs_.corrected(Task.Group_, Task.Row_.Need_);
  // A task whose corrected need exceeds every VM would never start.
  Task.Reservation_ = fitsSomewhere(Corrected) ? Corrected : Task.Row_.Need_;
  const TimePoint LatestStart = Task.Row_.Deadline_ - Task.RemainingRunTime_;
  Task.Priority_ = {Task.Row_.Evictable_, LatestStart < Now, LatestStart,
                    Task.Row_.Task_};
  Task.Phase_ = TaskPhase::Waiting;
  Task.Throttled_ = false;
  Waiting_.insert(Task.Priority_, Task.Reservation_);
  NewTasks_.push_back(Index);
}

void PlacementState::dequeue(TaskIndex Index) {
  Waiting_.erase(Tasks_[Index].Priority_, Tasks_[Index].Reservation_);
}

void PlacementState::commit(TimePoint Now, TaskIndex Index,
                            WorkerNumber Worker) {
  TaskEntry &Task = Tasks_[Index];
  WorkerEntry &Host = Workers_[Worker];
  Task.Phase_ = TaskPhase::Running;
  Task.Worker_ = Worker;
  Task.StartedAt_ = Now;
  Task.Usage_ = Task.PeakUsage_ = {};
  Task.UsageLearnt_ = false;
  Host.Committed_ += Task.Reservation_;
  Host.Tasks_.push_back(Index);
  Host.TasksChangedAt_ = Now;
  GroupSpread_.adjust(Task.Group_, Host.Rack_, Host.Zone_, 1);
  refreshLoads(Host);
  reindex(Worker);
}

void PlacementState::release(TimePoint Now, TaskIndex Index) {
  TaskEntry &Task = Tasks_[Index];
  WorkerEntry &Host = Workers_[Task.Worker_];
  if (Task.Phase_ == TaskPhase::Evicting)
    Host.EvictionInProgress_ = false;
  Host.Committed_ -= Task.Reservation_;
  std::erase(Host.Tasks_, Index);
  Host.TasksChangedAt_ = Now;
  GroupSpread_.adjust(Task.Group_, Host.Rack_, Host.Zone_, -1);
  refreshLoads(Host);
  queueFill(Task.Worker_);
}

void PlacementState::refreshLoads(WorkerEntry &Worker) {
  Worker.Loads_.clear();
  Worker.ExpectedUsage_ = {};
  for (TaskIndex Index : Worker.Tasks_) {
    const TaskEntry &Task = Tasks_[Index];
    Worker.ExpectedUsage_ += expectedUsage(Task);
    const double Load =
        Worker.processorShare(Task.estimatedUsage().MilliProcessors_);
    const auto Found =
        std::ranges::find(Worker.Loads_, Task.Kind_, &KindLoad::Kind_);
    if (Found == Worker.Loads_.end())
      Worker.Loads_.push_back({Task.Kind_, Load});
    else
      Found->Load_ += Load;
  }
}

void PlacementState::reindex(WorkerNumber Worker) {
  const WorkerEntry &Host = Workers_[Worker];
  if (Host.Present_ && Host.Row_.Accepting_ && !Host.MemoryPressure_)
    Index_.update(Worker, Host.freeResources());
  else
    Index_.remove(Worker);
}

void PlacementState::queueFill(WorkerNumber Worker) {
  reindex(Worker);
  WorkerEntry &Host = Workers_[Worker];
  if (!std::exchange(Host.InFillQueue_, true))
    FillQueue_.push_back(Worker);
}

void PlacementState::scheduleFill(TimePoint When, WorkerNumber Worker) {
  ScheduledFills_[When].push_back(Worker);
}

void PlacementState::emitCommand(PlacementAction Action, const TaskEntry &Task,
                                 Reason Cause) {
  PlacementCommand Command;
  Command.Action_ = Action;
  Command.Task_ = Task.Row_.Task_;
  Command.Reason_ = Cause;
  if (Action != PlacementAction::Park)
    Command.Worker_ = Workers_[Task.Worker_].Row_.Name_;
  if (Action == PlacementAction::Throttle)
    Command.ThrottlePermille_ = ThrottledPermille;
  if (Action == PlacementAction::Start)
    Command.Reservation_ = Task.Reservation_;
  PendingCommands_.push_back(std::move(Command));
}

} // namespace dragonfly::decide
