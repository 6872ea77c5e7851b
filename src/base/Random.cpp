#include "dragonfly/base/Random.h"

namespace dragonfly {

std::uint64_t freshRandom() {
  std::random_device Source;
  std::uint64_t Value = 0;
  while (Value == 0)
    Value = (static_cast<std::uint64_t>(Source()) << 32U) | Source();
  return Value;
}

} // namespace dragonfly
