/// The systems that placement ticks, each over the tables it needs.
#ifndef DRAGONFLY_SRC_DECIDE_PLACEMENTSYSTEMS_H
#define DRAGONFLY_SRC_DECIDE_PLACEMENTSYSTEMS_H

#include "decide/PlacementTables.h"

namespace dragonfly::decide {

/// Starts waiting tasks where something changed: new tasks and workers with
/// more room than before.
void startTasks(PlacementState &State, TimePoint Now);

/// Throttles, releases and evicts on workers with a new reading.
void relievePressure(PlacementState &State, TimePoint Now);

/// Evicts enough on one worker for a task that callers wait for and that fits
/// nowhere.
void makeRoomFor(PlacementState &State, TimePoint Now, TaskIndex Index);

/// Records a failed stay; quarantines the worker or parks the task. Returns
/// true where the task was parked.
bool recordFailure(PlacementState &State, TimePoint Now, TaskIndex Index);

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_PLACEMENTSYSTEMS_H
