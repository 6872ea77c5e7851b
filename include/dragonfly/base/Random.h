/// Seeded random numbers and fresh identifiers.
#ifndef DRAGONFLY_BASE_RANDOM_H
#define DRAGONFLY_BASE_RANDOM_H

#include "dragonfly/base/Ids.h"

#include <cstdint>
#include <random>

namespace dragonfly {

/// The generator used throughout; equal seeds give equal sequences.
using RandomEngine = std::mt19937_64;

/// Returns a non-zero value from the system's entropy.
std::uint64_t freshRandom();

/// Returns a fresh identifier, such as a process's incarnation.
template <typename IdType> IdType makeFreshId() {
  return IdType{freshRandom()};
}

} // namespace dragonfly

#endif // DRAGONFLY_BASE_RANDOM_H
