/// Chooses workers for the tasks of jobs.
#ifndef DRAGONFLY_DECIDE_JOBPLACEMENT_H
#define DRAGONFLY_DECIDE_JOBPLACEMENT_H

#include "dragonfly/base/Resources.h"

#include <compare>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonfly::decide {

/// One worker as placement sees it.
struct PlacementWorker {
  std::string Name_;
  std::string Service_;
  std::vector<std::string> Labels_;
  Resources Capacity_;
  /// Reserved by runs that count against the capacity.
  Resources Reserved_;
  /// Processors wanted by runs that use spare ones, in thousandths.
  std::int64_t SpareMilliProcessors_ = 0;
  /// Runs with a bound on their tail latency.
  std::int64_t ServingRuns_ = 0;
  /// Takes new runs.
  bool Open_ = true;
  /// Runs fail or stand still there more than elsewhere; used last.
  bool Suspect_ = false;
};

/// What one task needs.
struct PlacementNeed {
  std::string_view Service_;
  std::string_view RequiredLabel_;
  std::string_view DataRack_;
  Resources Need_;
  bool UsesSpareProcessors_ = false;
  /// The task has a bound on its tail latency.
  bool Serves_ = false;
  /// Runs of the task's step that each worker has; empty where it doesn't
  /// matter.
  std::vector<std::uint32_t> StepRuns_;
  std::uint32_t MaxPerWorker_ = 0;
  /// A worker on which the task failed before; avoided where another one fits.
  std::string_view Avoid_;
};

/// Workers, with what has been placed on them so far.
class JobPlacement {
public:
  explicit JobPlacement(std::vector<PlacementWorker> Workers)
      : Workers_(std::move(Workers)) {}

  /// Returns the worker for \p Task and reserves its need there, or nothing
  /// where no worker has room.
  std::optional<std::size_t> place(const PlacementNeed &Task);

  const std::vector<PlacementWorker> &workers() const { return Workers_; }

private:
  std::vector<PlacementWorker> Workers_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_JOBPLACEMENT_H
