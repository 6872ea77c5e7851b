/// Load beside random faults of processes and of the paths between them, to
/// look for faults; no case of its own.
#ifndef DRAGONFLY_REVIEW_STANDIN_RANDOMFAULTS_H
#define DRAGONFLY_REVIEW_STANDIN_RANDOMFAULTS_H

#include "dragonfly/base/Clock.h"

#include <chrono>
#include <cstddef>
#include <cstdint>

namespace dragonfly::review {

class Stage;

struct RandomFaultOptions {
  std::uint64_t Seed_ = 1;
  Duration Length_ = std::chrono::seconds(35);
  /// Workers crash, or leave calls unanswered; agents are not restarted then,
  /// and no bytes are delayed.
  bool HarmsWorkers_ = false;
  /// Longest delay of a path, in milliseconds.
  std::size_t MaxDelayMs_ = 1200;
};

/// Returns the number of faults that clients and workers saw.
std::size_t runRandomFaults(Stage &On, const RandomFaultOptions &Options);

} // namespace dragonfly::review

#endif // DRAGONFLY_REVIEW_STANDIN_RANDOMFAULTS_H
