#include "dragonfly/agent/Ledger.h"

#include <cassert>

namespace dragonfly::agent {

Ledger::Ledger(LedgerOptions Options) : Options_(Options) {}

Reason Ledger::takeSlot(bool Streamed) {
  if (BusySlots_ + Streams_ >= Options_.Connections_)
    return Reason::NoFreeSlot;
  if (!Streamed && BusySlots_ >= Options_.Slots_)
    return Reason::NoFreeSlot;
  (Streamed ? Streams_ : BusySlots_) += 1;
  return Reason::None;
}

void Ledger::releaseSlot(bool Streamed) {
  std::uint32_t &Count = Streamed ? Streams_ : BusySlots_;
  assert(Count > 0 && "a slot is released once");
  Count -= 1;
}

Reason Ledger::commit(TaskId Task, const Resources &Need) {
  if (Tasks_.contains(Task))
    return Reason::None;
  if (!Need.fitsIn(Options_.Capacity_))
    return Reason::NeverFits;
  if (!(Committed_ + Need).fitsIn(Options_.Capacity_))
    return Reason::NoFreeSlot;
  adopt(Task, Need);
  return Reason::None;
}

void Ledger::release(TaskId Task) {
  const auto It = Tasks_.find(Task);
  if (It == Tasks_.end())
    return;
  Committed_ -= It->second;
  Tasks_.erase(It);
}

void Ledger::adopt(TaskId Task, const Resources &Need) {
  if (Tasks_.emplace(Task, Need).second)
    Committed_ += Need;
}

} // namespace dragonfly::agent
