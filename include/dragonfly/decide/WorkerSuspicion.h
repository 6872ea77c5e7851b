/// Detects workers whose runs fail or stall.
#ifndef DRAGONFLY_DECIDE_WORKERSUSPICION_H
#define DRAGONFLY_DECIDE_WORKERSUSPICION_H

#include "dragonfly/base/Clock.h"

#include <chrono>
#include <map>
#include <string>

namespace dragonfly::decide {

struct WorkerSuspicionOptions {
  /// A worker becomes suspect when its score reaches the first threshold and is
  /// cleared when the score falls below the second. On healthy workers one run
  /// in fifty fails, so three failures in a row are not due to chance.
  double SuspectThreshold_ = 2.5;
  double ClearThreshold_ = 1.0;
  /// Reduction of the score by each finished run; a failed one adds 1.
  double SuccessCredit_ = 0.5;
  /// Half-life of the score, so that a worker is tried again a few seconds
  /// after its last failure.
  Duration HalfLife_ = std::chrono::milliseconds(3000);
};

/// Keeps a failure score per worker that decays exponentially.
class WorkerSuspicion {
public:
  explicit WorkerSuspicion(WorkerSuspicionOptions Options = {})
      : Options_(Options) {}

  void recordSuccess(TimePoint Now, const std::string &Worker);
  /// Records a failed or stalled run. Only the first failure of a task should
  /// be recorded, because a task that fails again on another worker is itself
  /// the cause.
  void recordFailure(TimePoint Now, const std::string &Worker);
  bool isSuspect(TimePoint Now, const std::string &Worker);
  void removeWorker(const std::string &Worker) { Rows_.erase(Worker); }

private:
  struct Row {
    double Score_ = 0;
    TimePoint UpdatedAt_;
    bool Suspect_ = false;
  };

  /// Decays the score of \p Worker up to \p Now and updates its state.
  Row &updatedRow(TimePoint Now, const std::string &Worker);

  WorkerSuspicionOptions Options_;
  std::map<std::string, Row> Rows_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_WORKERSUSPICION_H
