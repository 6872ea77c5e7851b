#include "control/LocalityScheduler.h"

#include "dragonfly/base/Log.h"

#include <algorithm>

namespace dragonfly::control {

using decide::LocalityChoice;
using decide::LocalityDecision;
using decide::LocalityRequest;

namespace {

std::uint64_t toLogMilliseconds(Duration Value) {
  return static_cast<std::uint64_t>(std::max(toMilliseconds(Value), 0.0));
}

/// Shortest time between two log lines about a step.
constexpr Duration LogInterval = std::chrono::seconds(1);

/// Runs on spare processors release none that others could reserve.
std::string rateName(std::string_view Rack, bool UsesSpareProcessors) {
  return std::string(Rack) + (UsesSpareProcessors ? "/spare" : "/reserved");
}

std::string_view nameOf(LocalityChoice Choice) {
  return Choice == LocalityChoice::Wait ? "wait" : "remote";
}

} // namespace

void LocalityScheduler::startLeading() {
  Rates_.clear();
  Waiting_.clear();
}

void LocalityScheduler::recordRelease(TimePoint Now,
                                      const std::vector<std::string> &Labels,
                                      const jobs::StepSpec &Step) {
  if (RemoteFactor_ <= 1)
    return;
  for (const std::string &Label : Labels)
    Rates_.record(Now, rateName(Label, Step.UsesSpareProcessors_),
                  Step.Need_.MilliProcessors_);
}

void LocalityScheduler::beginPlacement() {
  Wanted_.clear();
  Full_.clear();
  Requests_.clear();
  std::erase_if(Waiting_, [this](const auto &Entry) {
    return !Table_.readySteps().contains(Entry.first);
  });
}

LocalityScheduler::Result
LocalityScheduler::place(TimePoint Now, Duration LogTime,
                         const jobs::ReadyStep &Ready,
                         decide::PlacementRequest Need, bool MayWait,
                         decide::JobPlacement &Placement) {
  if (Need.DataRack_.empty() || RemoteFactor_ <= 1)
    return {.Worker_ = Placement.place(Need)};
  // Such a task may find no place where others of its step do.
  const bool IsRestricted = Need.IsLastAttempt_ || !Need.AvoidedWorker_.empty();
  if (IsRestricted || !Full_.contains(Ready)) {
    Need.OnlyNearData_ = true;
    if (const auto Chosen = Placement.place(Need)) {
      Metrics_.count("tasks_with_data", "near");
      return {.Worker_ = Chosen};
    }
    Need.OnlyNearData_ = false;
    if (!IsRestricted)
      Full_.insert(Ready);
  }
  if (MayWait && mustWait(Now, LogTime, Ready, Need))
    return {.Waits_ = true};
  const auto Chosen = Placement.place(Need);
  if (Chosen)
    Metrics_.count("tasks_with_data", "remote");
  return {.Worker_ = Chosen};
}

bool LocalityScheduler::mustWait(TimePoint Now, Duration LogTime,
                                 const jobs::ReadyStep &Ready,
                                 const decide::PlacementRequest &Need) {
  auto It = Requests_.find(Ready);
  if (It == Requests_.end())
    It = Requests_.emplace(Ready, makeRequest(Now, LogTime, Ready, Need)).first;
  LocalityRequest &Request = It->second;
  std::int64_t &Wanted =
      Wanted_.try_emplace(std::string(Need.DataRack_)).first->second;
  Request.WantedMilliProcessors_ = Wanted + Need.Need_.MilliProcessors_;
  const LocalityDecision Decision = decide::decideLocality(Request);
  logChoice(Now, Ready, Need, Decision, Request);
  if (Decision.Choice_ == LocalityChoice::RunRemotely)
    return false;
  Wanted = Request.WantedMilliProcessors_;
  return true;
}

LocalityRequest
LocalityScheduler::makeRequest(TimePoint Now, Duration LogTime,
                               const jobs::ReadyStep &Ready,
                               const decide::PlacementRequest &Need) {
  const jobs::JobRow &Job = *Table_.find(Ready.Job_);
  const decide::JobOutlook Outlook = RunTimes_.outlook(Job, LogTime);
  const Duration RunTime = RunTimes_.expectedRunTime(Job, Ready.Step_);
  const TimePoint Since =
      Waiting_.try_emplace(Ready, WaitingStep{.Since_ = Now})
          .first->second.Since_;
  return {.RunTime_ = RunTime,
          .RemoteFactor_ = RemoteFactor_,
          .FreedMilliProcessorsPerSecond_ = Rates_.perSecond(
              Now, rateName(Need.DataRack_, Need.UsesSpareProcessors_)),
          .WaitedFor_ = Now - Since,
          .TimeLeft_ = Outlook.LatencyObjective_ - Outlook.Age_ -
                       (Outlook.RemainingCriticalPath_ - RunTime)};
}

/// Logs the first choice of a step and each other one that follows.
void LocalityScheduler::logChoice(TimePoint Now, const jobs::ReadyStep &Ready,
                                  const decide::PlacementRequest &Need,
                                  const LocalityDecision &Decision,
                                  const LocalityRequest &Request) {
  WaitingStep &Row = Waiting_[Ready];
  if (Row.LoggedChoice_ == Decision.Choice_ ||
      (Row.LoggedChoice_ && Now - Row.LoggedAt_ < LogInterval))
    return;
  Row.LoggedChoice_ = Decision.Choice_;
  Row.LoggedAt_ = Now;
  logEvent(Event::LocalityDecided,
           {{"job", Ready.Job_},
            {"step", Ready.Step_},
            {"rack", std::string(Need.DataRack_)},
            {"choice", nameOf(Decision.Choice_)},
            {"expected_wait_ms", toLogMilliseconds(Decision.ExpectedWait_)},
            {"remote_loss_ms", toLogMilliseconds(Decision.RemoteLoss_)},
            {"time_left_ms", toLogMilliseconds(Request.TimeLeft_)},
            {"waited_ms", toLogMilliseconds(Request.WaitedFor_)}});
}

} // namespace dragonfly::control
