/// The messages about jobs, the workers that run them, and control's group.
#ifndef DRAGONFLY_WIRE_JOBMESSAGES_H
#define DRAGONFLY_WIRE_JOBMESSAGES_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Ids.h"
#include "dragonfly/base/Resources.h"
#include "dragonfly/jobs/Configuration.h"
#include "dragonfly/jobs/CrashTable.h"
#include "dragonfly/jobs/EvacuationTable.h"
#include "dragonfly/jobs/Job.h"

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace dragonfly::wire {

// Jobs: entries and control replicas to the leader of control, over TCP.

/// Hands a job to control; accepted only once it is durable.
struct SubmitJob {
  std::string Job_;
  /// Host and path select the queue.
  std::string Host_;
  std::string Path_;
  jobs::JobSpec Spec_;
};

enum class JobAction : std::uint8_t { Query, Cancel };

/// Asks for a job's state, or cancels it.
struct JobRequest {
  JobAction Action_ = JobAction::Query;
  std::string Job_;
  std::string Host_;
  std::string Path_;
};

enum class JobStatus : std::uint8_t {
  Accepted,   ///< The job is durable.
  Known,      ///< `State_` holds the job's state.
  UnknownJob, ///< There is no such job.
  NoQueue,    ///< No queue has this host and path.
  /// Not accepted: a job never runs, a cancel has no effect. `RetryAfter_`
  /// tells when to ask.
  Rejected,
  NoConfiguration,
  /// The job is durable, and its queue has been removed since.
  AcceptedBefore
};

/// Answers SubmitJob and JobRequest.
struct JobReply {
  JobStatus Status_ = JobStatus::Rejected;
  jobs::JobState State_ = jobs::JobState::Queued;
  Duration RetryAfter_{};
};

/// Asks how many accepted jobs of a queue have not started.
struct QueueDepthRequest {
  std::string Host_;
  std::string Path_;
};

struct QueueDepth {
  JobStatus Status_ = JobStatus::NoQueue;
  std::uint64_t Queued_ = 0;
};

/// Replaces the configuration where its version is the highest one.
struct PutConfiguration {
  jobs::Configuration Value_;
};

/// The configuration, or a newer one, is durable and in force.
struct PutConfigurationAck {
  /// The version in force.
  std::uint64_t Version_ = 0;
};

struct FetchConfiguration {};

struct CurrentConfiguration {
  std::uint64_t Version_ = 0;
  std::string Document_;
};

/// Asks for the state of an availability zone.
struct FetchEvacuation {
  std::string Zone_;
};

/// Answers FetchEvacuation.
struct Evacuation {
  bool Evacuated_ = false;
  std::uint64_t Revision_ = 0;
};

/// Evacuates a zone or takes it back, unless it has changed since
/// `ExpectedRevision_`, so that a request that arrives late undoes no newer
/// one.
struct SetEvacuation {
  std::string Zone_;
  bool Evacuated_ = false;
  std::uint64_t ExpectedRevision_ = 0;
};

/// Answers SetEvacuation. The state is durable if the status is Applied.
struct EvacuationReply {
  jobs::EvacuationStatus Status_ = jobs::EvacuationStatus::Applied;
};

// Workers: an agent to the leader of control, over TCP.

/// The longest term for which control lets the runs of a worker go on. A new
/// process of an agent relies on it: it does not know what was granted before.
inline constexpr Duration MaxWorkerLeaseTerm = std::chrono::milliseconds(4000);

/// One life of the worker beside an agent, as the worker announces it.
struct WorkerHello {
  std::string Worker_;
  /// Unix time of the worker's start, in milliseconds; tells lives apart.
  std::uint64_t Born_ = 0;
  Incarnation Agent_;
  /// The VM that agent and worker share.
  std::string Vm_;
  std::string Service_;
  std::string AvailabilityZone_;
  std::vector<std::string> Labels_;
  Resources Capacity_;
};

/// What the agent needs to know to start one run.
struct StartOrder {
  jobs::RunName Run_;
  std::string Payload_;
  std::string Checkpoint_;
  Duration TailTarget_{};
  bool UsesSpareProcessors_ = false;
  std::string Image_;
  /// What the run wants, in thousandths of a processor.
  std::int64_t MilliProcessors_ = 0;
};

/// How much runs of one image take from the headroom of another image's: from
/// its target over its tail latency.
struct Disturbance {
  std::string ServingImage_;
  std::string Image_;
  /// Per whole worker's processors in use.
  double LossPerShare_ = 0;
};

/// One part of the answer to WorkerHello. The stream is the session: orders
/// count only on the newest one.
struct WorkerOrders {
  std::uint64_t Session_ = 0;
  std::uint64_t Fence_ = 0;
  std::vector<StartOrder> Starts_;
  std::vector<jobs::RunName> Stops_;
  /// Without payloads: runs that were ordered earlier. On the first part.
  std::vector<StartOrder> Known_;
  /// What is known of the images on the worker; empty where nothing changed.
  std::vector<Disturbance> Disturbances_;
};

enum class RunPhase : std::uint8_t {
  Starting, ///< Ordered; the worker has not confirmed it.
  Running,
  Stopping
};

struct RunReport {
  jobs::RunName Run_;
  RunPhase Phase_ = RunPhase::Starting;
  std::uint32_t ProgressPercent_ = 0;
  std::string Checkpoint_;
  /// Tail latency in milliseconds of a run with a target, else the processors
  /// in use, in thousandths.
  std::uint64_t Load_ = 0;
  /// Share of full speed that the run was given, in percent.
  std::uint32_t SpeedPercent_ = 100;
};

struct EndReport {
  jobs::RunName Run_;
  jobs::RunEnd How_ = jobs::RunEnd::Finished;
  std::string Checkpoint_;
};

/// What runs on a worker and what has ended. Renews the worker's lease.
struct WorkerReport {
  std::string Worker_;
  std::uint64_t Session_ = 0;
  bool Draining_ = false;
  /// The least time until the worker leaves, while it drains.
  Duration DrainTimeLeft_{};
  /// `Runs_` lists everything that may be on the worker.
  bool Complete_ = false;
  /// The worker does not answer its agent.
  bool Silent_ = false;
  /// How much longer the worker is slow after its start.
  Duration ColdTimeLeft_{};
  std::vector<RunReport> Runs_;
  std::vector<EndReport> Ends_;
};

/// The ends are durable.
struct WorkerReportAck {
  /// How long runs may go on from when the report was made, at most
  /// `MaxWorkerLeaseTerm`; 0 where the leader may not tell.
  Duration LeaseTerm_{};
  /// The session has ended and nothing was done; the agent opens another one.
  bool SessionEnded_ = false;
};

/// The worker has left for good; nothing runs on it.
struct WorkerGone {
  std::string Worker_;
  std::uint64_t Born_ = 0;
  /// The process that was registered for the worker when it left. A notice of
  /// any other has no effect: it may have come late.
  Incarnation Agent_;
};

/// Another life of the worker, or another worker, answers on its VM, and it had
/// not announced that it leaves. Counts once, however often it is told.
struct WorkerCrashed {
  jobs::WorkerCrash Crash_;
};

/// A `WorkerCrashed` some of whose suspects are unconfirmed.
struct UnconfirmedCrash {
  jobs::WorkerCrash Crash_;
};

// Group of control, over TCP.

/// A replica makes itself known to the leader, to become or stay a member.
struct JoinGroup {
  ReplicaId Id_;
  StoreId Store_;
  std::string Address_;
};

struct FetchGroup {};

struct GroupRow {
  ReplicaId Id_;
  std::string Address_;
};

/// The members of control's group as the sender knows them.
struct Group {
  std::vector<GroupRow> Rows_;
  /// Frame address of the leader, or empty where none is known.
  std::string Leader_;
};

} // namespace dragonfly::wire

#endif // DRAGONFLY_WIRE_JOBMESSAGES_H
