/// How each message is laid out for cereal.
#ifndef DRAGONFLY_SRC_WIRE_SERIALIZE_H
#define DRAGONFLY_SRC_WIRE_SERIALIZE_H

#include "base/Archive.h"
#include "dragonfly/wire/Messages.h"

#include <chrono>
#include <type_traits>

namespace std::chrono {

template <typename Archive, typename Rep, typename Period>
void save(Archive &Ar, const duration<Rep, Period> &Value) {
  Ar(Value.count());
}

template <typename Archive, typename Rep, typename Period>
void load(Archive &Ar, duration<Rep, Period> &Value) {
  Rep Count{};
  Ar(Count);
  Value = duration<Rep, Period>(Count);
}

} // namespace std::chrono

namespace dragonfly::wire {

template <typename Archive> void serialize(Archive &Ar, RequestKey &Row) {
  Ar(Row.Customer_, Row.RequestId_);
}

template <typename Archive> void serialize(Archive &Ar, Execute &Row) {
  Ar(Row.Key_, Row.Kind_, Row.Target_, Row.TimeLeft_, Row.NonIdempotent_,
     Row.Streamed_, Row.Body_);
}

template <typename Archive> void serialize(Archive &Ar, ExecutePart &Row) {
  Ar(Row.Number_, Row.Body_);
}

template <typename Archive> void serialize(Archive &Ar, ExecuteResult &Row) {
  Ar(Row.Outcome_, Row.Reason_, Row.Status_, Row.Body_, Row.FreeSlots_,
     Row.ServiceTime_);
}

template <typename Archive> void serialize(Archive &Ar, CancelExecute &Row) {
  Ar(Row.Key_);
}

template <typename Archive> void serialize(Archive &Ar, VmStatus &Row) {
  Ar(Row.Capacity_, Row.Committed_, Row.Slots_, Row.FreeSlots_,
     Row.RunningTasks_, Row.Usage_);
}

template <typename Archive> void serialize(Archive &Ar, Heartbeat &Row) {
  Ar(Row.Role_, Row.Name_, Row.Incarnation_, Row.Sequence_, Row.SentAt_,
     Row.AvailabilityZone_, Row.Rack_, Row.Address_, Row.Draining_,
     Row.LedgerReady_, Row.Plans_, Row.Purchases_, Row.Vm_);
}

template <typename Archive> void serialize(Archive &Ar, HeartbeatAck &Row) {
  Ar(Row.Sequence_, Row.SentAt_, Row.IsLeader_, Row.Leader_, Row.LeaseTerm_,
     Row.Epoch_, Row.Plans_, Row.Purchases_, Row.UpstreamsVersion_,
     Row.Entries_, Row.DirectivesPending_);
}

template <typename Archive> void serialize(Archive &, FetchLists &) {}

template <typename Archive> void serialize(Archive &Ar, Lists &Row) {
  Ar(Row.PlansVersion_, Row.Plans_, Row.PurchasesVersion_, Row.Purchases_);
}

template <typename Archive> void serialize(Archive &Ar, FetchUpstreams &Row) {
  Ar(Row.KnownVersion_);
}

template <typename Archive> void serialize(Archive &Ar, Upstream &Row) {
  Ar(Row.Name_, Row.Incarnation_, Row.AvailabilityZone_, Row.Rack_,
     Row.Address_, Row.Draining_, Row.Vm_);
}

template <typename Archive> void serialize(Archive &Ar, LiveEntry &Row) {
  Ar(Row.Name_, Row.AvailabilityZone_);
}

template <typename Archive> void serialize(Archive &Ar, Upstreams &Row) {
  Ar(Row.Version_, Row.Rows_, Row.Entries_);
}

template <typename Archive> void serialize(Archive &Ar, Claim &Row) {
  Ar(Row.Key_, Row.Kind_, Row.Worker_, Row.Target_, Row.Claimant_, Row.Attempt_,
     Row.BodyHash_);
}

template <typename Archive> void serialize(Archive &Ar, ClaimReply &Row) {
  Ar(Row.Status_, Row.First_);
}

template <typename Archive> void serialize(Archive &Ar, Receipt &Row) {
  Ar(Row.Key_, Row.Kind_, Row.Outcome_, Row.Reason_, Row.NonIdempotent_,
     Row.Status_, Row.Body_, Row.Claimant_, Row.Age_);
}

template <typename Archive> void serialize(Archive &Ar, ReceiptBatch &Row) {
  Ar(Row.Holder_, Row.Incarnation_, Row.Rows_);
}

template <typename Archive> void serialize(Archive &Ar, ReceiptAck &Row) {
  Ar(Row.Count_);
}

template <typename Archive> void serialize(Archive &Ar, SubmitTask &Row) {
  Ar(Row.Key_, Row.Kind_, Row.Need_, Row.TimeLeft_, Row.ExpectedRunTime_,
     Row.NonIdempotent_, Row.Body_);
}

template <typename Archive> void serialize(Archive &Ar, QueryTask &Row) {
  Ar(Row.Key_);
}

template <typename Archive> void serialize(Archive &Ar, CancelTask &Row) {
  Ar(Row.Key_);
}

template <typename Archive> void serialize(Archive &Ar, TaskReply &Row) {
  Ar(Row.Known_, Row.Task_, Row.State_, Row.Outcome_, Row.Reason_, Row.Worker_,
     Row.Status_, Row.Body_);
}

template <typename Archive> void serialize(Archive &Ar, FetchDirectives &Row) {
  Ar(Row.Worker_, Row.Incarnation_);
}

template <typename Archive> void serialize(Archive &Ar, TaskDirective &Row) {
  Ar(Row.Task_, Row.Epoch_, Row.Action_, Row.Kind_, Row.Need_,
     Row.CheckpointId_, Row.ThrottlePermille_, Row.Body_);
}

template <typename Archive> void serialize(Archive &Ar, Directives &Row) {
  Ar(Row.Rows_);
}

template <typename Archive> void serialize(Archive &Ar, TaskReport &Row) {
  Ar(Row.Task_, Row.Epoch_, Row.Event_, Row.Reason_, Row.CheckpointId_,
     Row.Status_, Row.Body_, Row.Usage_);
}

template <typename Archive> void serialize(Archive &Ar, TaskReports &Row) {
  Ar(Row.Worker_, Row.Incarnation_, Row.Rows_);
}

template <typename Archive> void serialize(Archive &Ar, TaskReportsAck &Row) {
  Ar(Row.Count_);
}

template <typename Archive> void serialize(Archive &Ar, ReplicaTraffic &Row) {
  Ar(Row.From_, Row.Bytes_);
}

template <typename Archive> void serialize(Archive &Ar, ReplicaPart &Row) {
  Ar(Row.From_, Row.Number_, Row.Offset_, Row.TotalBytes_, Row.Bytes_);
}

template <typename Archive> void serialize(Archive &Ar, ReplicaUnheard &Row) {
  Ar(Row.From_);
}

template <typename Archive> void serialize(Archive &Ar, Refusal &Row) {
  Ar(Row.Reason_, Row.Leader_);
}

template <typename Archive> void serialize(Archive &Ar, SubmitJob &Row) {
  Ar(Row.Job_, Row.Host_, Row.Path_, Row.Spec_);
}

template <typename Archive> void serialize(Archive &Ar, JobRequest &Row) {
  Ar(Row.Action_, Row.Job_, Row.Host_, Row.Path_);
}

template <typename Archive> void serialize(Archive &Ar, JobReply &Row) {
  Ar(Row.Status_, Row.State_, Row.RetryAfter_);
}

template <typename Archive>
void serialize(Archive &Ar, QueueDepthRequest &Row) {
  Ar(Row.Host_, Row.Path_);
}

template <typename Archive> void serialize(Archive &Ar, QueueDepth &Row) {
  Ar(Row.Status_, Row.Queued_);
}

template <typename Archive> void serialize(Archive &Ar, PutConfiguration &Row) {
  Ar(Row.Value_);
}

template <typename Archive>
void serialize(Archive &Ar, PutConfigurationAck &Row) {
  Ar(Row.Version_);
}

template <typename Archive> void serialize(Archive &, FetchConfiguration &) {}

template <typename Archive>
void serialize(Archive &Ar, CurrentConfiguration &Row) {
  Ar(Row.Version_, Row.Document_);
}

template <typename Archive> void serialize(Archive &Ar, FetchEvacuation &Row) {
  Ar(Row.Zone_);
}

template <typename Archive> void serialize(Archive &Ar, Evacuation &Row) {
  Ar(Row.Evacuated_, Row.Revision_);
}

template <typename Archive> void serialize(Archive &Ar, SetEvacuation &Row) {
  Ar(Row.Zone_, Row.Evacuated_, Row.ExpectedRevision_);
}

template <typename Archive> void serialize(Archive &Ar, EvacuationReply &Row) {
  Ar(Row.Status_);
}

template <typename Archive> void serialize(Archive &Ar, WorkerHello &Row) {
  Ar(Row.Worker_, Row.Born_, Row.Agent_, Row.Vm_, Row.Service_,
     Row.AvailabilityZone_, Row.Labels_, Row.Capacity_);
}

template <typename Archive> void serialize(Archive &Ar, StartOrder &Row) {
  Ar(Row.Run_, Row.Payload_, Row.Checkpoint_, Row.TailTarget_, Row.Image_,
     Row.UsesSpareProcessors_, Row.MilliProcessors_);
}

template <typename Archive> void serialize(Archive &Ar, Disturbance &Row) {
  Ar(Row.ServingImage_, Row.Image_, Row.LossPerShare_);
}

template <typename Archive> void serialize(Archive &Ar, WorkerOrders &Row) {
  Ar(Row.Session_, Row.Fence_, Row.Starts_, Row.Stops_, Row.Known_,
     Row.Disturbances_);
}

template <typename Archive> void serialize(Archive &Ar, RunReport &Row) {
  Ar(Row.Run_, Row.Phase_, Row.ProgressPercent_, Row.Checkpoint_, Row.Load_,
     Row.SpeedPercent_);
}

template <typename Archive> void serialize(Archive &Ar, EndReport &Row) {
  Ar(Row.Run_, Row.How_, Row.Checkpoint_);
}

template <typename Archive> void serialize(Archive &Ar, WorkerReport &Row) {
  Ar(Row.Worker_, Row.Session_, Row.Draining_, Row.DrainTimeLeft_,
     Row.Complete_, Row.Silent_, Row.Runs_, Row.Ends_, Row.ColdTimeLeft_);
}

template <typename Archive> void serialize(Archive &Ar, WorkerReportAck &Row) {
  Ar(Row.LeaseTerm_, Row.SessionEnded_);
}

template <typename Archive> void serialize(Archive &Ar, WorkerCrashed &Row) {
  Ar(Row.Crash_);
}

template <typename Archive> void serialize(Archive &Ar, UnconfirmedCrash &Row) {
  Ar(Row.Crash_, Row.Crash_.Unconfirmed_);
}

template <typename Archive> void serialize(Archive &Ar, WorkerGone &Row) {
  Ar(Row.Worker_, Row.Born_, Row.Agent_);
}

template <typename Archive> void serialize(Archive &Ar, JoinGroup &Row) {
  Ar(Row.Id_, Row.Store_, Row.Address_);
}

template <typename Archive> void serialize(Archive &, FetchGroup &) {}

template <typename Archive> void serialize(Archive &Ar, GroupRow &Row) {
  Ar(Row.Id_, Row.Address_);
}

template <typename Archive> void serialize(Archive &Ar, Group &Row) {
  Ar(Row.Rows_, Row.Leader_);
}

} // namespace dragonfly::wire

#endif // DRAGONFLY_SRC_WIRE_SERIALIZE_H
