/// Chooses workers for the tasks of jobs.
///
/// Latency-critical tasks (those with a tail latency target) and short tasks
/// reserve processors. Batch tasks run on spare processors: unreserved ones,
/// and the reserved ones that latency-critical tasks do not use.
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

/// A latency-critical job on a worker.
struct ServingJob {
  std::string Image_;
  /// The latency target divided by the tail latency that is expected with all
  /// tasks placed on the worker: 1 at the target, more below it.
  double Headroom_ = 2.5;
};

/// State of one worker that placement depends on.
struct PlacementWorker {
  std::string Name_;
  std::string Service_;
  std::vector<std::string> Labels_;
  Resources Capacity_;
  /// Resources that runs reserve. Runs on spare processors reserve only memory.
  Resources Reserved_;
  /// Processors reserved by latency-critical tasks, in thousandths.
  std::int64_t ServingMilliProcessors_ = 0;
  /// Processors requested by runs on spare processors, in thousandths.
  std::int64_t SpareMilliProcessors_ = 0;
  /// The part of `Reserved_` that is held for tasks which have no room yet.
  std::int64_t HeldMilliProcessors_ = 0;
  /// Latency-critical jobs with runs on the worker.
  std::vector<ServingJob> Serving_;
  /// Runs fail or stall more often than on other workers; used only where no
  /// other worker fits but one that the task avoids.
  bool Suspect_ = false;
  /// Excluded from placement, since it has just been given a suspect task.
  bool Closed_ = false;
  /// A start was sent to it recently.
  bool StartedRecently_ = false;
  /// It has finished a run recently, and none has failed since.
  bool Proven_ = false;
  /// First runs of tasks that have failed since one last finished.
  std::uint32_t FailuresInRow_ = 0;
  /// How many more runs may be started; empty if the worker has no limit.
  /// Long-running tasks are not started on a limited worker.
  std::optional<std::uint32_t> StartsLeft_;
  /// Tasks that may crash it, placed in this round.
  std::uint32_t SuspectTasks_ = 0;
};

/// Requirements of one task on its worker.
struct PlacementRequest {
  std::string_view Service_;
  std::string_view RequiredLabel_;
  std::string_view DataRack_;
  std::string_view Image_;
  Resources Need_;
  bool UsesSpareProcessors_ = false;
  /// The task is latency-critical.
  bool IsServing_ = false;
  /// The task may be placed on spare processors that other runs have requested
  /// already, and regardless of headroom, because its job would stall
  /// otherwise.
  bool MayOvercommit_ = false;
  /// Number of runs of the task's step on each worker; empty if the step has no
  /// limit per worker.
  std::vector<std::uint32_t> StepRunsPerWorker_;
  /// Maximum number of runs of the step on one worker; 0 is no limit.
  std::uint32_t MaxPerWorker_ = 0;
  /// A worker on which the task failed before; used only where no other worker
  /// fits.
  std::string_view AvoidedWorker_;
  /// The task runs on `AvoidedWorker_` and is to move: only another worker that
  /// is not suspect fits, with enough headroom not to throttle the task again.
  bool IsMove_ = false;
  /// The task may crash its worker. Such tasks are spread, and away from recent
  /// starts, so that few are suspected of one crash.
  bool IsSuspect_ = false;
  /// The task runs until its job is cancelled.
  bool IsLongRunning_ = false;
  /// The job fails if the task fails once more: only workers that are proven
  /// fit, unless the service has none.
  bool IsLastAttempt_ = false;
  /// Only workers in `DataRack_` fit.
  bool OnlyNearData_ = false;
};

/// Number of workers on which a task cannot be placed, by the first reason that
/// applies.
struct PlacementObstacles {
  std::uint64_t OtherService_ = 0;
  std::uint64_t Closed_ = 0;
  std::uint64_t Label_ = 0;
  std::uint64_t TooManyOfStep_ = 0;
  std::uint64_t StartLimit_ = 0;
  std::uint64_t Unproven_ = 0;
  std::uint64_t FarFromData_ = 0;
  std::uint64_t Memory_ = 0;
  std::uint64_t Processors_ = 0;
  std::uint64_t SpareProcessors_ = 0;
  std::uint64_t TailLatency_ = 0;
};

struct JobPlacementOptions {
  /// Average use of the processors that latency-critical tasks reserve, in
  /// thousandths. The remainder counts as spare. With this value, runs on spare
  /// processors did not run short of processors under production loads.
  std::int64_t ServingUsePermille_ = 500;
  /// Headroom that each latency-critical job keeps, to absorb load changes
  /// until `SpeedControl` reacts: a tail latency of 0.85 of its target.
  double MinHeadroom_ = 1.18;
  /// Workers that would keep less headroom are used only if no others have
  /// room: a tail latency of 0.6 of its target.
  double PreferredHeadroom_ = 1.67;
  /// Headroom losses are compared in steps of this size: the margin that a
  /// conservative estimate adds to a pair without interference.
  double LossStep_ = 0.3;
  /// Returns the headroom that tasks of \p Serving lose if tasks of \p Image
  /// use all of a worker's processors. The results are cached per pair.
  std::function<double(std::string_view Serving, std::string_view Image)>
      LossPerWorker_;
};

/// Places tasks on workers one after another and accounts for each on its
/// worker.
class JobPlacement {
public:
  JobPlacement(std::vector<PlacementWorker> Workers,
               JobPlacementOptions Options);

  /// Returns the index of the worker for \p Task and adds the task to it, or
  /// returns nothing if no worker has room.
  std::optional<std::size_t> place(const PlacementRequest &Task);

  /// Places \p Task, which reserves processors, on the worker \p Index, whose
  /// reservations already include it; returns nothing while the worker has no
  /// room.
  std::optional<std::size_t> placeReserved(const PlacementRequest &Task,
                                           std::size_t Index);

  /// Keeps room for \p Task, for which `place` has found no worker, until this
  /// object is destroyed: on the worker with the most unreserved processors
  /// among those with memory for it where latency-critical tasks leave enough
  /// processors. Returns its index, or nothing if there is none.
  std::optional<std::size_t> holdRoom(const PlacementRequest &Task);

  /// Places nothing more on the worker \p Index.
  void close(std::size_t Index) { Workers_[Index].Closed_ = true; }

  /// Counts why each worker cannot run \p Task. Valid only after `place` has
  /// found no worker for it.
  PlacementObstacles countObstacles(const PlacementRequest &Task) const;

  const std::vector<PlacementWorker> &workers() const { return Workers_; }

private:
  struct Rank;

  /// Headroom loss of each latency-critical image beside one batch image that
  /// uses all of a worker's processors, by the index of the latency-critical
  /// image.
  using Losses = std::vector<double>;

  std::size_t servingImageIndex(const std::string &Image);
  const Losses &lossesCausedBy(std::string_view Image);
  /// Returns the headroom that the job \p Serving on the worker \p Index loses
  /// to the task.
  double headroomLoss(std::size_t Index, std::size_t Serving,
                      const PlacementRequest &Task,
                      const Losses &LossesByServingImage) const;
  std::int64_t spareMilliProcessors(const PlacementWorker &Row) const;
  /// Returns whether each latency-critical job on the worker keeps at least
  /// \p MinHeadroom beside the task.
  bool leavesHeadroom(std::size_t Index, const PlacementRequest &Task,
                      const Losses &LossesByServingImage,
                      double MinHeadroom) const;
  std::int64_t lossInSteps(std::size_t Index, const PlacementRequest &Task,
                           const Losses &LossesByServingImage) const;
  bool hasRoom(std::size_t Index, const PlacementRequest &Task,
               const Losses &LossesByServingImage) const;
  bool isEligible(std::size_t Index, const PlacementRequest &Task) const;
  /// Returns whether the task has to wait for a proven worker: it is a last
  /// attempt, and one could run it if it had room.
  bool needsProvenWorker(const PlacementRequest &Task) const;
  Rank rankOf(std::size_t Index, const PlacementRequest &Task,
              const Losses &LossesByServingImage) const;
  void commit(std::size_t Index, const PlacementRequest &Task,
              const Losses &LossesByServingImage);

  JobPlacementOptions Options_;
  std::vector<PlacementWorker> Workers_;
  /// Index of each latency-critical image, so that comparing workers needs no
  /// string comparisons.
  std::map<std::string, std::size_t> ServingImageIndexes_;
  /// For each worker the indexes of the images in `Serving_`.
  std::vector<std::vector<std::size_t>> ServingImages_;
  /// By batch image; cleared when a latency-critical image is added.
  std::map<std::string, Losses, std::less<>> LossesByImage_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_JOBPLACEMENT_H
