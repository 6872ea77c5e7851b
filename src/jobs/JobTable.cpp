#include "dragonfly/jobs/JobTable.h"

#include "dragonfly/base/HeldBytes.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonfly::jobs {
namespace {

/// Memory of a text as long as a job's id.
constexpr std::size_t IdBytes = allocatedBytes(32);
constexpr std::size_t JobBytes =
    nodeBytes(sizeof(std::pair<const std::string, JobRow>)) + 2 * IdBytes;
/// A row of the step, with room to grow, and its name where it is ready.
constexpr std::size_t StepBytes =
    2 * sizeof(StepRow) + nodeBytes(sizeof(ReadyStep)) + IdBytes;
/// What the leader's tables keep of an active job beside this one.
constexpr std::size_t LeaderBytes = 512;

bool hasRuns(const JobRow &Job) {
  return std::ranges::any_of(
      Job.Steps_, [](const StepRow &Step) { return Step.onWorkers() > 0; });
}

std::size_t heldBytes(const StepSpec &Step) {
  return dragonfly::heldBytes(Step.DependsOn_) +
         dragonfly::heldBytes(Step.Image_) +
         dragonfly::heldBytes(Step.RequiredLabel_) +
         dragonfly::heldBytes(Step.DataRack_);
}

} // namespace

std::size_t heldBytes(const JobSpec &Spec) {
  std::size_t Bytes =
      dragonfly::heldBytes(Spec.Payload_) + dragonfly::heldBytes(Spec.Steps_);
  for (const StepSpec &Step : Spec.Steps_)
    Bytes += heldBytes(Step);
  return Bytes;
}

std::size_t heldBytes(const JobRow &Job) {
  std::size_t Bytes = JobBytes + heldBytes(Job.Queue_) + heldBytes(Job.Spec_);
  if (Job.Steps_.empty())
    return Bytes;
  Bytes += LeaderBytes + Job.Steps_.size() * StepBytes;
  for (const StepRow &Step : Job.Steps_)
    Bytes += Step.Tasks_.heldBytes();
  return Bytes;
}

std::size_t newJobBytes(const JobSpec &Spec) {
  return JobBytes + heldBytes(Spec) + LeaderBytes +
         Spec.Steps_.size() * StepBytes;
}

void reserve(WorkerRow &Worker, const StepSpec &Step, std::int64_t Sign) {
  Resources Need = Step.Need_;
  if (Step.UsesSpareProcessors_) {
    Worker.SpareMilliProcessors_ += Sign * Need.MilliProcessors_;
    Need.MilliProcessors_ = 0;
  }
  if (Step.TailTarget_ > Duration::zero()) {
    Worker.ServingRuns_ += Sign;
    Worker.ServingMilliProcessors_ += Sign * Need.MilliProcessors_;
  }
  if (Sign > 0)
    Worker.Reserved_ += Need;
  else
    Worker.Reserved_ -= Need;
}

bool JobRow::isStepDue(std::uint32_t Step) const {
  return std::ranges::all_of(
      Spec_.Steps_[Step].DependsOn_, [this](std::uint32_t Earlier) {
        return Steps_[Earlier].Finished_ == Spec_.Steps_[Earlier].Count_;
      });
}

bool JobTable::putConfiguration(Configuration Value) {
  if (Value.Version_ <= Configuration_.Version_)
    return false;
  Configuration_ = std::move(Value);
  return true;
}

SubmitStatus JobTable::submit(Duration At, SubmitRow Row) {
  const Queue *Place = Configuration_.findQueue(Row.Host_, Row.Path_);
  if (Place == nullptr)
    return SubmitStatus::NoQueue;
  if (Jobs_.contains(Row.Job_))
    return SubmitStatus::Accepted;
  forgetEnded(At);
  JobRow &Job = Jobs_[Row.Job_];
  Job.Id_ = Row.Job_;
  Job.Queue_ = *Place;
  Job.Spec_ = std::move(Row.Spec_);
  Job.Sequence_ = ++LastSequence_;
  Job.AcceptedAt_ = At;
  for (const StepSpec &Step : Job.Spec_.Steps_)
    Job.Steps_.push_back({.Tasks_ = TaskRows(Step.Count_),
                          .Finished_ = 0,
                          .Waiting_ = Step.Count_});
  HeldBytes_ += jobs::heldBytes(Job);
  if (consumeEarlyCancel(At, Job.Id_))
    finish(At, Job, JobState::Cancelled);
  else
    setReady(Job);
  return SubmitStatus::Accepted;
}

bool JobTable::start(const StartRow &Row) {
  const TaskName &Name = Row.Run_.Task_;
  const auto It = Jobs_.find(Name.Job_);
  const auto Host = Workers_.find(Row.Worker_);
  if (It == Jobs_.end() || Host == Workers_.end() ||
      Host->second.Fence_ != Row.Fence_)
    return false;
  JobRow &Job = It->second;
  if (!Job.active() || Name.Step_ >= Job.Steps_.size() ||
      Name.Index_ >= Job.Steps_[Name.Step_].Tasks_.size() ||
      !Job.isStepDue(Name.Step_))
    return false;
  StepRow &Step = Job.Steps_[Name.Step_];
  TaskRow Task = Step.Tasks_[Name.Index_];
  if (Task.Phase_ != TaskPhase::Waiting || Row.Run_.Run_ != Task.Run_ + 1)
    return false;
  Task.Phase_ = TaskPhase::OnWorker;
  Task.Run_ = Row.Run_.Run_;
  Task.Worker_ = Row.Worker_;
  setTask(Step, Name.Index_, std::move(Task));
  Job.State_ = JobState::Running;
  addRun(Job, Row.Run_, Row.Worker_);
  if (--Step.Waiting_ == 0)
    Ready_.erase({Job.Sequence_, Job.Id_, Name.Step_});
  return true;
}

bool JobTable::end(Duration At, const EndRow &Row) {
  const TaskName &Name = Row.Run_.Task_;
  const auto It = Jobs_.find(Name.Job_);
  if (It == Jobs_.end())
    return false;
  JobRow &Job = It->second;
  if (Name.Step_ >= Job.Steps_.size() ||
      Name.Index_ >= Job.Steps_[Name.Step_].Tasks_.size())
    return false;
  StepRow &Step = Job.Steps_[Name.Step_];
  TaskRow Task = Step.Tasks_[Name.Index_];
  if (Task.Phase_ != TaskPhase::OnWorker || Task.Run_ != Row.Run_.Run_ ||
      Task.Worker_ != Row.Worker_)
    return false;
  removeRun(Job, Row.Run_, Row.Worker_);
  if (!Row.Checkpoint_.empty())
    Task.Checkpoint_ = Row.Checkpoint_;
  const StepSpec &Spec = Job.Spec_.Steps_[Name.Step_];
  recordOutcome(At, Row,
                Spec.LongRunning_ ? Row.Run_.Run_ == 1 : Task.Failures_ == 0);
  // The worker itself has listed such an end.
  if (Row.How_ == RunEnd::Finished || Row.How_ == RunEnd::Failed ||
      Row.How_ == RunEnd::Stopped)
    Crashes_.clear(Name);
  if (Row.How_ == RunEnd::Finished && !Spec.LongRunning_) {
    Task.Phase_ = TaskPhase::Finished;
    ++Step.Finished_;
  } else {
    Task.Phase_ = TaskPhase::Waiting;
    ++Step.Waiting_;
  }
  const bool IsFailure =
      Job.active() && Row.How_ == RunEnd::Failed && !Spec.LongRunning_;
  Task.Failures_ += IsFailure ? 1 : 0;
  const bool IsLastFailure =
      IsFailure && Task.Failures_ >= Job.Queue_.MaxAttempts_;
  setTask(Step, Name.Index_, std::move(Task));
  if (!Job.active())
    return true;
  if (IsLastFailure)
    finish(At, Job, JobState::Failed);
  else if (Job.Steps_.size() == static_cast<std::size_t>(std::ranges::count_if(
                                    Job.Steps_, [](const StepRow &Each) {
                                      return Each.Finished_ ==
                                             Each.Tasks_.size();
                                    })))
    finish(At, Job, JobState::Completed);
  else
    setReady(Job);
  return true;
}

void JobTable::setTask(StepRow &Step, std::uint32_t Index, TaskRow Row) {
  HeldBytes_ -= Step.Tasks_.heldBytes();
  Step.Tasks_.set(Index, std::move(Row));
  HeldBytes_ += Step.Tasks_.heldBytes();
}

/// A task that fails again on another worker is probably at fault itself, so
/// that only its first failure counts against its worker.
void JobTable::recordOutcome(Duration At, const EndRow &Row,
                             bool IsFirstFailure) {
  const auto It = Workers_.find(Row.Worker_);
  if (It == Workers_.end())
    return;
  if (Row.How_ == RunEnd::Finished) {
    It->second.LastFinishedAt_ = At;
    It->second.FailuresInRow_ = 0;
  } else if (Row.How_ == RunEnd::Failed && IsFirstFailure) {
    ++It->second.FailuresInRow_;
  }
}

void JobTable::recordCrash(Duration At, const WorkerCrash &Crash) {
  std::vector<TaskName> Candidates;
  for (const RunName &Run : Crash.Suspects_)
    if (isOfUnfinishedTask(Run))
      Candidates.push_back(Run.Task_);
  for (const TaskName &Task : Crashes_.record(At, Crash, Candidates))
    if (JobRow &Job = Jobs_.at(Task.Job_); Job.active())
      finish(At, Job, JobState::Failed);
}

bool JobTable::isOfUnfinishedTask(const RunName &Run) const {
  const TaskName &Name = Run.Task_;
  const JobRow *Job = find(Name.Job_);
  if (Job == nullptr || !Job->active() || Name.Step_ >= Job->Steps_.size() ||
      Name.Index_ >= Job->Steps_[Name.Step_].Tasks_.size())
    return false;
  const TaskRow &Task = Job->Steps_[Name.Step_].Tasks_[Name.Index_];
  return Task.Phase_ != TaskPhase::Finished && Run.Run_ <= Task.Run_;
}

CancelStatus JobTable::cancel(Duration At, const std::string &Job) {
  const auto It = Jobs_.find(Job);
  if (It == Jobs_.end())
    return recordEarlyCancel(At, Job);
  if (It->second.active())
    finish(At, It->second, JobState::Cancelled);
  return CancelStatus::Known;
}

CancelStatus JobTable::recordEarlyCancel(Duration At, const std::string &Job) {
  std::erase_if(EarlyCancels_, [At](const auto &Each) {
    return Each.second + EarlyCancelRetention < At;
  });
  if (EarlyCancels_.size() >= MaxEarlyCancels && !EarlyCancels_.contains(Job))
    return CancelStatus::Refused;
  EarlyCancels_[Job] = At;
  return CancelStatus::RecordedEarly;
}

bool JobTable::consumeEarlyCancel(Duration At, const std::string &Job) {
  const auto Found = EarlyCancels_.extract(Job);
  return !Found.empty() && Found.mapped() + EarlyCancelRetention >= At;
}

std::uint64_t JobTable::registerWorker(const WorkerLife &Life) {
  WorkerRow &Row = Workers_[Life.Worker_];
  if (Row.Fence_ == 0 || Row.Life_ != Life) {
    // What an earlier life has shown does not hold for this one.
    if (Row.Life_.Born_ != Life.Born_) {
      Row.LastFinishedAt_ = {};
      Row.FailuresInRow_ = 0;
    }
    Row.Life_ = Life;
    Row.Fence_ = ++LastFence_;
  }
  return Row.Fence_;
}

bool JobTable::forgetWorker(const std::string &Worker) {
  const auto It = Workers_.find(Worker);
  if (It == Workers_.end() || !It->second.Runs_.empty())
    return false;
  Workers_.erase(It);
  return true;
}

const JobRow *JobTable::find(const std::string &Job) const {
  const auto It = Jobs_.find(Job);
  return It == Jobs_.end() ? nullptr : &It->second;
}

const WorkerRow *JobTable::findWorker(const std::string &Worker) const {
  const auto It = Workers_.find(Worker);
  return It == Workers_.end() ? nullptr : &It->second;
}

std::uint64_t JobTable::countPending(std::string_view Host,
                                     std::string_view PathPrefix,
                                     const std::set<std::string> &Begun) const {
  return static_cast<std::uint64_t>(
      std::ranges::count_if(Jobs_, [&](const auto &Each) {
        const JobRow &Job = Each.second;
        return Job.active() && Job.Queue_.Host_ == Host &&
               Job.Queue_.PathPrefix_ == PathPrefix && !Begun.contains(Job.Id_);
      }));
}

void JobTable::rebuild() {
  Ready_.clear();
  for (auto &[Id, Worker] : Workers_) {
    Worker.Runs_.clear();
    Worker.Reserved_ = {};
    Worker.SpareMilliProcessors_ = 0;
    Worker.ServingRuns_ = 0;
    Worker.ServingMilliProcessors_ = 0;
  }
  HeldBytes_ = 0;
  for (auto &[Id, Job] : Jobs_) {
    for (std::uint32_t Step = 0; Step < Job.Steps_.size(); ++Step) {
      TaskRows &Tasks = Job.Steps_[Step].Tasks_;
      Tasks.resize(Job.Spec_.Steps_[Step].Count_);
      for (const auto &[Index, Task] : Tasks.begun())
        if (Task.Phase_ == TaskPhase::OnWorker)
          addRun(Job, {{Id, Step, Index}, Task.Run_}, Task.Worker_);
    }
    HeldBytes_ += jobs::heldBytes(Job);
    if (Job.active())
      setReady(Job);
  }
}

void JobTable::forgetEnded(Duration At) {
  for (auto It = Jobs_.begin(); It != Jobs_.end();) {
    JobRow &Job = It->second;
    const auto Next = std::next(It);
    if (!Job.active() && !hasRuns(Job)) {
      if (Job.EndedAt_ + EndedStepsRetention < At && !Job.Steps_.empty())
        dropSteps(Job);
      if (Job.EndedAt_ + EndedJobRetention < At) {
        HeldBytes_ -= jobs::heldBytes(Job);
        Jobs_.erase(It);
      }
    }
    It = Next;
  }
}

void JobTable::dropSteps(JobRow &Job) {
  HeldBytes_ -= jobs::heldBytes(Job);
  // An assignment would keep the memory of the payload.
  JobSpec Spec;
  std::swap(Job.Spec_, Spec);
  std::vector<StepRow>().swap(Job.Steps_);
  HeldBytes_ += jobs::heldBytes(Job);
}

void JobTable::setReady(const JobRow &Job) {
  for (std::uint32_t Step = 0; Step < Job.Steps_.size(); ++Step)
    if (Job.Steps_[Step].Waiting_ > 0 && Job.isStepDue(Step))
      Ready_.insert({Job.Sequence_, Job.Id_, Step});
}

void JobTable::clearReady(const JobRow &Job) {
  for (std::uint32_t Step = 0; Step < Job.Steps_.size(); ++Step)
    Ready_.erase({Job.Sequence_, Job.Id_, Step});
}

void JobTable::finish(Duration At, JobRow &Job, JobState State) {
  Job.State_ = State;
  Job.EndedAt_ = At;
  clearReady(Job);
  Crashes_.removeJob(Job.Id_);
}

void JobTable::addRun(const JobRow &Job, const RunName &Run,
                      const std::string &Worker) {
  WorkerRow &Row = Workers_[Worker];
  Row.Life_.Worker_ = Worker;
  if (!Row.Runs_.insert(Run).second)
    return;
  ++Row.RunsVersion_;
  reserve(Row, Job.Spec_.Steps_[Run.Task_.Step_], 1);
}

void JobTable::removeRun(const JobRow &Job, const RunName &Run,
                         const std::string &Worker) {
  WorkerRow &Row = Workers_[Worker];
  if (Row.Runs_.erase(Run) == 0)
    return;
  ++Row.RunsVersion_;
  reserve(Row, Job.Spec_.Steps_[Run.Task_.Step_], -1);
}

} // namespace dragonfly::jobs
