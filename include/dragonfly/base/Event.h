/// The numbered events that the programs log; docs/EVENTS.md is their page.
#ifndef DRAGONFLY_BASE_EVENT_H
#define DRAGONFLY_BASE_EVENT_H

#include <cstdint>
#include <span>
#include <string_view>

namespace dragonfly {

/// How loudly an event is logged.
enum class Severity : std::uint8_t { Debug, Info, Warning, Failure };

/// One value per event. Thousands by program: 1 base, 2 entry, 3 control,
/// 4 consensus, 5 agent, 6 net, 7 decide.
enum class Event : std::uint16_t {
  // base
  ProcessStarted = 1001,
  ProcessStopping = 1002,
  ProcessStopped = 1003,
  StopBoundReached = 1004,
  SettingsRejected = 1005,
  ProcessFailed = 1006,
  SettingsChanged = 1007,
  LogLinesDropped = 1008,
  StopPhaseEntered = 1009,
  StopRequestedAgain = 1010,
  RequestsCut = 1011,
  // entry
  EntryReady = 2001,
  EntryNotReady = 2002,
  ConfigurationApplied = 2003,
  JobAnswered = 2004,
  JobUnanswered = 2005,
  // control
  ListAccepted = 3001,
  ListRejected = 3002,
  UpstreamJoined = 3003,
  UpstreamLeft = 3004,
  UpstreamLost = 3005,
  UpstreamContested = 3006,
  LeaseRanOut = 3007,
  MemberChanged = 3008,
  QueuesChanged = 3009,
  JobAccepted = 3010,
  JobRejected = 3011,
  JobCancelled = 3012,
  JobEnded = 3013,
  TaskPlaced = 3014,
  RunEnded = 3015,
  WorkerAttached = 3016,
  WorkerDetached = 3017,
  WorkerLeaseExpired = 3018,
  WorkerLeft = 3019,
  DispatchSummary = 3020,
  TaskWaits = 3021,
  RunStalled = 3022,
  WorkerSuspected = 3023,
  ImageLossLearnt = 3024,
  RunMoved = 3025,
  RunRelocated = 3026,
  MemberChangeDelayed = 3027,
  CrashSuspected = 3028,
  ReplicaAddressRejected = 3029,
  WorkerContested = 3030,
  ReplicaUnheard = 3031,
  RoomHeld = 3032,
  LocalityDecided = 3033,
  WorkerLimited = 3034,
  ZoneEvacuated = 3035,
  ConfigurationRead = 3036,
  OperatorAnswered = 3037,
  FoundingBegun = 3038,
  FoundersKnown = 3039,
  // consensus
  LeaderElected = 4001,
  LeaderLost = 4002,
  TornTailCut = 4003,
  StorageFailed = 4004,
  ReplicaMessageRejected = 4005,
  StoreUnknown = 4006,
  SnapshotInstalled = 4007,
  DiskFull = 4008,
  DiskHasRoom = 4009,
  LeadershipTransferred = 4010,
  SnapshotSaved = 4011,
  LearnerCaughtUp = 4012,
  // agent
  AgentReady = 5001,
  AgentDraining = 5002,
  LeaseExpired = 5003,
  WorkerAnnounced = 5004,
  WorkerSilent = 5005,
  WorkerAnswers = 5006,
  StartRefused = 5007,
  StartUnanswered = 5008,
  RunsLapsed = 5009,
  SpeedChanged = 5010,
  WorkerDraining = 5011,
  AnnouncementRejected = 5012,
  RunUnexpected = 5013,
  // net
  ConnectionOpened = 6001,
  ConnectionClosed = 6002,
  FrameRejected = 6003,
  LeaderFollowed = 6004,
  MessageRejected = 6005,
  ConnectionSilent = 6006,
  ConnectionsRefused = 6007,
  MemoryBudgetExceeded = 6008,
  ConnectionsDisplaced = 6009,
};

/// One row of the catalogue.
struct EventRow {
  Event Event_;
  Severity Severity_;
  std::string_view Name_;
  std::string_view Meaning_;
};

/// Returns the catalogue in ascending order of number.
std::span<const EventRow> eventCatalogue();

/// Returns the row of \p Value; every event has one.
const EventRow &eventRow(Event Value);

} // namespace dragonfly

#endif // DRAGONFLY_BASE_EVENT_H
