/// Runs the tasks of jobs on the worker beside an agent: takes orders from the
/// leader of control, carries them out, and tells what runs and what ended.
#ifndef DRAGONFLY_AGENT_WORKERAGENT_H
#define DRAGONFLY_AGENT_WORKERAGENT_H

#include "dragonfly/agent/RunBook.h"
#include "dragonfly/agent/WorkerCalls.h"
#include "dragonfly/agent/WorkerLease.h"
#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Metrics.h"
#include "dragonfly/wire/Messages.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>

namespace dragonfly::net {
class EventLoop;
} // namespace dragonfly::net

namespace dragonfly::link {
class LeaderClient;
} // namespace dragonfly::link

namespace dragonfly::agent {

struct WorkerAgentOptions {
  WorkerCalls Calls_;
  /// Name of the VM that agent and worker share.
  std::string Vm_;
  std::shared_ptr<Metrics> Metrics_ = std::make_shared<Metrics>();
  /// Between two announcements of the worker.
  Duration HeartbeatPeriod_ = std::chrono::milliseconds(1100);
  /// Between reports where nothing has ended; a tenth of the lease.
  Duration ReportPeriod_ = std::chrono::milliseconds(400);
  Duration ReportTimeout_ = std::chrono::milliseconds(1200);
  /// A session whose stream is silent for so long is given up; several of the
  /// leader's keep-alive periods.
  Duration SessionTimeout_ = std::chrono::milliseconds(2000);
  Duration ReattachDelay_ = std::chrono::milliseconds(60);
  /// How long the worker may hold back its lists until a run ends, while runs
  /// are there and while none is.
  Duration BusyWait_ = std::chrono::milliseconds(400);
  Duration IdleWait_ = std::chrono::milliseconds(1000);
  /// Pause before the lists are read again while ends are not durable yet, and
  /// after a call that got no answer.
  Duration RereadDelay_ = std::chrono::milliseconds(100);
  Duration SilentDelay_ = std::chrono::milliseconds(250);
  /// Time in which stops may settle the starts of a lapsed lease. After it the
  /// agent registers anew, which takes a round trip through the log.
  Duration SettleTime_ = std::chrono::milliseconds(300);
  /// The same while the lease goes on, where only the task of the start waits:
  /// two stops without an answer.
  Duration LeasedSettleTime_ = std::chrono::milliseconds(1500);
  /// Starts are refused where less of the lease is left.
  Duration LeastLease_ = std::chrono::milliseconds(300);
  RunBookOptions Runs_;
  WorkerLeaseOptions Lease_;
};

class WorkerAgent {
public:
  WorkerAgent(net::EventLoop &Loop, link::LeaderClient &Leader,
              WorkerAgentOptions Options);
  ~WorkerAgent();

  /// Takes what a worker tells about itself, or what another writer tells in
  /// its place; what is older than what is known has no effect. Another life
  /// than the current one counts once a call has shown that it is on the VM.
  void announced(const WorkerAnnouncement &Value);
  /// The worker says that it ends now.
  void departed(const std::string &Worker);

  /// Tells control the newest state, then calls \p OnStopped. Runs go on under
  /// their lease.
  void stop(std::function<void()> OnStopped);

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace dragonfly::agent

#endif // DRAGONFLY_AGENT_WORKERAGENT_H
