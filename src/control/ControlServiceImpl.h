/// What a replica of control holds, and how its parts work together.
#ifndef DRAGONFLY_SRC_CONTROL_CONTROLSERVICEIMPL_H
#define DRAGONFLY_SRC_CONTROL_CONTROLSERVICEIMPL_H

#include "dragonfly/control/ControlService.h"

#include "control/GroupKeeper.h"
#include "control/RecordBatcher.h"
#include "dragonfly/base/Log.h"

#include <algorithm>
#include <utility>

namespace dragonfly::control {

using consensus::ProposeStatus;
using settings::ListName;

/// How long a new leader may repair the group before it serves. A repair takes
/// about 100 ms, or half an election timeout more where a message is lost.
inline constexpr Duration RepairFirstTime = std::chrono::milliseconds(500);

struct NamedVersions {
  ListVersion Plans_;
  ListVersion Purchases_;
};

struct ControlService::Impl {
  Impl(ControlServiceOptions Options, std::unique_ptr<consensus::Storage> Disk,
       TimePoint Now)
      : Options_(std::move(Options)), Now_(Now), Machine_(machineOptions()),
        Upstreams_({.LeaseTerm_ = Options_.LeaseTerm_,
                    .DriftMargin_ = Options_.DriftMargin_,
                    .HolderOfTasks_ =
                        [this](const std::string &Worker) {
                          return Machine_.tasks().holderOfTasks(Worker);
                        }}),
        Scheduler_({.Placement_ = Options_.Placement_,
                    .AnnounceGracePeriod_ = Options_.LeaseTerm_,
                    .LeaseCheckPeriod_ = Options_.ExpiryPeriod_,
                    .Evictable_ = Options_.Evictable_},
                   Machine_.tasks(), Upstreams_),
        Batcher_(
            {.Propose_ =
                 [this](CommandBody Body, ProposeDone Done) {
                   propose(std::move(Body), std::move(Done));
                 },
             .Refuse_ = [this] { return refusal(); },
             .OnReported_ =
                 [this](const wire::TaskReports &Batch) { reported(Batch); }},
            Machine_),
        Jobs_(jobOptions(), Machine_.jobs(), Machine_.imageLosses(),
              Machine_.evacuations()),
        Group_(Log_), Log_(logOptions(), std::move(Disk), Now) {
    Options_.Group_.Self_ = Options_.Log_.Self_;
  }

  JobServiceOptions jobOptions() {
    JobServiceOptions Result;
    Result.Propose_ = [this](CommandBody Body, ProposeDone Done) {
      propose(std::move(Body), std::move(Done));
    };
    Result.HoldsLeaderLease_ = [this] {
      return Serving_ && Log_.holdsLeaderLease(Now_);
    };
    Result.MakeRefusal_ = [this] { return refusal(); };
    Result.IsStateFull_ = [this] { return isStateFull(); };
    Result.MaxJobBytes_ = Options_.MaxJobBytes_;
    Result.WorkerLeaseTerm_ = Options_.WorkerLeaseTerm_;
    Result.RemoteFactor_ = Options_.RemoteFactor_;
    Result.Metrics_ = Options_.Metrics_;
    return Result;
  }

  bool isStateFull() const {
    return Options_.MaxStateBytes_ > 0 &&
           Log_.snapshotBytes() > Options_.MaxStateBytes_;
  }

  /// Records the time, with which ended jobs are forgotten, and measures what
  /// is left.
  void shrinkState() {
    StateCheckAt_ = Now_ + JobServiceOptions().FullStateRetryAfter_;
    propose(UpdateJobs{}, [this](ProposeStatus, const CommandOutput &) {
      if (isStateFull())
        Log_.requestSnapshot();
    });
  }

  StateMachineOptions machineOptions() {
    StateMachineOptions Result = Options_.Machine_;
    Result.OnTaskChange_ = [this](TaskChange Change, const TaskRecord &Task,
                                  const std::string &Worker) {
      // Recovery applies commands before the scheduler exists.
      if (Serving_)
        Scheduler_.onTaskChange(Change, Task, Worker);
    };
    return Result;
  }

  consensus::ReplicatedLogOptions logOptions() {
    consensus::ReplicatedLogOptions Result = Options_.Log_;
    Result.Machine_ = Machine_.hooks();
    Result.OnLeadership_ = [this](bool Leader) {
      BarrierDue_ = Leader;
      if (!Leader)
        stopServing();
    };
    return Result;
  }

  void tick(TimePoint Now) {
    Now_ = Now;
    NamedStale_ = true;
    Batcher_.flush();
    if (Serving_)
      Jobs_.tick(Now, logNow());
    Log_.tick(Now);
    if (std::exchange(BarrierDue_, false))
      Log_.readBarrier([this, Led = Log_.term()](bool Passed) {
        if (Passed && Log_.term() == Led)
          takeOver();
      });
    if (RepairEndsAt_ && !repairsFirst())
      serve();
    if (Serving_ && Now >= StateCheckAt_ &&
        (isStateFull() || Jobs_.isJobMemoryScarce()))
      shrinkState();
    if (Now >= ExpiryCheckAt_) {
      ExpiryCheckAt_ = Now + Options_.ExpiryPeriod_;
      Upstreams_.tick(Now);
    }
    if (Now < ScheduleAt_)
      return;
    ScheduleAt_ = Now + Options_.SchedulePeriod_;
    if (Serving_ && Log_.holdsLeaderLease(Now))
      schedule();
    if ((Serving_ || RepairEndsAt_) && Options_.RepairsGroup_)
      Group_.tick(Now, Options_.Group_);
  }

  std::string addressOf(ReplicaId Id) const {
    const auto Row =
        std::ranges::find(Log_.members(), Id, &consensus::Member::Id_);
    if (Row != Log_.members().end() && !Row->Address_.empty())
      return Row->Address_;
    const auto Found = std::ranges::find(Options_.Replicas_, Id,
                                         &settings::ReplicaSettings::Id_);
    return Found != Options_.Replicas_.end() ? Found->Address_ : std::string();
  }

  wire::Group group() const {
    wire::Group Known;
    for (const consensus::Member &Row : Log_.members())
      Known.Rows_.push_back({.Id_ = Row.Id_, .Address_ = Row.Address_});
    if (Log_.leader())
      Known.Leader_ = addressOf(Log_.leader());
    return Known;
  }

  void takeOver() {
    Group_.lead(Now_);
    RepairEndsAt_ = Now_ + RepairFirstTime;
    if (!repairsFirst())
      serve();
  }

  /// True while this leader serves nobody yet, since one more lost disk would
  /// take with it what it acknowledges.
  bool repairsFirst() const {
    return Options_.RepairsGroup_ && Now_ < *RepairEndsAt_ &&
           Group_.replacementIsDue(Now_, Options_.Group_);
  }

  void serve() {
    RepairEndsAt_.reset();
    Options_.Metrics_->count("terms_led");
    Upstreams_.lead(Now_, Log_.term());
    Scheduler_.lead(Now_, logNow());
    Jobs_.startLeading(Now_, Log_.term());
    Serving_ = true;
  }

  void stopServing() {
    Serving_ = false;
    RepairEndsAt_.reset();
    Group_.stop();
    Scheduler_.stop();
    Batcher_.refuseAll();
    Jobs_.stopLeading();
  }

  void schedule() {
    for (CommandBody &Body : Scheduler_.tick(Now_, logNow())) {
      std::optional<PlaceTasks> Placed;
      if (const auto *Place = std::get_if<PlaceTasks>(&Body))
        Placed = *Place;
      propose(std::move(Body),
              [this, Placed](ProposeStatus Status, const CommandOutput &) {
                if (Status == ProposeStatus::Committed && Placed)
                  Scheduler_.onPlacementsCommitted(*Placed);
              });
    }
  }

  /// Log time grows with this replica's clock from the newest stamp it knows.
  Duration logNow() {
    const Duration Clocked = Now_.time_since_epoch();
    LogOffset_ = std::max(LogOffset_, Machine_.logTime() - Clocked);
    return Clocked + LogOffset_;
  }

  void propose(CommandBody Body, ProposeDone Done) {
    NamedStale_ = true;
    Log_.propose(
        encodeCommand({.At_ = logNow(), .Body_ = std::move(Body)}),
        [Done = std::move(Done)](const consensus::ProposeResult &Result) {
          Done(Result.Status_, Result.Status_ == ProposeStatus::Committed
                                   ? decodeOutput(Result.Output_)
                                   : CommandOutput());
        });
  }

  wire::Refusal refusal() const {
    return {.Reason_ = Reason::NoQuorum,
            .Leader_ =
                Log_.leader() ? addressOf(Log_.leader()) : std::string()};
  }

  const settings::ReplicaSettings *leader() const {
    const auto Found = std::ranges::find(Options_.Replicas_, Log_.leader(),
                                         &settings::ReplicaSettings::Id_);
    return Found != Options_.Replicas_.end() ? &*Found : nullptr;
  }

  bool isVoter() const {
    return std::ranges::any_of(
        Log_.members(), [this](const consensus::Member &Row) {
          return Row.Id_ == Options_.Log_.Self_ && Row.Voter_ &&
                 Row.Store_ == Log_.store();
        });
  }

  /// The newest versions in this replica's log, committed or not.
  const NamedVersions &named() {
    if (!std::exchange(NamedStale_, false))
      return Named_;
    Named_ = {.Plans_ = Machine_.lists().list(ListName::Plans).Version_,
              .Purchases_ =
                  Machine_.lists().list(ListName::Purchases).Version_};
    Log_.visitUnapplied([this](std::string_view Bytes) {
      const std::optional<PutList> Change = decodeIfPutList(Bytes);
      if (!Change)
        return;
      ListVersion &Newest =
          Change->List_ == ListName::Plans ? Named_.Plans_ : Named_.Purchases_;
      Newest =
          std::max(Newest, ListVersion{Change->ExpectedVersion_.Value_ + 1});
    });
    return Named_;
  }

  std::optional<wire::HeartbeatAck> heartbeat(TimePoint Now,
                                              const wire::Heartbeat &Beat) {
    Now_ = Now;
    const bool MayRenew = Serving_ && Log_.holdsLeaderLease(Now);
    const bool Renewed = Upstreams_.heartbeat(Now, Beat, MayRenew);
    if (!isVoter())
      return std::nullopt;
    const settings::ReplicaSettings *Leader = leader();
    wire::HeartbeatAck Ack;
    Ack.Sequence_ = Beat.Sequence_;
    Ack.SentAt_ = Beat.SentAt_;
    Ack.IsLeader_ = Renewed;
    Ack.Leader_ = Leader != nullptr ? Leader->Address_ : std::string();
    Ack.LeaseTerm_ = Options_.LeaseTerm_;
    Ack.Epoch_ = {Log_.term().Value_};
    Ack.Plans_ = named().Plans_;
    Ack.Purchases_ = named().Purchases_;
    Ack.UpstreamsVersion_ = Upstreams_.version();
    Ack.Entries_ = Upstreams_.liveEntryCount();
    Ack.DirectivesPending_ = Renewed && Beat.Role_ == wire::Role::Agent &&
                             Scheduler_.hasDirectives(Beat.Name_);
    return Ack;
  }

  void handle(wire::Message Request, Reply Answer) {
    if (std::holds_alternative<wire::FetchGroup>(Request)) {
      Answer(group());
      return;
    }
    if (!Serving_) {
      if (const auto *Notice = std::get_if<wire::JoinGroup>(&Request))
        Group_.sighted(Now_, *Notice);
      Answer(refusal());
      return;
    }
    std::visit(
        [&](auto &Value) { serveRequest(std::move(Value), std::move(Answer)); },
        Request);
  }

  void serveRequest(const wire::FetchLists &, Reply Answer) {
    const VersionedList &Plans = Machine_.lists().list(ListName::Plans);
    const VersionedList &Purchases = Machine_.lists().list(ListName::Purchases);
    Answer(wire::Lists{.PlansVersion_ = Plans.Version_,
                       .Plans_ = Plans.Content_,
                       .PurchasesVersion_ = Purchases.Version_,
                       .Purchases_ = Purchases.Content_});
  }

  void serveRequest(const wire::FetchUpstreams &, Reply Answer) {
    Answer(Upstreams_.upstreams());
  }

  void serveRequest(const wire::QueryTask &Query, Reply Answer) {
    Log_.readBarrier([this, Query, Answer = std::move(Answer)](bool Passed) {
      if (Passed)
        Answer(replyOf(Machine_.tasks().find(Query.Key_)));
      else
        Answer(refusal());
    });
  }

  /// Only who holds the worker's lease is told what to run.
  void serveRequest(const wire::FetchDirectives &Request, Reply Answer) {
    if (!Log_.holdsLeaderLease(Now_) ||
        !Upstreams_.holdsName(Request.Worker_, Request.Incarnation_) ||
        Upstreams_.hasLeaseExpired(Now_, Request.Worker_))
      Answer(refusal());
    else
      Answer(Scheduler_.consumeDirectives(Request.Worker_));
  }

  void serveRequest(const wire::Claim &Request, Reply Answer) {
    Batcher_.add(Request, std::move(Answer));
  }
  void serveRequest(wire::ReceiptBatch Request, Reply Answer) {
    Batcher_.add(std::move(Request), std::move(Answer));
  }
  void serveRequest(wire::SubmitTask Request, Reply Answer) {
    Batcher_.add(std::move(Request), std::move(Answer));
  }
  void serveRequest(const wire::CancelTask &Request, Reply Answer) {
    Batcher_.add(Request, std::move(Answer));
  }
  void serveRequest(wire::TaskReports Request, Reply Answer) {
    Batcher_.add(std::move(Request), std::move(Answer));
  }
  void serveRequest(wire::SubmitJob Request, Reply Answer) {
    whenCurrent(std::move(Answer),
                [this, Request = std::move(Request)](const Reply &To) {
                  Jobs_.submitJob(Now_, Request, To);
                });
  }
  void serveRequest(const wire::JobRequest &Request, Reply Answer) {
    whenCurrent(std::move(Answer), [this, Request](const Reply &To) {
      Jobs_.handleJobRequest(Now_, Request, To);
    });
  }
  void serveRequest(const wire::QueueDepthRequest &Request, Reply Answer) {
    whenCurrent(std::move(Answer), [this, Request](const Reply &To) {
      Jobs_.fetchQueueDepth(Request, To);
    });
  }
  void serveRequest(wire::PutConfiguration Request, Reply Answer) {
    whenCurrent(std::move(Answer),
                [this, Request = std::move(Request)](const Reply &To) {
                  Jobs_.putConfiguration(Request, To);
                });
  }
  void serveRequest(const wire::FetchConfiguration &, Reply Answer) {
    whenCurrent(std::move(Answer),
                [this](const Reply &To) { Jobs_.fetchConfiguration(To); });
  }
  void serveRequest(const wire::FetchEvacuation &Request, Reply Answer) {
    whenCurrent(std::move(Answer), [this, Request](const Reply &To) {
      Jobs_.fetchEvacuation(Request, To);
    });
  }
  void serveRequest(const wire::SetEvacuation &Request, Reply Answer) {
    Jobs_.setEvacuation(
        {.Zone_ = Request.Zone_,
         .Evacuated_ = Request.Evacuated_,
         .ExpectedRevision_ = Request.ExpectedRevision_},
        [this, Answer = std::move(Answer)](ProposeStatus Status,
                                           jobs::EvacuationStatus Result) {
          if (Status == ProposeStatus::Committed)
            Answer(wire::EvacuationReply{Result});
          else if (Status == ProposeStatus::NotLeader)
            Answer(refusal());
        });
  }
  void serveRequest(wire::WorkerReport Request, Reply Answer) {
    Jobs_.handleWorkerReport(Now_, std::move(Request), std::move(Answer));
  }
  void serveRequest(const wire::WorkerGone &Request, Reply Answer) {
    Jobs_.handleWorkerGone(Now_, Request, std::move(Answer));
  }
  void serveRequest(const wire::WorkerCrashed &Request, Reply Answer) {
    Jobs_.handleWorkerCrashed(Request.Crash_, std::move(Answer));
  }
  void serveRequest(const wire::UnconfirmedCrash &Request, Reply Answer) {
    Jobs_.handleWorkerCrashed(Request.Crash_, std::move(Answer));
  }
  void serveRequest(const wire::JoinGroup &Request, Reply Answer) {
    Group_.sighted(Now_, Request);
    Answer(group());
  }

  /// Runs \p Serve once it is certain that this replica's state is the newest.
  void whenCurrent(Reply Answer, std::function<void(const Reply &)> Serve) {
    if (Log_.holdsLeaderLease(Now_)) {
      Serve(Answer);
      return;
    }
    Log_.readBarrier([this, Answer = std::move(Answer),
                      Serve = std::move(Serve)](bool Passed) {
      if (Passed && Serving_)
        Serve(Answer);
      else
        Answer(refusal());
    });
  }

  template <typename Other> void serveRequest(const Other &, Reply Answer) {
    Answer(wire::Refusal{});
  }

  void reported(const wire::TaskReports &Batch) {
    for (const wire::TaskReport &Row : Batch.Rows_) {
      const TaskRecord *Task = Machine_.tasks().find(Row.Task_);
      const bool Current = Task != nullptr && Task->onWorker() &&
                           Task->Epoch_ == Row.Epoch_ &&
                           Task->Worker_ == Batch.Worker_;
      if (Current)
        Scheduler_.reportUsage(Now_, Row.Task_, Row.Usage_);
      else if (Row.Event_ == wire::TaskEvent::Started)
        Scheduler_.stopStalePlacement(
            Batch.Worker_, {.Task_ = Row.Task_, .Epoch_ = Row.Epoch_});
    }
  }

  ControlServiceOptions Options_;
  TimePoint Now_;
  bool Serving_ = false;
  bool BarrierDue_ = false;
  /// Until when this replica, which leads, may put the repair of the group
  /// before serving.
  std::optional<TimePoint> RepairEndsAt_;
  TimePoint StateCheckAt_;
  bool NamedStale_ = true;
  NamedVersions Named_;
  Duration LogOffset_ = Duration::min() / 2;
  TimePoint ScheduleAt_;
  TimePoint ExpiryCheckAt_;
  StateMachine Machine_;
  UpstreamTable Upstreams_;
  TaskScheduler Scheduler_;
  RecordBatcher Batcher_;
  JobService Jobs_;
  GroupKeeper Group_;
  consensus::ReplicatedLog Log_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_CONTROLSERVICEIMPL_H
