/// Sends load by a plan, open loop: a slow answer delays no later request.
#ifndef DRAGONFLY_BENCH_SUPPORT_LOADGENERATOR_H
#define DRAGONFLY_BENCH_SUPPORT_LOADGENERATOR_H

#include "support/LoadPlan.h"

#include <functional>
#include <memory>
#include <vector>

namespace dragonfly::net {
class EventLoop;
} // namespace dragonfly::net

namespace dragonfly::load {

/// One run of a plan.
class LoadGenerator {
public:
  /// Begins at once; \p OnDone gets the results when all requests have ended
  /// or the plan's patience is over.
  LoadGenerator(net::EventLoop &Loop, LoadPlan Plan,
                std::function<void(std::vector<LoadResult>)> OnDone);
  ~LoadGenerator();

  /// Sends nothing more; what is in progress is waited for.
  void stop();

private:
  struct Impl;
  std::shared_ptr<Impl> Impl_;
};

} // namespace dragonfly::load

#endif // DRAGONFLY_BENCH_SUPPORT_LOADGENERATOR_H
