/// One replica of control without its sockets: takes messages, heartbeats and
/// the time, and answers through hooks.
#ifndef DRAGONFLY_CONTROL_CONTROLSERVICE_H
#define DRAGONFLY_CONTROL_CONTROLSERVICE_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/consensus/ReplicatedLog.h"
#include "dragonfly/consensus/Storage.h"
#include "dragonfly/control/Command.h"
#include "dragonfly/control/GroupPlan.h"
#include "dragonfly/control/JobService.h"
#include "dragonfly/control/StateMachine.h"
#include "dragonfly/control/TaskScheduler.h"
#include "dragonfly/control/UpstreamTable.h"
#include "dragonfly/settings/Settings.h"
#include "dragonfly/wire/Messages.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

namespace dragonfly::control {

struct ControlServiceOptions {
  /// `Machine_` and `OnLeadership_` are set by the service.
  consensus::ReplicatedLogOptions Log_;
  /// `OnTaskChange_` is set by the service.
  StateMachineOptions Machine_;
  std::vector<settings::ReplicaSettings> Replicas_;
  Duration LeaseTerm_ = std::chrono::seconds(3);
  Duration DriftMargin_ = std::chrono::milliseconds(300);
  /// How often tasks are placed.
  Duration SchedulePeriod_ = std::chrono::milliseconds(20);
  /// How often leases are compared with the time.
  Duration ExpiryPeriod_ = std::chrono::milliseconds(100);
  decide::PlacementOptions Placement_;
  std::function<bool(const std::string &Kind)> Evictable_;
  /// Bytes of the state, in its newest snapshot, beyond which jobs are refused;
  /// 0 is no bound.
  std::uint64_t MaxStateBytes_ = 0;
  /// Memory that jobs may hold, in bytes; 0 is no bound.
  std::size_t MaxJobBytes_ = 0;
  /// How long a worker's runs go on without a renewal.
  Duration WorkerLeaseTerm_ = JobServiceOptions().WorkerLeaseTerm_;
  double RemoteFactor_ = JobServiceOptions().RemoteFactor_;
  std::shared_ptr<Metrics> Metrics_ = std::make_shared<Metrics>();
  /// True where the leader repairs the group by itself. `Self_` is set by the
  /// service.
  bool RepairsGroup_ = false;
  GroupPlanOptions Group_;
};

/// One replica. Every answer that states something durable leaves only after
/// the record is committed. A request that provably did nothing is answered
/// with `wire::Refusal`; one that may have done something is not answered.
class ControlService {
public:
  using Reply = std::function<void(wire::Message)>;

  /// Recovers from \p Disk. Throws StorageError.
  ControlService(ControlServiceOptions Options,
                 std::unique_ptr<consensus::Storage> Disk, TimePoint Now);
  ~ControlService();

  /// Call it every few milliseconds and after each batch of input. Throws
  /// StorageError, LogError or CodecError; the process must end then.
  void tick(TimePoint Now);

  /// Takes bytes that another replica sent.
  void receivePeer(TimePoint Now, ReplicaId From, std::string_view Bytes);

  /// Answers a heartbeat, unless this replica is no voter: what a learner's log
  /// lacks would be taken for the absence of a newer list.
  std::optional<wire::HeartbeatAck> heartbeat(TimePoint Now,
                                              const wire::Heartbeat &Beat);

  /// Answers a request of an entry or an agent, now or within a later tick.
  void handle(TimePoint Now, wire::Message Request, Reply Answer);

  /// Opens a worker's session, whose orders go to \p Stream.
  void attachWorker(TimePoint Now, wire::WorkerHello Hello,
                    WorkerStream Stream);

  /// The members and the leader as far as this replica knows.
  wire::Group group() const;

  /// Proposes a change of a list. \p Done gets the outcome only where it was
  /// committed.
  void putList(PutList Change,
               std::function<void(consensus::ProposeStatus, PutOutcome)> Done);
  /// Calls \p Done with true once a read of the state is linearizable here.
  void readBarrier(std::function<void(bool)> Done);
  /// Evacuates a zone or takes it back; the status counts where the record is
  /// committed.
  void setEvacuation(
      SetEvacuation Change,
      std::function<void(consensus::ProposeStatus, jobs::EvacuationStatus)>
          Done);
  void changeMember(consensus::Member Target, bool Remove,
                    std::function<void(consensus::ProposeStatus)> Done);

  /// True while this replica leads and has applied what earlier terms left.
  bool serving() const;
  /// Returns whether this replica votes with the data folder that it has.
  bool isVoter() const;
  /// Lets another replica lead, where this one does; for one that stops.
  void transferLeadership();
  /// The leader as far as this replica knows.
  const settings::ReplicaSettings *leader() const;
  const StateMachine &state() const;
  const UpstreamTable &upstreams() const;
  const consensus::ReplicatedLog &log() const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_CONTROLSERVICE_H
