/// A paused clock and a loop that is polled, for the tests of silent
/// connections.
#ifndef DRAGONFLY_TESTS_NET_PAUSEDLOOP_H
#define DRAGONFLY_TESTS_NET_PAUSEDLOOP_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/net/EventLoop.h"

#include <chrono>

namespace dragonfly::net {

/// Pauses the clock while it exists.
struct PausedClock {
  PausedClock() { Clock::pause(TimePoint(std::chrono::seconds(100))); }
  PausedClock(const PausedClock &) = delete;
  PausedClock &operator=(const PausedClock &) = delete;
  ~PausedClock() { Clock::resume(); }
};

inline void pollSome(EventLoop &Loop) {
  constexpr int Polls = 30;
  for (int Count = 0; Count < Polls; ++Count)
    Loop.poll();
}

} // namespace dragonfly::net

#endif // DRAGONFLY_TESTS_NET_PAUSEDLOOP_H
