/// Rows and columns of the consensus fault matrix.
#ifndef DRAGONFLY_TESTS_FAULTS_FAULTTABLE_H
#define DRAGONFLY_TESTS_FAULTS_FAULTTABLE_H

#include "dragonfly/base/EnumTable.h"

#include <array>
#include <cstdint>
#include <string_view>

namespace dragonfly::faults {

/// The step at which a fault strikes.
enum class Step : std::uint8_t {
  Append,
  Sync,
  Vote,   ///< A term or vote is saved.
  Commit, ///< A leader takes an acknowledgement.
  Apply,
  Snapshot,
  Install,
  MembershipChange,
  Read
};

enum class Fault : std::uint8_t {
  KilledBefore,
  KilledAfter,
  FrozenPastLease,
  MessageLost,
  MessageDoubled,
  MessageDelayed, ///< Until after the next leader's election.
  OneWayCut,
  TwoWayCut,
  DiskLost,
  SyncFailed,
  DiskFull, ///< For a while; the process must stay up.
  TornWrite,
  ClockFast, ///< By 2%, and the leader is cut off.
  ClockSlow,
  SecondFault, ///< Another replica fails while the first is being repaired.
  SameFaultTwice
};

/// A cell that cannot occur, and why.
struct ImpossibleCell {
  Step Step_;
  Fault Fault_;
  std::string_view Why_;
};

inline constexpr std::array<ImpossibleCell, 4> ImpossibleCells{{
    {Step::Read, Fault::TornWrite, "a read writes nothing"},
    {Step::Vote, Fault::TornWrite,
     "term and vote are replaced by a rename; see FileStorageTest"},
    {Step::Snapshot, Fault::TornWrite,
     "a snapshot is replaced by a rename; see FileStorageTest"},
    {Step::Install, Fault::TornWrite,
     "a snapshot is replaced by a rename; see FileStorageTest"},
}};

} // namespace dragonfly::faults

namespace dragonfly {

template <> struct EnumTable<faults::Step> {
  using Step = faults::Step;
  static constexpr std::array<EnumName<Step>, 9> Rows{{
      {Step::Append, "append"},
      {Step::Sync, "sync"},
      {Step::Vote, "vote"},
      {Step::Commit, "commit"},
      {Step::Apply, "apply"},
      {Step::Snapshot, "snapshot"},
      {Step::Install, "install"},
      {Step::MembershipChange, "membership change"},
      {Step::Read, "read"},
  }};
};

template <> struct EnumTable<faults::Fault> {
  using Fault = faults::Fault;
  static constexpr std::array<EnumName<Fault>, 16> Rows{{
      {Fault::KilledBefore, "killed before"},
      {Fault::KilledAfter, "killed after"},
      {Fault::FrozenPastLease, "frozen past the lease"},
      {Fault::MessageLost, "message lost"},
      {Fault::MessageDoubled, "message doubled"},
      {Fault::MessageDelayed, "message delayed past the next leader"},
      {Fault::OneWayCut, "one-way cut"},
      {Fault::TwoWayCut, "two-way cut"},
      {Fault::DiskLost, "disk lost"},
      {Fault::SyncFailed, "sync failed"},
      {Fault::DiskFull, "disk full"},
      {Fault::TornWrite, "torn write"},
      {Fault::ClockFast, "clock 2% fast"},
      {Fault::ClockSlow, "clock 2% slow"},
      {Fault::SecondFault, "second fault during the repair"},
      {Fault::SameFaultTwice, "same fault twice"},
  }};
};

} // namespace dragonfly

#endif // DRAGONFLY_TESTS_FAULTS_FAULTTABLE_H
