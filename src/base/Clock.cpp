#include "dragonfly/base/Clock.h"

#include <atomic>

namespace dragonfly {
namespace {

std::atomic<bool> IsPaused{false};
std::atomic<Clock::rep> PausedAt{0};

} // namespace

Clock::time_point Clock::now() noexcept {
  if (paused())
    return time_point(duration(PausedAt.load(std::memory_order_relaxed)));
  return time_point(std::chrono::duration_cast<duration>(
      std::chrono::steady_clock::now().time_since_epoch()));
}

void Clock::pause(time_point At) noexcept {
  PausedAt.store(At.time_since_epoch().count(), std::memory_order_relaxed);
  IsPaused.store(true, std::memory_order_release);
}

bool Clock::paused() noexcept {
  return IsPaused.load(std::memory_order_acquire);
}

void Clock::advance(duration By) noexcept {
  PausedAt.fetch_add(By.count(), std::memory_order_relaxed);
}

void Clock::resume() noexcept {
  IsPaused.store(false, std::memory_order_release);
}

} // namespace dragonfly
