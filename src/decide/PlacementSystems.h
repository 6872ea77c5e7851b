/// The systems that run on each tick of placement.
#ifndef DRAGONFLY_SRC_DECIDE_PLACEMENTSYSTEMS_H
#define DRAGONFLY_SRC_DECIDE_PLACEMENTSYSTEMS_H

#include "decide/PlacementTables.h"

namespace dragonfly::decide {

/// Starts waiting tasks: new ones, and others on workers that have gained room
/// since they were last filled.
void startTasks(PlacementState &State, TimePoint Now);

/// Throttles, unthrottles and evicts tasks on workers with a new report.
void relievePressure(PlacementState &State, TimePoint Now);

/// Evicts tasks on one worker to make room for a task whose caller waits for
/// the result and that fits on no worker. Evicts nothing if no inspected worker
/// can make enough room.
void makeRoomFor(PlacementState &State, TimePoint Now, TaskIndex Index);

/// Records that a task failed on its worker, and quarantines the worker or
/// parks the task if the limits are reached. Returns true if the task was
/// parked.
bool recordFailure(PlacementState &State, TimePoint Now, TaskIndex Index);

} // namespace dragonfly::decide

#endif // DRAGONFLY_SRC_DECIDE_PLACEMENTSYSTEMS_H
