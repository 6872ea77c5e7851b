#include "dragonfly/decide/Placement.h"

#include "decide/PlacementSystems.h"

#include <algorithm>

namespace dragonfly::decide {
namespace {

/// Weight of a new reading in the exponentially smoothed usage by requests.
constexpr double RequestUsageGain = 0.2;
/// Reports lag, so those within this time after a task was added or removed are
/// not learnt from.
constexpr Duration SettlingTime = std::chrono::seconds(2);
/// Run time after which the peak usage of a task is representative.
constexpr Duration UsageLearningDelay = std::chrono::seconds(10);
/// How long no task is started on a worker that refused one.
constexpr Duration RefusalBackoff = std::chrono::seconds(1);
constexpr double Permille = 1000;

Resources componentMax(const Resources &A, const Resources &B) {
  return {std::max(A.MilliProcessors_, B.MilliProcessors_),
          std::max(A.MemoryMib_, B.MemoryMib_),
          std::max(A.Accelerators_, B.Accelerators_)};
}

void updateAverage(double &Value, std::int64_t Reading) {
  const auto Target = static_cast<double>(std::max<std::int64_t>(Reading, 0));
  Value += RequestUsageGain * (Target - Value);
}

} // namespace

struct Placement::Impl {
  explicit Impl(PlacementOptions Options) : State_(Options) {}

  PlacementState State_;
  std::vector<PlacementCommand> Commands_;

  WorkerNumber findOrAddWorker(const std::string &Name);
  /// Learns the usage by requests on a VM and their slowdown by its tasks.
  void learnFromReport(TimePoint Now, WorkerEntry &Host);
  /// Records the peak usage of a task, once per placement.
  void learnUsage(TaskEntry &Task);
  /// Releases a task from its worker and, unless it finished or is parked, lets
  /// it wait again.
  void endPlacement(TimePoint Now, TaskIndex Index, PlacementOutcome Result);
  void markTasksLost(TimePoint Now, WorkerNumber Worker);
};

WorkerNumber Placement::Impl::findOrAddWorker(const std::string &Name) {
  const auto [Found, IsNew] = State_.WorkerNames_.try_emplace(
      Name, static_cast<WorkerNumber>(State_.Workers_.size()));
  if (IsNew)
    State_.Workers_.emplace_back();
  return Found->second;
}

void Placement::Impl::learnFromReport(TimePoint Now, WorkerEntry &Host) {
  if (Now - Host.TasksChangedAt_ < SettlingTime)
    return;
  Resources TaskUsage;
  for (TaskIndex Index : Host.Tasks_)
    TaskUsage += State_.Tasks_[Index].Usage_;
  const Resources RequestUsage = Host.Row_.Usage_ - TaskUsage;
  updateAverage(Host.RequestMilliProcessors_, RequestUsage.MilliProcessors_);
  updateAverage(Host.RequestMemoryMib_, RequestUsage.MemoryMib_);
  State_.Interference_.observe(RequestsKind, Host.Loads_,
                               Host.Row_.SlowdownPermille_ / Permille - 1);
}

void Placement::Impl::learnUsage(TaskEntry &Task) {
  if (Task.UsageLearnt_ || Task.PeakUsage_.MilliProcessors_ == 0)
    return;
  Task.UsageLearnt_ = true;
  State_.Needs_.recordUsage(Task.Group_, Task.Row_.Need_, Task.PeakUsage_);
}

void Placement::Impl::endPlacement(TimePoint Now, TaskIndex Index,
                                   PlacementOutcome Result) {
  TaskEntry &Task = State_.Tasks_[Index];
  const Duration RunTime = Now - Task.StartedAt_;
  if (Result != PlacementOutcome::Refused)
    learnUsage(Task);
  State_.release(Now, Index);
  WorkerEntry &Host = State_.Workers_[Task.Worker_];
  switch (Result) {
  case PlacementOutcome::Finished:
    Host.Quarantine_.recordSuccess();
    State_.Needs_.recordRunTime(Task.Group_, Task.Row_.ExpectedRunTime_,
                                Task.CheckpointedRunTime_ + RunTime);
    State_.removeEntry(Index);
    return;
  case PlacementOutcome::Failed:
    if (recordFailure(State_, Now, Index))
      return;
    break;
  case PlacementOutcome::Evicted:
    ++Task.Evictions_;
    Task.CheckpointedRunTime_ += RunTime;
    Task.RemainingRunTime_ =
        std::max(Task.RemainingRunTime_ - RunTime, Duration::zero());
    break;
  case PlacementOutcome::Refused:
    Host.BackoffUntil_ = Now + RefusalBackoff;
    State_.scheduleFill(Host.BackoffUntil_, Task.Worker_);
    break;
  case PlacementOutcome::Lost:
    break;
  }
  State_.enqueue(Now, Index);
}

void Placement::Impl::markTasksLost(TimePoint Now, WorkerNumber Worker) {
  const std::vector<TaskIndex> Tasks = State_.Workers_[Worker].Tasks_;
  for (TaskIndex Index : Tasks)
    endPlacement(Now, Index, PlacementOutcome::Lost);
}

Placement::Placement(PlacementOptions Options)
    : Impl_(std::make_unique<Impl>(Options)) {}

Placement::Placement(Placement &&) noexcept = default;

Placement &Placement::operator=(Placement &&) noexcept = default;

Placement::~Placement() = default;

void Placement::setWorker(TimePoint Now, const WorkerRow &Worker) {
  PlacementState &State = Impl_->State_;
  const WorkerNumber Index = Impl_->findOrAddWorker(Worker.Name_);
  WorkerEntry &Host = State.Workers_[Index];
  const bool RoomMayHaveGrown = !Host.Present_ ||
                                Host.Row_.Capacity_ != Worker.Capacity_ ||
                                Worker.Accepting_ != Host.Row_.Accepting_;
  if (Host.Present_)
    State.adjustShapeCount(Host.Row_.Capacity_, -1);
  else
    ++State.PresentWorkerCount_;
  State.adjustShapeCount(Worker.Capacity_, 1);
  Host.Row_ = Worker;
  Host.ProcessorOversubscription_ = State.Limits_.ProcessorOversubscription_;
  Host.Present_ = true;
  Host.Rack_ = State.Racks_.intern(Worker.Rack_);
  Host.Zone_ = State.Zones_.intern(Worker.AvailabilityZone_);
  Impl_->learnFromReport(Now, Host);
  if (!std::exchange(Host.InPressureQueue_, true))
    State.PressureQueue_.push_back(Index);
  if (RoomMayHaveGrown || Host.hasMoreRoom())
    State.queueFill(Index);
  else
    State.reindex(Index);
}

void Placement::removeWorker(TimePoint Now, const std::string &Name) {
  PlacementState &State = Impl_->State_;
  const auto Found = State.WorkerNames_.find(Name);
  if (Found == State.WorkerNames_.end() ||
      !State.Workers_[Found->second].Present_)
    return;
  WorkerEntry &Host = State.Workers_[Found->second];
  Host.Present_ = false;
  --State.PresentWorkerCount_;
  State.adjustShapeCount(Host.Row_.Capacity_, -1);
  Impl_->markTasksLost(Now, Found->second);
  State.reindex(Found->second);
}

Reason Placement::addTask(TimePoint Now, const TaskRow &Task) {
  PlacementState &State = Impl_->State_;
  if (State.TaskIds_.contains(Task.Task_))
    return Reason::None;
  if (!State.fitsSomewhere(Task.Need_))
    return Reason::NeverFits;
  State.enqueue(Now, State.addEntry(Task));
  return Reason::None;
}

void Placement::addRunningTask(TimePoint Now, const TaskRow &Task,
                               const std::string &Worker) {
  PlacementState &State = Impl_->State_;
  if (State.TaskIds_.contains(Task.Task_))
    return;
  const TaskIndex Index = State.addEntry(Task);
  State.Tasks_[Index].Reservation_ = Task.Need_;
  State.commit(Now, Index, Impl_->findOrAddWorker(Worker));
}

void Placement::removeTask(TimePoint Now, TaskId Task) {
  PlacementState &State = Impl_->State_;
  const auto Found = State.TaskIds_.find(Task);
  if (Found == State.TaskIds_.end())
    return;
  const TaskIndex Index = Found->second;
  const TaskPhase Phase = State.Tasks_[Index].Phase_;
  if (Phase == TaskPhase::Waiting)
    State.dequeue(Index);
  else if (Phase != TaskPhase::Parked)
    State.release(Now, Index);
  State.removeEntry(Index);
}

void Placement::reportUsage(TimePoint Now, TaskId Task,
                            const Resources &Usage) {
  PlacementState &State = Impl_->State_;
  TaskEntry *Entry = State.task(Task);
  if (Entry == nullptr || (Entry->Phase_ != TaskPhase::Running &&
                           Entry->Phase_ != TaskPhase::Evicting))
    return;
  Entry->Usage_ = Usage;
  if (!Entry->Throttled_)
    Entry->PeakUsage_ = componentMax(Entry->PeakUsage_, Usage);
  if (Now - Entry->StartedAt_ >= UsageLearningDelay)
    Impl_->learnUsage(*Entry);
  State.refreshLoads(State.Workers_[Entry->Worker_]);
}

void Placement::recordTaskEnd(TimePoint Now, TaskId Task,
                              PlacementOutcome Result) {
  const TaskEntry *Entry = Impl_->State_.task(Task);
  if (Entry != nullptr && (Entry->Phase_ == TaskPhase::Running ||
                           Entry->Phase_ == TaskPhase::Evicting))
    Impl_->endPlacement(Now, Impl_->State_.TaskIds_.at(Task), Result);
}

const std::vector<PlacementCommand> &Placement::tick(TimePoint Now) {
  relievePressure(Impl_->State_, Now);
  startTasks(Impl_->State_, Now);
  Impl_->Commands_.swap(Impl_->State_.PendingCommands_);
  Impl_->State_.PendingCommands_.clear();
  return Impl_->Commands_;
}

bool Placement::isQuarantined(TimePoint Now, const std::string &Worker) const {
  const WorkerEntry *Host = Impl_->State_.worker(Worker);
  return Host != nullptr && Host->Quarantine_.isActive(Now);
}

std::size_t Placement::waitingTaskCount() const {
  return Impl_->State_.Waiting_.size();
}

Resources Placement::reservedResources(const std::string &Worker) const {
  const WorkerEntry *Host = Impl_->State_.worker(Worker);
  return Host == nullptr ? Resources() : Host->Committed_;
}

} // namespace dragonfly::decide
