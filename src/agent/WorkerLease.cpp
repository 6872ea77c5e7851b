#include "dragonfly/agent/WorkerLease.h"

#include <algorithm>

namespace dragonfly::agent {

void WorkerLease::renewed(TimePoint ReportedAt, Duration Term) {
  Until_ = std::max(Until_, ReportedAt + std::min(Term, Options_.MaxTerm_));
}

void WorkerLease::clockRead(TimePoint Now, WorkerTime Clock) {
  Clock_ = Clock;
  ClockReadAt_ = Now;
  ClockKnown_ = true;
}

WorkerTime WorkerLease::grant(TimePoint Now) {
  if (!ClockKnown_ || Silent_ || Closed_ || Until_ <= Now)
    return WorkerTime::zero();
  GrantedUntil_ = std::max(GrantedUntil_, Until_);
  // The worker's clock has reached the result when ours is at Until_.
  const Duration Left = Until_ - ClockReadAt_;
  return Clock_ + std::chrono::duration_cast<WorkerTime>(
                      Left - Left * Options_.DriftPermille_ / 1000);
}

bool WorkerLease::isOver(TimePoint Now) const {
  return Now >= GrantedUntil_ + Options_.LapseMargin_;
}

} // namespace dragonfly::agent
