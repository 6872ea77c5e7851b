/// A control replica as a process: the service with its sockets and timers.
#ifndef DRAGONFLY_CONTROL_CONTROL_H
#define DRAGONFLY_CONTROL_CONTROL_H

#include "dragonfly/base/Metrics.h"
#include "dragonfly/net/GracefulStop.h"
#include "dragonfly/settings/Settings.h"

#include <functional>
#include <memory>
#include <vector>

namespace dragonfly::link {
class LeaderClient;
} // namespace dragonfly::link

namespace dragonfly::control {

class Control {
public:
  /// Recovers the data folder and starts to listen. Throws StorageError or
  /// NetError. Later failures of the log or its storage leave
  /// `EventLoop::run()` as exceptions; the process must end then.
  Control(net::EventLoop &Loop, const settings::ControlSettings &Settings,
          std::shared_ptr<Metrics> Counts = std::make_shared<Metrics>());
  ~Control();

  /// Hands leadership over and takes no more requests; calls \p OnStopped once
  /// what is under way has been answered. Its argument is false where the
  /// bound of the settings was reached first. \p Others are servers of the same
  /// process. Has an effect once.
  void stop(std::function<void(bool Clean)> OnStopped,
            std::vector<net::StopPart> Others = {});

  /// Reaches the leader, which may be this replica. Null unless the settings
  /// let the group repair itself.
  link::LeaderClient *leader();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_CONTROL_H
