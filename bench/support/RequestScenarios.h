/// Floods, bad workers, cancellations and a customer beyond its plan.
#ifndef DRAGONFLY_BENCH_SUPPORT_REQUESTSCENARIOS_H
#define DRAGONFLY_BENCH_SUPPORT_REQUESTSCENARIOS_H

#include "support/Measure.h"
#include "support/RequestRun.h"

namespace dragonfly::bench {

Measures floodOfLeastUrgent(const Deployment &Site, const Seeds &Runs);
Measures floodOfMostUrgent(const Deployment &Site, const Seeds &Runs);
Measures floodsThenCalm(const Deployment &Site, const Seeds &Runs);
Measures customerBeyondPlan(const Deployment &Site, const Seeds &Runs);
Measures failingWorkers(const Deployment &Site, const Seeds &Runs);
Measures cancellationWave(const Deployment &Site, const Seeds &Runs);

} // namespace dragonfly::bench

#endif // DRAGONFLY_BENCH_SUPPORT_REQUESTSCENARIOS_H
