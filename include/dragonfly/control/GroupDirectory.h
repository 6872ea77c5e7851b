/// Serves the members of the control group from a VM that is not a member.
#ifndef DRAGONFLY_CONTROL_GROUPDIRECTORY_H
#define DRAGONFLY_CONTROL_GROUPDIRECTORY_H

#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/FrameServer.h"
#include "dragonfly/wire/Messages.h"

#include <string>

namespace dragonfly::control {

/// Answers FetchGroup with the group last passed to `learn()` and the replicas
/// that announced themselves since; refuses other requests with the leader's
/// address.
class GroupDirectory {
public:
  /// Throws NetError(CannotListen).
  GroupDirectory(net::EventLoop &Loop, const std::string &Address);

  /// Replaces the known group; ignores a group without rows.
  void learn(const wire::Group &Known);
  net::StopPart stopPart() { return Server_.stopPart("directory"); }

private:
  void handleMessage(const wire::Message &Value, const net::FrameReplier &To);
  void addMember(const wire::GroupRow &Row);

  wire::Group Known_;
  net::FrameServer Server_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_GROUPDIRECTORY_H
