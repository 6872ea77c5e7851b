/// Quarantines workers on which tasks fail that succeed elsewhere.
#ifndef DRAGONFLY_SRC_DECIDE_QUARANTINE_H
#define DRAGONFLY_SRC_DECIDE_QUARANTINE_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Ids.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <vector>

namespace dragonfly::decide {

/// Failure record and quarantine of one worker. After a quarantine the worker
/// is on probation: it gets one task at a time until one finishes there.
class Quarantine {
public:
  /// Records the failure of a task on this worker. \p TaskIsSuspect says that
  /// the task failed on another worker too, so that this worker is not blamed.
  /// On probation one failure is enough for a quarantine. Returns true if a
  /// quarantine begins.
  bool recordFailure(TimePoint Now, TaskId Task, bool TaskIsSuspect) {
    if (isActive(Now))
      return false;
    if (OnProbation_ && !TaskIsSuspect)
      return begin(Now);
    if (TaskIsSuspect ||
        std::ranges::find(FailedTasks_, Task) != FailedTasks_.end())
      return false;
    FailedTasks_.push_back(Task);
    return FailedTasks_.size() >= FailuresToQuarantine && begin(Now);
  }

  /// Discards the failure of a task that turned out to fail on any worker.
  void forgetFailure(TaskId Task) { std::erase(FailedTasks_, Task); }

  /// Clears all failures and ends the probation.
  void recordSuccess() {
    FailedTasks_.clear();
    OnProbation_ = false;
    Doublings_ = 0;
  }

  bool isActive(TimePoint Now) const { return Now < EndsAt_; }
  bool onProbation() const { return OnProbation_; }
  TimePoint endsAt() const { return EndsAt_; }

private:
  /// Number of distinct tasks that must fail with no success in between.
  static constexpr std::size_t FailuresToQuarantine = 3;
  /// Doubles with each quarantine that no success separates from the last.
  static constexpr Duration FirstQuarantine = std::chrono::seconds(30);
  static constexpr std::uint32_t MaxDoublings = 6;

  bool begin(TimePoint Now) {
    EndsAt_ = Now + FirstQuarantine * (1U << Doublings_);
    Doublings_ = std::min(Doublings_ + 1, MaxDoublings);
    OnProbation_ = true;
    FailedTasks_.clear();
    return true;
  }

  std::vector<TaskId> FailedTasks_;
  TimePoint EndsAt_{};
  std::uint32_t Doublings_ = 0;
  bool OnProbation_ = false;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_QUARANTINE_H
