/// How long the runs on a worker may go on: what control allows, told to the
/// worker on the worker's own clock.
#ifndef DRAGONFLY_AGENT_WORKERLEASE_H
#define DRAGONFLY_AGENT_WORKERLEASE_H

#include "dragonfly/agent/WorkerCalls.h"
#include "dragonfly/base/Clock.h"
#include "dragonfly/wire/JobMessages.h"

#include <chrono>
#include <cstdint>

namespace dragonfly::agent {

struct WorkerLeaseOptions {
  /// Bound on how much slower the worker's clock may run, in thousandths. The
  /// platform allows 2%.
  std::uint32_t DriftPermille_ = 25;
  /// Added before runs are taken for ended: workers look at their clock now
  /// and then.
  Duration LapseMargin_ = std::chrono::milliseconds(200);
  /// Bound on what control lets an agent grant at once.
  Duration MaxTerm_ = wire::MaxWorkerLeaseTerm;
};

/// The lease of one life of a worker.
class WorkerLease {
public:
  /// \p ProcessStart is when this process of the agent began: an earlier one
  /// may have granted the worker a whole term just before.
  explicit WorkerLease(WorkerLeaseOptions Options = {},
                       TimePoint ProcessStart = {})
      : Options_(Options), GrantedUntil_(ProcessStart + Options.MaxTerm_) {}

  /// Control lets runs go on for \p Term from \p ReportedAt.
  void renewed(TimePoint ReportedAt, Duration Term);
  /// The worker's clock showed \p Clock no later than \p Now.
  void clockRead(TimePoint Now, WorkerTime Clock);
  /// A worker that does not answer is granted nothing more, so that its runs
  /// are known to end.
  void setSilent(bool Silent) { Silent_ = Silent; }
  /// Nothing more is granted until `reopen()`.
  void close() { Closed_ = true; }
  void reopen() { Closed_ = false; }

  /// Returns the lease to name in a call that leaves now, or zero where none
  /// may be named. What is returned counts as granted.
  WorkerTime grant(TimePoint Now);
  /// True once no lease that was granted can run any more, whichever process of
  /// the agent granted it.
  bool isOver(TimePoint Now) const;
  /// Whether the worker may still hold a lease that this process granted, or
  /// that an earlier one may have granted.
  bool isRunning(TimePoint Now) const { return Now < GrantedUntil_; }
  /// How long runs may go on from \p Now.
  Duration left(TimePoint Now) const { return Until_ - Now; }
  bool knowsClock() const { return ClockKnown_; }

private:
  WorkerLeaseOptions Options_;
  TimePoint Until_;
  TimePoint GrantedUntil_;
  bool ClockKnown_ = false;
  WorkerTime Clock_{};
  TimePoint ClockReadAt_;
  bool Silent_ = false;
  bool Closed_ = false;
};

} // namespace dragonfly::agent

#endif // DRAGONFLY_AGENT_WORKERLEASE_H
