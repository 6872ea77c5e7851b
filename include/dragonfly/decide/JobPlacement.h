/// Chooses workers for the tasks of jobs.
#ifndef DRAGONFLY_DECIDE_JOBPLACEMENT_H
#define DRAGONFLY_DECIDE_JOBPLACEMENT_H

#include "dragonfly/base/Resources.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace dragonfly::decide {

/// Runs of one job on a worker that serve under a tail latency target.
struct ServingJob {
  std::string Image_;
  /// The target over the tail latency that is to be expected with all runs that
  /// are placed there: 1 at the target, more below it.
  double Headroom_ = 2.5;
};

/// One worker as placement sees it.
struct PlacementWorker {
  std::string Name_;
  std::string Service_;
  std::vector<std::string> Labels_;
  Resources Capacity_;
  /// Reserved by runs that count against the capacity.
  Resources Reserved_;
  /// The part of the reserved processors that runs which serve hold.
  std::int64_t ServingMilliProcessors_ = 0;
  /// Processors wanted by runs that use spare ones, in thousandths.
  std::int64_t SpareMilliProcessors_ = 0;
  std::vector<ServingJob> Serving_;
  /// Runs fail or stand still there more than elsewhere; used last.
  bool Suspect_ = false;
};

/// What one task needs.
struct PlacementRequest {
  std::string_view Service_;
  std::string_view RequiredLabel_;
  std::string_view DataRack_;
  std::string_view Image_;
  Resources Need_;
  bool UsesSpareProcessors_ = false;
  /// The task has a bound on its tail latency.
  bool IsServing_ = false;
  /// The task may share spare processors that others want already: its job
  /// would stand still otherwise.
  bool MayOvercommit_ = false;
  /// Runs of the task's step that each worker has; empty where it doesn't
  /// matter.
  std::vector<std::uint32_t> StepRunsPerWorker_;
  std::uint32_t MaxPerWorker_ = 0;
  /// A worker on which the task failed before; avoided where another one fits.
  std::string_view AvoidedWorker_;
  /// The task runs on `AvoidedWorker_` and is to move: only another worker will
  /// do, and only one where it would not be slowed down again.
  bool IsMove_ = false;
};

/// How many workers a task cannot be placed on, by the first reason that
/// applies.
struct PlacementObstacles {
  std::uint64_t OtherService_ = 0;
  std::uint64_t Label_ = 0;
  std::uint64_t TooManyOfStep_ = 0;
  std::uint64_t Memory_ = 0;
  std::uint64_t Processors_ = 0;
  std::uint64_t SpareProcessors_ = 0;
  std::uint64_t TailLatency_ = 0;
};

struct JobPlacementOptions {
  /// Share of their reserved processors that runs which serve use on average,
  /// in thousandths. Runs on spare processors take what is left, and were never
  /// seen to run out of it on the users' days.
  std::int64_t ServingUsePermille_ = 500;
  /// Headroom that placement leaves, for swings of the load that pacing
  /// answers: a tail latency of 0.85 of its target.
  double MinHeadroom_ = 1.18;
  /// Where less is left, workers are used only if others have no room: 0.6 of
  /// the target.
  double PreferredHeadroom_ = 1.67;
  /// Losses of headroom that differ by less are taken for equal: what caution
  /// adds to a pair that costs nothing.
  double LossStep_ = 0.3;
  /// Returns how much headroom runs of \p Image take from runs of \p Serving
  /// for a whole worker's processors. Asked once for each pair.
  std::function<double(std::string_view Serving, std::string_view Image)>
      LossPerWorker_;
};

/// Workers, with what has been placed on them so far.
class JobPlacement {
public:
  JobPlacement(std::vector<PlacementWorker> Workers,
               JobPlacementOptions Options);

  /// Returns the worker for \p Task and reserves its need there, or nothing
  /// where no worker has room.
  std::optional<std::size_t> place(const PlacementRequest &Task);

  /// Tells why no worker takes \p Task.
  PlacementObstacles countObstacles(const PlacementRequest &Task) const;

  const std::vector<PlacementWorker> &workers() const { return Workers_; }

private:
  struct Rank;

  /// Headroom that a task takes from each image that serves, for a whole
  /// worker's processors, by the number of the image.
  using Losses = std::vector<double>;

  std::size_t numberOf(const std::string &Image);
  const Losses &lossesBy(std::string_view Image);
  /// What the task takes from the job \p Serving on the worker \p Index.
  double lossOf(std::size_t Index, std::size_t Serving,
                const PlacementRequest &Task, const Losses &ByImage) const;
  std::int64_t spareOf(const PlacementWorker &Row) const;
  /// True where each job that serves there keeps \p Least headroom.
  bool leavesHeadroom(std::size_t Index, const PlacementRequest &Task,
                      const Losses &ByImage, double Least) const;
  std::int64_t disturbanceOf(std::size_t Index, const PlacementRequest &Task,
                             const Losses &ByImage) const;
  bool hasRoom(std::size_t Index, const PlacementRequest &Task,
               const Losses &ByImage) const;
  bool isAllowed(std::size_t Index, const PlacementRequest &Task) const;
  Rank rankOf(std::size_t Index, const PlacementRequest &Task,
              const Losses &ByImage) const;
  void commit(std::size_t Index, const PlacementRequest &Task,
              const Losses &ByImage);

  JobPlacementOptions Options_;
  std::vector<PlacementWorker> Workers_;
  /// Images that serve anywhere, numbered, so that no names are compared while
  /// workers are.
  std::map<std::string, std::size_t> ImageNumbers_;
  /// For each worker the numbers of the images in `Serving_`.
  std::vector<std::vector<std::size_t>> ServingImages_;
  std::map<std::string, Losses, std::less<>> LossesByImage_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_JOBPLACEMENT_H
