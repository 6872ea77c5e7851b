/// A sound worker of the users' platform, as PROTOCOL.md describes it.
#ifndef DRAGONFLY_REVIEW_STANDIN_WORKER_H
#define DRAGONFLY_REVIEW_STANDIN_WORKER_H

#include "Record.h"
#include "dragonfly/net/Endpoint.h"
#include "dragonfly/net/EventLoop.h"

#include <memory>
#include <string>

namespace dragonfly::review {

struct WorkerOptions {
  std::string Name_;
  std::string Service_;
  net::Endpoint Listen_;
  /// The agent on its machine.
  net::Endpoint Agent_;
  std::int64_t MilliProcessors_ = 16000;
  std::int64_t MemoryMb_ = 64000;
  Duration HeartbeatPeriod_ = std::chrono::milliseconds(1500);
};

/// Runs each task for as long as the job's `Spec` says: "ms=4000" or "lasts".
class Worker {
public:
  Worker(net::EventLoop &Loop, Record &Lines, RunJudge &Judge,
         WorkerOptions Options);
  ~Worker();

  const std::string &name() const;
  /// Runs that go on.
  std::size_t running() const;
  /// Ends that it was not told to forget.
  std::size_t openEnds() const;
  /// When it last asked for an acknowledgement of its heartbeat.
  TimePoint lastHeartbeat() const;
  /// Once a call with a higher fencing token has been answered, the next call
  /// of `hold` gets no answer.
  void leaveNextHoldUnanswered();
  bool hasLeftHoldUnanswered() const;
  /// From now on this share of the calls, in thousandths, gets no answer and is
  /// carried out 2 to 5 s later.
  void leaveUnanswered(std::uint32_t Permille);
  /// Lets a run of a task of \p Job fail; returns false if there is none.
  bool failOne(const std::string &Job);
  /// Ends everything and resets all connections.
  void crash();
  /// Comes back under the same id, with nothing.
  void restart();

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace dragonfly::review

#endif // DRAGONFLY_REVIEW_STANDIN_WORKER_H
