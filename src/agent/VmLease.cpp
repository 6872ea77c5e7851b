#include "dragonfly/agent/VmLease.h"

#include <algorithm>

namespace dragonfly::agent {

void VmLease::renew(TimePoint SentAt, Duration Term, Epoch Granted) {
  if (Granted < Epoch_)
    return;
  Epoch_ = Granted;
  Until_ = std::max(Until_, SentAt + Term);
}

} // namespace dragonfly::agent
