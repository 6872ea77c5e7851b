#include "dragonfly/base/Clock.h"

#include <atomic>
#include <ctime>

namespace dragonfly {
namespace {

std::atomic<bool> IsPaused{false};
std::atomic<Clock::rep> PausedAt{0};

} // namespace

Clock::time_point Clock::now() noexcept {
  if (paused())
    return time_point(duration(PausedAt.load(std::memory_order_relaxed)));
  // The steady clock stops while a VM is suspended; leases must not.
  timespec Time{};
  clock_gettime(CLOCK_BOOTTIME, &Time);
  return time_point(std::chrono::seconds(Time.tv_sec) +
                    std::chrono::nanoseconds(Time.tv_nsec));
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
