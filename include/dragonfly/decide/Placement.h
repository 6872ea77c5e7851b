/// Places tasks on workers and selects tasks to throttle, checkpoint or park.
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

/// The last reported state of a worker. Worker names are unique.
struct WorkerRow {
  std::string Name_;
  std::string AvailabilityZone_;
  std::string Rack_;
  Resources Capacity_;
  /// Usage by everything on the VM. Reports lag behind the actual usage.
  Resources Usage_;
  /// Mean slowdown of latency-critical requests on the VM, in thousandths of
  /// their undisturbed latency; 1000 means undisturbed.
  std::uint32_t SlowdownPermille_ = 1000;
  bool Accepting_ = true;
};

/// A waiting or running task.
struct TaskRow {
  TaskId Task_;
  std::string Customer_;
  std::string Kind_;
  /// As declared; the amount that is committed may differ.
  Resources Need_;
  TimePoint Deadline_;
  Duration ExpectedRunTime_{};
  /// False for tasks whose callers wait for the result; these are never
  /// evicted.
  bool Evictable_ = true;
};

enum class PlacementAction : std::uint8_t {
  Start,
  Throttle,
  Unthrottle,
  Checkpoint, ///< Checkpoint and stop; the task resumes elsewhere.
  Park        ///< Do not start the task again; Reason_ says why.
};

struct PlacementCommand {
  PlacementAction Action_ = PlacementAction::Start;
  TaskId Task_;
  std::string Worker_;
  Reason Reason_ = Reason::None;
  std::uint32_t ThrottlePermille_ = 1000;
  /// For Start: resources to commit on the worker instead of the declared need.
  /// The reservations on a worker never exceed its capacity.
  Resources Reservation_;
};

/// How the placement of a task on a worker ended.
enum class PlacementOutcome : std::uint8_t {
  Finished,
  Failed,
  Evicted,
  Lost,
  Refused
};

struct PlacementOptions {
  /// The deployment's optimization weights, in thousandths of their total.
  std::uint32_t TailLatencyPermille_ = 500;
  std::uint32_t BatchThroughputPermille_ = 250;
  std::uint32_t EvictionsPermille_ = 250;
  std::uint64_t Seed_ = 1;
  /// Failures after which a task is parked. Failures on workers that are
  /// suspected to be faulty don't count.
  std::uint32_t MaxFailures_ = 3;
};

/// Places the tasks of one control group. The cost of a tick grows with the
/// number of changes since the last one, not with the size of the fleet.
class Placement {
public:
  explicit Placement(PlacementOptions Options);
  Placement(Placement &&) noexcept;
  Placement &operator=(Placement &&) noexcept;
  ~Placement();

  /// Adds a worker or replaces its reported state.
  void setWorker(TimePoint Now, const WorkerRow &Worker);
  /// Removes a worker. Its tasks count as lost and wait again.
  void removeWorker(TimePoint Now, const std::string &Name);

  /// Adds a waiting task; a task that is already known is ignored. Returns
  /// NeverFits, and does not add the task, if no VM of the fleet is large
  /// enough for it.
  Reason addTask(TimePoint Now, const TaskRow &Task);
  /// Adds a task that is already running, after a restart of control.
  void addRunningTask(TimePoint Now, const TaskRow &Task,
                      const std::string &Worker);
  void removeTask(TimePoint Now, TaskId Task);
  /// Records the current usage of a task.
  void reportUsage(TimePoint Now, TaskId Task, const Resources &Usage);
  /// Records how the placement of a task ended. Unless the task finished or is
  /// parked, it waits again.
  void recordTaskEnd(TimePoint Now, TaskId Task, PlacementOutcome Result);

  /// Returns the commands to carry out. The reference is valid until the next
  /// call.
  const std::vector<PlacementCommand> &tick(TimePoint Now);

  bool isQuarantined(TimePoint Now, const std::string &Worker) const;
  std::size_t waitingTaskCount() const;
  /// Returns the resources committed on a worker, or zero if it is unknown.
  Resources reservedResources(const std::string &Worker) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_PLACEMENT_H
