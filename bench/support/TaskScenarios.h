/// Placement beside requests: against first-fit, impossible jobs, weights.
#ifndef DRAGONFLY_BENCH_SUPPORT_TASKSCENARIOS_H
#define DRAGONFLY_BENCH_SUPPORT_TASKSCENARIOS_H

#include "support/Measure.h"
#include "support/TaskRun.h"

namespace dragonfly::bench {

Measures againstFirstFit(const Deployment &Site, const Seeds &Runs);
Measures impossibleJobs(const Deployment &Site, const Seeds &Runs);
Measures weightsOfDeployments(const Deployment &Site, const Seeds &Runs);

} // namespace dragonfly::bench

#endif // DRAGONFLY_BENCH_SUPPORT_TASKSCENARIOS_H
