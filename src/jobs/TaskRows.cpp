#include "dragonfly/jobs/TaskRows.h"

#include "dragonfly/base/HeldBytes.h"

#include <algorithm>
#include <utility>

namespace dragonfly::jobs {
namespace {

std::size_t rowBytes(const TaskRow &Row) {
  return nodeBytes(sizeof(std::pair<const std::uint32_t, TaskRow>)) +
         heldBytes(Row.Worker_) + heldBytes(Row.Checkpoint_);
}

} // namespace

const TaskRow &TaskRows::operator[](std::uint32_t Index) const {
  static const TaskRow New;
  static const TaskRow Ended{.Phase_ = TaskPhase::Finished, .Run_ = 1};
  if (isFinished(Index))
    return Ended;
  const auto It = Begun_.find(Index);
  return It == Begun_.end() ? New : It->second;
}

void TaskRows::set(std::uint32_t Index, TaskRow Row) {
  if (const auto Before = Begun_.extract(Index))
    BegunBytes_ -= rowBytes(Before.mapped());
  if (Row.Phase_ == TaskPhase::Finished) {
    if (Index >= Finished_.size())
      Finished_.resize(Index + 1);
    Finished_[Index] = true;
    return;
  }
  BegunBytes_ += rowBytes(Begun_[Index] = std::move(Row));
}

std::optional<std::uint32_t> TaskRows::nextWaiting(std::uint32_t From) const {
  auto Row = Begun_.lower_bound(From);
  for (std::uint32_t Index = From; Index < Count_; ++Index) {
    if (isFinished(Index))
      continue;
    if (Row == Begun_.end() || Row->first != Index ||
        Row->second.Phase_ == TaskPhase::Waiting)
      return Index;
    ++Row;
  }
  return std::nullopt;
}

std::size_t TaskRows::heldBytes() const {
  constexpr std::size_t BitsPerByte = 8;
  return BegunBytes_ + allocatedBytes(Finished_.capacity() / BitsPerByte);
}

std::uint32_t TaskRows::knownTasks() const {
  const std::uint32_t LastBegun =
      Begun_.empty() ? 0 : Begun_.rbegin()->first + 1;
  return std::max(LastBegun, static_cast<std::uint32_t>(Finished_.size()));
}

} // namespace dragonfly::jobs
