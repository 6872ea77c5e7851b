/// Runs one cell of the consensus fault matrix: load, the step that is waited
/// for, the fault, the repair, and the check of what clients saw.
#ifndef DRAGONFLY_TESTS_FAULTS_CONSENSUSSCENARIO_H
#define DRAGONFLY_TESTS_FAULTS_CONSENSUSSCENARIO_H

#include "faults/FaultTable.h"
#include "faults/History.h"
#include "support/LogCluster.h"

#include <cstdint>
#include <optional>
#include <vector>

namespace dragonfly::faults {

/// What a scenario runs on top of the log; the default is commands and reads
/// that say nothing but their number.
struct ScenarioHooks {
  std::function<consensus::StateMachineHooks(ReplicaId)> Machine_;
  /// Called at each step of time in place of the default load.
  std::function<void()> Load_;
  /// Tells at which commands a fault at apply may strike.
  std::function<bool(std::string_view Command)> StrikesAt_;
  std::size_t SnapshotEveryRecords_ = 25;
  /// Leaders hand over again and again, and go on running.
  bool HandsOver_ = false;
};

class ConsensusScenario {
public:
  ConsensusScenario(Step AtStep, Fault Kind, std::uint64_t Seed,
                    ScenarioHooks Hooks = {});

  /// Runs the cell and returns the promises that it found broken.
  std::vector<Violation> run();

  bench::LogCluster &group() { return Group_; }
  History &history() { return History_; }
  /// Lets operators replace each lost folder and the load go on until the
  /// group is whole again.
  void repair();

private:
  void observe();
  void onStep(ReplicaId Id, Step Reached, bool After);
  void strike(ReplicaId Id, bool After);
  void strikeLater(ReplicaId Id);
  void cutFor(ReplicaId Id, bool Outgoing, bool Incoming);
  std::vector<Duration> route(const bench::RoutedBytes &Value);
  void provoke();
  void onTime();
  void load();
  void readAt(bench::Replica &Target);
  void operate();
  bool isWhole();

  ScenarioHooks Hooks_;
  Step Step_;
  Fault Fault_;
  std::uint64_t Seed_;
  RandomEngine Random_;
  bench::LogCluster Group_;
  History History_;

  bool Armed_ = false;
  /// Occurrences of the step that pass before the fault strikes.
  std::uint64_t Skip_ = 0;
  std::uint32_t StrikesLeft_ = 1;
  std::optional<ReplicaId> Struck_;
  std::optional<ReplicaId> LoseDiskOf_;
  std::optional<ReplicaId> FailSyncOf_;
  std::optional<ReplicaId> FullDiskOf_;
  std::optional<ReplicaId> SecondAt_;
  std::optional<TimePoint> EndsAt_;
  std::uint32_t SpecialMessages_ = 0;
  std::uint64_t Commands_ = 0;
  std::uint64_t Steps_ = 0;
};

} // namespace dragonfly::faults

#endif // DRAGONFLY_TESTS_FAULTS_CONSENSUSSCENARIO_H
