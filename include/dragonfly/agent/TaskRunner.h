/// Carries out control's directives about tasks on one VM.
#ifndef DRAGONFLY_AGENT_TASKRUNNER_H
#define DRAGONFLY_AGENT_TASKRUNNER_H

#include "dragonfly/agent/UpstreamHooks.h"
#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Ids.h"
#include "dragonfly/wire/Messages.h"

#include <cstddef>
#include <functional>
#include <map>
#include <string>
#include <vector>

namespace dragonfly::agent {

class Ledger;

struct TaskRunnerOptions {
  Ledger *Ledger_ = nullptr;
  /// Asked before each start; anything but None refuses it.
  std::function<Reason()> MayStart_;
  /// Receives each report once; it is kept until control has it.
  std::function<void(wire::TaskReport)> OnReport_;
  UpstreamHooks Upstream_;
};

/// The tasks of one VM. A directive takes effect only under an epoch that is
/// at least the one known for its task, and a start only once per epoch.
class TaskRunner {
public:
  explicit TaskRunner(TaskRunnerOptions Options);

  /// Takes over a task that the worker lists after a restart of the agent; one
  /// that has ended is reported, in case the report was lost.
  void adopt(const WorkerTask &Found);
  /// Carries out directives, which may come late, twice or out of order.
  void take(const std::vector<wire::TaskDirective> &Rows);
  /// Compares the table with what the worker lists and reports what ended.
  void reconcile(const std::vector<WorkerTask> &Listed);
  /// Stops every task, as when the lease has run out.
  void stopAll(Reason Why);

  /// Checkpoints every task, as on a graceful stop.
  void checkpointAll();

  std::size_t running() const { return Rows_.size(); }

private:
  enum class Phase : std::uint8_t { Starting, Running, Stopping };

  struct Row {
    Epoch Epoch_;
    Phase Phase_ = Phase::Starting;
  };

  /// Raises the task's fence; false where the directive is an older one.
  bool fence(const wire::TaskDirective &Order);
  void cancel(const wire::TaskDirective &Order);
  void start(const wire::TaskDirective &Order);
  void started(TaskId Task, Epoch Under, const OrderResult &Result);
  void checkpoint(const wire::TaskDirective &Order);
  void stop(TaskId Task, Epoch Under, Reason Why);
  void close(TaskId Task, wire::TaskReport Report);
  void endListed(const WorkerTask &Listed);
  bool current(TaskId Task, Epoch Under) const;

  TaskRunnerOptions Options_;
  std::map<TaskId, Row> Rows_;
  /// Highest epoch seen of each task, ended ones included, newest kept.
  std::map<TaskId, Epoch> Fences_;
};

} // namespace dragonfly::agent

#endif // DRAGONFLY_AGENT_TASKRUNNER_H
