#include "dragonfly/decide/JobOrder.h"

#include <algorithm>

namespace dragonfly::decide {
namespace {

/// The result of a job is of use up to this multiple of its latency objective.
constexpr std::int64_t UsefulTimeFactor = 3;

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
  const Duration ExpectedTime = Job.Age_ + Job.RemainingCriticalPath_;
  if (ExpectedTime > UsefulTimeFactor * Job.LatencyObjective_)
    Rank.Group_ = JobRank::Group::TooLate;
  else if (ExpectedTime > Job.LatencyObjective_)
    Rank.Group_ = JobRank::Group::Late;
  return Rank;
}

Duration criticalPathLength(std::span<const CriticalPathStep> Steps) {
  std::vector<Duration> EndsAt(Steps.size());
  Duration Longest{};
  for (std::size_t Index = 0; Index < Steps.size(); ++Index) {
    Duration Begin{};
    for (const std::uint32_t Dependency : Steps[Index].DependsOn_)
      Begin = std::max(Begin, EndsAt[Dependency]);
    EndsAt[Index] = Begin + Steps[Index].Length_;
    Longest = std::max(Longest, EndsAt[Index]);
  }
  return Longest;
}

} // namespace dragonfly::decide
