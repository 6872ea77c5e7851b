#include "dragonfly/decide/SlowStart.h"

#include <algorithm>

namespace dragonfly::decide {

std::int64_t slowStartPermille(Duration Returned, Duration ColdTimeLeft,
                               const SlowStartOptions &Options) {
  constexpr std::int64_t FullPermille = 1000;
  const Duration WholeTime =
      std::max(Options.MinTime_, Returned + ColdTimeLeft);
  if (Returned >= WholeTime)
    return FullPermille;
  const std::int64_t Step =
      std::max(Returned, Duration::zero()) * Options.Steps_ / WholeTime;
  return Options.FirstPermille_ +
         (FullPermille - Options.FirstPermille_) * Step / Options.Steps_;
}

} // namespace dragonfly::decide
