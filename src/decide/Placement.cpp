#include "dragonfly/decide/Placement.h"

#include "decide/PlacementSystems.h"

#include <algorithm>

namespace dragonfly::decide {
namespace {

/// Share of a new reading in the smoothed usage of requests.
constexpr double RequestGain = 0.2;
/// Usage is reported late; readings nearer to a change tell nothing.
constexpr Duration Settled = std::chrono::seconds(2);
/// A stay this long shows what the task uses.
constexpr Duration LearnAfter = std::chrono::seconds(10);
/// How long a worker that refused a task gets none.
constexpr Duration AfterRefusal = std::chrono::seconds(1);
constexpr double Permille = 1000;

Resources highest(const Resources &A, const Resources &B) {
  return {std::max(A.MilliProcessors_, B.MilliProcessors_),
          std::max(A.MemoryMib_, B.MemoryMib_),
          std::max(A.Accelerators_, B.Accelerators_)};
}

void smooth(double &Value, std::int64_t Reading) {
  const auto Target = static_cast<double>(std::max<std::int64_t>(Reading, 0));
  Value += RequestGain * (Target - Value);
}

} // namespace

struct Placement::Impl {
  explicit Impl(PlacementOptions Options) : State_(Options) {}

  PlacementState State_;
  std::vector<PlacementCommand> Out_;

  WorkerIndexValue entryFor(const std::string &Name);
  void learnFromReading(TimePoint Now, WorkerEntry &Host);
  void learnUsage(TaskEntry &Task);
  void endStay(TimePoint Now, TaskIndex Index, PlacementOutcome Result);
  void lose(TimePoint Now, WorkerIndexValue Worker);
};

WorkerIndexValue Placement::Impl::entryFor(const std::string &Name) {
  const auto [Found, New] = State_.WorkerNames_.try_emplace(
      Name, static_cast<WorkerIndexValue>(State_.Workers_.size()));
  if (New)
    State_.Workers_.emplace_back();
  return Found->second;
}

/// Learns what requests use on a VM and how much its tasks disturb them.
void Placement::Impl::learnFromReading(TimePoint Now, WorkerEntry &Host) {
  if (Now - Host.ChangedAt_ < Settled)
    return;
  Resources OfTasks;
  for (TaskIndex Index : Host.Tasks_)
    OfTasks += State_.Tasks_[Index].Usage_;
  const Resources OfRequests = Host.Row_.Usage_ - OfTasks;
  smooth(Host.RequestMilliProcessors_, OfRequests.MilliProcessors_);
  smooth(Host.RequestMemoryMib_, OfRequests.MemoryMib_);
  State_.Interference_.observe(RequestsKind, Host.Loads_,
                               Host.Row_.SlowdownPermille_ / Permille - 1);
}

void Placement::Impl::learnUsage(TaskEntry &Task) {
  if (Task.UsageLearnt_ || Task.PeakUsage_.MilliProcessors_ == 0)
    return;
  Task.UsageLearnt_ = true;
  State_.Needs_.recordUsage(Task.Group_, Task.Row_.Need_, Task.PeakUsage_);
}

void Placement::Impl::endStay(TimePoint Now, TaskIndex Index,
                              PlacementOutcome Result) {
  TaskEntry &Task = State_.Tasks_[Index];
  const Duration Ran = Now - Task.StartedAt_;
  if (Result != PlacementOutcome::Refused)
    learnUsage(Task);
  State_.release(Now, Index);
  WorkerEntry &Host = State_.Workers_[Task.Worker_];
  switch (Result) {
  case PlacementOutcome::Finished:
    Host.Record_.finished();
    State_.Needs_.recordRunTime(Task.Group_, Task.Row_.ExpectedRunTime_,
                                Task.Done_ + Ran);
    State_.removeEntry(Index);
    return;
  case PlacementOutcome::Failed:
    if (recordFailure(State_, Now, Index))
      return;
    break;
  case PlacementOutcome::Evicted:
    ++Task.Evictions_;
    Task.Done_ += Ran;
    Task.Remaining_ = std::max(Task.Remaining_ - Ran, Duration::zero());
    break;
  case PlacementOutcome::Refused:
    Host.NotBefore_ = Now + AfterRefusal;
    State_.wakeAt(Host.NotBefore_, Task.Worker_);
    break;
  case PlacementOutcome::Lost:
    break;
  }
  State_.enqueue(Now, Index);
}

void Placement::Impl::lose(TimePoint Now, WorkerIndexValue Worker) {
  const std::vector<TaskIndex> Tasks = State_.Workers_[Worker].Tasks_;
  for (TaskIndex Index : Tasks)
    endStay(Now, Index, PlacementOutcome::Lost);
}

Placement::Placement(PlacementOptions Options)
    : Impl_(std::make_unique<Impl>(Options)) {}

Placement::Placement(Placement &&) noexcept = default;

Placement &Placement::operator=(Placement &&) noexcept = default;

Placement::~Placement() = default;

void Placement::setWorker(TimePoint Now, const WorkerRow &Worker) {
  PlacementState &State = Impl_->State_;
  const WorkerIndexValue Index = Impl_->entryFor(Worker.Name_);
  WorkerEntry &Host = State.Workers_[Index];
  const bool MoreRoom = !Host.Listed_ ||
                        Host.Row_.Capacity_ != Worker.Capacity_ ||
                        Worker.Accepting_ != Host.Row_.Accepting_;
  if (Host.Listed_)
    State.changeShape(Host.Row_.Capacity_, -1);
  else
    ++State.ListedWorkers_;
  State.changeShape(Worker.Capacity_, 1);
  Host.Row_ = Worker;
  Host.ProcessorOveruse_ = State.Limits_.ProcessorOveruse_;
  Host.Listed_ = true;
  Host.Rack_ = State.Racks_.number(Worker.Rack_);
  Host.Zone_ = State.Zones_.number(Worker.AvailabilityZone_);
  Impl_->learnFromReading(Now, Host);
  if (!std::exchange(Host.Dirty_, true))
    State.Dirty_.push_back(Index);
  if (MoreRoom || Host.hasMoreRoom())
    State.markFreed(Index);
  else
    State.reindex(Index);
}

void Placement::removeWorker(TimePoint Now, const std::string &Name) {
  PlacementState &State = Impl_->State_;
  const auto Found = State.WorkerNames_.find(Name);
  if (Found == State.WorkerNames_.end() ||
      !State.Workers_[Found->second].Listed_)
    return;
  WorkerEntry &Host = State.Workers_[Found->second];
  Host.Listed_ = false;
  --State.ListedWorkers_;
  State.changeShape(Host.Row_.Capacity_, -1);
  Impl_->lose(Now, Found->second);
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
  State.commit(Now, Index, Impl_->entryFor(Worker));
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
    Entry->PeakUsage_ = highest(Entry->PeakUsage_, Usage);
  if (Now - Entry->StartedAt_ >= LearnAfter)
    Impl_->learnUsage(*Entry);
  State.refreshLoads(State.Workers_[Entry->Worker_]);
}

void Placement::recordTaskEnd(TimePoint Now, TaskId Task,
                              PlacementOutcome Result) {
  const TaskEntry *Entry = Impl_->State_.task(Task);
  if (Entry != nullptr && (Entry->Phase_ == TaskPhase::Running ||
                           Entry->Phase_ == TaskPhase::Evicting))
    Impl_->endStay(Now, Impl_->State_.TaskIds_.at(Task), Result);
}

const std::vector<PlacementCommand> &Placement::tick(TimePoint Now) {
  relievePressure(Impl_->State_, Now);
  startTasks(Impl_->State_, Now);
  Impl_->Out_.swap(Impl_->State_.Pending_);
  Impl_->State_.Pending_.clear();
  return Impl_->Out_;
}

bool Placement::isQuarantined(TimePoint Now, const std::string &Worker) const {
  const WorkerEntry *Host = Impl_->State_.worker(Worker);
  return Host != nullptr && Host->Record_.isQuarantined(Now);
}

std::size_t Placement::waitingTaskCount() const {
  return Impl_->State_.Waiting_.size();
}

Resources Placement::reservedResources(const std::string &Worker) const {
  const WorkerEntry *Host = Impl_->State_.worker(Worker);
  return Host == nullptr ? Resources() : Host->Committed_;
}

} // namespace dragonfly::decide
