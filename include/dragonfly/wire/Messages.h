/// The messages that the system's own processes exchange. All are plain
/// values; `wire/Codec.h` turns them into bytes and back.
#ifndef DRAGONFLY_WIRE_MESSAGES_H
#define DRAGONFLY_WIRE_MESSAGES_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Ids.h"
#include "dragonfly/base/Outcome.h"
#include "dragonfly/base/Resources.h"
#include "dragonfly/wire/JobMessages.h"

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace dragonfly::wire {

/// Names a caller's request for good: ids are unique within a customer.
struct RequestKey {
  std::string Customer_;
  std::string RequestId_;

  auto operator<=>(const RequestKey &) const = default;
};

// Entry to agent, over TCP.

/// Asks an agent to pass a request to its upstream.
struct Execute {
  RequestKey Key_;
  std::string Kind_;
  /// The incarnation that the entry, or a claim, chose; another one refuses.
  Incarnation Target_;
  /// Time left until the caller's deadline, as the frame leaves.
  Duration TimeLeft_{};
  bool NonIdempotent_ = false;
  /// True where the answer is a stream of `ExecutePart` before the result.
  bool Streamed_ = false;
  std::string Body_;
};

/// One in-order part of a streamed answer, numbered from 0.
struct ExecutePart {
  std::uint64_t Number_ = 0;
  std::string Body_;
};

/// Ends an `Execute`.
struct ExecuteResult {
  Outcome Outcome_ = Outcome::Unknown;
  Reason Reason_ = Reason::None;
  /// The upstream's HTTP status, where it answered.
  std::uint16_t Status_ = 0;
  std::string Body_;
  /// Free slots of the VM after this request, for routing.
  std::uint32_t FreeSlots_ = 0;
  /// How long the upstream took.
  Duration ServiceTime_{};
};

/// Tells an agent that nobody waits for the answer any longer.
struct CancelExecute {
  RequestKey Key_;
};

// Agent or entry to control, over UDP.

/// What a VM that hosts an upstream has and how it is occupied.
struct VmStatus {
  Resources Capacity_;
  Resources Committed_;
  std::uint32_t Slots_ = 0;
  std::uint32_t FreeSlots_ = 0;
  std::uint32_t RunningTasks_ = 0;
  /// Usage that the worker reported last, late as it comes.
  Resources Usage_;
};

enum class Role : std::uint8_t { Entry, Control, Agent };

/// Sent periodically: announces a process and asks for its lease's renewal.
struct Heartbeat {
  Role Role_ = Role::Agent;
  std::string Name_;
  Incarnation Incarnation_;
  /// Grows with each heartbeat; echoed by the acknowledgement.
  std::uint64_t Sequence_ = 0;
  /// The sender's clock when this left; a lease counts from it.
  Duration SentAt_{};
  std::string AvailabilityZone_;
  std::string Rack_;
  /// Where the process takes frames, as "address:port".
  std::string Address_;
  bool Draining_ = false;
  /// False until the agent knows what its worker still runs.
  bool LedgerReady_ = false;
  ListVersion Plans_;
  ListVersion Purchases_;
  VmStatus Vm_;
};

/// Renews a lease and tells what the sender should fetch.
struct HeartbeatAck {
  std::uint64_t Sequence_ = 0;
  Duration SentAt_{};
  bool IsLeader_ = false;
  /// Frame address of the leader as far as the replica knows, or empty.
  std::string Leader_;
  /// Runs from `SentAt_` on the receiver's clock.
  Duration LeaseTerm_{};
  Epoch Epoch_;
  /// Newest versions in the replica's log, committed or not.
  ListVersion Plans_;
  ListVersion Purchases_;
  std::uint64_t UpstreamsVersion_ = 0;
  /// Live entries, among which customers' limits are divided.
  std::uint32_t Entries_ = 1;
  /// True where directives wait to be fetched.
  bool DirectivesPending_ = false;
};

// Agent or entry to control, over TCP.

struct FetchLists {};

/// Both lists as they are in force, as JSON text.
struct Lists {
  ListVersion PlansVersion_;
  std::string Plans_;
  ListVersion PurchasesVersion_;
  std::string Purchases_;
};

struct FetchUpstreams {
  std::uint64_t KnownVersion_ = 0;
};

/// One upstream that an entry may route to.
struct Upstream {
  std::string Name_;
  Incarnation Incarnation_;
  std::string AvailabilityZone_;
  std::string Rack_;
  std::string Address_;
  bool Draining_ = false;
  VmStatus Vm_;
};

/// An entry among which the upstreams' slots are divided.
struct LiveEntry {
  std::string Name_;
  std::string AvailabilityZone_;
};

struct Upstreams {
  std::uint64_t Version_ = 0;
  std::vector<Upstream> Rows_;
  /// Entries that take requests; a change of them changes the version.
  std::vector<LiveEntry> Entries_;
};

/// Claims a non-idempotent request for one incarnation of one agent.
struct Claim {
  RequestKey Key_;
  std::string Kind_;
  std::string Worker_;
  Incarnation Target_;
  /// Who claims; with `Attempt_` it makes a resend recognisable. Drawn afresh
  /// for each request that a caller sends: a caller's resend is another
  /// claimant, even at the same entry.
  Incarnation Claimant_;
  /// From 1. A later attempt states that the one before, by the same claimant,
  /// was refused and not run.
  std::uint32_t Attempt_ = 1;
  /// Hash of the body, so that a reused id with another body is noticed.
  std::uint64_t BodyHash_ = 0;
};

enum class ClaimStatus : std::uint8_t {
  Granted,      ///< Dispatch it, once.
  Pending,      ///< Claimed before; not settled yet.
  Settled,      ///< Claimed and settled before; the outcome is attached.
  Mismatch,     ///< The id was used with another body.
  OutsideWindow ///< The id is older than claims are kept.
};

struct ClaimReply {
  ClaimStatus Status_ = ClaimStatus::Pending;
  /// The first outcome, where settled.
  ExecuteResult First_;
};

/// Records what became of a request; the unit of counting.
struct Receipt {
  RequestKey Key_;
  std::string Kind_;
  Outcome Outcome_ = Outcome::Unknown;
  Reason Reason_ = Reason::None;
  bool NonIdempotent_ = false;
  /// Kept by control for non-idempotent requests only.
  std::uint16_t Status_ = 0;
  std::string Body_;
  /// The claimant whose claim this settles, where the holder made the claim. A
  /// refused receipt without it releases no claim.
  Incarnation Claimant_;
  /// From the request's end until this receipt was sent, so that one too old to
  /// be told from a duplicate is not counted again.
  Duration Age_{};
};

/// Receipts that a holder keeps until they are acknowledged.
struct ReceiptBatch {
  std::string Holder_;
  Incarnation Incarnation_;
  std::vector<Receipt> Rows_;
};

/// All receipts of the batch are durable.
struct ReceiptAck {
  std::uint64_t Count_ = 0;
};

// Tasks.

/// Hands a task to control; accepted only once it is durable.
struct SubmitTask {
  RequestKey Key_;
  std::string Kind_;
  Resources Need_;
  Duration TimeLeft_{};
  Duration ExpectedRunTime_{};
  bool NonIdempotent_ = false;
  std::string Body_;
};

enum class TaskState : std::uint8_t {
  Waiting,
  Placed,
  Running,
  Evicted,
  Finished,
  Failed,
  Cancelled,
  Parked
};

struct QueryTask {
  RequestKey Key_;
};

struct CancelTask {
  RequestKey Key_;
};

/// Answers SubmitTask, QueryTask and CancelTask.
struct TaskReply {
  bool Known_ = false;
  TaskId Task_;
  TaskState State_ = TaskState::Waiting;
  Outcome Outcome_ = Outcome::Unknown;
  Reason Reason_ = Reason::None;
  std::string Worker_;
  std::uint16_t Status_ = 0;
  std::string Body_;
};

enum class TaskAction : std::uint8_t {
  Start,
  Resume,
  Throttle,
  Checkpoint,
  Stop
};

/// What control wants an agent to do; valid only under its epoch.
struct TaskDirective {
  TaskId Task_;
  Epoch Epoch_;
  TaskAction Action_ = TaskAction::Start;
  std::string Kind_;
  Resources Need_;
  std::string CheckpointId_;
  /// Share of a processor to leave, in thousandths, for Throttle.
  std::uint32_t ThrottlePermille_ = 1000;
  std::string Body_;
};

struct FetchDirectives {
  std::string Worker_;
  Incarnation Incarnation_;
};

struct Directives {
  std::vector<TaskDirective> Rows_;
};

enum class TaskEvent : std::uint8_t {
  Started,
  Refused,
  Checkpointed,
  Finished,
  Failed,
  Stopped
};

/// What an agent tells about a task under an epoch.
struct TaskReport {
  TaskId Task_;
  Epoch Epoch_;
  TaskEvent Event_ = TaskEvent::Started;
  Reason Reason_ = Reason::None;
  std::string CheckpointId_;
  std::uint16_t Status_ = 0;
  std::string Body_;
  Resources Usage_;
};

struct TaskReports {
  std::string Worker_;
  Incarnation Incarnation_;
  std::vector<TaskReport> Rows_;
};

/// The reports are durable and need not be sent again.
struct TaskReportsAck {
  std::uint64_t Count_ = 0;
};

// Between control replicas, over TCP.

/// Bytes of the replicated log's own protocol.
struct ReplicaTraffic {
  ReplicaId From_;
  std::string Bytes_;
};

/// A part of ReplicaTraffic that is too long to hold up what follows it. Parts
/// of one message arrive in order; a gap means that the message is lost.
struct ReplicaPart {
  ReplicaId From_;
  /// Rises with each message of the sender's process.
  std::uint64_t Number_ = 0;
  /// Where the part begins in the message, and how long that is, in bytes.
  std::uint64_t Offset_ = 0;
  std::uint64_t TotalBytes_ = 0;
  std::string Bytes_;
};

/// Tells a replica that nothing comes from it although messages leave for it.
struct ReplicaUnheard {
  ReplicaId From_;
};

/// Answers any request that could not be served, with nothing done.
struct Refusal {
  Reason Reason_ = Reason::None;
  /// Frame address of the leader, where the receiver is not it.
  std::string Leader_;
};

/// Every message; the position of a type is its number on the wire, so new
/// types go at the end.
using Message =
    std::variant<Execute, ExecutePart, ExecuteResult, CancelExecute, Heartbeat,
                 HeartbeatAck, FetchLists, Lists, FetchUpstreams, Upstreams,
                 Claim, ClaimReply, ReceiptBatch, ReceiptAck, SubmitTask,
                 QueryTask, CancelTask, TaskReply, FetchDirectives, Directives,
                 TaskReports, TaskReportsAck, ReplicaTraffic, Refusal,
                 SubmitJob, JobRequest, JobReply, QueueDepthRequest, QueueDepth,
                 PutConfiguration, PutConfigurationAck, FetchConfiguration,
                 CurrentConfiguration, WorkerHello, WorkerOrders, WorkerReport,
                 WorkerReportAck, WorkerGone, JoinGroup, FetchGroup, Group,
                 WorkerCrashed, ReplicaUnheard, FetchEvacuation, Evacuation,
                 SetEvacuation, EvacuationReply, ReplicaPart, UnconfirmedCrash>;

} // namespace dragonfly::wire

#endif // DRAGONFLY_WIRE_MESSAGES_H
