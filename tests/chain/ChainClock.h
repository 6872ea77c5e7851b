/// When a chain of a job was last disturbed, by part.
#ifndef DRAGONFLY_TESTS_CHAIN_CHAINCLOCK_H
#define DRAGONFLY_TESTS_CHAIN_CHAINCLOCK_H

#include "dragonfly/base/Clock.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <vector>

namespace dragonfly::chain {

using std::chrono::milliseconds;
using std::chrono::seconds;

/// Bounds of the platform's rules.
inline constexpr Duration ContactTime = seconds(3);
inline constexpr Duration CancelTime = seconds(3);
inline constexpr Duration StopTime = milliseconds(900);
inline constexpr Duration DrainTime = milliseconds(2000);
inline constexpr Duration AckTime = seconds(4);

/// Disruptions of control, of machines and of workers.
class ChainClock {
public:
  explicit ChainClock(std::size_t Machines)
      : Machines_(Machines, Clock::now()), Workers_(Machines, Clock::now()) {}

  void disturbCore() { Core_ = Clock::now(); }
  void disturbMachine(std::size_t I) { Machines_[I] = Clock::now(); }
  void disturbWorker(std::size_t I) { Workers_[I] = Clock::now(); }
  void disturbEntry() { Entry_ = Clock::now(); }

  /// Whether rules with a time bound hold for what machine \p I does now.
  bool isInTouch(std::size_t I) const {
    return Clock::now() - std::max(Core_, Machines_[I]) >= ContactTime;
  }
  /// Whether an unanswered cancel counts as waiting now.
  bool isSteady() const {
    return Clock::now() - std::max({Core_, Entry_, latestOf(Machines_)}) >=
           ContactTime;
  }
  /// Time since the last disruption of anything.
  Duration calmFor() const {
    return Clock::now() -
           std::max({Core_, Entry_, latestOf(Machines_), latestOf(Workers_)});
  }

private:
  static TimePoint latestOf(const std::vector<TimePoint> &Each) {
    return *std::ranges::max_element(Each);
  }

  TimePoint Core_ = Clock::now();
  TimePoint Entry_ = Clock::now();
  std::vector<TimePoint> Machines_;
  std::vector<TimePoint> Workers_;
};

} // namespace dragonfly::chain

#endif // DRAGONFLY_TESTS_CHAIN_CHAINCLOCK_H
