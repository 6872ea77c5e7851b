/// Tells others where control's group is, on a VM that is no member of it.
#ifndef DRAGONFLY_CONTROL_GROUPDIRECTORY_H
#define DRAGONFLY_CONTROL_GROUPDIRECTORY_H

#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/FrameServer.h"
#include "dragonfly/wire/Messages.h"

#include <string>

namespace dragonfly::control {

/// Answers questions about the group with what `learn()` was last given and
/// with replicas that made themselves known since; refuses other requests with
/// the leader's address.
class GroupDirectory {
public:
  /// Throws NetError(CannotListen).
  GroupDirectory(net::EventLoop &Loop, const std::string &Address);

  void learn(const wire::Group &Known);

private:
  void take(const wire::Message &Value, const net::FrameReplier &To);
  void add(const wire::GroupRow &Row);

  wire::Group Known_;
  net::FrameServer Server_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_GROUPDIRECTORY_H
