/// Chooses which latency-critical tasks to relocate so that batch tasks find
/// workers without interference.
#ifndef DRAGONFLY_DECIDE_SERVINGLAYOUT_H
#define DRAGONFLY_DECIDE_SERVINGLAYOUT_H

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

/// A latency-critical task on a worker.
struct LayoutTask {
  std::string Image_;
  Resources Need_;
  /// Tasks with the same number belong to the same step.
  std::size_t Step_ = 0;
  /// Maximum number of tasks of the step on one worker; 0 is no limit.
  std::uint32_t MaxPerWorker_ = 0;
  /// Whether the task may be stopped now to run elsewhere.
  bool IsMovable_ = false;
};

/// A worker that new tasks may be placed on.
struct LayoutWorker {
  std::string_view Service_;
  Resources Capacity_;
  /// Resources that all runs reserve, batch runs only memory.
  Resources Reserved_;
  std::vector<LayoutTask> Tasks_;
  /// Runs fail or stall more often than on other workers; no task moves here.
  bool Suspect_ = false;
};

/// Demand of one batch image.
struct BatchDemand {
  std::string Image_;
  /// Processors that its running and waiting tasks request, in thousandths.
  double MilliProcessors_ = 0;
};

/// Moves the task \p Task_ of the worker \p From_ to the worker \p To_.
struct Relocation {
  std::size_t From_ = 0;
  std::size_t Task_ = 0;
  std::size_t To_ = 0;
};

struct ServingLayoutOptions {
  /// Average use of the processors that latency-critical tasks reserve, in
  /// thousandths.
  std::int64_t ServingUsePermille_ = 500;
  /// Headroom that a latency-critical task can lose to batch tasks: from a tail
  /// latency of 0.4 of its target to one of 0.85.
  double SpareHeadroom_ = 1.32;
  /// Relative reduction of the cost that each relocation must bring, because
  /// the task serves nobody until it runs again.
  double MinGain_ = 0.01;
  /// An image with more tasks on a worker is not moved away from it.
  std::size_t MaxTasksOfImage_ = 4;
  /// Bounds the duration of one search on large clusters.
  std::size_t MaxSources_ = 8;
  /// Returns the headroom that tasks of \p Serving lose if tasks of \p Image
  /// use all of a worker's processors.
  std::function<double(std::string_view Serving, std::string_view Image)>
      LossPerWorker_;
};

/// Assigns the latency-critical images to workers.
///
/// A batch image can use the spare processors of a worker up to the point where
/// one of the latency-critical images there runs out of headroom. The cost of a
/// layout is the sum, over all batch images, of the demand divided by the
/// processors that the image can use: images that fit almost nowhere dominate.
/// Relocations empty workers of one latency-critical image at a time, by moves
/// and by exchanges with tasks of the images that stay.
class ServingLayout {
public:
  ServingLayout(const std::vector<LayoutWorker> &Workers,
                const std::vector<BatchDemand> &Demands,
                const ServingLayoutOptions &Options);

  /// Returns the next relocation, or the two of an exchange, of the sequence
  /// with the largest gain per step; empty if no sequence gains `MinGain_` per
  /// step. Only sequences that empty one of `MaxSources_` workers, counted from
  /// \p FirstSource on, of an image are considered.
  std::vector<Relocation> nextRelocations(std::size_t FirstSource) const;

  /// Returns the cost of the present layout.
  double cost() const { return Present_.Cost_; }

private:
  struct Task {
    LayoutTask Row_;
    std::size_t Image_ = 0;
    /// Worker and position there in the input.
    std::size_t Worker_ = 0;
    std::size_t Position_ = 0;
  };
  /// Assignment of all tasks to workers.
  struct State {
    /// Tasks by worker.
    std::vector<std::vector<std::size_t>> TasksOn_;
    std::vector<Resources> Reserved_;
    /// Processors that each batch image can use, by worker, in thousandths.
    std::vector<std::vector<double>> Usable_;
    std::vector<double> TotalUsable_;
    double Cost_ = 0;
  };
  /// Moves a task to a worker, and another one from there in exchange.
  struct Step {
    std::size_t Task_ = 0;
    std::size_t From_ = 0;
    std::size_t To_ = 0;
    std::optional<std::size_t> Exchanged_;
    double Cost_ = 0;
  };

  std::size_t addImage(const std::string &Image,
                       const std::vector<BatchDemand> &Demands);
  /// Returns the processors that each batch image can use on the worker if
  /// \p Leaves has left it and \p Arrives has joined it.
  std::vector<double> usable(const State &On, std::size_t Worker,
                             std::optional<std::size_t> Leaves = {},
                             std::optional<std::size_t> Arrives = {}) const;
  bool fits(const State &On, std::size_t Worker,
            std::optional<std::size_t> Leaves, std::size_t Arrives) const;
  double costOf(const std::vector<double> &TotalUsable) const;
  double costAfter(const State &On, const Step &Taken) const;
  void apply(State &On, const Step &Taken) const;
  /// Returns the step that moves the task away at the lowest cost.
  std::optional<Step> bestStep(const State &On, std::size_t From,
                               std::size_t Moved, bool IsFirst) const;
  /// Returns the first step of emptying the worker of the image. Its cost is
  /// that of the present layout less the gain per step.
  std::optional<Step> firstStepToEmpty(std::size_t Worker,
                                       std::size_t Image) const;

  std::vector<std::string_view> Services_;
  std::vector<Resources> Capacities_;
  std::vector<bool> Suspects_;
  ServingLayoutOptions Options_;
  std::vector<Task> Tasks_;
  std::vector<double> Demands_;
  std::map<std::string, std::size_t> ImageIndexes_;
  /// By latency-critical image, then by batch image: the share of a worker that
  /// the batch image can use beside it.
  std::vector<std::vector<double>> UsableShares_;
  State Present_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_SERVINGLAYOUT_H
