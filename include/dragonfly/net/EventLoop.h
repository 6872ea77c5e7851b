/// The event loop of a program: timers on the runtime's clock, posted work and
/// signals. It keeps Asio out of the headers that use it.
#ifndef DRAGONFLY_NET_EVENTLOOP_H
#define DRAGONFLY_NET_EVENTLOOP_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/net/ConnectionLimits.h"
#include "dragonfly/net/MemoryBudget.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
} // namespace boost::asio

namespace dragonfly::net {

/// A pending timer; destroying it or calling `cancel()` stops it.
class Timer {
public:
  struct State;

  Timer() = default;
  explicit Timer(std::shared_ptr<State> Pending);
  Timer(Timer &&) = default;
  Timer &operator=(Timer &&Other) noexcept;
  ~Timer();

  void cancel();

private:
  std::shared_ptr<State> State_;
};

/// One thread's loop. Every handler runs on the thread that calls `run()`.
class EventLoop {
public:
  EventLoop();
  ~EventLoop();

  /// Runs until `stop()`, or until no work is left.
  void run();
  /// Runs what is ready now, without waiting; returns the number of handlers.
  std::size_t poll();
  void stop();

  void post(std::function<void()> Work);
  /// Calls \p Work once, \p Delay from now.
  [[nodiscard]] Timer after(Duration Delay, std::function<void()> Work);
  /// Calls \p Work every \p Period, first after one period.
  [[nodiscard]] Timer every(Duration Period, std::function<void()> Work);
  /// Calls \p Work on the first SIGTERM or SIGINT, also on one that was held;
  /// further ones change nothing. SIGQUIT still ends the process at once.
  void onTerminate(std::function<void()> Work);
  /// Calls \p Work on each SIGHUP, also on one that was held.
  void onReload(std::function<void()> Work);

  boost::asio::io_context &context();
  /// Bounds what the process holds for requests, over all of its listeners.
  MemoryBudget &memory();
  /// Bounds the connections of all listeners of the process.
  ConnectionLimits &connectionLimits();

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace dragonfly::net

#endif // DRAGONFLY_NET_EVENTLOOP_H
