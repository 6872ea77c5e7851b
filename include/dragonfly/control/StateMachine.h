/// Control's replicated state: a pure function of the commands in the log.
#ifndef DRAGONFLY_CONTROL_STATEMACHINE_H
#define DRAGONFLY_CONTROL_STATEMACHINE_H

#include "dragonfly/consensus/ReplicatedLog.h"
#include "dragonfly/control/ClaimTable.h"
#include "dragonfly/control/Command.h"
#include "dragonfly/control/CountTable.h"
#include "dragonfly/control/ListTable.h"
#include "dragonfly/control/TaskTable.h"
#include "dragonfly/jobs/ImageLosses.h"
#include "dragonfly/jobs/JobTable.h"

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace dragonfly::control {

struct StateMachineOptions {
  ListValidator Validator_ = validateList;
  ClaimWindow Claims_;
  CountWindow Counts_;
  TaskWindow Tasks_;
  TaskObserver OnTaskChange_;
  /// Called after the state has been replaced by a snapshot.
  std::function<void()> OnRestore_;
};

/// Applies commands to the tables. Equal commands in equal order make equal
/// states on every replica; nothing here reads a clock.
class StateMachine {
public:
  static constexpr std::uint32_t SnapshotFormat = 3;
  /// Snapshots from before what is known of images was replicated.
  static constexpr std::uint32_t SnapshotFormatWithoutLosses = 2;
  /// Snapshots from before there were jobs.
  static constexpr std::uint32_t SnapshotFormatWithoutJobs = 1;

  explicit StateMachine(StateMachineOptions Options);

  /// Log time of \p Value never goes back: an older stamp counts as the newest
  /// one seen.
  CommandOutput apply(const Command &Value);

  std::string snapshot() const;
  /// Throws CodecError, leaving the state unchanged.
  void restore(std::string_view Bytes);

  /// Hooks for the log, whose outputs `decodeOutput` reads. They refer to this
  /// object.
  consensus::StateMachineHooks hooks();

  const ListTable &lists() const { return Lists_; }
  const ClaimTable &claims() const { return Claims_; }
  const CountTable &counts() const { return Counts_; }
  const TaskTable &tasks() const { return Tasks_; }
  const jobs::JobTable &jobs() const { return Jobs_; }
  const jobs::ImageLosses &imageLosses() const { return Losses_; }
  /// The newest stamp that was applied.
  Duration logTime() const { return LogTime_; }

private:
  CommandOutput run(const PutList &Body);
  CommandOutput run(const ClaimRequests &Body);
  CommandOutput run(const MergeReceipts &Body);
  CommandOutput run(const AcceptTasks &Body);
  CommandOutput run(const PlaceTasks &Body);
  CommandOutput run(const ReportTasks &Body);
  CommandOutput run(const LoseTasks &Body);
  CommandOutput run(const CancelTasks &Body);
  CommandOutput run(const ParkTasks &Body);
  CommandOutput run(const PutQueues &Body);
  CommandOutput run(const UpdateJobs &Body);
  CommandOutput run(const RecordImageLosses &Body);
  void countEnded(const TaskRecord &Task);

  StateMachineOptions Options_;
  Duration LogTime_{};
  ListTable Lists_;
  ClaimTable Claims_;
  CountTable Counts_;
  TaskTable Tasks_;
  jobs::JobTable Jobs_;
  jobs::ImageLosses Losses_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_STATEMACHINE_H
