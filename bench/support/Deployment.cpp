#include "support/Deployment.h"

namespace dragonfly::bench {

using namespace std::chrono_literals;

Deployment makeNotbandet() {
  Deployment Value;
  Value.Name_ = "notbandet";
  Value.Capacity_ = {64000, 238418, 0};
  Value.ZoneDelay_ = 1500us;
  Value.ClientDelay_ = 1ms;
  Value.Kinds_ = {{"belt-check", 500, 10ms, 0.3, 500ms, true, 0.2},
                  {"lot-review", 300, 200ms, 0.4, 30s, false, 0.15},
                  {"line-watch", 200, 10s, 0.3, 8h, true, 0.1}};
  Value.Placement_.TailLatencyPermille_ = 600;
  Value.Placement_.BatchThroughputPermille_ = 200;
  Value.Placement_.EvictionsPermille_ = 200;
  return Value;
}

Deployment makeSiamSpoke() {
  Deployment Value;
  Value.Name_ = "siam-spoke";
  Value.Capacity_ = {16000, 57220, 0};
  Value.ZoneDelay_ = 1ms;
  Value.ClientDelay_ = 3ms;
  Value.Kinds_ = {{"rim-fit-check", 300, 20ms, 0.3, 2s, true, 0.15},
                  {"wheel-build-plan", 500, 400ms, 0.4, 60s, false, 0.25},
                  {"truing-watch", 200, 10s, 0.3, 8h, true, 0.1}};
  Value.Placement_.TailLatencyPermille_ = 300;
  Value.Placement_.BatchThroughputPermille_ = 400;
  Value.Placement_.EvictionsPermille_ = 300;
  return Value;
}

} // namespace dragonfly::bench
