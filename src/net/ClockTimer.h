/// An Asio timer on the runtime's clock.
#ifndef DRAGONFLY_SRC_NET_CLOCKTIMER_H
#define DRAGONFLY_SRC_NET_CLOCKTIMER_H

#include "dragonfly/base/Clock.h"

#include <boost/asio/basic_waitable_timer.hpp>

/// While the clock is paused, real time says nothing about when a timer is
/// due, so Asio is made to look at its timers on each poll.
template <> struct boost::asio::wait_traits<dragonfly::Clock> {
  static dragonfly::Duration to_wait_duration(const dragonfly::Duration &Wait) {
    return dragonfly::Clock::paused() ? dragonfly::Duration::zero() : Wait;
  }
  static dragonfly::Duration to_wait_duration(const dragonfly::TimePoint &At) {
    return to_wait_duration(At - dragonfly::Clock::now());
  }
};

namespace dragonfly::net {

using ClockTimer = boost::asio::basic_waitable_timer<Clock>;

} // namespace dragonfly::net

#endif // DRAGONFLY_SRC_NET_CLOCKTIMER_H
