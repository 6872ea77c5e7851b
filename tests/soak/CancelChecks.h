/// What holds of cancels: their answers, and starts and runs after them.
#ifndef DRAGONFLY_TESTS_SOAK_CANCELCHECKS_H
#define DRAGONFLY_TESTS_SOAK_CANCELCHECKS_H

#include "dragonfly/base/Clock.h"
#include "soak/Calm.h"
#include "soak/TaskId.h"

#include <cstddef>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::soak {

class CancelChecks {
public:
  using Breaker =
      std::function<void(const std::string &Promise, const std::string &What)>;

  CancelChecks(const Calm &Quiet, Breaker Break)
      : Quiet_(Quiet), Break_(std::move(Break)) {}

  /// A cancel of the job is sent for the first time, maybe before the job.
  void sent(const std::string &Job);
  /// A cancel was answered; \p HasEnded where all tasks were done by then.
  void answered(const std::string &Job, bool HasEnded);
  bool isSent(const std::string &Job) const { return Rows_.contains(Job); }
  /// Jobs whose cancel was answered.
  std::vector<std::string> jobs() const;
  /// The state \p State is shown to a caller that asked at \p AskedAt.
  void shown(const std::string &Job, const std::string &State,
             TimePoint AskedAt);

  /// Worker \p Place starts the task; \p IsLate where it was told long before.
  void starts(const TaskId &Task, std::size_t Place, bool IsLate);
  void ends(const TaskId &Task, std::size_t Place);
  void observe(TimePoint Now);
  /// True while a cancel has no answer or has left something running.
  bool isOpen() const;
  /// Cancels that were answered, and starts of their jobs after that.
  std::pair<std::size_t, std::size_t> counts() const;

private:
  struct Row {
    TimePoint SentAt_;
    /// When it was answered, or should have been.
    std::optional<TimePoint> CountsFrom_;
    bool IsAnswered_ = false;
    bool HasEnded_ = false;
    bool IsShownOtherwise_ = false;
  };
  struct Run {
    TimePoint StartedAt_;
    bool IsLate_ = false;
    bool IsReported_ = false;
  };

  /// The row of a cancel that counts; otherwise null.
  const Row *find(const std::string &Job) const;
  /// A time after a cancel, for what is broken.
  std::string after(const Row &Cancel) const;

  const Calm &Quiet_;
  Breaker Break_;
  std::map<std::string, Row> Rows_;
  std::map<std::pair<TaskId, std::size_t>, Run> Runs_;
  std::size_t StartsAfter_ = 0;
};

} // namespace dragonfly::soak

#endif // DRAGONFLY_TESTS_SOAK_CANCELCHECKS_H
