/// Keeps workers that have just been given a suspect task free of other starts,
/// so that a crash leaves no doubt about its cause.
#ifndef DRAGONFLY_DECIDE_WORKERPROBATION_H
#define DRAGONFLY_DECIDE_WORKERPROBATION_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/decide/JobPlacement.h"

#include <chrono>
#include <cstddef>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace dragonfly::decide {

struct WorkerProbationOptions {
  /// How long a worker is closed after a suspect task was placed there.
  Duration ClosedTime_ = std::chrono::milliseconds(450);
  /// At most one in this many workers of a service is closed at a time, but
  /// at least one may be.
  std::size_t WorkersPerClosed_ = 3;
  /// How long a task that is suspected of two crashes waits for a worker that
  /// may be closed. After one crash it does not wait, after more without limit.
  Duration MaxWait_ = std::chrono::milliseconds(1000);
};

/// Workers that are closed to starts. Only the leader holds it: a new leader
/// begins without.
class WorkerProbation {
public:
  explicit WorkerProbation(WorkerProbationOptions Options = {})
      : Options_(Options) {}

  void clear() { ClosedUntil_.clear(); }
  /// Closes \p Worker, which is given a suspect task.
  void close(TimePoint Now, const std::string &Worker);
  bool isClosed(TimePoint Now, const std::string &Worker) const;
  /// Returns whether another worker of \p Service may be closed.
  bool mayClose(const std::vector<PlacementWorker> &Workers,
                std::string_view Service) const;
  /// Returns whether a task that is suspected of \p Crashes crashes and has
  /// waited for \p Waited goes on waiting for a worker that may be closed.
  bool mustWait(std::size_t Crashes, Duration Waited) const;

private:
  WorkerProbationOptions Options_;
  std::map<std::string, TimePoint> ClosedUntil_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_WORKERPROBATION_H
