/// The lease under which a VM may run tasks.
#ifndef DRAGONFLY_AGENT_VMLEASE_H
#define DRAGONFLY_AGENT_VMLEASE_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Ids.h"

namespace dragonfly::agent {

/// Counts the term from when the agent sent the heartbeat that was
/// acknowledged, so that it never outlives the term that control counts.
class VmLease {
public:
  /// Takes the leader's acknowledgement. Late and older ones have no effect.
  void renew(TimePoint SentAt, Duration Term, Epoch Granted);

  bool held(TimePoint Now) const { return Now < Until_; }
  TimePoint until() const { return Until_; }
  Epoch epoch() const { return Epoch_; }

private:
  TimePoint Until_;
  Epoch Epoch_;
};

} // namespace dragonfly::agent

#endif // DRAGONFLY_AGENT_VMLEASE_H
