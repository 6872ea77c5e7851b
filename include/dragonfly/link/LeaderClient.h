/// Finds the leader of control from a few addresses and calls it.
#ifndef DRAGONFLY_LINK_LEADERCLIENT_H
#define DRAGONFLY_LINK_LEADERCLIENT_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Ids.h"
#include "dragonfly/net/Endpoint.h"
#include "dragonfly/net/FrameClient.h"
#include "dragonfly/wire/Messages.h"

#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

namespace dragonfly::net {
class EventLoop;
} // namespace dragonfly::net

namespace dragonfly::link {

struct LeaderClientOptions {
  Incarnation Self_;
  /// Frame addresses of some replicas; the others are learnt from them.
  std::vector<std::string> Seeds_;
  /// Longest wait for one replica before another one is asked: a few times the
  /// commit time of a slow disk.
  Duration ReplicaTimeout_ = std::chrono::milliseconds(800);
  /// Pause before the replicas are asked again while none leads; a tenth of an
  /// election.
  Duration RetryDelay_ = std::chrono::milliseconds(50);
  /// How often the addresses of the group are fetched.
  Duration RefreshPeriod_ = std::chrono::seconds(1);
  /// Called with each new answer about the group.
  std::function<void(const wire::Group &)> OnGroup_;
};

/// How long a call may take.
struct CallLimits {
  Duration Timeout_ = std::chrono::seconds(1);
  /// How long a request that no replica can have taken waits for a leader.
  Duration LeaderWait_ = Duration::max();
};

/// How a call to the leader ended.
struct LeaderResult {
  net::CallStatus Status_ = net::CallStatus::NeverSent;
  wire::Message Answer_;
  /// An earlier try of the call may have reached a replica.
  bool Retried_ = false;
};

/// The requests must be safe to repeat: a call is tried at several replicas
/// until one that leads answers. All handlers run on the loop.
class LeaderClient {
public:
  using Handler = std::function<void(LeaderResult)>;
  using PartHandler = std::function<void(wire::Message)>;

  LeaderClient(net::EventLoop &Loop, LeaderClientOptions Options);
  ~LeaderClient();

  /// Ends within the limits: as Answered by a leader, as NeverSent where no
  /// replica can have taken the request, else as TimedOut.
  void call(wire::Message Request, CallLimits Limits, Handler OnEnd);
  void call(wire::Message Request, Duration Timeout, Handler OnEnd) {
    call(std::move(Request), CallLimits{.Timeout_ = Timeout}, std::move(OnEnd));
  }
  /// Opens a stream at the leader, with one try. \p OnEnd is called once the
  /// stream has ended or has been silent for \p IdleTimeout.
  void stream(wire::Message Request, Duration IdleTimeout, PartHandler OnPart,
              Handler OnEnd);
  /// Sends \p Notice to every first address, whoever leads; answers are
  /// ignored.
  void announce(const wire::Message &Notice);
  /// Replaces the first addresses; learnt ones stay.
  void setSeeds(std::vector<std::string> Seeds);

  /// Returns the frame address of the leader, or an empty text where none has
  /// answered within two refresh periods.
  std::string recentLeader() const;

  /// When a leader last answered.
  TimePoint lastAnswer() const;

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace dragonfly::link

#endif // DRAGONFLY_LINK_LEADERCLIENT_H
