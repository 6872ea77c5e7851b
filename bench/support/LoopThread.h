/// An event loop on a thread of its own, with what the thread has spent.
#ifndef DRAGONFLY_BENCH_SUPPORT_LOOPTHREAD_H
#define DRAGONFLY_BENCH_SUPPORT_LOOPTHREAD_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/net/EventLoop.h"

#include <cstdint>
#include <functional>
#include <future>
#include <thread>
#include <utility>

namespace dragonfly::standin {

/// Runs from its construction to its destruction.
class LoopThread {
public:
  LoopThread() : Thread_([this] { run(); }) {}
  ~LoopThread() {
    Loop_.post([this] { KeepRunning_.cancel(); });
    Loop_.stop();
    Thread_.join();
  }
  LoopThread(const LoopThread &) = delete;
  LoopThread &operator=(const LoopThread &) = delete;

  /// Calls \p Work on the loop's thread and returns its result.
  template <typename F> auto call(F Work) {
    std::packaged_task<decltype(Work())()> Task(std::move(Work));
    auto Result = Task.get_future();
    Loop_.post([&Task] { Task(); });
    return Result.get();
  }

  net::EventLoop &loop() { return Loop_; }

private:
  static constexpr Duration KeepRunningPeriod = std::chrono::hours(1);

  void run() {
    KeepRunning_ = Loop_.every(KeepRunningPeriod, [] {});
    Loop_.run();
  }

  net::EventLoop Loop_;
  net::Timer KeepRunning_;
  std::thread Thread_;
};

} // namespace dragonfly::standin

#endif // DRAGONFLY_BENCH_SUPPORT_LOOPTHREAD_H
