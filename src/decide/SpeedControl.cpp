#include "dragonfly/decide/SpeedControl.h"

#include <algorithm>

namespace dragonfly::decide {

std::uint32_t SpeedControl::update(TimePoint Now, std::uint32_t WorstPermille) {
  constexpr std::uint32_t Full = 100;
  if (WorstPermille == 0) {
    Percent_ = Full;
    return Percent_;
  }
  if (Now < ChangeAt_)
    return Percent_;
  ChangeAt_ = Now + Options_.Period_;
  if (WorstPermille > Options_.HalveAbovePermille_)
    Percent_ /= 2;
  else if (WorstPermille > Options_.LowerAbovePermille_)
    Percent_ = Percent_ * 4 / 5;
  else if (WorstPermille < Options_.RaiseBelowPermille_)
    Percent_ = std::min(Full, Percent_ + Options_.RaiseStep_);
  if (WorstPermille > Options_.LowerAbovePermille_ &&
      Percent_ < Options_.LeastPercent_)
    Percent_ = 0;
  return Percent_;
}

} // namespace dragonfly::decide
