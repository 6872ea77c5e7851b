#include "dragonfly/decide/WorkerSuspicion.h"

#include <algorithm>
#include <cmath>

namespace dragonfly::decide {

WorkerSuspicion::Row &WorkerSuspicion::decayed(TimePoint Now,
                                               const std::string &Worker) {
  Row &Each = Rows_.try_emplace(Worker, Row{.At_ = Now}).first->second;
  Each.Score_ *= std::exp2(-toMilliseconds(Now - Each.At_) /
                           toMilliseconds(Options_.HalfLife_));
  Each.At_ = Now;
  if (Each.Score_ >= Options_.SuspectThreshold_)
    Each.Suspect_ = true;
  else if (Each.Score_ < Options_.ClearThreshold_)
    Each.Suspect_ = false;
  return Each;
}

void WorkerSuspicion::recordSuccess(TimePoint Now, const std::string &Worker) {
  Row &Each = decayed(Now, Worker);
  Each.Score_ = std::max(0.0, Each.Score_ - Options_.SuccessCredit_);
}

void WorkerSuspicion::recordFailure(TimePoint Now, const std::string &Worker) {
  decayed(Now, Worker).Score_ += 1;
}

bool WorkerSuspicion::isSuspect(TimePoint Now, const std::string &Worker) {
  return decayed(Now, Worker).Suspect_;
}

} // namespace dragonfly::decide
