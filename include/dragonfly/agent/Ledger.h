/// What one VM has and what of it is committed. The agent alone commits its
/// VM, and only through this ledger.
#ifndef DRAGONFLY_AGENT_LEDGER_H
#define DRAGONFLY_AGENT_LEDGER_H

#include "dragonfly/base/Ids.h"
#include "dragonfly/base/Outcome.h"
#include "dragonfly/base/Resources.h"

#include <cstddef>
#include <cstdint>
#include <unordered_map>

namespace dragonfly::agent {

struct LedgerOptions {
  Resources Capacity_;
  /// Requests that the upstream runs at once.
  std::uint32_t Slots_ = 8;
  /// Connections that the upstream takes; long answers hold one each.
  std::uint32_t Connections_ = 64;
};

/// The ledger of one VM. It never commits beyond capacity.
class Ledger {
public:
  explicit Ledger(LedgerOptions Options);

  /// Takes one slot, or a connection only where \p Streamed. Returns None, or
  /// NoFreeSlot with nothing taken.
  Reason takeSlot(bool Streamed);
  void releaseSlot(bool Streamed);

  /// Commits \p Need to \p Task. Returns None; NeverFits where the whole VM is
  /// too small; NoFreeSlot where it does not fit now. A task that is committed
  /// already keeps what it has.
  Reason commit(TaskId Task, const Resources &Need);
  /// Frees what \p Task held, if anything.
  void release(TaskId Task);

  /// Records a task found running after a restart, even where the sum then
  /// exceeds capacity; nothing more is committed until it fits again.
  void adopt(TaskId Task, const Resources &Need);

  const Resources &capacity() const { return Options_.Capacity_; }
  const Resources &committed() const { return Committed_; }
  std::uint32_t slots() const { return Options_.Slots_; }
  std::uint32_t freeSlots() const { return Options_.Slots_ - BusySlots_; }
  std::size_t tasks() const { return Tasks_.size(); }

private:
  LedgerOptions Options_;
  Resources Committed_;
  std::uint32_t BusySlots_ = 0;
  std::uint32_t Streams_ = 0;
  std::unordered_map<TaskId, Resources> Tasks_;
};

} // namespace dragonfly::agent

#endif // DRAGONFLY_AGENT_LEDGER_H
