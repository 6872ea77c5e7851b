#include "faults/ControlLoad.h"

#include <algorithm>

namespace dragonfly::faults {

using namespace std::chrono_literals;
using namespace bench;
using namespace consensus;
using namespace control;

namespace {

constexpr std::uint64_t Operators = 2;
constexpr std::uint64_t EditPeriodSteps = 23;
constexpr std::uint64_t ClaimPeriodSteps = 41;
constexpr std::uint64_t TaskPeriodSteps = 67;
constexpr std::uint64_t SchedulePeriodSteps = 13;
constexpr std::uint64_t CancelledShare = 7;
/// A task returns to its worker, so that only the epoch tells its stays apart.
constexpr std::uint64_t Workers = 3;
constexpr std::uint64_t LateReportMs = 100;
/// Fewer edits, claims or tasks than this would prove little.
constexpr std::size_t LeastOfEach = 20;
constexpr Duration ResendAfter = 700ms;
constexpr Duration Patience = 60s;
const std::string Customer = "customer";
const std::string ReviewKind = "review";
const std::string TaskKind = "plan";

Duration stamp(TimePoint Now) { return Now.time_since_epoch(); }

} // namespace

ControlLoad::ControlLoad(std::uint64_t Seed) : Random_(Seed) {
  for (std::uint64_t Id = 1; Id <= Operators; ++Id)
    KnownVersions_[Id] = {1};
}

ScenarioHooks ControlLoad::hooks(std::size_t Body) {
  return {.Machine_ =
              [this](ReplicaId Id) {
                StateMachineOptions Options;
                Options.Validator_ = [](settings::ListName, const std::string &,
                                        const std::string &) {
                  return std::vector<settings::JsonFault>{};
                };
                Machines_[Id] =
                    std::make_unique<StateMachine>(std::move(Options));
                return Machines_[Id]->hooks();
              },
          .Load_ = [this] { step(); },
          .StrikesAt_ =
              [Body](std::string_view Command) {
                return decodeCommand(Command).Body_.index() == Body;
              },
          .SnapshotEveryRecords_ = 100};
}

void ControlLoad::step() {
  ++Steps_;
  if (!Finishing_) {
    for (std::uint64_t Id = 1; Id <= Operators; ++Id)
      if (Steps_ % EditPeriodSteps == 0 && !Editing_.contains(Id))
        edit(Id);
    if (Steps_ % ClaimPeriodSteps == 0)
      claim();
    if (Steps_ % TaskPeriodSteps == 0)
      acceptTask();
  }
  if (Steps_ % SchedulePeriodSteps == 0)
    schedule();
  for (std::size_t I = 0; I < Calls_.size(); ++I)
    send(std::shared_ptr<Call>(Calls_[I]));
  std::erase_if(Calls_, [](const auto &Value) { return Value->Done_; });
}

/// Sends to any replica that takes itself for the leader, and again where no
/// answer came.
void ControlLoad::send(const std::shared_ptr<Call> &Value) {
  const TimePoint Now = Scenario_->group().now();
  if (Value->Done_ || Now < Value->NotBefore_ ||
      (Value->UnderWay_ && Now - Value->SentAt_ < ResendAfter))
    return;
  for (Replica &Row : Scenario_->group().replicas()) {
    if (!Row.Log_ || Row.Frozen_ || Row.Log_->role() != RaftRole::Leader)
      continue;
    Value->UnderWay_ = true;
    Value->SentAt_ = Now;
    const Command Entry{.At_ = stamp(Now) +
                               Duration(static_cast<std::int64_t>(++Numbers_)),
                        .Body_ = Value->Body_};
    Scenario_->group().within(Row, [&] {
      Row.Log_->propose(encodeCommand(Entry),
                        [Value](const ProposeResult &Result) {
                          Value->UnderWay_ = false;
                          if (Result.Status_ != ProposeStatus::Committed)
                            return;
                          Value->Done_ = true;
                          Value->OnOutput_(decodeOutput(Result.Output_));
                        });
    });
    return;
  }
}

void ControlLoad::submit(CommandBody Body,
                         std::function<void(const CommandOutput &)> OnOutput,
                         Duration Delay) {
  Calls_.push_back(std::make_shared<Call>(
      Call{.Body_ = std::move(Body),
           .OnOutput_ = std::move(OnOutput),
           .NotBefore_ = Scenario_->group().now() + Delay}));
}

/// Operators start from what they know, so that they often race each other
/// with equal versions.
void ControlLoad::edit(std::uint64_t Operator) {
  const std::string ChangeId = "change " + std::to_string(++Numbers_);
  Edits_[ChangeId] = {.Invoked_ = Scenario_->group().now(),
                      .Expected_ = KnownVersions_[Operator]};
  Editing_.insert(Operator);
  submit(PutList{.List_ = settings::ListName::Plans,
                 .ExpectedVersion_ = KnownVersions_[Operator],
                 .ChangeId_ = ChangeId,
                 .Content_ = ChangeId},
         [this, Operator, ChangeId](const CommandOutput &Output) {
           edited(Operator, ChangeId, std::get<PutOutcome>(Output));
         });
}

void ControlLoad::edited(std::uint64_t Operator, const std::string &ChangeId,
                         const PutOutcome &Result) {
  Edit &Row = Edits_[ChangeId];
  if (Row.Done_) {
    if (Row.Outcome_.Status_ != Result.Status_ ||
        Row.Outcome_.Version_ != Result.Version_)
      violated(ControlPromise::SameAnswerToResend, ChangeId);
    return;
  }
  Row.Done_ = true;
  Row.Completed_ = Scenario_->group().now();
  Row.Outcome_ = Result;
  KnownVersions_[Operator] = Result.CurrentVersion_;
  Editing_.erase(Operator);
}

/// Two entries claim one request; whoever is granted it runs it, and both
/// holders tell of its end.
void ControlLoad::claim() {
  const wire::RequestKey Key{Customer, "review " + std::to_string(++Numbers_)};
  for (const std::uint64_t Entry : {101, 102})
    submit(ClaimRequests{{ClaimRow{.Key_ = Key,
                                   .Worker_ = "worker",
                                   .Target_ = {7},
                                   .Claimant_ = {Entry}}}},
           [this, Key, Entry](const CommandOutput &Output) {
             claimed(Key, {Entry}, std::get<ClaimOutcomes>(Output).Rows_[0]);
           });
}

void ControlLoad::claimed(const wire::RequestKey &Key, Incarnation Claimant,
                          const ClaimOutcome &Result) {
  if (Result.Status_ != wire::ClaimStatus::Granted)
    return;
  std::set<Incarnation> &Granted = Claims_[Key.RequestId_].Granted_;
  if (!Granted.insert(Claimant).second)
    return;
  if (Granted.size() > 1)
    violated(ControlPromise::ClaimedOnce, Key.RequestId_);
  for (int Holder = 0; Holder < 2; ++Holder)
    submit(MergeReceipts{{ReceiptRow{.Key_ = Key,
                                     .Kind_ = ReviewKind,
                                     .Outcome_ = Outcome::Completed,
                                     .Claimant_ = Claimant,
                                     .NonIdempotent_ = true}}},
           [](const CommandOutput &) {});
}

void ControlLoad::acceptTask() {
  const std::string Name = "plan " + std::to_string(++Numbers_);
  submit(AcceptTasks{{TaskRequest{.Key_ = {Customer, Name},
                                  .Kind_ = TaskKind,
                                  .TimeLeft_ = 1h,
                                  .ExpectedRunTime_ = 1s}}},
         [this, Name](const CommandOutput &Output) {
           const AcceptOutcome Result =
               std::get<AcceptOutcomes>(Output).Rows_[0];
           const auto Row = Tasks_.emplace(Name, Result.Task_).first;
           if (Result.Status_ != AcceptStatus::Accepted ||
               Row->second != Result.Task_)
             violated(ControlPromise::SameAnswerToResend, Name);
         });
}

const StateMachine *ControlLoad::leaderMachine() {
  const Replica *Leader = Scenario_->group().leader();
  return Leader ? Machines_.at(Leader->Id_).get() : nullptr;
}

void ControlLoad::schedule() {
  const StateMachine *Machine = leaderMachine();
  if (!Machine)
    return;
  for (const auto &[Id, Task] : Machine->tasks().rows())
    if (!Task.ended())
      advance(Task);
}

/// Moves a task on by one command: placed, started, checkpointed once, placed
/// again, started, finished. Some are cancelled instead.
void ControlLoad::advance(const TaskRecord &Task) {
  const std::string Mark = std::to_string(Task.Task_.Value_) + " " +
                           std::to_string(Task.Epoch_.Value_) + " " +
                           std::to_string(static_cast<int>(Task.State_));
  if (!Scheduled_.insert(Mark).second)
    return;
  const auto Ignore = [](const CommandOutput &) {};
  if (!Task.onWorker()) {
    if (Task.Task_.Value_ % CancelledShare == 0)
      submit(CancelTasks{{Task.Task_}}, Ignore);
    else
      submit(PlaceTasks{{PlaceRow{
                 .Task_ = Task.Task_,
                 .Epoch_ = Task.Epoch_,
                 .Worker_ =
                     "worker " + std::to_string(Task.Task_.Value_ % Workers),
                 .Target_ = {7}}}},
             Ignore);
    return;
  }
  ReportRow Row{.Task_ = Task.Task_, .Epoch_ = Task.Epoch_};
  if (Task.State_ == wire::TaskState::Running && Task.CheckpointId_.empty()) {
    Row.Event_ = wire::TaskEvent::Checkpointed;
    Row.CheckpointId_ = "checkpoint";
  } else if (Task.State_ == wire::TaskState::Running) {
    Row.Event_ = wire::TaskEvent::Finished;
  }
  const ReportTasks Report{Task.Worker_, {std::move(Row)}};
  submit(Report, Ignore);
  // The worker misses the answer and tells it again, perhaps in a later stay.
  submit(Report, Ignore,
         Duration(1ms) * static_cast<std::int64_t>(Random_() % LateReportMs));
}

std::vector<ControlViolation> ControlLoad::finish() {
  Finishing_ = true;
  LogCluster &Group = Scenario_->group();
  const bool Ended = Group.runUntil(
      [&] {
        const StateMachine *Machine = leaderMachine();
        return Machine && Calls_.empty() &&
               std::ranges::all_of(
                   Machine->tasks().rows(),
                   [](const auto &Row) { return Row.second.ended(); });
      },
      Patience);
  if (!Ended)
    violated(ControlPromise::TaskKept, "calls or tasks do not end");
  Group.run(1s);
  if (std::min({Edits_.size(), Claims_.size(), Tasks_.size()}) < LeastOfEach)
    violated(ControlPromise::LoadRan, std::to_string(Edits_.size()) + " edits");
  checkEdits();
  checkState();
  return Violations_;
}

/// Versions are the order of the accepted edits. An edit that began after
/// another had ended comes after it, and a conflict names a version that was
/// in force between its beginning and its end.
void ControlLoad::checkEdits() {
  std::map<ListVersion, std::string> Winners;
  std::vector<const Edit *> Ordered;
  for (const auto &[ChangeId, Row] : Edits_) {
    if (!Row.Done_)
      continue;
    Ordered.push_back(&Row);
    const bool Accepted = Row.Outcome_.Status_ == PutStatus::Accepted;
    if (Accepted && (Row.Outcome_.Version_.Value_ != Row.Expected_.Value_ + 1 ||
                     !Winners.emplace(Row.Outcome_.Version_, ChangeId).second))
      violated(ControlPromise::OneWinnerPerVersion, ChangeId);
    if (!Accepted && Row.Outcome_.CurrentVersion_ == Row.Expected_)
      violated(ControlPromise::OneWinnerPerVersion, "nobody won " + ChangeId);
  }
  for (const Edit *Row : Ordered)
    for (const Edit *Earlier : Ordered)
      if (Earlier->Completed_ < Row->Invoked_ &&
          Row->Outcome_.CurrentVersion_ < Earlier->Outcome_.CurrentVersion_)
        violated(ControlPromise::LinearizableLists,
                 "version " +
                     std::to_string(Row->Outcome_.CurrentVersion_.Value_));
  const StateMachine *Machine = leaderMachine();
  const VersionedList Final = Machine->lists().list(settings::ListName::Plans);
  if (!Winners.empty() && (Winners.rbegin()->first != Final.Version_ ||
                           Winners.rbegin()->second != Final.Content_ ||
                           Winners.size() + 1 != Final.Version_.Value_))
    violated(ControlPromise::LinearizableLists,
             "the last winner is not in force");
}

void ControlLoad::checkState() {
  const StateMachine &Machine = *leaderMachine();
  for (const auto &[Name, Id] : Tasks_) {
    const TaskRecord *Task = Machine.tasks().find(Id);
    if (!Task || Task->Key_.RequestId_ != Name) {
      violated(ControlPromise::TaskKept, Name);
    } else if (Task->State_ == wire::TaskState::Finished &&
               (Task->Starts_ != 2 || Task->Evictions_ != 1)) {
      violated(ControlPromise::ResumedOnce, Name);
    }
  }
  for (const CountRow &Row : Machine.counts().rows()) {
    const std::uint64_t Completed =
        Row.Requests_[static_cast<std::size_t>(Outcome::Completed)];
    if (Row.Kind_ == ReviewKind && Completed != Claims_.size())
      violated(ControlPromise::CountedOnce, std::to_string(Completed) + " of " +
                                                std::to_string(Claims_.size()));
  }
  const std::string State = Machine.snapshot();
  for (const auto &[Id, Other] : Machines_)
    if (Other->snapshot() != State)
      violated(ControlPromise::SameStateEverywhere,
               "replica " + std::to_string(Id.Value_));
}

void ControlLoad::violated(ControlPromise Broken, std::string Detail) {
  Violations_.push_back({Broken, std::move(Detail)});
}

} // namespace dragonfly::faults
