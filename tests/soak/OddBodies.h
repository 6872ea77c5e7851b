/// Bodies that another writer might leave where the programs read JSON.
#ifndef DRAGONFLY_TESTS_SOAK_ODDBODIES_H
#define DRAGONFLY_TESTS_SOAK_ODDBODIES_H

#include "dragonfly/base/Random.h"

#include <string>

namespace dragonfly::soak {

/// A JSON value that fits no field: too deep, out of range, of another type.
std::string oddValue(RandomEngine &Random);

/// \p Body with one of its values replaced by an odd one, or cut short.
std::string makeOdd(std::string Body, RandomEngine &Random);

} // namespace dragonfly::soak

#endif // DRAGONFLY_TESTS_SOAK_ODDBODIES_H
