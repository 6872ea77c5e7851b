/// Control's replicated state, which is a pure function of the commands in the
/// log.
#ifndef DRAGONFLY_CONTROL_STATEMACHINE_H
#define DRAGONFLY_CONTROL_STATEMACHINE_H

#include "dragonfly/consensus/ReplicatedLog.h"
#include "dragonfly/control/ClaimTable.h"
#include "dragonfly/control/Command.h"
#include "dragonfly/control/CountTable.h"
#include "dragonfly/control/ListTable.h"
#include "dragonfly/control/TaskTable.h"
#include "dragonfly/jobs/EvacuationTable.h"
#include "dragonfly/jobs/ImageLosses.h"
#include "dragonfly/jobs/JobTable.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace dragonfly::control {

struct StateMachineOptions {
  /// Validates the content of a changed list.
  ListValidator Validator_ = validateList;
  ClaimWindow Claims_;
  CountWindow Counts_;
  TaskWindow Tasks_;
  /// Called after each change of a task.
  TaskObserver OnTaskChange_;
  /// Called after a snapshot has replaced the state.
  std::function<void()> OnRestore_;
};

/// Applies commands to the tables. The same commands in the same order produce
/// the same state on every replica, so nothing here reads a clock.
class StateMachine {
public:
  static constexpr std::uint32_t SnapshotFormat = 7;
  /// Format of snapshots with a row for each task, begun or not.
  static constexpr std::uint32_t SnapshotFormatWithAllTasks = 6;
  /// Format of snapshots without evacuated zones.
  static constexpr std::uint32_t SnapshotFormatWithoutEvacuations = 5;
  /// Format of snapshots without tasks under which workers crashed that were
  /// not blamed.
  static constexpr std::uint32_t SnapshotFormatWithoutExposures = 4;
  /// Format of snapshots without crashes of workers and early cancels.
  static constexpr std::uint32_t SnapshotFormatWithoutCrashes = 3;
  /// Format of snapshots without headroom losses of images.
  static constexpr std::uint32_t SnapshotFormatWithoutLosses = 2;
  /// Format of snapshots with neither jobs nor headroom losses of images.
  static constexpr std::uint32_t SnapshotFormatWithoutJobs = 1;

  explicit StateMachine(StateMachineOptions Options);

  /// Applies \p Value and returns its result. Log time never goes back: a
  /// command with an older stamp is applied at the newest stamp seen.
  CommandOutput apply(const Command &Value);

  std::string snapshot() const;
  /// Replaces the state by the snapshot in \p Bytes, which may have any of the
  /// formats above. Throws CodecError (BadSnapshot, WrongFormat) and then
  /// leaves the state unchanged.
  void restore(std::string_view Bytes);

  /// Returns the hooks for the replicated log. `decodeOutput` reads their
  /// outputs. The hooks refer to this object and must not outlive it.
  consensus::StateMachineHooks hooks();

  const ListTable &lists() const { return Lists_; }
  const ClaimTable &claims() const { return Claims_; }
  const CountTable &counts() const { return Counts_; }
  const TaskTable &tasks() const { return Tasks_; }
  const jobs::JobTable &jobs() const { return Jobs_; }
  const jobs::ImageLosses &imageLosses() const { return ImageLosses_; }
  const jobs::EvacuationTable &evacuations() const { return Evacuations_; }
  /// Newest log time applied so far.
  Duration logTime() const { return LogTime_; }

private:
  CommandOutput applyBody(const PutList &Body);
  CommandOutput applyBody(const ClaimRequests &Body);
  CommandOutput applyBody(const MergeReceipts &Body);
  CommandOutput applyBody(const AcceptTasks &Body);
  CommandOutput applyBody(const PlaceTasks &Body);
  CommandOutput applyBody(const ReportTasks &Body);
  CommandOutput applyBody(const LoseTasks &Body);
  CommandOutput applyBody(const CancelTasks &Body);
  CommandOutput applyBody(const ParkTasks &Body);
  CommandOutput applyBody(const PutQueues &Body);
  CommandOutput applyBody(const UpdateJobs &Body);
  CommandOutput applyBody(const RecordImageLosses &Body);
  CommandOutput applyBody(const RecordCrash &Body);
  CommandOutput applyBody(const RecordUnconfirmedCrash &Body);
  CommandOutput applyBody(const SetEvacuation &Body);
  void countEndedTask(const TaskRecord &Task);

  StateMachineOptions Options_;
  Duration LogTime_{};
  ListTable Lists_;
  ClaimTable Claims_;
  CountTable Counts_;
  TaskTable Tasks_;
  jobs::JobTable Jobs_;
  jobs::ImageLosses ImageLosses_;
  jobs::EvacuationTable Evacuations_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_STATEMACHINE_H
