/// One connection to the agent of each upstream.
#ifndef DRAGONFLY_SRC_ENTRY_AGENTPOOL_H
#define DRAGONFLY_SRC_ENTRY_AGENTPOOL_H

#include "dragonfly/base/Ids.h"
#include "dragonfly/entry/Gateway.h"
#include "dragonfly/net/FrameClient.h"
#include "dragonfly/wire/Messages.h"

#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

namespace dragonfly::net {
class EventLoop;
} // namespace dragonfly::net

namespace dragonfly::entry {

/// Connections follow the table of upstreams. One to an upstream that has left
/// is kept until its last call has ended.
class AgentPool {
public:
  AgentPool(net::EventLoop &Loop, Incarnation Self)
      : Loop_(Loop), Self_(Self) {}

  void setUpstreams(const std::vector<wire::Upstream> &Rows);
  void call(AgentCall Call);
  /// Sends a frame that has no answer.
  void tell(const std::string &Worker, const wire::Message &Value);

private:
  struct Row {
    std::string Address_;
    std::unique_ptr<net::FrameClient> Client_;
  };

  void retire(Row Left);

  net::EventLoop &Loop_;
  Incarnation Self_;
  std::unordered_map<std::string, Row> Rows_;
  std::vector<std::unique_ptr<net::FrameClient>> Retired_;
};

} // namespace dragonfly::entry

#endif // DRAGONFLY_SRC_ENTRY_AGENTPOOL_H
