/// What an agent asks of the worker beside it, and what it hears. The worker's
/// own protocol is behind the hooks.
#ifndef DRAGONFLY_AGENT_WORKERCALLS_H
#define DRAGONFLY_AGENT_WORKERCALLS_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/EnumTable.h"
#include "dragonfly/base/Resources.h"
#include "dragonfly/jobs/Job.h"

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

namespace dragonfly::agent {

/// Time on the worker's own clock, which has nothing to do with ours.
using WorkerTime = std::chrono::milliseconds;

/// What a worker tells about itself.
struct WorkerAnnouncement {
  std::string Worker_;
  /// Unix time of its start, in milliseconds; tells lives of a worker apart.
  std::uint64_t Born_ = 0;
  /// Grows with each announcement of a life.
  std::uint64_t Sequence_ = 0;
  std::string Service_;
  /// Where it takes calls.
  std::string Address_;
  std::string AvailabilityZone_;
  std::vector<std::string> Labels_;
  Resources Capacity_;
  bool Draining_ = false;
  /// The least time until it leaves, while it drains.
  Duration DrainTimeLeft_{};
  /// How much longer it is slow after its start.
  Duration ColdTimeLeft_{};
};

enum class StartStatus : std::uint8_t {
  Started,   ///< The run is there.
  NoAnswer,  ///< The start may have been carried out, or may be later.
  Fenced,    ///< The worker knows a higher fence.
  Ended,     ///< The run, or a later one, was stopped or has ended there.
  LeaseOver, ///< The lease that the start carried has run out.
  NoRoom,
  Unhealthy, ///< The worker is unhealthy and has done nothing.
  OtherLife, ///< Another life of the worker answered and did nothing.
  Rejected   ///< Refused for another reason; nothing was done.
};

struct StartCall {
  jobs::RunName Run_;
  std::string Payload_;
  std::string Checkpoint_;
  /// When the lease of everything on the worker runs out.
  WorkerTime LeaseUntil_{};
  std::uint64_t Fence_ = 0;
};

struct StopCall {
  jobs::RunName Run_;
  std::uint64_t Fence_ = 0;
};

struct PaceCall {
  jobs::RunName Run_;
  std::uint32_t SpeedPercent_ = 100;
  std::uint64_t Fence_ = 0;
};

/// Renews the lease, reads both lists, and lets ends be forgotten.
struct HoldCall {
  std::uint64_t Fence_ = 0;
  /// Ends up to this number are durable elsewhere.
  std::uint64_t LastDurableEnd_ = 0;
  /// Zero where the lease is left as it is.
  WorkerTime LeaseUntil_{};
  /// How long the worker may wait for a run to end before it answers.
  Duration Wait_{};
};

/// One run as the worker lists it.
struct ListedRun {
  jobs::RunName Run_;
  std::string Checkpoint_;
  std::uint32_t ProgressPercent_ = 0;
  /// Tail latency in milliseconds of a run with a target, else the processors
  /// in use, in thousandths.
  std::uint64_t Load_ = 0;
};

struct ListedEnd {
  /// Ends of one life are numbered from 1.
  std::uint64_t Number_ = 0;
  jobs::RunName Run_;
  jobs::RunEnd How_ = jobs::RunEnd::Finished;
  std::string Checkpoint_;
};

enum class HoldStatus : std::uint8_t { Listed, NoAnswer, Fenced, OtherLife };

struct HoldAnswer {
  HoldStatus Status_ = HoldStatus::NoAnswer;
  /// The life that answered.
  std::uint64_t Born_ = 0;
  /// The worker's clock as it answered.
  WorkerTime Clock_{};
  std::vector<ListedRun> Runs_;
  std::vector<ListedEnd> Ends_;
  /// More ends are to come with the next call.
  bool Truncated_ = false;
};

/// Each call is for the worker \p Worker; another one on the VM refuses it and
/// does nothing. Each handler runs exactly once, later.
struct WorkerCalls {
  std::function<void(const std::string &Worker, const StartCall &,
                     std::function<void(StartStatus)>)>
      Start_;
  /// The handler's argument tells whether the worker confirmed the call.
  std::function<void(const std::string &Worker, const StopCall &,
                     std::function<void(bool)>)>
      Stop_;
  std::function<void(const std::string &Worker, const PaceCall &,
                     std::function<void(bool)>)>
      Pace_;
  std::function<void(const std::string &Worker, const HoldCall &,
                     std::function<void(HoldAnswer)>)>
      Hold_;
};

} // namespace dragonfly::agent

namespace dragonfly {

template <> struct EnumTable<agent::StartStatus> {
  using Status = agent::StartStatus;
  static constexpr std::array<EnumName<Status>, 9> Rows{{
      {Status::Started, "started"},
      {Status::NoAnswer, "no-answer"},
      {Status::Fenced, "fenced"},
      {Status::Ended, "ended"},
      {Status::LeaseOver, "lease-over"},
      {Status::NoRoom, "no-room"},
      {Status::Unhealthy, "unhealthy"},
      {Status::OtherLife, "other-life"},
      {Status::Rejected, "rejected"},
  }};
};

} // namespace dragonfly

#endif // DRAGONFLY_AGENT_WORKERCALLS_H
