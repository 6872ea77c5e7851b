#include "dragonfly/decide/StopSchedule.h"

namespace dragonfly::decide {

void StopSchedule::begin(TimePoint Now) {
  if (Phase_ != StopPhase::Running)
    return;
  Phase_ = StopPhase::Serving;
  BeganAt_ = Now;
}

StopPhase StopSchedule::advance(TimePoint Now, std::size_t Unfinished) {
  const bool IsBoundReached = Now >= BeganAt_ + Bounds_.Bound_;
  switch (Phase_) {
  case StopPhase::Running:
  case StopPhase::Ended:
    break;
  case StopPhase::Serving:
    if (IsBoundReached || Now >= BeganAt_ + Bounds_.ServeTime_)
      Phase_ = StopPhase::Refusing;
    break;
  case StopPhase::Refusing:
    if (Unfinished > 0 && !IsBoundReached)
      break;
    IsCutOff_ = Unfinished > 0;
    Phase_ = StopPhase::Closing;
    ClosingAt_ = Now;
    break;
  case StopPhase::Closing:
    if (Unfinished == 0 || Now >= ClosingAt_ + Bounds_.CloseTime_)
      Phase_ = StopPhase::Ended;
  }
  return Phase_;
}

} // namespace dragonfly::decide
