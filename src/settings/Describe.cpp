#include "settings/Describe.h"

#include <algorithm>
#include <numeric>

namespace dragonfly {

template <> struct EnumTable<LogFormat> {
  static constexpr std::array<EnumName<LogFormat>, 2> Rows{{
      {LogFormat::Text, "text"},
      {LogFormat::Json, "json"},
  }};
};

template <> struct EnumTable<Severity> {
  static constexpr std::array<EnumName<Severity>, 4> Rows{{
      {Severity::Debug, "debug"},
      {Severity::Info, "info"},
      {Severity::Warning, "warning"},
      {Severity::Failure, "failure"},
  }};
};

} // namespace dragonfly

namespace dragonfly::settings {
namespace {

constexpr std::int64_t MillisecondsPerDay = 86'400'000;
constexpr std::int64_t Permille = 1000;
constexpr std::int64_t MaxControlReplicas = 7;
constexpr std::int64_t MaxKinds = 64;
constexpr std::int64_t MaxProcessors = 4096;
constexpr std::int64_t MaxMemoryMib = 1LL << 26;
constexpr std::int64_t MaxAccelerators = 1024;
constexpr std::int64_t MaxSlots = 65536;
constexpr std::int64_t MaxDescriptors = 1LL << 20;
constexpr std::int64_t MaxBytes = 1LL << 30;
/// The rest of a disk has room for an old and a new snapshot.
constexpr std::int64_t MaxLogPermille = 250;
/// A lease survives the loss of one heartbeat and its acknowledgement.
constexpr int HeartbeatsPerLease = 2;

constexpr Range AnyMilliseconds{.Least_ = 1, .Most_ = MillisecondsPerDay};
constexpr Range AnyPermille{.Least_ = 0, .Most_ = Permille};

void describeKind(Fields &Visitor, KindSettings &Kind) {
  Visitor.text("name", Kind.Name_, Presence::Required, TextRule::NonEmpty);
  describeChoice(Visitor, "urgency", Kind.Urgency_, Presence::Required);
  describeChoice(Visitor, "carrier", Kind.Carrier_, Presence::Optional);
  Visitor.flag("non_idempotent", Kind.NonIdempotent_);
  describeMilliseconds(Visitor, "deadline_ms", Kind.Deadline_, AnyMilliseconds);
  describeInteger(Visitor, "floor_permille", Kind.FloorPermille_,
                  Presence::Optional, AnyPermille);
  describeInteger(Visitor, "queue_limit", Kind.QueueLimit_, Presence::Optional,
                  {.Least_ = 1, .Most_ = MaxSlots});
  Visitor.object("need", Presence::Optional, [&Kind](Fields &Inner) {
    describeResources(Inner, Kind.Need_);
  });
  describeMilliseconds(Visitor, "expected_run_time_ms", Kind.ExpectedRunTime_,
                       AnyMilliseconds);
}

void describeWeights(Fields &Visitor, Weights &Value) {
  describeInteger(Visitor, "tail_latency_permille", Value.TailLatency_,
                  Presence::Required, AnyPermille);
  describeInteger(Visitor, "batch_throughput_permille", Value.BatchThroughput_,
                  Presence::Required, AnyPermille);
  describeInteger(Visitor, "evictions_permille", Value.Evictions_,
                  Presence::Required, AnyPermille);
  const std::int64_t Sum = static_cast<std::int64_t>(Value.TailLatency_) +
                           Value.BatchThroughput_ + Value.Evictions_;
  if (Sum != Permille)
    Visitor.fault("", "weights that add up to 1000", std::to_string(Sum));
}

void describeReplica(Fields &Visitor, ReplicaSettings &Replica) {
  describeInteger(Visitor, "id", Replica.Id_.Value_, Presence::Required,
                  {.Least_ = 1});
  Visitor.text("address", Replica.Address_, Presence::Required,
               TextRule::Address);
  Visitor.text("operator_address", Replica.OperatorAddress_, Presence::Required,
               TextRule::Address);
}

void checkKinds(Fields &Visitor, const std::vector<KindSettings> &Kinds) {
  checkUnique(Visitor, "kinds", Kinds,
              [](const KindSettings &Kind) { return Kind.Name_; });
  const std::int64_t Floors =
      std::accumulate(Kinds.begin(), Kinds.end(), std::int64_t{0},
                      [](std::int64_t Sum, const KindSettings &Kind) {
                        return Sum + Kind.FloorPermille_;
                      });
  if (Floors > Permille)
    Visitor.fault("kinds", "floor_permille that add up to at most 1000",
                  std::to_string(Floors));
}

void describeProcess(Fields &Visitor, ProcessSettings &Value) {
  Visitor.text("name", Value.Name_, Presence::Required, TextRule::NonEmpty);
  Visitor.text("availability_zone", Value.AvailabilityZone_, Presence::Required,
               TextRule::NonEmpty);
  Visitor.text("rack", Value.Rack_, Presence::Optional, TextRule::Any);
  describeChoice(Visitor, "log_format", Value.LogFormat_, Presence::Optional);
  describeChoice(Visitor, "log_level", Value.LogLevel_, Presence::Optional);
  describeMilliseconds(Visitor, "stop_bound_ms", Value.StopBound_,
                       AnyMilliseconds);
  describeInteger(Visitor, "memory_limit_mib", Value.MemoryLimitMib_,
                  Presence::Optional, {.Least_ = 0, .Most_ = MaxMemoryMib});
  describeInteger(Visitor, "descriptor_limit", Value.DescriptorLimit_,
                  Presence::Optional, {.Least_ = 0, .Most_ = MaxDescriptors});
  describeInteger(Visitor, "request_memory_permille",
                  Value.RequestMemoryPermille_, Presence::Optional,
                  {.Least_ = 1, .Most_ = Permille});
}

} // namespace

std::optional<std::size_t> requestMemoryBytes(const ProcessSettings &Process) {
  if (Process.MemoryLimitMib_ == 0)
    return std::nullopt;
  return (Process.MemoryLimitMib_ << 20U) / Permille *
         Process.RequestMemoryPermille_;
}

std::size_t jobMemoryBytes(const ControlSettings &Settings) {
  constexpr std::size_t UnknownLimitBytes = std::size_t(64) << 20U;
  const std::size_t LimitMib = Settings.Process_.MemoryLimitMib_;
  return LimitMib == 0
             ? UnknownLimitBytes
             : (LimitMib << 20U) / Permille * Settings.JobMemoryPermille_;
}

void describeResources(Fields &Visitor, Resources &Value) {
  Visitor.thousandths("processors", Value.MilliProcessors_, Presence::Required,
                      {.Least_ = 0, .Most_ = MaxProcessors});
  Visitor.integer("memory_mib", Value.MemoryMib_, Presence::Required,
                  {.Least_ = 0, .Most_ = MaxMemoryMib});
  Visitor.integer("accelerators", Value.Accelerators_, Presence::Optional,
                  {.Least_ = 0, .Most_ = MaxAccelerators});
}

void describeDeployment(Fields &Visitor, ProcessSettings &Value) {
  DeploymentSettings &Shared = Value.Deployment_;
  Visitor.text("name", Shared.Name_, Presence::Required, TextRule::NonEmpty);
  describeRows(Visitor, "kinds", Shared.Kinds_,
               {.Least_ = 1, .Most_ = MaxKinds}, describeKind);
  checkKinds(Visitor, Shared.Kinds_);
  Visitor.object("weights", Presence::Optional, [&Shared](Fields &Inner) {
    describeWeights(Inner, Shared.Weights_);
  });
  describeMilliseconds(Visitor, "lease_term_ms", Shared.LeaseTerm_,
                       AnyMilliseconds);
  describeMilliseconds(Visitor, "drift_margin_ms", Shared.DriftMargin_,
                       AnyMilliseconds);
  describeMilliseconds(Visitor, "heartbeat_period_ms", Shared.HeartbeatPeriod_,
                       AnyMilliseconds);
  if (Shared.LeaseTerm_ < HeartbeatsPerLease * Shared.HeartbeatPeriod_)
    Visitor.fault("lease_term_ms", "at least twice heartbeat_period_ms",
                  std::to_string(toMilliseconds(Shared.LeaseTerm_)));
  describeRows(Visitor, "control", Value.Control_,
               {.Least_ = 1, .Most_ = MaxControlReplicas}, describeReplica);
  checkUnique(Visitor, "control", Value.Control_,
              [](const ReplicaSettings &Replica) {
                return std::to_string(Replica.Id_.Value_);
              });
}

void describeEntry(Fields &Visitor, EntrySettings &Value) {
  describeProcess(Visitor, Value.Process_);
  Visitor.text("listen", Value.Listen_, Presence::Required, TextRule::Address);
  describeInteger(Visitor, "max_connections", Value.MaxConnections_,
                  Presence::Optional, {.Least_ = 1, .Most_ = MaxSlots});
  describeInteger(Visitor, "max_header_bytes", Value.MaxHeaderBytes_,
                  Presence::Optional, {.Least_ = 1024, .Most_ = MaxBytes});
  describeInteger(Visitor, "max_body_bytes", Value.MaxBodyBytes_,
                  Presence::Optional, {.Least_ = 1, .Most_ = MaxBytes});
  describeMilliseconds(Visitor, "idle_timeout_ms", Value.IdleTimeout_,
                       AnyMilliseconds);
  describeInteger(Visitor, "retry_permille", Value.RetryPermille_,
                  Presence::Optional, AnyPermille);
}

void describeControl(Fields &Visitor, ControlSettings &Value) {
  describeProcess(Visitor, Value.Process_);
  describeInteger(Visitor, "replica", Value.Replica_.Value_, Presence::Required,
                  {.Least_ = 1});
  Visitor.text("data_folder", Value.DataFolder_, Presence::Required,
               TextRule::NonEmpty);
  Visitor.flag("first_member", Value.FirstMember_);
  describeMilliseconds(Visitor, "election_timeout_ms", Value.ElectionTimeout_,
                       AnyMilliseconds);
  describeInteger(Visitor, "snapshot_every_records",
                  Value.SnapshotEveryRecords_, Presence::Optional,
                  {.Least_ = 1});
  describeInteger(Visitor, "disk_mib", Value.DiskMib_, Presence::Optional,
                  {.Least_ = 0, .Most_ = MaxMemoryMib});
  describeInteger(Visitor, "log_share_permille", Value.LogSharePermille_,
                  Presence::Optional, {.Least_ = 1, .Most_ = MaxLogPermille});
  describeInteger(Visitor, "state_share_permille", Value.StateSharePermille_,
                  Presence::Optional, {.Least_ = 1, .Most_ = MaxLogPermille});
  describeInteger(Visitor, "job_memory_permille", Value.JobMemoryPermille_,
                  Presence::Optional, {.Least_ = 1, .Most_ = Permille});
  Visitor.flag("repairs_group", Value.RepairsGroup_);
  describeInteger(Visitor, "voters", Value.Voters_, Presence::Optional,
                  {.Least_ = 1, .Most_ = MaxControlReplicas});
  describeInteger(Visitor, "remote_factor_permille",
                  Value.RemoteFactorPermille_, Presence::Optional,
                  {.Least_ = Permille, .Most_ = 100 * Permille});
}

void describeAgent(Fields &Visitor, AgentSettings &Value) {
  describeProcess(Visitor, Value.Process_);
  Visitor.text("listen", Value.Listen_, Presence::Required, TextRule::Address);
  Visitor.text("status_listen", Value.StatusListen_, Presence::Required,
               TextRule::Address);
  Visitor.text("upstream", Value.Upstream_, Presence::Required,
               TextRule::Address);
  Visitor.object("capacity", Presence::Required, [&Value](Fields &Inner) {
    describeResources(Inner, Value.Capacity_);
  });
  describeInteger(Visitor, "slots", Value.Slots_, Presence::Optional,
                  {.Least_ = 1, .Most_ = MaxSlots});
  describeInteger(Visitor, "connections", Value.Connections_,
                  Presence::Optional, {.Least_ = 1, .Most_ = MaxSlots});
}

} // namespace dragonfly::settings
