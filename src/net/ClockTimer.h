/// An Asio timer on the runtime's clock.
#ifndef DRAGONFLY_SRC_NET_CLOCKTIMER_H
#define DRAGONFLY_SRC_NET_CLOCKTIMER_H

#include "dragonfly/base/Clock.h"

#include <boost/asio/basic_waitable_timer.hpp>

namespace dragonfly::net {

using ClockTimer = boost::asio::basic_waitable_timer<Clock>;

} // namespace dragonfly::net

#endif // DRAGONFLY_SRC_NET_CLOCKTIMER_H
