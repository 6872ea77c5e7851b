/// Placement beside requests: against first-fit, impossible jobs, weights.
#ifndef BENCH_SUPPORT_TASKSCENARIOS_H
#define BENCH_SUPPORT_TASKSCENARIOS_H

#include "support/Measure.h"
#include "support/TaskRun.h"

namespace dragonfly::bench {

Measures againstFirstFit(const Deployment &Site, const Seeds &Runs);
Measures impossibleJobs(const Deployment &Site, const Seeds &Runs);
Measures weightsOfDeployments(const Deployment &Site, const Seeds &Runs);

} // namespace dragonfly::bench

#endif // BENCH_SUPPORT_TASKSCENARIOS_H
