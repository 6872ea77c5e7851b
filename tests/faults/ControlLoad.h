/// Clients of control's state machine: operators who race each other, entries
/// that claim and count requests, and a scheduler with its workers. Each
/// resends what was not answered, and checks what it is told.
#ifndef DRAGONFLY_TESTS_FAULTS_CONTROLLOAD_H
#define DRAGONFLY_TESTS_FAULTS_CONTROLLOAD_H

#include "dragonfly/control/StateMachine.h"
#include "faults/ConsensusScenario.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace dragonfly::faults {

/// Promises of the state machine's clients.
enum class ControlPromise : std::uint8_t {
  OneWinnerPerVersion,
  SameAnswerToResend,
  LinearizableLists,
  ClaimedOnce,
  CountedOnce,
  TaskKept,
  ResumedOnce,
  SameStateEverywhere,
  LoadRan ///< The run would prove nothing otherwise.
};

struct ControlViolation {
  ControlPromise Promise_;
  std::string Detail_;
};

class ControlLoad {
public:
  /// Clients and choices follow from \p Seed.
  explicit ControlLoad(std::uint64_t Seed);

  /// Hooks for a scenario; a fault at apply strikes at commands whose body has
  /// the number \p Body in control::CommandBody.
  ScenarioHooks hooks(std::size_t Body);
  void attach(ConsensusScenario &Scenario) { Scenario_ = &Scenario; }
  /// Lets everything under way end, and checks the final state.
  std::vector<ControlViolation> finish();

private:
  /// One change that is sent until it has been answered.
  struct Call {
    control::CommandBody Body_;
    std::function<void(const control::CommandOutput &)> OnOutput_;
    /// Earliest time to send it.
    TimePoint NotBefore_ = TimePoint::min();
    TimePoint SentAt_ = TimePoint::min();
    bool UnderWay_ = false;
    bool Done_ = false;
  };
  struct Edit {
    TimePoint Invoked_{};
    TimePoint Completed_{};
    ListVersion Expected_;
    bool Done_ = false;
    control::PutOutcome Outcome_;
  };
  struct ClaimedRequest {
    std::set<Incarnation> Granted_;
  };

  void step();
  void send(const std::shared_ptr<Call> &Value);
  void submit(control::CommandBody Body,
              std::function<void(const control::CommandOutput &)> OnOutput,
              Duration Delay = {});
  void edit(std::uint64_t Operator);
  void edited(std::uint64_t Operator, const std::string &ChangeId,
              const control::PutOutcome &Result);
  void claim();
  void claimed(const wire::RequestKey &Key, Incarnation Claimant,
               const control::ClaimOutcome &Result);
  void acceptTask();
  void schedule();
  void advance(const control::TaskRecord &Task);
  void checkEdits();
  void checkState();
  void violated(ControlPromise Broken, std::string Detail);
  const control::StateMachine *leaderMachine();

  RandomEngine Random_;
  ConsensusScenario *Scenario_ = nullptr;
  std::map<ReplicaId, std::unique_ptr<control::StateMachine>> Machines_;
  std::vector<std::shared_ptr<Call>> Calls_;
  std::map<std::string, Edit> Edits_;
  std::map<std::uint64_t, ListVersion> KnownVersions_;
  std::set<std::uint64_t> Editing_;
  std::map<std::string, ClaimedRequest> Claims_;
  std::map<std::string, TaskId> Tasks_;
  std::set<std::string> Scheduled_;
  std::vector<ControlViolation> Violations_;
  std::uint64_t Numbers_ = 0;
  std::uint64_t Steps_ = 0;
  bool Finishing_ = false;
};

} // namespace dragonfly::faults

template <> struct dragonfly::EnumTable<dragonfly::faults::ControlPromise> {
  using ControlPromise = faults::ControlPromise;
  static constexpr std::array<EnumName<ControlPromise>, 9> Rows{{
      {ControlPromise::OneWinnerPerVersion, "racers have one winner"},
      {ControlPromise::SameAnswerToResend, "a resend finds the first outcome"},
      {ControlPromise::LinearizableLists, "list edits are linearizable"},
      {ControlPromise::ClaimedOnce, "a request is granted to one claimant"},
      {ControlPromise::CountedOnce, "counts equal completions"},
      {ControlPromise::TaskKept, "an accepted task is not lost"},
      {ControlPromise::ResumedOnce, "an evicted task resumes exactly once"},
      {ControlPromise::SameStateEverywhere, "replicas hold the same state"},
      {ControlPromise::LoadRan, "the load ran"},
  }};
};

#endif // DRAGONFLY_TESTS_FAULTS_CONTROLLOAD_H
