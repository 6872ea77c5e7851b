/// A stand-in for an upstream and the worker of its VM: the interface that
/// docs/DESIGN.md names, with service times drawn from a seed.
#ifndef DRAGONFLY_BENCH_SUPPORT_STANDIN_H
#define DRAGONFLY_BENCH_SUPPORT_STANDIN_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/net/Endpoint.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dragonfly::net {
class EventLoop;
} // namespace dragonfly::net

namespace dragonfly::standin {

/// How the stand-in behaves; `PUT /stand-in` changes it.
struct Behaviour {
  Duration ServiceTime_ = std::chrono::milliseconds(5);
  /// A service time lies within this share of the mean, in thousandths.
  std::uint32_t SpreadPermille_ = 200;
  /// Answers each request at once with status 500.
  bool Fail_ = false;
  /// Answers no request.
  bool Hang_ = false;
  /// What the health check tells.
  bool Healthy_ = true;
};

struct StandInOptions {
  net::Endpoint Listen_;
  std::uint64_t Seed_ = 1;
  Behaviour Behaviour_;
  /// Kinds that are answered in parts.
  std::vector<std::string> WatchKinds_;
  std::uint32_t WatchParts_ = 4;
  /// How long a task runs at full speed.
  Duration TaskTime_ = std::chrono::seconds(2);
  /// Delay of the usage that is reported.
  Duration UsageDelay_ = std::chrono::seconds(1);
};

/// Serves until `drain()` has finished.
class StandIn {
public:
  /// Starts to listen. Throws NetError(CannotListen).
  StandIn(net::EventLoop &Loop, StandInOptions Options);
  ~StandIn();

  /// Fails the health check, refuses new requests with 503, finishes those in
  /// progress and calls \p OnDrained.
  void drain(std::function<void()> OnDrained);
  net::Endpoint endpoint() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace dragonfly::standin

#endif // DRAGONFLY_BENCH_SUPPORT_STANDIN_H
