/// Orders jobs for the placement of their tasks.
#ifndef DRAGONFLY_DECIDE_JOBORDER_H
#define DRAGONFLY_DECIDE_JOBORDER_H

#include "dragonfly/base/Clock.h"

#include <compare>
#include <cstdint>
#include <span>
#include <vector>

namespace dragonfly::decide {

/// State of a job that its rank depends on.
struct JobOutlook {
  /// Lower is more urgent.
  std::uint32_t Priority_ = 0;
  /// The job runs until it is cancelled.
  bool LongRunning_ = false;
  /// Position in the order of acceptance.
  std::uint64_t Sequence_ = 0;
  /// Time since the job was accepted.
  Duration Age_{};
  /// The job is on time if it ends within this time after its acceptance; its
  /// result is of use for up to three times as long.
  Duration LatencyObjective_{};
  /// Length of the critical path of the remaining steps, without waiting times.
  Duration RemainingCriticalPath_{};
  /// Remaining work in processor seconds.
  double RemainingWork_ = 0;
};

/// Sort key of a job; the lowest is placed first. Within a priority, jobs that
/// can still be on time come first, then those that can be late. Long-running
/// jobs follow: they hold a processor for as long as a hundred short tasks and
/// lose little by waiting for a second. Within a group, the job with the least
/// remaining work comes first, so that the most jobs finish on time when not
/// all can.
struct JobRank {
  /// By the time at which the job can end; `TooLate` is after three times its
  /// latency objective.
  enum class Group : std::uint8_t { OnTime, Late, LongRunning, TooLate };

  std::uint32_t Priority_ = 0;
  Group Group_ = Group::OnTime;
  double RemainingWork_ = 0;
  std::uint64_t Sequence_ = 0;

  auto operator<=>(const JobRank &) const = default;
};

JobRank rankJob(const JobOutlook &Job);

/// One step of a job, as input of `criticalPathLength`.
struct CriticalPathStep {
  /// Indexes of the steps that must end before; all lower than the step's own.
  std::span<const std::uint32_t> DependsOn_;
  Duration Length_{};
};

/// Returns the length of the longest chain of steps that depend on each other.
Duration criticalPathLength(std::span<const CriticalPathStep> Steps);

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_JOBORDER_H
