/// When the programs, workers and connections of a soak were last disturbed.
#ifndef DRAGONFLY_TESTS_SOAK_CALM_H
#define DRAGONFLY_TESTS_SOAK_CALM_H

#include "dragonfly/base/Clock.h"

#include <cstddef>
#include <vector>

namespace dragonfly::soak {

/// Processes are numbered as in a `Fleet`: control, entries, agents. Each agent
/// has the worker of the same number. What is disturbed until a time to come is
/// calm since then.
class Calm {
public:
  Calm(std::size_t Controls, std::size_t Entries, std::size_t Workers);

  void disturbProcess(std::size_t I, Duration Length = {});
  void disturbWorker(std::size_t I, Duration Length = {});
  void disturbAll();
  /// Processes are disturbed no longer than until now.
  void healProcesses();

  /// Since when control, worker \p I and its agent have been calm.
  TimePoint sinceNear(std::size_t I) const;
  /// Since when everything has been calm.
  TimePoint since() const;

private:
  std::size_t Controls_;
  std::vector<TimePoint> Processes_;
  std::vector<TimePoint> Workers_;
};

} // namespace dragonfly::soak

#endif // DRAGONFLY_TESTS_SOAK_CALM_H
