/// A group of replicated logs in one thread, with fake disks, a network that
/// a hook can make lossy, and time that only `run()` moves.
#ifndef DRAGONFLY_BENCH_SUPPORT_LOGCLUSTER_H
#define DRAGONFLY_BENCH_SUPPORT_LOGCLUSTER_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Random.h"
#include "dragonfly/consensus/ReplicatedLog.h"
#include "support/MemoryDisk.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonfly::bench {

/// Thrown from a hook to end a replica's process at that point.
struct ProcessKilled {
  bool Torn_ = false;
};

/// One replica with what survives its process.
struct Replica {
  ReplicaId Id_;
  std::shared_ptr<MemoryDisk> Disk_;
  std::unique_ptr<consensus::ReplicatedLog> Log_;
  /// What the state machine has applied, in order.
  std::vector<std::string> Applied_;
  bool Frozen_ = false;
  /// Rate of the replica's clock, in thousandths of the true one.
  std::int64_t ClockPermille_ = 1000;
  std::uint64_t Starts_ = 0;
  /// When a killed process starts again, where it does.
  std::optional<TimePoint> RestartAt_;
};

/// A message under way.
struct RoutedBytes {
  ReplicaId From_;
  ReplicaId To_;
  std::string Bytes_;
};

struct LogClusterOptions {
  std::size_t Replicas_ = 3;
  std::uint64_t Seed_ = 1;
  std::size_t SnapshotEveryRecords_ = 10000;
  std::uint64_t MaxLogBytes_ = 0;
  std::size_t MaxBatchBytes_ = 256U << 10U;
  Duration Latency_ = std::chrono::milliseconds(1);
  /// Makes the state machine of a process that starts; without it the state is
  /// the sequence of commands alone.
  std::function<consensus::StateMachineHooks(ReplicaId)> Machine_;
  /// How long a killed process stays down.
  Duration RestartDelay_ = std::chrono::milliseconds(50);
};

class LogCluster {
public:
  explicit LogCluster(LogClusterOptions Options);

  TimePoint now() const { return Now_; }
  std::vector<Replica> &replicas() { return Replicas_; }
  Replica &replica(ReplicaId Id) { return Replicas_[Id.Value_ - 1]; }
  /// The live replica that leads in the highest term, or null.
  Replica *leader();

  /// Moves time by \p By and lets everything happen that is due.
  void run(Duration By);
  /// Runs until \p Done holds; returns false after \p Limit.
  bool runUntil(const std::function<bool()> &Done, Duration Limit);

  void start(ReplicaId Id);
  void kill(ReplicaId Id, bool Torn);
  /// Kills the replica and gives it an empty disk.
  void loseDisk(ReplicaId Id);
  void cut(ReplicaId From, ReplicaId To) { Cut_.insert({From, To}); }
  /// Cuts a replica off in both directions.
  void isolate(ReplicaId Id);
  void heal() { Cut_.clear(); }
  /// Runs \p Work as part of a replica's process, which a hook may kill.
  void within(Replica &Target, const std::function<void()> &Work);
  /// The time that a replica's own clock shows.
  TimePoint localNow(const Replica &Target) const;

  /// Returns the delays after which a message arrives, one per copy; the
  /// default is one copy after the latency.
  std::function<std::vector<Duration>(const RoutedBytes &)> Route_;
  /// Called before a message is handed over and after it.
  std::function<void(const RoutedBytes &, bool After)> OnReceive_;
  /// Called before a command is applied and after it.
  std::function<void(ReplicaId, std::string_view Command, bool After)> OnApply_;
  /// Called when a snapshot has been restored by a running process.
  std::function<void(ReplicaId, bool After)> OnRestore_;
  std::function<void(ReplicaId, DiskStep, bool After)> OnDisk_;
  /// Called after each step of time.
  std::function<void()> OnTime_;

private:
  consensus::ReplicatedLogOptions logOptions(Replica &Target);
  consensus::StateMachineHooks machine(Replica &Target);
  void send(RoutedBytes Value);
  void step();

  LogClusterOptions Options_;
  TimePoint Now_{std::chrono::seconds(1000)};
  std::vector<Replica> Replicas_;
  std::multimap<TimePoint, RoutedBytes> UnderWay_;
  std::set<std::pair<ReplicaId, ReplicaId>> Cut_;
  std::uint64_t NextStore_ = 1;
};

} // namespace dragonfly::bench

#endif // DRAGONFLY_BENCH_SUPPORT_LOGCLUSTER_H
