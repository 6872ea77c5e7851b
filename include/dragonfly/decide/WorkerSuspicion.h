/// Tells workers that fail or stall what they run from sound ones.
#ifndef DRAGONFLY_DECIDE_WORKERSUSPICION_H
#define DRAGONFLY_DECIDE_WORKERSUSPICION_H

#include "dragonfly/base/Clock.h"

#include <chrono>
#include <map>
#include <string>

namespace dragonfly::decide {

struct WorkerSuspicionOptions {
  /// A worker is suspect from this score on, and until it is below the second.
  /// One in fifty runs fails on sound workers; three in a row are no chance.
  double SuspectThreshold_ = 2.5;
  double ClearThreshold_ = 1.0;
  /// What a run that finishes takes off the score.
  double SuccessCredit_ = 0.5;
  /// The score halves within this time, so that a worker is tried again a few
  /// seconds after its last failure.
  Duration HalfLife_ = std::chrono::milliseconds(3000);
};

class WorkerSuspicion {
public:
  explicit WorkerSuspicion(WorkerSuspicionOptions Options = {})
      : Options_(Options) {}

  void recordSuccess(TimePoint Now, const std::string &Worker);
  /// A run failed or stood still. Only a task's first failure should be told: a
  /// task that fails again elsewhere is to blame itself.
  void recordFailure(TimePoint Now, const std::string &Worker);
  bool isSuspect(TimePoint Now, const std::string &Worker);
  void removeWorker(const std::string &Worker) { Rows_.erase(Worker); }

private:
  struct Row {
    double Score_ = 0;
    TimePoint At_;
    bool Suspect_ = false;
  };

  Row &decayed(TimePoint Now, const std::string &Worker);

  WorkerSuspicionOptions Options_;
  std::map<std::string, Row> Rows_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_WORKERSUSPICION_H
