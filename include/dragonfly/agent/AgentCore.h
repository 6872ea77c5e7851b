/// The agent without its listening sockets: ledger, leases, requests and tasks
/// of one VM, driven by messages, timers of the loop and hooks.
#ifndef DRAGONFLY_AGENT_AGENTCORE_H
#define DRAGONFLY_AGENT_AGENTCORE_H

#include "dragonfly/agent/RequestRunner.h"
#include "dragonfly/agent/UpstreamHooks.h"
#include "dragonfly/base/Ids.h"
#include "dragonfly/base/Outcome.h"
#include "dragonfly/link/ControlLink.h"
#include "dragonfly/settings/Settings.h"

#include <functional>
#include <memory>

namespace dragonfly::net {
class EventLoop;
} // namespace dragonfly::net

namespace dragonfly::agent {

class Ledger;

struct AgentCoreOptions {
  settings::AgentSettings Settings_;
  /// Drawn at random for each process.
  Incarnation Self_;
  UpstreamHooks Upstream_;
  /// Used in place of sockets towards control, where set.
  link::ControlTransport Transport_;
};

/// One agent. It holds nothing on disk.
class AgentCore {
public:
  /// Throws NetError(CannotListen) where it opens sockets.
  AgentCore(net::EventLoop &Loop, AgentCoreOptions Options);
  ~AgentCore();

  /// Passes a request on to the upstream, or refuses it.
  void execute(wire::Execute Request, ExecuteHooks Hooks);
  void cancel(const wire::RequestKey &Key);

  /// The link to control; takes acknowledgements where there are no sockets.
  link::ControlLink &link();

  /// None while new requests are accepted, or why they are refused.
  Reason mayAccept() const;
  const Ledger &ledger() const;
  /// Receipts that control has not acknowledged.
  std::size_t pendingReceipts() const;

  /// Takes nothing new, announces that the upstream is leaving, finishes what
  /// is in progress, checkpoints the tasks, hands over all receipts and calls
  /// \p OnStopped; with false where the settings' bound cut it off.
  void stop(std::function<void(bool Clean)> OnStopped);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace dragonfly::agent

#endif // DRAGONFLY_AGENT_AGENTCORE_H
