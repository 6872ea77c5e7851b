/// Tells workers that fail their tasks from tasks that fail on any worker.
#ifndef DRAGONFLY_SRC_DECIDE_QUARANTINE_H
#define DRAGONFLY_SRC_DECIDE_QUARANTINE_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Ids.h"

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <vector>

namespace dragonfly::decide {

/// What is held against one worker. After its quarantine it gets one task at a
/// time until one has finished there.
class WorkerRecord {
public:
  /// Takes a failure there. \p JobIsSuspect is true where the task failed on
  /// another worker too. Returns true where the worker is now quarantined.
  bool failed(TimePoint Now, TaskId Task, bool JobIsSuspect) {
    if (isQuarantined(Now))
      return false;
    if (OnProbation_ && !JobIsSuspect)
      return quarantine(Now);
    if (JobIsSuspect || std::ranges::find(Failed_, Task) != Failed_.end())
      return false;
    Failed_.push_back(Task);
    return Failed_.size() >= FailuresToQuarantine && quarantine(Now);
  }

  /// Takes back the blame for a task that turned out to fail anywhere.
  void absolve(TaskId Task) { std::erase(Failed_, Task); }

  void finished() {
    Failed_.clear();
    OnProbation_ = false;
    Quarantines_ = 0;
  }

  bool isQuarantined(TimePoint Now) const { return Now < Until_; }
  bool onProbation() const { return OnProbation_; }
  TimePoint until() const { return Until_; }

private:
  /// Distinct tasks in a row that must fail.
  static constexpr std::size_t FailuresToQuarantine = 3;
  static constexpr Duration FirstQuarantine = std::chrono::seconds(30);
  static constexpr std::uint32_t MaxDoublings = 6;

  bool quarantine(TimePoint Now) {
    Until_ = Now + FirstQuarantine * (1U << Quarantines_);
    Quarantines_ = std::min(Quarantines_ + 1, MaxDoublings);
    OnProbation_ = true;
    Failed_.clear();
    return true;
  }

  std::vector<TaskId> Failed_;
  TimePoint Until_{};
  std::uint32_t Quarantines_ = 0;
  bool OnProbation_ = false;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_QUARANTINE_H
