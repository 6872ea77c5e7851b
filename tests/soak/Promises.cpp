#include "soak/Promises.h"

#include <algorithm>
#include <iterator>
#include <utility>

namespace dragonfly::soak {
namespace {

/// A task under which so many workers have crashed may be given up.
constexpr std::uint32_t CrashesToGiveUp = 2;
/// Crashes under a task after which its starts are counted.
constexpr std::uint32_t CrashesBeforeCount = 3;
/// Counted starts that break the promise.
constexpr std::uint32_t MaxLateStarts = 3;
/// Bounds of rule LOST for a job, and for a task that lasts.
constexpr Duration MaxStill = std::chrono::seconds(3);
constexpr Duration MaxLastingStill = std::chrono::seconds(6);

std::uint32_t mostOfJob(const std::map<TaskId, std::uint32_t> &Counts,
                        const std::string &Job) {
  std::uint32_t Most = 0;
  for (auto It = Counts.lower_bound({.Job_ = Job});
       It != Counts.end() && It->first.Job_ == Job; ++It)
    Most = std::max(Most, It->second);
  return Most;
}

} // namespace

Promises::Promises(const Calm &Quiet)
    : Cancels_(Quiet,
               [this](const std::string &Promise, const std::string &What) {
                 require(false, Promise, What);
               }) {}

void Promises::require(bool Kept, const std::string &Promise,
                       const std::string &What) {
  if (!Kept)
    Broken_.push_back(Promise + ": " + What);
}

void Promises::planned(const std::string &Job, PlannedJob Plan) {
  Plans_[Job] = std::move(Plan);
}

const PlannedJob *Promises::plan(const std::string &Job) const {
  const auto It = Plans_.find(Job);
  return It == Plans_.end() ? nullptr : &It->second;
}

void Promises::completed(const std::string &Job) {
  Ended_.insert(Job);
  const PlannedJob &Plan = Plans_.at(Job);
  for (std::uint32_t Step = 0; Step < Plan.Counts_.size(); ++Step)
    for (std::uint32_t Index = 0; Index < Plan.Counts_[Step]; ++Index)
      require(Done_.contains({Job, Step, Index}),
              "a job is completed only when all its tasks are",
              TaskId{Job, Step, Index}.text());
}

void Promises::failed(const std::string &Job) {
  Ended_.insert(Job);
  Failed_.insert(Job);
  const std::uint32_t Crashes = mostOfJob(Crashes_, Job);
  const bool MayBeGivenUp =
      Plans_.at(Job).Deadly_ && Crashes >= CrashesToGiveUp;
  require(MayBeGivenUp || mostOfJob(OwnFailures_, Job) >= MaxTaskAttempts,
          "a job fails only by its own tasks",
          Job + (Plans_.at(Job).Deadly_ ? ", deadly" : "") + ", " +
              std::to_string(Crashes) + " crashes under a task");
}

void Promises::unknown(const std::string &Job, const std::string &Where) {
  require(!Accepted_.contains(Job) || Cancels_.isSent(Job),
          "an accepted job is not forgotten", Job + " at " + Where);
}

void Promises::cancelSent(const std::string &Job) {
  Ended_.insert(Job);
  Cancels_.sent(Job);
}

void Promises::cancelAnswered(const std::string &Job) {
  Cancels_.answered(Job, plan(Job) != nullptr && dueTasks(Job).empty());
}

void Promises::shown(const std::string &Job, const std::string &State,
                     TimePoint AskedAt) {
  require(plan(Job) != nullptr, "only jobs that were handed in are shown",
          Job + " " + State);
  Cancels_.shown(Job, State, AskedAt);
  const bool MayEndSo = isPending(Job) || Cancels_.isSent(Job);
  if (MayEndSo && State == "completed" && plan(Job) != nullptr)
    completed(Job);
  if (isPending(Job) && State == "failed")
    failed(Job);
}

bool Promises::isBetweenSteps(const std::string &Job) const {
  const std::vector<TaskId> Due = dueTasks(Job);
  return !Due.empty() && Due.front().Step_ == 1;
}

Duration Promises::savedWork(const TaskId &Task,
                             const std::string &Checkpoint) const {
  const auto Of = Saved_.find(Task);
  if (Of == Saved_.end())
    return {};
  const auto It = Of->second.find(Checkpoint);
  return It == Of->second.end() ? Duration{} : It->second;
}

void Promises::starts(const StartOrder &Order) {
  ++Starts_;
  const TaskId &Task = Order.Task_;
  const std::int64_t Room = Order.Room_;
  const std::string What = Task.text() + " on " + Order.Worker_;
  const PlannedJob *Plan = plan(Task.Job_);
  require(Plan != nullptr && Plan->Spec_ == Order.Spec_ &&
              Task.Step_ < Plan->Counts_.size() &&
              Task.Index_ < Plan->Counts_[Task.Step_],
          "workers start only what callers sent", What);
  if (Plan == nullptr)
    return;
  require(Order.Checkpoint_.empty() ||
              (Saved_.contains(Task) &&
               Saved_.at(Task).contains(Order.Checkpoint_)),
          "a start carries a checkpoint of its own task",
          What + " with " + Order.Checkpoint_);
  Cancels_.starts(Task, Order.Place_, Order.IsLate_);
  Started_.insert(Task.Job_);
  require(Plan->MilliProcessors_ <= Room,
          "a worker is not committed beyond its processors",
          What + " with " + std::to_string(Room) + " free for " +
              std::to_string(Plan->MilliProcessors_));
  const auto [It, IsNew] = RunningOn_.try_emplace(Task, Order.Worker_);
  require(IsNew, "a task does not run in two places",
          What + " and " + It->second);
  It->second = Order.Worker_;
  const bool IsLate =
      Plan->Deadly_ == Task && Crashes_[Task] >= CrashesBeforeCount;
  require(!IsLate || ++LateStarts_[Task] < MaxLateStarts,
          "a task that crashes workers is given up",
          What + " after " + std::to_string(Crashes_[Task]) + " crashes");
  require(!Noted_.contains(Task), "a finished task is not started again", What);
  for (std::uint32_t Index = 0;
       Task.Step_ > 0 && Index < Plan->Counts_[Task.Step_ - 1]; ++Index)
    require(Done_.contains({Task.Job_, Task.Step_ - 1, Index}),
            "a step starts after the one before it", What);
}

void Promises::ends(const TaskId &Task, std::size_t Place, bool Done) {
  Cancels_.ends(Task, Place);
  RunningOn_.erase(Task);
  if (Done)
    Done_.insert(Task);
}

void Promises::unanswered(const std::string &What) {
  require(false, "a request on an open connection is answered", What);
}

void Promises::stopsTooLate(const std::string &What) {
  require(false, "a process ends within its stop time", What);
}

std::vector<std::string> Promises::lasting() const {
  std::vector<std::string> Jobs;
  std::ranges::copy_if(Accepted_, std::back_inserter(Jobs),
                       [this](const std::string &Job) {
                         return Plans_.at(Job).Lasts_ && !Ended_.contains(Job);
                       });
  return Jobs;
}

std::vector<TaskId> Promises::dueTasks(const std::string &Job) const {
  std::vector<TaskId> Due;
  const PlannedJob &Plan = Plans_.at(Job);
  for (std::uint32_t Step = 0; Step < Plan.Counts_.size() && Due.empty();
       ++Step)
    for (std::uint32_t Index = 0; Index < Plan.Counts_[Step]; ++Index)
      if (!Done_.contains({Job, Step, Index}))
        Due.push_back({Job, Step, Index});
  return Due;
}

void Promises::observeStill(TimePoint Now, bool StandsStill,
                            const std::string &What, Duration Most,
                            const std::string &Promise) {
  if (!StandsStill) {
    StillSince_.erase(What);
    return;
  }
  TimePoint &Since = StillSince_.try_emplace(What, Now).first->second;
  if (Now - Since <= Most)
    return;
  require(false, Promise, What);
  Since = TimePoint::max();
}

void Promises::observeCalm(TimePoint Now, const std::vector<std::int64_t> &Free,
                           std::int64_t All) {
  std::int64_t Unused = 0;
  std::int64_t Widest = 0;
  for (const std::int64_t Each : Free) {
    Unused += Each;
    Widest = std::max(Widest, Each);
  }
  for (const std::string &Job : pending()) {
    const PlannedJob &Plan = Plans_.at(Job);
    const std::vector<TaskId> Due = dueTasks(Job);
    const auto Runs = [this](const TaskId &Task) {
      return RunningOn_.contains(Task);
    };
    const bool HasRoom =
        2 * Plan.MilliProcessors_ <= Widest && 2 * Unused > All;
    if (!Plan.Lasts_)
      observeStill(Now,
                   HasRoom && !Plan.Deadly_ && !Due.empty() &&
                       std::ranges::none_of(Due, Runs),
                   Job, MaxStill, "a job does not stand still with room");
    for (const TaskId &Task : Due)
      if (Plan.Lasts_)
        observeStill(Now, HasRoom && !Runs(Task), Task.text(), MaxLastingStill,
                     "a lasting task does not stand still with room");
  }
}

void Promises::configurationAcked(std::uint64_t Version) {
  NewestAcked_ = std::max(NewestAcked_, Version);
}

void Promises::configurationRead(std::uint64_t Version) {
  require(Version >= NewestAcked_, "an accepted configuration stays in force",
          std::to_string(Version) + " after " + std::to_string(NewestAcked_));
}

void Promises::invalidAnswered(const std::string &Body, std::uint16_t Status) {
  require(Status != 200, "an invalid configuration is not acknowledged", Body);
}

std::vector<std::string> Promises::pending() const {
  std::vector<std::string> Left;
  std::ranges::set_difference(Accepted_, Ended_, std::back_inserter(Left));
  return Left;
}

void Promises::checkEnd() {
  for (const std::string &Job : Refused_)
    require(!Started_.contains(Job), "a refused job has not run", Job);
  require(isChangeAccepted(), "changes are accepted once faults are over",
          std::to_string(ExpectedChange_));
  for (const std::string &Job : pending())
    require(false, "an accepted job ends once faults are over",
            Job + (Plans_.at(Job).Deadly_ ? ", deadly" : ""));
}

} // namespace dragonfly::soak
