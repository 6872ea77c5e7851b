/// Places tasks on workers and chooses what to throttle, checkpoint or stop.
#ifndef DRAGONFLY_DECIDE_PLACEMENT_H
#define DRAGONFLY_DECIDE_PLACEMENT_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Ids.h"
#include "dragonfly/base/Outcome.h"
#include "dragonfly/base/Resources.h"

#include <cstddef>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace dragonfly::decide {

/// A worker as it was last reported. Names are unique.
struct WorkerRow {
  std::string Name_;
  std::string AvailabilityZone_;
  std::string Rack_;
  Resources Capacity_;
  /// Last reported usage of everything on the VM, late as it comes.
  Resources Usage_;
  /// Mean latency-critical slowdown seen there, in thousandths of the quiet
  /// value; 1000 is undisturbed.
  std::uint32_t SlowdownPermille_ = 1000;
  bool Accepting_ = true;
};

/// A task that waits or runs.
struct TaskRow {
  TaskId Task_;
  std::string Customer_;
  std::string Kind_;
  Resources Need_;
  TimePoint Deadline_;
  Duration ExpectedRunTime_{};
  /// False for work that callers wait for, which is never evicted.
  bool Evictable_ = true;
};

enum class PlacementAction : std::uint8_t {
  Start,
  Throttle,
  Unthrottle,
  Checkpoint, ///< Checkpoint and give up the place; resumes elsewhere.
  Park        ///< No further start; the reason tells why.
};

struct PlacementCommand {
  PlacementAction Action_ = PlacementAction::Start;
  TaskId Task_;
  std::string Worker_;
  Reason Reason_ = Reason::None;
  std::uint32_t ThrottlePermille_ = 1000;
  /// For Start: what to commit on the worker in place of the declared need.
  /// Reservations of a worker never exceed its capacity.
  Resources Reservation_;
};

/// How a task's stay on a worker ended.
enum class PlacementOutcome : std::uint8_t {
  Finished,
  Failed,
  Evicted,
  Lost,
  Refused
};

struct PlacementOptions {
  /// The deployment's weights, in thousandths of the total.
  std::uint32_t TailLatencyPermille_ = 500;
  std::uint32_t BatchThroughputPermille_ = 250;
  std::uint32_t EvictionsPermille_ = 250;
  std::uint64_t Seed_ = 1;
  /// Starts after which a job that keeps failing is parked.
  std::uint32_t MaxFailures_ = 3;
};

/// Placement of one control group. Work per tick follows what has changed.
class Placement {
public:
  explicit Placement(PlacementOptions Options);
  Placement(Placement &&) noexcept;
  Placement &operator=(Placement &&) noexcept;
  ~Placement();

  /// Adds a worker or replaces what was known of it.
  void setWorker(TimePoint Now, const WorkerRow &Worker);
  /// Forgets a worker; its tasks wait again as lost.
  void removeWorker(TimePoint Now, const std::string &Name);

  /// Adds a waiting task. Returns NeverFits where no VM of the fleet could
  /// ever hold it, and then does not add it.
  Reason addTask(TimePoint Now, const TaskRow &Task);
  /// Adds a task that runs already, after a restart.
  void addRunningTask(TimePoint Now, const TaskRow &Task,
                      const std::string &Worker);
  void removeTask(TimePoint Now, TaskId Task);
  /// Tells what a task uses now.
  void reportUsage(TimePoint Now, TaskId Task, const Resources &Usage);
  /// Tells how a stay ended; unless it finished the task waits again.
  void recordTaskEnd(TimePoint Now, TaskId Task, PlacementOutcome Result);

  /// Returns the decisions that are due; valid until the next call.
  const std::vector<PlacementCommand> &tick(TimePoint Now);

  bool isQuarantined(TimePoint Now, const std::string &Worker) const;
  std::size_t waitingTaskCount() const;
  /// Returns what is committed on a worker, or nothing where it is unknown.
  Resources reservedResources(const std::string &Worker) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_PLACEMENT_H
