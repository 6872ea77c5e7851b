/// Passes callers' requests about jobs to the leader of control and decides
/// what the caller is told.
#ifndef DRAGONFLY_ENTRY_JOBGATEWAY_H
#define DRAGONFLY_ENTRY_JOBGATEWAY_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/EnumTable.h"
#include "dragonfly/base/Metrics.h"
#include "dragonfly/link/LeaderClient.h"
#include "dragonfly/wire/Messages.h"

#include <array>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

namespace dragonfly::entry {

/// What a caller is told about a job.
enum class JobAnswer : std::uint8_t {
  Accepted,      ///< The job is durable and will run.
  Known,         ///< The state of the job is attached.
  UnknownJob,    ///< There is no such job.
  UnknownQueue,  ///< There is no such queue.
  RefusedNotRun, ///< Not accepted: a job never runs, a cancel has no effect.
  Unknown        ///< It may have been accepted; asking again is safe.
};

struct JobResult {
  JobAnswer Answer_ = JobAnswer::Unknown;
  jobs::JobState State_ = jobs::JobState::Queued;
  /// For a queue: accepted jobs that have not started.
  std::uint64_t Queued_ = 0;
  /// When to ask again, where refused or unknown.
  Duration RetryAfter_{};
};

struct JobGatewayOptions {
  /// Where the caller names no deadline.
  Duration DefaultTimeout_ = std::chrono::seconds(3);
  /// A call takes no longer, whatever time the caller has: a submission must
  /// not arrive after the cancel of its job has ceased to hold
  /// (`jobs::JobTable::EarlyCancelRetention`).
  Duration MaxTimeout_ = std::chrono::seconds(20);
  /// Share of the caller's time that a call may take, in thousandths; the rest
  /// is for the answer's way back.
  std::uint32_t TimeSharePermille_ = 850;
  /// How long a request waits for a leader. An election takes up to a second;
  /// callers are told within a fraction of it, and when to return.
  Duration LeaderWait_ = std::chrono::milliseconds(250);
  /// An election's length: when a caller may find a leader again.
  Duration RetryAfter_ = std::chrono::seconds(1);
  /// The gateway is ready while a leader has answered within this time.
  Duration ReadyTime_ = std::chrono::milliseconds(2500);
};

class JobGateway {
public:
  using Handler = std::function<void(JobResult)>;

  JobGateway(link::LeaderClient &Leader, Metrics &Counts,
             JobGatewayOptions Options)
      : Leader_(Leader), Counts_(Counts), Options_(Options) {}

  /// \p TimeLeft is the time until the caller's deadline, or zero.
  void submit(wire::SubmitJob Request, Duration TimeLeft, Handler OnEnd);
  void request(const wire::JobRequest &Request, Duration TimeLeft,
               Handler OnEnd);
  void queueDepth(const wire::QueueDepthRequest &Request, Duration TimeLeft,
                  Handler OnEnd);

  /// True while a leader answers.
  bool ready() const;
  std::size_t inProgress() const { return InProgress_; }

private:
  /// \p Action is the name that metrics count the call under.
  void call(std::string_view Action, const std::string &Job,
            wire::Message Request, Duration TimeLeft, Handler OnEnd);
  JobResult resultOf(const link::LeaderResult &Result) const;

  link::LeaderClient &Leader_;
  Metrics &Counts_;
  JobGatewayOptions Options_;
  std::size_t InProgress_ = 0;
};

} // namespace dragonfly::entry

template <> struct dragonfly::EnumTable<dragonfly::entry::JobAnswer> {
  using Answer = entry::JobAnswer;
  static constexpr std::array<EnumName<Answer>, 6> Rows{{
      {Answer::Accepted, "accepted"},
      {Answer::Known, "known"},
      {Answer::UnknownJob, "unknown-job"},
      {Answer::UnknownQueue, "unknown-queue"},
      {Answer::RefusedNotRun, "refused-not-run"},
      {Answer::Unknown, "unknown"},
  }};
};

#endif // DRAGONFLY_ENTRY_JOBGATEWAY_H
