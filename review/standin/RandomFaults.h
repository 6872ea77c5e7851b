/// Load beside random faults of processes and of the paths between them, to
/// look for faults; no case of its own.
#ifndef DRAGONFLY_REVIEW_STANDIN_RANDOMFAULTS_H
#define DRAGONFLY_REVIEW_STANDIN_RANDOMFAULTS_H

#include "dragonfly/base/Clock.h"

#include <cstddef>
#include <cstdint>

namespace dragonfly::review {

class Stage;

/// Returns the number of faults that clients and workers saw.
std::size_t runRandomFaults(Stage &On, std::uint64_t Seed, Duration Length);

} // namespace dragonfly::review

#endif // DRAGONFLY_REVIEW_STANDIN_RANDOMFAULTS_H
