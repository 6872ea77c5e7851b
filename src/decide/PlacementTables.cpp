#include "decide/PlacementTables.h"

#include <algorithm>

namespace dragonfly::decide {
namespace {

constexpr double Permille = 1000;
/// Measured usage is raised by one part in this many.
constexpr std::int64_t MarginParts = 10;
/// Throttled tasks are left this share of a processor, in thousandths.
constexpr std::uint32_t ThrottledPermille = 400;

/// Slowdowns beyond undisturbed, in thousandths, for a tail that weighs all.
constexpr double HighSlowdown = 1800;
constexpr double LowSlowdown = 720;
constexpr double StartSlowdown = 1300;
/// Patience with throttling: at least, and more where evictions weigh as much
/// as the tail.
constexpr Duration LeastPatience = std::chrono::seconds(2);
constexpr double PatienceSeconds = 12;
constexpr double OverusePerThroughput = 0.5;
constexpr double LeastProcessorQuantile = 0.5;
constexpr double QuantilePerEvictions = 0.2;

/// Where tail latency weighs much, less slowdown is put up with; where
/// throughput does, processors are shared more; where evictions do, throttling
/// is given longer to help.
PressureLimits limitsFor(const PlacementOptions &Options) {
  const double Tail = std::max(Options.TailLatencyPermille_, 1U) / Permille;
  const double Evictions = Options.EvictionsPermille_ / Permille;
  const auto Above = [Tail](double Slowdown) {
    return static_cast<std::uint32_t>(Permille + Slowdown / Tail);
  };
  PressureLimits Limits;
  Limits.HighSlowdown_ = Above(HighSlowdown);
  Limits.LowSlowdown_ = Above(LowSlowdown);
  Limits.StartSlowdown_ = Above(StartSlowdown);
  Limits.ProcessorOveruse_ =
      OverusePerThroughput * Options.BatchThroughputPermille_ / Permille;
  Limits.Patience_ =
      LeastPatience +
      std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(PatienceSeconds * Evictions / Tail));
  return Limits;
}

/// Returns what a task is taken to use, with a margin where it was measured.
Resources expectedOf(const TaskEntry &Task) {
  const auto Measured = [](std::int64_t Used, std::int64_t Reserved) {
    return Used > 0 ? Used + Used / MarginParts : Reserved;
  };
  return {Measured(Task.PeakUsage_.MilliProcessors_,
                   Task.Reservation_.MilliProcessors_),
          Measured(Task.PeakUsage_.MemoryMib_, Task.Reservation_.MemoryMib_),
          0};
}

/// Where evictions weigh much, more of the measured usage is reserved.
double processorQuantile(const PlacementOptions &Options) {
  return LeastProcessorQuantile +
         QuantilePerEvictions * Options.EvictionsPermille_ / Permille;
}

} // namespace

PlacementState::PlacementState(PlacementOptions Options)
    : Options_(Options), Random_(Options.Seed_), Limits_(limitsFor(Options)),
      Needs_(processorQuantile(Options)),
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
  Task.Kind_ = Kinds_.number(Row.Kind_);
  Task.Group_ = Groups_.number(Row.Kind_ + '\n' + Row.Customer_);
  Task.Remaining_ = Needs_.corrected(Task.Group_, Row.ExpectedRunTime_);
  return Index;
}

void PlacementState::removeEntry(TaskIndex Index) {
  TaskEntry &Task = Tasks_[Index];
  TaskIds_.erase(Task.Row_.Task_);
  Task.Phase_ = TaskPhase::Free;
  FreeTasks_.push_back(Index);
}

void PlacementState::changeShape(const Resources &Capacity, int By) {
  auto Found = std::ranges::find(Shapes_, Capacity,
                                 &std::pair<Resources, std::uint32_t>::first);
  if (Found == Shapes_.end())
    Found = Shapes_.insert(Shapes_.end(), {Capacity, 0});
  Found->second =
      static_cast<std::uint32_t>(static_cast<std::int64_t>(Found->second) + By);
  if (Found->second == 0)
    Shapes_.erase(Found);
}

bool PlacementState::fitsSomewhere(const Resources &Need) const {
  return Shapes_.empty() ||
         std::ranges::any_of(Shapes_, [&Need](const auto &Shape) {
           return Need.fitsIn(Shape.first);
         });
}

void PlacementState::enqueue(TimePoint Now, TaskIndex Index) {
  TaskEntry &Task = Tasks_[Index];
  const Resources Corrected = Needs_.corrected(Task.Group_, Task.Row_.Need_);
  // A corrected size that no VM has would never start.
  Task.Reservation_ = fitsSomewhere(Corrected) ? Corrected : Task.Row_.Need_;
  const TimePoint LatestStart = Task.Row_.Deadline_ - Task.Remaining_;
  Task.Order_ = {Task.Row_.Evictable_, LatestStart < Now, LatestStart,
                 Task.Row_.Task_};
  Task.Phase_ = TaskPhase::Waiting;
  Task.Throttled_ = false;
  Waiting_.insert(Task.Order_, Task.Reservation_);
  New_.push_back(Index);
}

void PlacementState::dequeue(TaskIndex Index) {
  Waiting_.erase(Tasks_[Index].Order_, Tasks_[Index].Reservation_);
}

void PlacementState::commit(TimePoint Now, TaskIndex Index,
                            WorkerIndexValue Worker) {
  TaskEntry &Task = Tasks_[Index];
  WorkerEntry &Host = Workers_[Worker];
  Task.Phase_ = TaskPhase::Running;
  Task.Worker_ = Worker;
  Task.StartedAt_ = Now;
  Task.Usage_ = Task.PeakUsage_ = {};
  Task.UsageLearnt_ = false;
  Host.Committed_ += Task.Reservation_;
  Host.Tasks_.push_back(Index);
  Host.ChangedAt_ = Now;
  Spread_.add(Task.Group_, Host.Rack_, Host.Zone_, 1);
  refreshLoads(Host);
  reindex(Worker);
}

void PlacementState::release(TimePoint Now, TaskIndex Index) {
  TaskEntry &Task = Tasks_[Index];
  WorkerEntry &Host = Workers_[Task.Worker_];
  if (Task.Phase_ == TaskPhase::Evicting)
    Host.Evicting_ = false;
  Host.Committed_ -= Task.Reservation_;
  std::erase(Host.Tasks_, Index);
  Host.ChangedAt_ = Now;
  Spread_.add(Task.Group_, Host.Rack_, Host.Zone_, -1);
  refreshLoads(Host);
  markFreed(Task.Worker_);
}

void PlacementState::refreshLoads(WorkerEntry &Worker) {
  Worker.Loads_.clear();
  Worker.Expected_ = {};
  for (TaskIndex Index : Worker.Tasks_) {
    const TaskEntry &Task = Tasks_[Index];
    Worker.Expected_ += expectedOf(Task);
    const double Load = Worker.share(Task.load().MilliProcessors_);
    const auto Found =
        std::ranges::find(Worker.Loads_, Task.Kind_, &KindLoad::Kind_);
    if (Found == Worker.Loads_.end())
      Worker.Loads_.push_back({Task.Kind_, Load});
    else
      Found->Load_ += Load;
  }
}

void PlacementState::reindex(WorkerIndexValue Worker) {
  const WorkerEntry &Host = Workers_[Worker];
  if (Host.Listed_ && Host.Row_.Accepting_ && !Host.Hot_)
    Index_.set(Worker, Host.free());
  else
    Index_.remove(Worker);
}

void PlacementState::markFreed(WorkerIndexValue Worker) {
  reindex(Worker);
  WorkerEntry &Host = Workers_[Worker];
  if (!std::exchange(Host.Freed_, true))
    Freed_.push_back(Worker);
}

void PlacementState::wakeAt(TimePoint When, WorkerIndexValue Worker) {
  Wakeups_[When].push_back(Worker);
}

void PlacementState::command(PlacementAction Action, const TaskEntry &Task,
                             Reason Why) {
  PlacementCommand Value;
  Value.Action_ = Action;
  Value.Task_ = Task.Row_.Task_;
  Value.Reason_ = Why;
  if (Action != PlacementAction::Park)
    Value.Worker_ = Workers_[Task.Worker_].Row_.Name_;
  if (Action == PlacementAction::Throttle)
    Value.ThrottlePermille_ = ThrottledPermille;
  if (Action == PlacementAction::Start)
    Value.Reservation_ = Task.Reservation_;
  Pending_.push_back(std::move(Value));
}

} // namespace dragonfly::decide
