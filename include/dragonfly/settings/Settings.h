/// Checked settings of each program, read from one JSON file per process.
#ifndef DRAGONFLY_SETTINGS_SETTINGS_H
#define DRAGONFLY_SETTINGS_SETTINGS_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/EnumTable.h"
#include "dragonfly/base/Ids.h"
#include "dragonfly/base/Log.h"
#include "dragonfly/base/Resources.h"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

namespace dragonfly::settings {

/// How urgent a kind of request is.
enum class Urgency : std::uint8_t {
  LatencyCritical, ///< Answered while the caller waits.
  Deadline,        ///< Heavy work that must finish by its deadline.
  Watch            ///< Runs long and answers in parts.
};

/// What carries a kind: a request through a slot of an upstream, or a task
/// that control places on a worker.
enum class Carrier : std::uint8_t { Request, Task };

/// One kind of request, such as a belt check.
struct KindSettings {
  std::string Name_;
  Urgency Urgency_ = Urgency::LatencyCritical;
  Carrier Carrier_ = Carrier::Request;
  bool NonIdempotent_ = false;
  /// Deadline where the caller names none.
  Duration Deadline_ = std::chrono::seconds(1);
  /// Share of all slots that this kind is guaranteed, in thousandths.
  std::uint32_t FloorPermille_ = 0;
  /// Requests of this kind that an entry lets wait for a slot.
  std::size_t QueueLimit_ = 1000;
  /// What one task of this kind declares, where it is a task.
  Resources Need_;
  Duration ExpectedRunTime_ = std::chrono::seconds(1);
};

/// What a deployment weighs, in thousandths of the total.
struct Weights {
  std::uint32_t TailLatency_ = 500;
  std::uint32_t BatchThroughput_ = 250;
  std::uint32_t Evictions_ = 250;
};

/// Settings that every process of a deployment shares.
struct DeploymentSettings {
  std::string Name_;
  std::vector<KindSettings> Kinds_;
  Weights Weights_;
  /// A VM's lease, counted by the agent from when it sent the heartbeat.
  Duration LeaseTerm_ = std::chrono::seconds(3);
  /// Added by control before it places a lost VM's tasks again.
  Duration DriftMargin_ = std::chrono::milliseconds(300);
  Duration HeartbeatPeriod_ = std::chrono::milliseconds(500);
};

/// A control replica as its peers, the entries and the agents reach it.
struct ReplicaSettings {
  ReplicaId Id_;
  /// Frames over TCP and heartbeats over UDP, as "address:port".
  std::string Address_;
  /// HTTP for operators.
  std::string OperatorAddress_;
};

/// What every program has.
struct ProcessSettings {
  std::string Name_;
  std::string AvailabilityZone_;
  std::string Rack_;
  LogFormat LogFormat_ = LogFormat::Json;
  Severity LogLevel_ = Severity::Info;
  /// A graceful stop that takes longer is cut off, with an event.
  Duration StopBound_ = std::chrono::seconds(20);
  /// Memory that the process may use, in MiB; 0 if it is not known.
  std::size_t MemoryLimitMib_ = 0;
  /// Share of it that requests without a complete response may hold, in
  /// thousandths.
  std::uint32_t RequestMemoryPermille_ = 250;
  /// Descriptors that the process may have open; 0 if that is not known.
  std::size_t DescriptorLimit_ = 0;
  DeploymentSettings Deployment_;
  std::vector<ReplicaSettings> Control_;
};

/// Returns the bytes that requests without a complete response may hold, or
/// nothing if the process's memory limit is not known.
std::optional<std::size_t> requestMemoryBytes(const ProcessSettings &Process);

struct EntrySettings {
  ProcessSettings Process_;
  /// HTTP for callers, health checks and histograms.
  std::string Listen_;
  std::size_t MaxConnections_ = 1024;
  std::size_t MaxHeaderBytes_ = 16U << 10U;
  std::size_t MaxBodyBytes_ = 1U << 20U;
  Duration IdleTimeout_ = std::chrono::seconds(30);
  /// Retries as a share of requests, in thousandths.
  std::uint32_t RetryPermille_ = 100;
};

struct ControlSettings {
  ProcessSettings Process_;
  ReplicaId Replica_;
  std::string DataFolder_;
  /// True where this replica starts a new deployment or is one of its first
  /// members; false where it joins as a learner.
  bool FirstMember_ = true;
  Duration ElectionTimeout_ = std::chrono::milliseconds(500);
  std::size_t SnapshotEveryRecords_ = 10000;
  /// Size of the data folder's disk, in MiB; 0 if it is not known.
  std::size_t DiskMib_ = 0;
  /// Share of it, in thousandths, that the records after a snapshot may take.
  std::uint32_t LogSharePermille_ = 125;
  /// Share of it, in thousandths, that the state may take in a snapshot before
  /// jobs are refused. An old and a new one have to fit beside the records.
  std::uint32_t StateSharePermille_ = 125;
  /// Share of the process's memory, in thousandths, that jobs may hold before
  /// further ones are refused.
  std::uint32_t JobMemoryPermille_ = 125;
  /// True where replicas find each other from the rows of `Control_`, which
  /// need not name all of them, and the leader repairs the group by itself.
  bool RepairsGroup_ = false;
  /// Voters that such a group keeps.
  std::size_t Voters_ = 3;
  /// How many times as long, in thousandths, a task takes on a rack without its
  /// data. With 1000 no task waits for a place near its data.
  std::uint32_t RemoteFactorPermille_ = 1000;
};

/// Returns the bytes that jobs may hold: a share of the process's memory limit,
/// or 64 MiB if that is not known.
std::size_t jobMemoryBytes(const ControlSettings &Settings);

struct AgentSettings {
  ProcessSettings Process_;
  /// Frames over TCP and heartbeats over UDP.
  std::string Listen_;
  /// HTTP for health checks and histograms.
  std::string StatusListen_;
  /// The upstream's HTTP endpoint beside this agent.
  std::string Upstream_;
  Resources Capacity_;
  std::uint32_t Slots_ = 8;
  std::uint32_t Connections_ = 64;
};

} // namespace dragonfly::settings

namespace dragonfly {

template <> struct EnumTable<settings::Urgency> {
  static constexpr std::array<EnumName<settings::Urgency>, 3> Rows{{
      {settings::Urgency::LatencyCritical, "latency-critical"},
      {settings::Urgency::Deadline, "deadline"},
      {settings::Urgency::Watch, "watch"},
  }};
};

template <> struct EnumTable<settings::Carrier> {
  static constexpr std::array<EnumName<settings::Carrier>, 2> Rows{{
      {settings::Carrier::Request, "request"},
      {settings::Carrier::Task, "task"},
  }};
};

} // namespace dragonfly

#endif // DRAGONFLY_SETTINGS_SETTINGS_H
