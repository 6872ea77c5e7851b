/// Commands of control's state machine, as they stand in the replicated log.
/// Every time is log time: it is stamped by the proposer and only grows.
#ifndef DRAGONFLY_CONTROL_COMMAND_H
#define DRAGONFLY_CONTROL_COMMAND_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Error.h"
#include "dragonfly/base/Ids.h"
#include "dragonfly/base/Outcome.h"
#include "dragonfly/base/Resources.h"
#include "dragonfly/jobs/ImageLosses.h"
#include "dragonfly/jobs/JobTable.h"
#include "dragonfly/settings/Lists.h"
#include "dragonfly/settings/ReadSettings.h"
#include "dragonfly/wire/Messages.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace dragonfly::control {

/// Replaces one list, provided that its version is `ExpectedVersion_`.
struct PutList {
  settings::ListName List_ = settings::ListName::Plans;
  ListVersion ExpectedVersion_;
  /// Chosen by the operator; a resend carries the same one.
  std::string ChangeId_;
  std::string Content_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(List_, ExpectedVersion_, ChangeId_, Content_);
  }
};

/// One request's claim.
struct ClaimRow {
  wire::RequestKey Key_;
  std::string Worker_;
  Incarnation Target_;
  Incarnation Claimant_;
  std::uint32_t Attempt_ = 1;
  std::uint64_t BodyHash_ = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Key_.Customer_, Key_.RequestId_, Worker_, Target_, Claimant_, Attempt_,
       BodyHash_);
  }
};

/// Claims that arrived within one tick.
struct ClaimRequests {
  std::vector<ClaimRow> Rows_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Rows_); }
};

/// What became of one request, as one of its holders tells it.
struct ReceiptRow {
  wire::RequestKey Key_;
  std::string Kind_;
  Outcome Outcome_ = Outcome::Unknown;
  Reason Reason_ = Reason::None;
  /// The claim that the receipt settles, where the sender made it.
  Incarnation Claimant_;
  bool NonIdempotent_ = false;
  /// Time from the request's end until the record was proposed.
  Duration Age_{};
  std::uint16_t Status_ = 0;
  std::string Body_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Key_.Customer_, Key_.RequestId_, Kind_, Outcome_, Reason_, Claimant_,
       NonIdempotent_, Age_, Status_, Body_);
  }
};

/// Receipts that arrived within one tick.
struct MergeReceipts {
  std::vector<ReceiptRow> Rows_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Rows_); }
};

/// One task that a caller submits.
struct TaskRequest {
  wire::RequestKey Key_;
  std::string Kind_;
  Resources Need_;
  /// From the record's time until the deadline.
  Duration TimeLeft_{};
  Duration ExpectedRunTime_{};
  bool NonIdempotent_ = false;
  std::string Body_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Key_.Customer_, Key_.RequestId_, Kind_, Need_, TimeLeft_,
       ExpectedRunTime_, NonIdempotent_, Body_);
  }
};

struct AcceptTasks {
  std::vector<TaskRequest> Rows_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Rows_); }
};

/// Gives a waiting or evicted task to a worker under the task's epoch.
struct PlaceRow {
  TaskId Task_;
  Epoch Epoch_;
  std::string Worker_;
  /// The agent's process that holds the worker's lease.
  Incarnation Target_;
  /// What the worker commits to the task.
  Resources Reserve_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Task_, Epoch_, Worker_, Target_, Reserve_);
  }
};

struct PlaceTasks {
  std::vector<PlaceRow> Rows_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Rows_); }
};

/// What a worker's agent tells about one task.
struct ReportRow {
  TaskId Task_;
  Epoch Epoch_;
  wire::TaskEvent Event_ = wire::TaskEvent::Started;
  Reason Reason_ = Reason::None;
  std::string CheckpointId_;
  std::uint16_t Status_ = 0;
  std::string Body_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Task_, Epoch_, Event_, Reason_, CheckpointId_, Status_, Body_);
  }
};

struct ReportTasks {
  std::string Worker_;
  std::vector<ReportRow> Rows_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Worker_, Rows_);
  }
};

/// Names a task at one epoch.
struct TaskAtEpoch {
  TaskId Task_;
  Epoch Epoch_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Task_, Epoch_); }
};

/// Gives up tasks whose worker's lease has run out.
struct LoseTasks {
  std::vector<TaskAtEpoch> Rows_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Rows_); }
};

/// Cancels a batch of tasks in one record.
struct CancelTasks {
  std::vector<TaskId> Rows_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Rows_); }
};

struct ParkRow {
  TaskId Task_;
  Epoch Epoch_;
  Reason Reason_ = Reason::None;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Task_, Epoch_, Reason_);
  }
};

/// Ends waiting tasks that shall not be started again.
struct ParkTasks {
  std::vector<ParkRow> Rows_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Rows_); }
};

/// Replaces the configuration of queues where its version is the highest one.
struct PutQueues {
  jobs::Configuration Value_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Value_); }
};

/// What changed about jobs within a tick; the parts apply in this order.
struct UpdateJobs {
  std::vector<jobs::WorkerLife> Workers_;
  std::vector<jobs::SubmitRow> Submits_;
  std::vector<std::string> Cancels_;
  std::vector<jobs::EndRow> Ends_;
  std::vector<jobs::StartRow> Starts_;
  /// Workers without runs to forget.
  std::vector<std::string> DepartedWorkers_;

  bool empty() const {
    return Workers_.empty() && Submits_.empty() && Cancels_.empty() &&
           Ends_.empty() && Starts_.empty() && DepartedWorkers_.empty();
  }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Workers_, Submits_, Cancels_, Ends_, Starts_, DepartedWorkers_);
  }
};

/// Takes what the leader has learnt of images.
struct RecordImageLosses {
  std::vector<jobs::ImageLoss> Rows_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Rows_); }
};

/// The position of a type is its number in the log: new types go at the end.
using CommandBody =
    std::variant<PutList, ClaimRequests, MergeReceipts, AcceptTasks, PlaceTasks,
                 ReportTasks, LoseTasks, CancelTasks, ParkTasks, PutQueues,
                 UpdateJobs, RecordImageLosses>;

/// One record of the log.
struct Command {
  /// Log time.
  Duration At_{};
  CommandBody Body_;
};

enum class PutStatus : std::uint8_t {
  Accepted,
  Conflict,       ///< The list has another version; nothing was changed.
  ChangeIdReused, ///< The id was used for another change; nothing was changed.
  Rejected        ///< The content is faulty; nothing was changed.
};

/// What became of a `PutList`.
struct PutOutcome {
  PutStatus Status_ = PutStatus::Accepted;
  /// The version that the change made, where accepted.
  ListVersion Version_;
  /// The version in force when the change was first applied.
  ListVersion CurrentVersion_;
  std::vector<settings::JsonFault> Faults_;
};

struct ClaimOutcome {
  wire::ClaimStatus Status_ = wire::ClaimStatus::Pending;
  /// The first outcome, where settled.
  Outcome Outcome_ = Outcome::Unknown;
  Reason Reason_ = Reason::None;
  std::uint16_t HttpStatus_ = 0;
  std::string Body_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Status_, Outcome_, Reason_, HttpStatus_, Body_);
  }
};

struct ClaimOutcomes {
  std::vector<ClaimOutcome> Rows_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Rows_); }
};

enum class AcceptStatus : std::uint8_t { Accepted, RequestIdReused, TableFull };

struct AcceptOutcome {
  AcceptStatus Status_ = AcceptStatus::Accepted;
  TaskId Task_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Status_, Task_);
  }
};

struct AcceptOutcomes {
  std::vector<AcceptOutcome> Rows_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Rows_); }
};

/// How many rows of a batch had an effect.
struct RowsApplied {
  std::uint64_t Count_ = 0;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Count_); }
};

/// One row for each row of an UpdateJobs.
struct JobOutcomes {
  /// Fences of the workers.
  std::vector<std::uint64_t> FencingTokens_;
  std::vector<jobs::SubmitStatus> Submits_;
  /// Whether there was such a job.
  std::vector<std::uint8_t> Cancels_;
  /// Whether the row had an effect.
  std::vector<std::uint8_t> Ends_;
  std::vector<std::uint8_t> Starts_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(FencingTokens_, Submits_, Cancels_, Ends_, Starts_);
  }
};

/// The version of the queues' configuration that is in force.
struct QueuesOutcome {
  std::uint64_t Version_ = 0;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Version_); }
};

using CommandOutput = std::variant<RowsApplied, PutOutcome, ClaimOutcomes,
                                   AcceptOutcomes, JobOutcomes, QueuesOutcome>;

enum class CodecFault : std::uint8_t { BadCommand, BadSnapshot, WrongFormat };

using CodecError = TypedError<CodecFault>;

std::string encodeCommand(const Command &Value);
/// Throws CodecError(BadCommand).
Command decodeCommand(std::string_view Bytes);
/// Returns the change of a list that \p Bytes hold, or nothing where they hold
/// another command, whose rows are not read. Throws CodecError(BadCommand).
std::optional<PutList> decodeIfPutList(std::string_view Bytes);
std::string encodeOutput(const CommandOutput &Value);
/// Throws CodecError(BadCommand).
CommandOutput decodeOutput(std::string_view Bytes);

} // namespace dragonfly::control

namespace dragonfly {

template <> struct EnumTable<control::PutStatus> {
  static constexpr std::array<EnumName<control::PutStatus>, 4> Rows{{
      {control::PutStatus::Accepted, "accepted"},
      {control::PutStatus::Conflict, "version-conflict"},
      {control::PutStatus::ChangeIdReused, "change-id-reused"},
      {control::PutStatus::Rejected, "list-rejected"},
  }};
};

template <> struct EnumTable<control::CodecFault> {
  static constexpr std::array<EnumName<control::CodecFault>, 3> Rows{{
      {control::CodecFault::BadCommand, "bad-command"},
      {control::CodecFault::BadSnapshot, "bad-snapshot"},
      {control::CodecFault::WrongFormat, "wrong-format"},
  }};
};

} // namespace dragonfly

#endif // DRAGONFLY_CONTROL_COMMAND_H
