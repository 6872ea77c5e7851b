/// What an agent asks of the upstream and the worker beside it, as hooks, so
/// that tests need no sockets.
#ifndef DRAGONFLY_AGENT_UPSTREAMHOOKS_H
#define DRAGONFLY_AGENT_UPSTREAMHOOKS_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Ids.h"
#include "dragonfly/base/Resources.h"
#include "dragonfly/net/FrameClient.h"
#include "dragonfly/wire/Messages.h"

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace dragonfly::agent {

/// How one request to the upstream ended.
struct RunResult {
  net::CallStatus Status_ = net::CallStatus::NeverSent;
  std::uint16_t HttpStatus_ = 0;
  std::string Body_;
};

enum class WorkerTaskState : std::uint8_t {
  Running,
  Finished,
  Failed,
  Checkpointed
};

/// One task as the worker lists it.
struct WorkerTask {
  TaskId Task_;
  Epoch Epoch_;
  WorkerTaskState State_ = WorkerTaskState::Running;
  Resources Need_;
  std::string CheckpointId_;
  std::uint16_t Status_ = 0;
  std::string Body_;
};

/// What became of an order to the worker.
enum class OrderStatus : std::uint8_t {
  Done,
  Rejected, ///< The worker refused it; nothing was done.
  Unknown   ///< No answer; it may have been done.
};

struct OrderResult {
  OrderStatus Status_ = OrderStatus::Unknown;
  std::string CheckpointId_;
};

/// Hooks towards the upstream and its worker.
struct UpstreamHooks {
  /// Passes a request on; parts go to \p OnPart where the answer is streamed.
  /// Returns a number by which it can be cancelled.
  std::function<std::uint64_t(const wire::Execute &Request, Duration Timeout,
                              std::function<void(RunResult)> OnEnd,
                              std::function<void(std::string)> OnPart)>
      Run_;
  std::function<void(std::uint64_t Number)> Cancel_;
  /// Carries out a directive.
  std::function<void(const wire::TaskDirective &Order,
                     std::function<void(OrderResult)> OnEnd)>
      Order_;
  /// Tells the worker until when, on the VM's clock, it may run tasks; it stops
  /// them itself then, even where the agent has died.
  std::function<void(TimePoint Until)> Lease_;
  /// Lists the worker's tasks; nothing where it did not answer.
  std::function<void(
      std::function<void(std::optional<std::vector<WorkerTask>>)> OnEnd)>
      List_;
  /// Reads the worker's usage.
  std::function<void(std::function<void(std::optional<Resources>)> OnEnd)>
      Usage_;
  /// Tells whether the upstream serves.
  std::function<void(std::function<void(bool Healthy)> OnEnd)> Health_;
};

} // namespace dragonfly::agent

#endif // DRAGONFLY_AGENT_UPSTREAMHOOKS_H
