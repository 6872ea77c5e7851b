/// How a process stops: one rule for all of its servers.
#ifndef DRAGONFLY_NET_GRACEFULSTOP_H
#define DRAGONFLY_NET_GRACEFULSTOP_H

#include "dragonfly/decide/StopSchedule.h"
#include "dragonfly/net/EventLoop.h"

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

namespace dragonfly::net {

/// What a stop needs of one server, or of other work. Empty hooks are left out.
struct StopPart {
  /// Names the part in log lines.
  std::string Name_;
  /// The stop has begun; new requests are still served.
  std::function<void()> OnServing_;
  /// What was read is finished from now on, and nothing else.
  std::function<void()> OnRefusing_;
  /// Requests without an answer, and answers that have not left.
  std::function<std::size_t()> Unfinished_;
  /// What is unfinished gets its last answer now.
  std::function<void()> OnCutOff_;
  /// All parts are finished or cut off.
  std::function<void()> OnClosing_;
};

enum class StopResult : std::uint8_t { Finished, BoundReached };

/// Takes all parts through the phases of a stop.
class GracefulStop {
public:
  using EndHandler = std::function<void(StopResult)>;

  GracefulStop(EventLoop &Loop, decide::StopBounds Bounds);

  void add(StopPart Part);
  /// Begins the stop and calls \p OnEnded at its end. A repeated call has no
  /// effect.
  void begin(EndHandler OnEnded);
  bool hasBegun() const;

private:
  void advance();
  void enter(decide::StopPhase Phase);
  std::size_t unfinished() const;
  /// Names the parts that are unfinished, with their counts.
  std::string describeUnfinished() const;
  void cutOff();

  EventLoop &Loop_;
  decide::StopSchedule Schedule_;
  std::vector<StopPart> Parts_;
  EndHandler OnEnded_;
  Timer Check_;
  Timer End_;
};

} // namespace dragonfly::net

#endif // DRAGONFLY_NET_GRACEFULSTOP_H
