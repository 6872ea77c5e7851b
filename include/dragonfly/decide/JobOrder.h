/// Decides which jobs' tasks are placed first.
#ifndef DRAGONFLY_DECIDE_JOBORDER_H
#define DRAGONFLY_DECIDE_JOBORDER_H

#include "dragonfly/base/Clock.h"

#include <compare>
#include <cstdint>
#include <span>
#include <vector>

namespace dragonfly::decide {

/// How a job stands.
struct JobOutlook {
  std::uint32_t Priority_ = 0;
  bool LongRunning_ = false;
  /// Order of acceptance.
  std::uint64_t Sequence_ = 0;
  /// Since the job was accepted.
  Duration Age_{};
  /// Within this the job is on time; it has some worth up to three times this.
  Duration LatencyObjective_{};
  /// The longest chain of work that is left, run without waiting.
  Duration RemainingCriticalPath_{};
  /// Processor time that is left, in seconds.
  double RemainingWork_ = 0;
};

/// Jobs that can still be on time come first, then those that can be late. Jobs
/// that run until they are cancelled take what these leave: they hold a
/// processor for as long as a hundred short tasks, and lose little by waiting
/// for a second. Inside a group the job with the least work left comes first,
/// which finishes the most jobs in time where not all can be.
struct JobRank {
  enum class Group : std::uint8_t { OnTime, Late, LongRunning, TooLate };

  std::uint32_t Priority_ = 0;
  Group Group_ = Group::OnTime;
  double RemainingWork_ = 0;
  std::uint64_t Sequence_ = 0;

  auto operator<=>(const JobRank &) const = default;
};

JobRank rankJob(const JobOutlook &Job);

/// One step of a job, for the length of its chain.
struct CriticalPathStep {
  /// Numbers of earlier steps.
  std::span<const std::uint32_t> DependsOn_;
  Duration Length_{};
};

/// Returns the length of the longest chain of steps.
Duration criticalPathLength(std::span<const CriticalPathStep> Steps);

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_JOBORDER_H
