/// Decides whether a further job fits in the memory for jobs.
#ifndef DRAGONFLY_SRC_CONTROL_JOBMEMORY_H
#define DRAGONFLY_SRC_CONTROL_JOBMEMORY_H

#include "dragonfly/jobs/JobTable.h"

#include <cstddef>

namespace dragonfly::control {

class JobMemory {
public:
  /// \p MaxBytes is what all jobs may hold, or 0 where there is no bound.
  JobMemory(const jobs::JobTable &Table, std::size_t MaxBytes)
      : Table_(Table), MaxBytes_(MaxBytes) {}

  /// Returns whether a job of \p Bytes fits beside those that are accepted or
  /// proposed.
  bool hasRoomFor(std::size_t Bytes) const {
    return MaxBytes_ == 0 ||
           Table_.heldBytes() + ProposedBytes_ + Bytes <= MaxBytes_;
  }
  bool isScarce() const {
    constexpr std::size_t ScarceEighths = 7;
    return MaxBytes_ > 0 && Table_.heldBytes() > MaxBytes_ / 8 * ScarceEighths;
  }
  /// Counts a job that has been proposed, until it has an outcome.
  void addProposed(std::size_t Bytes) { ProposedBytes_ += Bytes; }
  void removeProposed(std::size_t Bytes) { ProposedBytes_ -= Bytes; }

private:
  const jobs::JobTable &Table_;
  std::size_t MaxBytes_;
  std::size_t ProposedBytes_ = 0;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_JOBMEMORY_H
