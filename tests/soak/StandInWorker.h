/// A worker of the users' platform, as its published protocol describes it.
#ifndef DRAGONFLY_TESTS_SOAK_STANDINWORKER_H
#define DRAGONFLY_TESTS_SOAK_STANDINWORKER_H

#include "dragonfly/base/Random.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/HttpClient.h"
#include "dragonfly/net/HttpServer.h"
#include "soak/Promises.h"

#include <boost/json.hpp>

#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dragonfly::soak {

inline constexpr std::int64_t WorkerMilliProcessors = 4000;

struct StandInWorkerOptions {
  std::string Name_;
  /// Number of its agent, from 0.
  std::size_t Place_ = 0;
  std::string Service_;
  std::string Zone_;
  /// Where it takes calls.
  net::Endpoint Listen_;
  /// Its agent, for heartbeats.
  net::Endpoint Agent_;
  std::int64_t MilliProcessors_ = WorkerMilliProcessors;
  /// Share of runs that fail by themselves, in thousandths.
  std::uint32_t FailPermille_ = 20;
  std::uint64_t Seed_ = 1;
  /// A deadly task crashes the worker.
  std::function<void()> OnDeadly_;
  /// A call of an earlier life under the same id is about to be carried out.
  std::function<void(const std::string &Target)> OnEarlierCall_;
};

/// Runs tasks for as long as their job's plan says, under leases and fences.
class StandInWorker {
public:
  StandInWorker(net::EventLoop &Loop, Promises &Seen,
                StandInWorkerOptions Options);
  ~StandInWorker();

  /// Ends everything that runs and sends nothing. Whoever calls it has to break
  /// the connections.
  void crash();
  bool isDown() const;
  /// Comes back as the worker \p Name, with nothing.
  void restart(const std::string &Name);
  const std::string &name() const;
  /// Thousandths of processors that are not committed; none while it is down.
  std::int64_t freeMilliProcessors() const;
  /// Announces another capacity from the next heartbeat on.
  void setCapacity(std::int64_t MilliProcessors);
  /// Leaves half of the calls of the next \p Time unanswered, and carries them
  /// out 2 to 12 s later, also in the next life under the same id.
  void leaveUnanswered(Duration Time);
  /// Adds an odd entry to each list that it answers, or stops to.
  void setOddRows(bool Odd);
  /// The next heartbeat as the worker would send it.
  std::string heartbeat() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace dragonfly::soak

#endif // DRAGONFLY_TESTS_SOAK_STANDINWORKER_H
