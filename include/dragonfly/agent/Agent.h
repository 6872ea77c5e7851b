/// The agent beside one upstream: the VM's ledger, the only path to the
/// upstream, the VM's lease and its tasks, and the graceful stop.
#ifndef DRAGONFLY_AGENT_AGENT_H
#define DRAGONFLY_AGENT_AGENT_H

#include "dragonfly/settings/Settings.h"

#include <functional>
#include <memory>

namespace dragonfly::net {
class EventLoop;
} // namespace dragonfly::net

namespace dragonfly::agent {

/// One agent process. It holds nothing on disk.
class Agent {
public:
  /// Starts to listen. Throws NetError.
  Agent(net::EventLoop &Loop, settings::AgentSettings Settings);
  ~Agent();

  /// Takes nothing new, announces that the upstream is leaving, finishes what
  /// is in progress, checkpoints the tasks, hands over all receipts and calls
  /// \p OnStopped; with false where the settings' bound cut it off.
  void stop(std::function<void(bool Clean)> OnStopped);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace dragonfly::agent

#endif // DRAGONFLY_AGENT_AGENT_H
