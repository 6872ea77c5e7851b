#include "dragonfly/control/StateMachine.h"

#include "control/Archive.h"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

namespace dragonfly::control {
namespace {

/// Applies \p Apply to each row and counts the rows that had an effect.
template <typename Rows, typename Function>
RowsApplied countApplied(const Rows &Values, Function Apply) {
  return {.Count_ =
              static_cast<std::uint64_t>(std::ranges::count_if(Values, Apply))};
}

} // namespace

StateMachine::StateMachine(StateMachineOptions Options)
    : Options_(std::move(Options)), Lists_(Options_.Validator_),
      Claims_(Options_.Claims_), Counts_(Options_.Counts_),
      Tasks_(Options_.Tasks_, [this](TaskChange Change, const TaskRecord &Task,
                                     const std::string &Worker) {
        if (Change == TaskChange::Ended)
          countEndedTask(Task);
        if (Options_.OnTaskChange_)
          Options_.OnTaskChange_(Change, Task, Worker);
      }) {}

CommandOutput StateMachine::apply(const Command &Value) {
  using std::chrono::seconds;
  const auto Before = std::chrono::floor<seconds>(LogTime_);
  LogTime_ = std::max(LogTime_, Value.At_);
  // The same on each replica, and also where no job is submitted.
  if (std::chrono::floor<seconds>(LogTime_) != Before)
    Jobs_.forgetEnded(LogTime_);
  return std::visit([this](const auto &Body) { return applyBody(Body); },
                    Value.Body_);
}

CommandOutput StateMachine::applyBody(const PutList &Body) {
  return Lists_.put(Body);
}

CommandOutput StateMachine::applyBody(const ClaimRequests &Body) {
  ClaimOutcomes Result;
  std::ranges::transform(
      Body.Rows_, std::back_inserter(Result.Rows_),
      [this](const ClaimRow &Row) { return Claims_.claim(LogTime_, Row); });
  return Result;
}

CommandOutput StateMachine::applyBody(const MergeReceipts &Body) {
  return countApplied(Body.Rows_, [this](const ReceiptRow &Row) {
    if (Row.NonIdempotent_)
      Claims_.applyReceipt(Row);
    return Counts_.merge(LogTime_, Row);
  });
}

CommandOutput StateMachine::applyBody(const AcceptTasks &Body) {
  AcceptOutcomes Result;
  std::ranges::transform(
      Body.Rows_, std::back_inserter(Result.Rows_),
      [this](const TaskRequest &Row) { return Tasks_.accept(LogTime_, Row); });
  return Result;
}

CommandOutput StateMachine::applyBody(const PlaceTasks &Body) {
  return countApplied(
      Body.Rows_, [this](const PlaceRow &Row) { return Tasks_.place(Row); });
}

CommandOutput StateMachine::applyBody(const ReportTasks &Body) {
  return countApplied(Body.Rows_, [&](const ReportRow &Row) {
    return Tasks_.report(LogTime_, Body.Worker_, Row);
  });
}

CommandOutput StateMachine::applyBody(const LoseTasks &Body) {
  return countApplied(Body.Rows_, [this](const TaskAtEpoch &Row) {
    return Tasks_.markLost(LogTime_, Row);
  });
}

CommandOutput StateMachine::applyBody(const CancelTasks &Body) {
  return countApplied(
      Body.Rows_, [this](TaskId Row) { return Tasks_.cancel(LogTime_, Row); });
}

CommandOutput StateMachine::applyBody(const ParkTasks &Body) {
  return countApplied(Body.Rows_, [this](const ParkRow &Row) {
    return Tasks_.park(LogTime_, Row);
  });
}

CommandOutput StateMachine::applyBody(const PutQueues &Body) {
  Jobs_.putConfiguration(Body.Value_);
  return QueuesOutcome{Jobs_.configuration().Version_};
}

CommandOutput StateMachine::applyBody(const UpdateJobs &Body) {
  JobOutcomes Result;
  for (const jobs::WorkerLife &Row : Body.Workers_)
    Result.FencingTokens_.push_back(Jobs_.registerWorker(Row));
  for (const jobs::SubmitRow &Row : Body.Submits_)
    Result.Submits_.push_back(Jobs_.submit(LogTime_, Row));
  for (const std::string &Job : Body.Cancels_)
    Result.Cancels_.push_back(Jobs_.cancel(LogTime_, Job));
  for (const jobs::EndRow &Row : Body.Ends_)
    Result.Ends_.push_back(Jobs_.end(LogTime_, Row) ? 1 : 0);
  for (const jobs::StartRow &Row : Body.Starts_)
    Result.Starts_.push_back(Jobs_.start(Row) ? 1 : 0);
  for (const std::string &Worker : Body.DepartedWorkers_)
    Jobs_.forgetWorker(Worker);
  return Result;
}

CommandOutput StateMachine::applyBody(const RecordImageLosses &Body) {
  return countApplied(Body.Rows_, [this](const jobs::ImageLoss &Row) {
    return ImageLosses_.note(Row);
  });
}

CommandOutput StateMachine::applyBody(const RecordCrash &Body) {
  Jobs_.recordCrash(LogTime_, Body.Crash_);
  return RowsApplied{.Count_ = 1};
}

CommandOutput StateMachine::applyBody(const RecordUnconfirmedCrash &Body) {
  Jobs_.recordCrash(LogTime_, Body.Crash_);
  return RowsApplied{.Count_ = 1};
}

CommandOutput StateMachine::applyBody(const SetEvacuation &Body) {
  return EvacuationOutcome{Evacuations_.set(
      LogTime_, Body.Zone_, Body.Evacuated_, Body.ExpectedRevision_)};
}

/// Counts an ended task like a request, under the request id of its caller.
void StateMachine::countEndedTask(const TaskRecord &Task) {
  ReceiptRow Row;
  Row.Key_ = Task.Key_;
  Row.Kind_ = Task.Kind_;
  Row.Outcome_ = Task.Outcome_;
  Row.Reason_ = Task.Reason_;
  Counts_.merge(LogTime_, Row);
}

std::string StateMachine::snapshot() const {
  return encodeValues(SnapshotFormat, LogTime_, Lists_, Claims_, Counts_,
                      Tasks_, Jobs_, ImageLosses_, Jobs_.crashes(),
                      Jobs_.earlyCancels(), Jobs_.crashes().exposures(),
                      Evacuations_);
}

void StateMachine::restore(std::string_view Bytes) {
  Duration At{};
  ListTable Lists(Options_.Validator_);
  ClaimTable Claims = Claims_;
  CountTable Counts = Counts_;
  TaskTable Tasks = Tasks_;
  jobs::JobTable Jobs;
  jobs::ImageLosses Losses;
  jobs::CrashTable Crashes;
  std::map<std::string, Duration> EarlyCancels;
  jobs::CrashTable::Exposures Exposures;
  jobs::EvacuationTable Evacuations;
  std::uint32_t Format = 0;
  try {
    decodeValues(Bytes, Format);
    if (Format == SnapshotFormat || Format == SnapshotFormatWithAllTasks)
      decodeValues(Bytes, Format, At, Lists, Claims, Counts, Tasks, Jobs,
                   Losses, Crashes, EarlyCancels, Exposures, Evacuations);
    else if (Format == SnapshotFormatWithoutEvacuations)
      decodeValues(Bytes, Format, At, Lists, Claims, Counts, Tasks, Jobs,
                   Losses, Crashes, EarlyCancels, Exposures);
    else if (Format == SnapshotFormatWithoutExposures)
      decodeValues(Bytes, Format, At, Lists, Claims, Counts, Tasks, Jobs,
                   Losses, Crashes, EarlyCancels);
    else if (Format == SnapshotFormatWithoutCrashes)
      decodeValues(Bytes, Format, At, Lists, Claims, Counts, Tasks, Jobs,
                   Losses);
    else if (Format == SnapshotFormatWithoutLosses)
      decodeValues(Bytes, Format, At, Lists, Claims, Counts, Tasks, Jobs);
    else if (Format == SnapshotFormatWithoutJobs)
      decodeValues(Bytes, Format, At, Lists, Claims, Counts, Tasks);
  } catch (const std::exception &Cause) {
    throw CodecError(CodecFault::BadSnapshot, Cause.what());
  }
  if (Format < SnapshotFormatWithoutJobs || Format > SnapshotFormat)
    throw CodecError(CodecFault::WrongFormat,
                     "unsupported snapshot format " + std::to_string(Format));
  Tasks.rebuildIndexes();
  Jobs.rebuild();
  if (Format >= SnapshotFormatWithoutEvacuations)
    Crashes.restore(std::move(Exposures));
  else
    Crashes.deriveExposures();
  Jobs.restore(std::move(Crashes), std::move(EarlyCancels));
  LogTime_ = At;
  Lists_ = std::move(Lists);
  Claims_ = std::move(Claims);
  Counts_ = std::move(Counts);
  Tasks_ = std::move(Tasks);
  Jobs_ = std::move(Jobs);
  ImageLosses_ = std::move(Losses);
  Evacuations_ = std::move(Evacuations);
  if (Options_.OnRestore_)
    Options_.OnRestore_();
}

consensus::StateMachineHooks StateMachine::hooks() {
  return {.Apply_ =
              [this](LogIndex, std::string_view Bytes) {
                return encodeOutput(apply(decodeCommand(Bytes)));
              },
          .Snapshot_ = [this] { return snapshot(); },
          .Restore_ = [this](std::string_view Bytes) { restore(Bytes); }};
}

} // namespace dragonfly::control
