/// An upstream and its worker on one VM, as the platform gives them, with
/// checks of what must never happen on a VM.
#ifndef DRAGONFLY_TESTS_PATH_PATHWORKER_H
#define DRAGONFLY_TESTS_PATH_PATHWORKER_H

#include "dragonfly/agent/UpstreamHooks.h"
#include "dragonfly/base/Random.h"
#include "path/PathNetwork.h"

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

namespace dragonfly::faults {

/// What the upstreams of all VMs did, by request and by task.
struct PathEvidence {
  /// How often each request ran.
  std::map<wire::RequestKey, std::uint64_t> Runs_;
  /// The worker that each task runs on.
  std::map<TaskId, std::string> Running_;
  std::map<TaskId, std::uint64_t> Completions_;
  /// How often a task was started from each checkpoint.
  std::map<std::string, std::uint64_t> Resumes_;
  std::uint64_t Checkpoints_ = 0;
  std::vector<std::string> Violations_;
};

struct PathWorkerOptions {
  Place Agent_;
  std::string Name_;
  Resources Capacity_;
  std::uint32_t Slots_ = 8;
  std::uint64_t Seed_ = 1;
  PathNetwork *Network_ = nullptr;
  PathEvidence *Evidence_ = nullptr;
};

/// One VM's upstream and worker. They outlive their agent.
class PathWorker {
public:
  explicit PathWorker(PathWorkerOptions Options);

  agent::UpstreamHooks hooks();
  /// Finishes tasks that are done and stops all once the lease has passed.
  void tick();
  /// Called with each order and each run as it begins.
  std::function<void(bool After)> OnOrder_;
  std::uint64_t runs() const { return Runs_; }

private:
  struct TaskRow {
    Epoch Epoch_;
    Resources Need_;
    agent::WorkerTaskState State_ = agent::WorkerTaskState::Running;
    TimePoint EndsAt_;
    std::string CheckpointId_;
  };

  void run(const wire::Execute &Request,
           std::function<void(agent::RunResult)> OnEnd);
  agent::OrderResult order(const wire::TaskDirective &Order);
  agent::OrderResult start(const wire::TaskDirective &Order);
  agent::OrderResult checkpoint(TaskId Task, TaskRow &Row);
  void leave(TaskId Task, TaskRow &Row, agent::WorkerTaskState State);
  std::vector<agent::WorkerTask> list() const;
  void violated(const std::string &Detail);

  PathWorkerOptions Options_;
  RandomEngine Random_;
  std::map<TaskId, TaskRow> Tasks_;
  TimePoint LeaseUntil_;
  std::uint32_t Busy_ = 0;
  std::uint64_t Runs_ = 0;
};

} // namespace dragonfly::faults

#endif // DRAGONFLY_TESTS_PATH_PATHWORKER_H
