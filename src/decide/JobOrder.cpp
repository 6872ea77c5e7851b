#include "dragonfly/decide/JobOrder.h"

#include <algorithm>

namespace dragonfly::decide {
namespace {

/// A job is worth something up to this many times its objective.
constexpr std::int64_t LateFactor = 3;

} // namespace

JobRank rankJob(const JobOutlook &Job) {
  JobRank Rank{.Priority_ = Job.Priority_,
               .RemainingWork_ = Job.RemainingWork_,
               .Sequence_ = Job.Sequence_};
  if (Job.LongRunning_) {
    Rank.Group_ = JobRank::Group::LongRunning;
    Rank.RemainingWork_ = 0;
    return Rank;
  }
  const Duration EndsAt = Job.Age_ + Job.RemainingCriticalPath_;
  if (EndsAt > LateFactor * Job.LatencyObjective_)
    Rank.Group_ = JobRank::Group::TooLate;
  else if (EndsAt > Job.LatencyObjective_)
    Rank.Group_ = JobRank::Group::Late;
  return Rank;
}

Duration criticalPathLength(std::span<const CriticalPathStep> Steps) {
  std::vector<Duration> EndsAt(Steps.size());
  Duration Longest{};
  for (std::size_t Index = 0; Index < Steps.size(); ++Index) {
    Duration Begin{};
    for (const std::uint32_t Earlier : Steps[Index].DependsOn_)
      Begin = std::max(Begin, EndsAt[Earlier]);
    EndsAt[Index] = Begin + Steps[Index].Length_;
    Longest = std::max(Longest, EndsAt[Index]);
  }
  return Longest;
}

} // namespace dragonfly::decide
