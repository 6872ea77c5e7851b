#include "control/ServingRelocator.h"

#include "dragonfly/base/Log.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonfly::control {
namespace {

using jobs::JobRow;
using jobs::RunName;
using jobs::StepSpec;

/// Interval between searches for relocations.
constexpr Duration SearchInterval = std::chrono::milliseconds(250);
/// Room on the new worker is reserved for this long: a stop takes up to 0.9 s
/// and its report 0.4 s.
constexpr Duration ReservationTime = std::chrono::milliseconds(2000);
/// Minimum interval between two relocations of tasks of one job.
constexpr Duration JobInterval = std::chrono::milliseconds(1000);
/// Weight of the newest sample in the demand of a batch image; with
/// `SearchInterval`, the average covers some five seconds.
constexpr double DemandWeight = 0.05;
constexpr std::uint32_t FullProgressPercent = 100;

} // namespace

void ServingRelocator::updateDemands() {
  std::map<std::string, double> Requested;
  for (const auto &[Name, Session] : Sessions_.sessions())
    for (const auto &[Run, Info] : Session.Runs_)
      if (const JobRow *Job = Table_.find(Run.Task_.Job_);
          Job != nullptr && Run.Task_.Step_ < Job->Spec_.Steps_.size()) {
        const StepSpec &Step = Job->Spec_.Steps_[Run.Task_.Step_];
        if (Step.UsesSpareProcessors_)
          Requested[Step.Image_] +=
              static_cast<double>(Step.Need_.MilliProcessors_);
      }
  for (const jobs::ReadyStep &Ready : Table_.readySteps()) {
    const JobRow &Job = *Table_.find(Ready.Job_);
    const StepSpec &Step = Job.Spec_.Steps_[Ready.Step_];
    if (Step.UsesSpareProcessors_)
      Requested[Step.Image_] +=
          static_cast<double>(Step.Need_.MilliProcessors_) *
          Job.Steps_[Ready.Step_].Waiting_;
  }
  for (const auto &[Image, MilliProcessors] : Requested)
    Demands_.try_emplace(Image, MilliProcessors);
  for (auto &[Image, Average] : Demands_) {
    const auto It = Requested.find(Image);
    const double Now = It == Requested.end() ? 0 : It->second;
    Average += DemandWeight * (Now - Average);
  }
}

std::vector<decide::BatchDemand> ServingRelocator::batchDemands() const {
  std::vector<decide::BatchDemand> Rows;
  std::ranges::transform(
      Demands_, std::back_inserter(Rows), [](const auto &Entry) {
        return decide::BatchDemand{.Image_ = Entry.first,
                                   .MilliProcessors_ = Entry.second};
      });
  return Rows;
}

/// Returns whether all tasks of the step are at work.
bool ServingRelocator::isAtWork(const JobRow &Job, std::uint32_t Step) const {
  const jobs::StepRow &Row = Job.Steps_[Step];
  if (Row.onWorkers() != Row.Tasks_.size())
    return false;
  for (const auto &[Index, Task] : Row.Tasks_.begun()) {
    const auto Session = Sessions_.sessions().find(Task.Worker_);
    if (Session == Sessions_.sessions().end() ||
        !Session->second.isSchedulable())
      return false;
    const auto Run =
        Session->second.Runs_.find({{Job.Id_, Step, Index}, Task.Run_});
    if (Run == Session->second.Runs_.end() ||
        Run->second.StopSentAt_ != TimePoint() ||
        Run->second.Report_.Phase_ != wire::RunPhase::Running ||
        Run->second.Report_.ProgressPercent_ < FullProgressPercent)
      return false;
  }
  return true;
}

bool ServingRelocator::isMovable(TimePoint Now, const JobRow &Job,
                                 std::uint32_t Step) const {
  const StepSpec &Spec = Job.Spec_.Steps_[Step];
  if (!Job.active() || !Spec.LongRunning_ || !Spec.RequiredLabel_.empty() ||
      !Spec.DataRack_.empty())
    return false;
  const auto Moved = MovedAt_.find(Job.Id_);
  return (Moved == MovedAt_.end() || Now - Moved->second >= JobInterval) &&
         isAtWork(Job, Step);
}

ServingRelocator::LayoutInput ServingRelocator::makeLayoutInput(
    TimePoint Now, const std::vector<decide::PlacementWorker> &Workers) const {
  LayoutInput Result;
  // Number of a step in the input, and whether its tasks are movable.
  std::map<std::pair<std::string, std::uint32_t>, std::pair<std::size_t, bool>>
      Steps;
  for (const decide::PlacementWorker &Worker : Workers) {
    decide::LayoutWorker &Row =
        Result.Workers_.emplace_back(decide::LayoutWorker{
            .Service_ = Worker.Service_,
            .Capacity_ = Worker.Capacity_,
            .Reserved_ = Worker.Reserved_,
            .Suspect_ = Worker.Suspect_ || Worker.StartsLeft_.has_value()});
    std::vector<RunName> &Runs = Result.Runs_.emplace_back();
    for (const RunName &Run : Table_.findWorker(Worker.Name_)->Runs_) {
      const JobRow *Job = Table_.find(Run.Task_.Job_);
      if (Job == nullptr)
        continue;
      const StepSpec &Spec = Job->Spec_.Steps_[Run.Task_.Step_];
      if (Spec.TailTarget_ == Duration::zero())
        continue;
      const auto [It, IsNew] =
          Steps.try_emplace({Job->Id_, Run.Task_.Step_}, Steps.size(), false);
      auto &[Number, IsStepMovable] = It->second;
      if (IsNew)
        IsStepMovable = isMovable(Now, *Job, Run.Task_.Step_);
      Row.Tasks_.push_back({.Image_ = Spec.Image_,
                            .Need_ = Spec.Need_,
                            .Step_ = Number,
                            .MaxPerWorker_ = Spec.MaxPerWorker_,
                            .IsMovable_ = IsStepMovable});
      Runs.push_back(Run);
    }
  }
  return Result;
}

void ServingRelocator::tick(
    TimePoint Now, const std::vector<decide::PlacementWorker> &Workers) {
  if (Now < NextAt_)
    return;
  NextAt_ = Now + SearchInterval;
  std::erase_if(Pending_, [Now](const auto &Entry) {
    return Now >= Entry.second.ExpiresAt_;
  });
  std::erase_if(MovedAt_, [this](const auto &Entry) {
    return Table_.find(Entry.first) == nullptr;
  });
  updateDemands();
  if (!Pending_.empty() || Workers.empty())
    return;
  const LayoutInput Input = makeLayoutInput(Now, Workers);
  const decide::ServingLayout Layout(
      Input.Workers_, batchDemands(),
      {.LossPerWorker_ = [this](std::string_view Serving,
                                std::string_view Image) {
        return Interference_.headroomLossPerWorker(Serving, Image);
      }});
  for (const decide::Relocation &Move : Layout.nextRelocations(FirstSource_))
    relocate(Now, Input.Runs_[Move.From_][Move.Task_],
             Workers[Move.From_].Name_, Workers[Move.To_].Name_);
  FirstSource_ = (FirstSource_ + decide::ServingLayoutOptions().MaxSources_) %
                 Workers.size();
}

void ServingRelocator::relocate(TimePoint Now, const RunName &Run,
                                const std::string &From,
                                const std::string &To) {
  const JobRow &Job = *Table_.find(Run.Task_.Job_);
  Pending_[Run.Task_] = {.To_ = To,
                         .Need_ = Job.Spec_.Steps_[Run.Task_.Step_].Need_,
                         .ExpiresAt_ = Now + ReservationTime};
  MovedAt_[Job.Id_] = Now;
  Metrics_.count("runs_relocated", Job.Queue_.Name_);
  logEvent(Event::RunRelocated, {{"job", Job.Id_},
                                 {"step", Run.Task_.Step_},
                                 {"index", Run.Task_.Index_},
                                 {"run", Run.Run_},
                                 {"worker", From},
                                 {"place", To}});
  Sessions_.stopRun(Now, From, Run);
}

void ServingRelocator::addReservations(
    std::vector<decide::PlacementWorker> &Workers) const {
  for (const auto &[Task, Row] : Pending_)
    if (const auto It = std::ranges::find(Workers, Row.To_,
                                          &decide::PlacementWorker::Name_);
        It != Workers.end())
      It->Reserved_ += Row.Need_;
}

std::string ServingRelocator::targetOf(const jobs::TaskName &Task) const {
  const auto It = Pending_.find(Task);
  return It == Pending_.end() ? std::string() : It->second.To_;
}

} // namespace dragonfly::control
