/// Commands of control's state machine, as stored in the replicated log. Every
/// time is log time, which the proposer stamps and which never goes back.
#ifndef DRAGONFLY_CONTROL_COMMAND_H
#define DRAGONFLY_CONTROL_COMMAND_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Error.h"
#include "dragonfly/base/Ids.h"
#include "dragonfly/base/Outcome.h"
#include "dragonfly/base/Resources.h"
#include "dragonfly/jobs/EvacuationTable.h"
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

/// Replaces one list if its version is `ExpectedVersion_`.
struct PutList {
  settings::ListName List_ = settings::ListName::Plans;
  ListVersion ExpectedVersion_;
  /// Chosen by the operator. A resend of the change carries the same id.
  std::string ChangeId_;
  std::string Content_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(List_, ExpectedVersion_, ChangeId_, Content_);
  }
};

/// A claimant's request for the right to run one non-idempotent request.
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

/// Batches the claims that arrived within one tick.
struct ClaimRequests {
  std::vector<ClaimRow> Rows_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Rows_); }
};

/// Outcome of one request as reported by its entry or its agent.
struct ReceiptRow {
  wire::RequestKey Key_;
  std::string Kind_;
  Outcome Outcome_ = Outcome::Unknown;
  Reason Reason_ = Reason::None;
  /// Claimant whose claim the receipt settles; none if the sender made no
  /// claim.
  Incarnation Claimant_;
  bool NonIdempotent_ = false;
  /// Time between the end of the request and the proposal of this record.
  Duration Age_{};
  std::uint16_t Status_ = 0;
  std::string Body_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Key_.Customer_, Key_.RequestId_, Kind_, Outcome_, Reason_, Claimant_,
       NonIdempotent_, Age_, Status_, Body_);
  }
};

/// Batches the receipts that arrived within one tick.
struct MergeReceipts {
  std::vector<ReceiptRow> Rows_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Rows_); }
};

/// A task submitted by a caller.
struct TaskRequest {
  wire::RequestKey Key_;
  std::string Kind_;
  Resources Need_;
  /// Time between the log time of the record and the task's deadline.
  Duration TimeLeft_{};
  Duration ExpectedRunTime_{};
  bool NonIdempotent_ = false;
  std::string Body_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Key_.Customer_, Key_.RequestId_, Kind_, Need_, TimeLeft_,
       ExpectedRunTime_, NonIdempotent_, Body_);
  }
};

/// Adds a batch of submitted tasks to the task table.
struct AcceptTasks {
  std::vector<TaskRequest> Rows_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Rows_); }
};

/// Places a waiting or evicted task on a worker under the task's epoch.
struct PlaceRow {
  TaskId Task_;
  Epoch Epoch_;
  std::string Worker_;
  /// Incarnation of the agent that holds the worker's lease.
  Incarnation Target_;
  /// Resources that the worker reserves for the task.
  Resources Reserve_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Task_, Epoch_, Worker_, Target_, Reserve_);
  }
};

/// Places a batch of tasks.
struct PlaceTasks {
  std::vector<PlaceRow> Rows_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Rows_); }
};

/// Event of one task as reported by the agent of its worker.
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

/// Reports of one worker's agent.
struct ReportTasks {
  std::string Worker_;
  std::vector<ReportRow> Rows_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Worker_, Rows_);
  }
};

/// Identifies a task at one epoch, and with it one placement of the task.
struct TaskAtEpoch {
  TaskId Task_;
  Epoch Epoch_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Task_, Epoch_); }
};

/// Marks tasks as lost whose worker's lease has expired.
struct LoseTasks {
  std::vector<TaskAtEpoch> Rows_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Rows_); }
};

/// Cancels a batch of tasks in one record.
struct CancelTasks {
  std::vector<TaskId> Rows_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Rows_); }
};

/// A task to park at one epoch, and the reason for it.
struct ParkRow {
  TaskId Task_;
  Epoch Epoch_;
  Reason Reason_ = Reason::None;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Task_, Epoch_, Reason_);
  }
};

/// Ends waiting or evicted tasks that will not be started again.
struct ParkTasks {
  std::vector<ParkRow> Rows_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Rows_); }
};

/// Replaces the configuration of the job queues if its version is higher than
/// the one in force.
struct PutQueues {
  jobs::Configuration Value_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Value_); }
};

/// Changes to jobs and their workers within one tick. The fields are applied in
/// the order of their declaration.
struct UpdateJobs {
  std::vector<jobs::WorkerLife> Workers_;
  std::vector<jobs::SubmitRow> Submits_;
  std::vector<std::string> Cancels_;
  std::vector<jobs::EndRow> Ends_;
  std::vector<jobs::StartRow> Starts_;
  /// Workers that left and have no runs; their rows are removed.
  std::vector<std::string> DepartedWorkers_;

  bool empty() const {
    return Workers_.empty() && Submits_.empty() && Cancels_.empty() &&
           Ends_.empty() && Starts_.empty() && DepartedWorkers_.empty();
  }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Workers_, Submits_, Cancels_, Ends_, Starts_, DepartedWorkers_);
  }
};

/// Stores the headroom losses between images that the leader has measured.
struct RecordImageLosses {
  std::vector<jobs::ImageLoss> Rows_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Rows_); }
};

/// Records that a worker crashed under runs that had just begun.
struct RecordCrash {
  jobs::WorkerCrash Crash_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Crash_); }
};

/// Records that a worker crashed under runs of which some may not have begun.
struct RecordUnconfirmedCrash {
  jobs::WorkerCrash Crash_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Crash_, Crash_.Unconfirmed_);
  }
};

/// Evacuates an availability zone or takes it back, unless the zone has changed
/// since `ExpectedRevision_`.
struct SetEvacuation {
  std::string Zone_;
  bool Evacuated_ = false;
  std::uint64_t ExpectedRevision_ = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Zone_, Evacuated_, ExpectedRevision_);
  }
};

/// A type's position is its number in the log, so new types go at the end.
using CommandBody =
    std::variant<PutList, ClaimRequests, MergeReceipts, AcceptTasks, PlaceTasks,
                 ReportTasks, LoseTasks, CancelTasks, ParkTasks, PutQueues,
                 UpdateJobs, RecordImageLosses, RecordCrash, SetEvacuation,
                 RecordUnconfirmedCrash>;

/// One record of the log.
struct Command {
  /// Log time.
  Duration At_{};
  CommandBody Body_;
};

/// Status of a `PutList`.
enum class PutStatus : std::uint8_t {
  Accepted,
  Conflict,       ///< The list has another version; nothing changed.
  ChangeIdReused, ///< The id belongs to another change; nothing changed.
  Rejected        ///< The content is invalid; nothing changed.
};

/// Result of a `PutList`.
struct PutOutcome {
  PutStatus Status_ = PutStatus::Accepted;
  /// Version created by the change, if accepted.
  ListVersion Version_;
  /// Version in force when the change was first applied.
  ListVersion CurrentVersion_;
  std::vector<settings::JsonFault> Faults_;
};

/// Result of one claim.
struct ClaimOutcome {
  wire::ClaimStatus Status_ = wire::ClaimStatus::Pending;
  /// Outcome of the request, if its claim is settled.
  Outcome Outcome_ = Outcome::Unknown;
  Reason Reason_ = Reason::None;
  std::uint16_t HttpStatus_ = 0;
  std::string Body_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Status_, Outcome_, Reason_, HttpStatus_, Body_);
  }
};

/// Results of a `ClaimRequests`, one for each row.
struct ClaimOutcomes {
  std::vector<ClaimOutcome> Rows_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Rows_); }
};

/// Status of one submitted task. `RequestIdReused` means that the request id
/// belongs to a task with another body or kind.
enum class AcceptStatus : std::uint8_t { Accepted, RequestIdReused, TableFull };

/// Result of one submitted task.
struct AcceptOutcome {
  AcceptStatus Status_ = AcceptStatus::Accepted;
  TaskId Task_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Status_, Task_);
  }
};

/// Results of an `AcceptTasks`, one for each row.
struct AcceptOutcomes {
  std::vector<AcceptOutcome> Rows_;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Rows_); }
};

/// Number of rows of a batch that had an effect.
struct RowsApplied {
  std::uint64_t Count_ = 0;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Count_); }
};

/// Results of an `UpdateJobs`, one for each of its rows.
struct JobOutcomes {
  /// Fencing tokens of the workers.
  std::vector<std::uint64_t> FencingTokens_;
  std::vector<jobs::SubmitStatus> Submits_;
  std::vector<jobs::CancelStatus> Cancels_;
  /// 1 if the row had an effect, else 0.
  std::vector<std::uint8_t> Ends_;
  std::vector<std::uint8_t> Starts_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(FencingTokens_, Submits_, Cancels_, Ends_, Starts_);
  }
};

/// Version of the queue configuration in force after a `PutQueues`.
struct QueuesOutcome {
  std::uint64_t Version_ = 0;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Version_); }
};

/// Result of a `SetEvacuation`.
struct EvacuationOutcome {
  jobs::EvacuationStatus Status_ = jobs::EvacuationStatus::Applied;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Status_); }
};

/// Result of a command. The position of a type is its number in the encoding.
using CommandOutput =
    std::variant<RowsApplied, PutOutcome, ClaimOutcomes, AcceptOutcomes,
                 JobOutcomes, QueuesOutcome, EvacuationOutcome>;

/// Kinds of bytes that cannot be decoded. `WrongFormat` is a snapshot of an
/// unsupported format.
enum class CodecFault : std::uint8_t { BadCommand, BadSnapshot, WrongFormat };

using CodecError = TypedError<CodecFault>;

std::string encodeCommand(const Command &Value);
/// Throws CodecError(BadCommand) if \p Bytes hold no complete command.
Command decodeCommand(std::string_view Bytes);
/// Decodes \p Bytes if they hold a `PutList`. Returns nothing for any other
/// command, without reading its rows. Throws CodecError(BadCommand).
std::optional<PutList> decodeIfPutList(std::string_view Bytes);
std::string encodeOutput(const CommandOutput &Value);
/// Throws CodecError(BadCommand) if \p Bytes hold no complete output.
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
