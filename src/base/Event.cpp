#include "dragonfly/base/Event.h"

#include <algorithm>
#include <array>
#include <cassert>

namespace dragonfly {
namespace {

constexpr auto Catalogue = std::to_array<EventRow>({
    {Event::ProcessStarted, Severity::Info, "process-started",
     "The program has read its settings and begins to listen."},
    {Event::ProcessStopping, Severity::Info, "process-stopping",
     "A graceful stop has begun; work in progress is being finished."},
    {Event::ProcessStopped, Severity::Info, "process-stopped",
     "The program has stopped with nothing left in progress."},
    {Event::StopBoundReached, Severity::Warning, "stop-bound-reached",
     "The graceful stop took longer than its bound; the rest was cut off."},
    {Event::SettingsRejected, Severity::Failure, "settings-rejected",
     "The settings hold at least one fault; nothing was started."},
    {Event::ProcessFailed, Severity::Failure, "process-failed",
     "The program ends because of the failure whose type is given."},
    {Event::SettingsChanged, Severity::Info, "settings-changed",
     "The settings file has changed; the new addresses are in use."},
    {Event::LogLinesDropped, Severity::Warning, "log-lines-dropped",
     "Lines were dropped since the last one: standard output did not take "
     "them, "
     "or there were too many in a second."},
    {Event::StopPhaseEntered, Severity::Info, "stop-phase-entered",
     "The graceful stop has gone on to the given phase, with so many requests "
     "and answers unfinished."},
    {Event::StopRequestedAgain, Severity::Info, "stop-requested-again",
     "A signal to stop came while the process was stopping; the stop goes on "
     "unchanged."},
    {Event::RequestsCut, Severity::Warning, "requests-cut",
     "A server closed connections on which requests had no whole answer."},
    {Event::EntryReady, Severity::Info, "entry-ready",
     "The entry holds a fresh configuration and takes requests."},
    {Event::EntryNotReady, Severity::Warning, "entry-not-ready",
     "The entry's configuration lease has run out; it refuses new requests."},
    {Event::ConfigurationApplied, Severity::Info, "configuration-applied",
     "A newer version of a list is in force in this process."},
    {Event::JobAnswered, Severity::Info, "job-answered",
     "A caller's request about a job was answered."},
    {Event::JobUnanswered, Severity::Warning, "job-unanswered",
     "No leader answered a caller's request about a job in time."},
    {Event::ListAccepted, Severity::Info, "list-accepted",
     "A change of a list is durable on a majority of the replicas."},
    {Event::ListRejected, Severity::Warning, "list-rejected",
     "A change of a list was refused; nothing changed."},
    {Event::UpstreamJoined, Severity::Info, "upstream-joined",
     "An agent announced an upstream or a new incarnation of one."},
    {Event::UpstreamLeft, Severity::Info, "upstream-left",
     "An agent announced that its upstream is leaving."},
    {Event::UpstreamLost, Severity::Warning, "upstream-lost",
     "An agent has not been heard of for a whole lease term."},
    {Event::UpstreamContested, Severity::Warning, "upstream-contested",
     "Another process claims the name of an upstream whose lease still runs."},
    {Event::LeaseRanOut, Severity::Warning, "lease-ran-out",
     "A VM's lease has run out by control's reckoning; its tasks are lost."},
    {Event::MemberChanged, Severity::Info, "member-changed",
     "A change of the log's membership is committed."},
    {Event::QueuesChanged, Severity::Info, "queues-changed",
     "A configuration of queues is durable and in force."},
    {Event::JobAccepted, Severity::Info, "job-accepted",
     "A job is durable on a majority of the replicas."},
    {Event::JobRejected, Severity::Info, "job-rejected",
     "A job was not accepted and never runs."},
    {Event::JobCancelled, Severity::Info, "job-cancelled",
     "A job's cancellation is durable."},
    {Event::JobEnded, Severity::Info, "job-ended",
     "The last task of a job has finished, or a task has used up its "
     "attempts."},
    {Event::TaskPlaced, Severity::Info, "task-placed",
     "The leader chose a worker for a task; the order leaves once that is "
     "durable."},
    {Event::RunEnded, Severity::Info, "run-ended",
     "The end of a run is durable."},
    {Event::WorkerAttached, Severity::Info, "worker-attached",
     "An agent opened a session for its worker under the fence given."},
    {Event::WorkerDetached, Severity::Warning, "worker-detached",
     "The connection of a worker's session broke."},
    {Event::WorkerLeaseExpired, Severity::Warning, "worker-lease-expired",
     "No lease of the worker can run any more; its runs are lost."},
    {Event::WorkerLeft, Severity::Info, "worker-left",
     "A worker has left for good."},
    {Event::DispatchSummary, Severity::Info, "dispatch-summary",
     "Once a second while tasks wait: what workers have, hold and are wanted "
     "for, in thousandths of processors and in MiB."},
    {Event::TaskWaits, Severity::Info, "task-waits",
     "No worker has room for the next task of a step; counts of workers by the "
     "reason are given, how long no task of the step has started, and how many "
     "tasks of other steps have meanwhile. At most some lines a second."},
    {Event::RunStalled, Severity::Warning, "run-stalled",
     "A run makes no progress at a speed that lets it; it is stopped, to be "
     "run "
     "elsewhere."},
    {Event::WorkerSuspected, Severity::Warning, "worker-suspected",
     "A worker fails or stalls what it runs; others are used first."},
    {Event::ImageLossLearnt, Severity::Info, "image-loss-learnt",
     "Readings changed how much headroom runs of one image are expected to "
     "take "
     "from runs of another."},
    {Event::RunMoved, Severity::Info, "run-moved",
     "A run that is slowed down is stopped, to go on from its checkpoint where "
     "it is expected to have full speed."},
    {Event::RunRelocated, Severity::Info, "run-relocated",
     "A latency-critical run is stopped, to go on where its image excludes "
     "fewer batch runs."},
    {Event::MemberChangeDelayed, Severity::Info, "member-change-delayed",
     "A change of the group's members is due and cannot be made yet; the "
     "reason is given."},
    {Event::CrashSuspected, Severity::Warning, "crash-suspected",
     "A worker crashed soon after this run had begun there, or may have. A "
     "task that remains suspect is given up, and its job fails."},
    {Event::ReplicaAddressRejected, Severity::Warning,
     "replica-address-rejected",
     "The address of a control replica is malformed. It is reached at the last "
     "usable one, if any; remove the member and add it again."},
    {Event::WorkerContested, Severity::Warning, "worker-contested",
     "An agent on another VM announced a worker that is at work; it was "
     "refused."},
    {Event::ReplicaUnheard, Severity::Info, "replica-unheard",
     "Messages leave for a replica on an open link, and none has come from it "
     "since."},
    {Event::RoomHeld, Severity::Info, "room-held",
     "No worker has room for a task that comes before other work. Room on this "
     "worker is kept for it until other tasks have ended."},
    {Event::LocalityDecided, Severity::Info, "locality-decided",
     "No worker near a task's data has room. The task waits for one, or runs "
     "on "
     "another rack, by which is expected to end it sooner."},
    {Event::WorkerLimited, Severity::Info, "worker-limited",
     "Runs on a worker failed one after another. It gets one run at a time, "
     "and "
     "more with each one that finishes."},
    {Event::ZoneEvacuated, Severity::Info, "zone-evacuated",
     "An operator has evacuated an availability zone, so that its workers get "
     "no "
     "more runs, or has taken it back."},
    {Event::ConfigurationRead, Severity::Info, "configuration-read",
     "The leader answered a read of the configuration with this version. At "
     "most some lines a second."},
    {Event::OperatorAnswered, Severity::Info, "operator-answered",
     "An operator's call about the configuration was answered, so long after "
     "it had been read whole. At most some lines a second."},
    {Event::FoundingBegun, Severity::Info, "founding-begun",
     "This process waits for the first members of a new group, or chooses "
     "them. "
     "One that is resumed was ended before its choice was told."},
    {Event::FoundersKnown, Severity::Info, "founders-known",
     "The first members of the group are known here."},
    {Event::LeaderElected, Severity::Info, "leader-elected",
     "This replica leads the replicated log in a new term."},
    {Event::LeaderLost, Severity::Warning, "leader-lost",
     "This replica no longer leads the replicated log."},
    {Event::TornTailCut, Severity::Warning, "torn-tail-cut",
     "An incomplete record at the end of the log was removed."},
    {Event::StorageFailed, Severity::Failure, "storage-failed",
     "The data folder could not be read, written or synced."},
    {Event::ReplicaMessageRejected, Severity::Warning,
     "replica-message-rejected",
     "A message between control replicas could not be decoded."},
    {Event::StoreUnknown, Severity::Warning, "store-unknown",
     "The group knows this replica under another data folder; add it as a "
     "learner."},
    {Event::SnapshotInstalled, Severity::Info, "snapshot-installed",
     "This replica's state was replaced by the leader's snapshot."},
    {Event::DiskFull, Severity::Failure, "disk-full",
     "The disk takes no more. Until it does, this replica neither leads nor "
     "votes nor acknowledges records."},
    {Event::DiskHasRoom, Severity::Info, "disk-has-room",
     "The disk takes records again; the replica takes part again."},
    {Event::LeadershipTransferred, Severity::Info, "leadership-transferred",
     "This replica stops and asks another one, which has every record, to lead "
     "in its place."},
    {Event::SnapshotSaved, Severity::Info, "snapshot-saved",
     "The state is durable as a snapshot, which replaces that many bytes of "
     "records."},
    {Event::LearnerCaughtUp, Severity::Info, "learner-caught-up",
     "A learner holds every committed record, so long after this leader "
     "began to send to it."},
    {Event::AgentReady, Severity::Info, "agent-ready",
     "The agent knows what its VM runs and admits work."},
    {Event::AgentDraining, Severity::Info, "agent-draining",
     "The agent refuses new work and finishes what is in progress."},
    {Event::LeaseExpired, Severity::Warning, "lease-expired",
     "The VM's lease ran out; the agent stopped its tasks."},
    {Event::WorkerAnnounced, Severity::Info, "worker-announced",
     "The worker beside this agent announced a new life."},
    {Event::WorkerSilent, Severity::Warning, "worker-silent",
     "The worker does not answer its agent."},
    {Event::WorkerAnswers, Severity::Info, "worker-answers",
     "The worker answers its agent again."},
    {Event::StartRefused, Severity::Info, "start-refused",
     "The worker refused a start; the reason is given."},
    {Event::StartUnanswered, Severity::Warning, "start-unanswered",
     "A start got no answer in time; it is settled by stopping the run."},
    {Event::RunsLapsed, Severity::Warning, "runs-lapsed",
     "The worker's lease ran out while it was silent; its runs have ended."},
    {Event::SpeedChanged, Severity::Info, "speed-changed",
     "Runs on spare processors were given another share of full speed."},
    {Event::WorkerDraining, Severity::Info, "worker-draining",
     "The worker announced that it leaves."},
    {Event::AnnouncementRejected, Severity::Warning, "announcement-rejected",
     "An announcement has no effect, or only a part of it: it is late, or "
     "contradicts what the worker on the VM answers or has announced."},
    {Event::RunUnexpected, Severity::Warning, "run-unexpected",
     "The worker lists a run that its agent did not order in this session or "
     "takes for ended; `end` tells which end the agent knows."},
    {Event::ConnectionOpened, Severity::Debug, "connection-opened",
     "A connection between two of the system's processes is open."},
    {Event::ConnectionClosed, Severity::Debug, "connection-closed",
     "A connection between two of the system's processes has closed."},
    {Event::FrameRejected, Severity::Warning, "frame-rejected",
     "A frame broke the protocol; its connection was closed."},
    {Event::LeaderFollowed, Severity::Info, "leader-followed",
     "Calls go to another replica, which leads or knows who does."},
    {Event::MessageRejected, Severity::Warning, "message-rejected",
     "A body of another system could not be read or broke a rule; it had no "
     "effect."},
    {Event::ConnectionSilent, Severity::Warning, "connection-silent",
     "Nothing passes on a connection although the peer answers on a new one, "
     "which takes its place; calls that were open on it have ended."},
    {Event::ConnectionsRefused, Severity::Warning, "connections-refused",
     "A server had as many connections as it takes; the first request on each "
     "further one was refused."},
    {Event::MemoryBudgetExceeded, Severity::Warning, "memory-budget-exceeded",
     "Requests without a complete response held more memory than they may; "
     "incomplete ones were dropped. At most one line a second."},
    {Event::ConnectionsDisplaced, Severity::Warning, "connections-displaced",
     "A server at its bound closes connections on which nothing whole has come "
     "for longest, in favour of newcomers."},
});

} // namespace

std::span<const EventRow> eventCatalogue() { return Catalogue; }

const EventRow &eventRow(Event Value) {
  const auto *Row = std::ranges::find(Catalogue, Value, &EventRow::Event_);
  assert(Row != Catalogue.end() && "event without a row in the catalogue");
  return *Row;
}

} // namespace dragonfly
