/// What clients saw of a replicated log, and the promises that it must keep.
#ifndef DRAGONFLY_TESTS_FAULTS_HISTORY_H
#define DRAGONFLY_TESTS_FAULTS_HISTORY_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/EnumTable.h"
#include "dragonfly/consensus/ReplicatedLog.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace dragonfly::faults {

enum class Promise : std::uint8_t {
  NothingLost,
  SameOrder,
  ExactlyOnce,
  RefusedNotRun,
  LinearizableEdits,
  LinearizableReads,
  OneLeader,
  OneLease,
  Progress,
  FaultStruck ///< The cell would prove nothing otherwise.
};

/// A promise that was broken, and by what.
struct Violation {
  Promise Promise_;
  std::string Detail_;
};

/// A proposal as its client saw it.
struct Proposal {
  std::string Command_;
  TimePoint Invoked_{};
  std::optional<TimePoint> Completed_;
  consensus::ProposeStatus Status_ = consensus::ProposeStatus::Unknown;
};

/// A read that was answered: how many commands it saw.
struct Read {
  TimePoint Invoked_{};
  TimePoint Completed_{};
  std::size_t Seen_ = 0;
};

class History {
public:
  /// Records that a replica has applied \p Command as number \p Position.
  void applied(std::size_t Position, const std::string &Command);
  /// Records a proposal; the reference stays valid.
  Proposal &propose(std::string Command, TimePoint Now);
  void read(const Read &Value) { Reads_.push_back(Value); }
  /// Records that a replica leads in \p InTerm, and whether it holds its lease.
  void leads(ReplicaId Id, Term InTerm, bool HoldsLease);
  void violated(Promise Broken, std::string Detail);

  /// Checks what can only be checked at the end; returns all violations.
  std::vector<Violation> check();
  std::size_t committed() const { return Order_.size(); }

private:
  void checkCommands();
  void checkEdits();
  void checkReads();

  /// The one order in which commands were applied.
  std::vector<std::string> Order_;
  std::map<std::string, std::size_t> Positions_;
  std::deque<Proposal> Proposals_;
  std::vector<Read> Reads_;
  std::map<Term, ReplicaId> Leaders_;
  std::vector<Violation> Violations_;
};

} // namespace dragonfly::faults

template <> struct dragonfly::EnumTable<dragonfly::faults::Promise> {
  using Promise = faults::Promise;
  static constexpr std::array<EnumName<Promise>, 10> Rows{{
      {Promise::NothingLost, "no accepted command is lost"},
      {Promise::SameOrder, "applied sequences are prefixes of each other"},
      {Promise::ExactlyOnce, "each command is applied at most once"},
      {Promise::RefusedNotRun, "what was refused was not applied"},
      {Promise::LinearizableEdits, "edits are linearizable"},
      {Promise::LinearizableReads, "reads are linearizable"},
      {Promise::OneLeader, "a term has one leader"},
      {Promise::OneLease, "no lease outlives a later leader's election"},
      {Promise::Progress, "the group works again after the repair"},
      {Promise::FaultStruck, "the fault struck"},
  }};
};

#endif // DRAGONFLY_TESTS_FAULTS_HISTORY_H
