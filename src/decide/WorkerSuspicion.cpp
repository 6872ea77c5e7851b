#include "dragonfly/decide/WorkerSuspicion.h"

#include <algorithm>
#include <cmath>

namespace dragonfly::decide {

WorkerSuspicion::Row &WorkerSuspicion::updatedRow(TimePoint Now,
                                                  const std::string &Worker) {
  Row &WorkerRow =
      Rows_.try_emplace(Worker, Row{.UpdatedAt_ = Now}).first->second;
  WorkerRow.Score_ *= std::exp2(-toMilliseconds(Now - WorkerRow.UpdatedAt_) /
                                toMilliseconds(Options_.HalfLife_));
  WorkerRow.UpdatedAt_ = Now;
  if (WorkerRow.Score_ >= Options_.SuspectThreshold_)
    WorkerRow.Suspect_ = true;
  else if (WorkerRow.Score_ < Options_.ClearThreshold_)
    WorkerRow.Suspect_ = false;
  return WorkerRow;
}

void WorkerSuspicion::recordSuccess(TimePoint Now, const std::string &Worker) {
  Row &WorkerRow = updatedRow(Now, Worker);
  WorkerRow.Score_ = std::max(0.0, WorkerRow.Score_ - Options_.SuccessCredit_);
}

void WorkerSuspicion::recordFailure(TimePoint Now, const std::string &Worker) {
  updatedRow(Now, Worker).Score_ += 1;
}

bool WorkerSuspicion::isSuspect(TimePoint Now, const std::string &Worker) {
  return updatedRow(Now, Worker).Suspect_;
}

} // namespace dragonfly::decide
