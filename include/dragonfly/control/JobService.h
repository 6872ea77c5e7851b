/// Serves jobs on the replica that leads: takes submissions and queries, keeps
/// the sessions of workers, places tasks and sends orders.
#ifndef DRAGONFLY_CONTROL_JOBSERVICE_H
#define DRAGONFLY_CONTROL_JOBSERVICE_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Metrics.h"
#include "dragonfly/consensus/ReplicatedLog.h"
#include "dragonfly/control/Command.h"
#include "dragonfly/jobs/ImageLosses.h"
#include "dragonfly/jobs/JobTable.h"
#include "dragonfly/wire/Messages.h"

#include <chrono>
#include <functional>
#include <memory>

namespace dragonfly::control {

/// The open answer to a WorkerHello.
struct WorkerStream {
  std::function<void(const wire::Message &)> SendPart_;
  std::function<void(const wire::Message &)> SendEnd_;
  std::function<bool()> IsConnected_;
};

struct JobServiceOptions {
  /// Stamps and proposes a record; the handler runs within a later tick.
  std::function<void(CommandBody, std::function<void(consensus::ProposeStatus,
                                                     const CommandOutput &)>)>
      Propose_;
  /// True while no other replica can lead.
  std::function<bool()> HoldsLeaderLease_;
  /// Returns the answer to a request that was not taken.
  std::function<wire::Refusal()> MakeRefusal_;
  /// How long a worker's runs go on without a renewal. Long enough for a
  /// change of leader, short enough for lost work to be done again in time.
  Duration WorkerLeaseTerm_ = std::chrono::milliseconds(4000);
  /// Bound on how much slower a worker's clock may run, in thousandths. The
  /// platform allows 2%.
  std::uint32_t ClockDriftPermille_ = 30;
  /// Added to the lease before runs are taken for lost.
  Duration LeaseMargin_ = std::chrono::milliseconds(300);
  std::shared_ptr<Metrics> Metrics_ = std::make_shared<Metrics>();
  /// How long a rejected submitter should wait.
  Duration RetryAfter_ = std::chrono::seconds(1);
};

/// All functions but `lead` and `stop` are for the time between the two.
class JobService {
public:
  using Reply = std::function<void(wire::Message)>;

  JobService(JobServiceOptions Options, const jobs::JobTable &Table,
             const jobs::ImageLosses &Losses);
  ~JobService();

  /// This replica leads from now on and has applied what earlier leaders left.
  void startLeading(TimePoint Now, Term Led);
  /// Ends all sessions.
  void stopLeading();
  /// Proposes what has been gathered and places tasks. \p LogTime is the clock
  /// of the records.
  void tick(TimePoint Now, Duration LogTime);

  /// Each answers within this or a later tick, or never where the outcome is
  /// unknown.
  void submitJob(TimePoint Now, wire::SubmitJob Request, Reply Answer);
  void handleJobRequest(TimePoint Now, const wire::JobRequest &Request,
                        Reply Answer);
  void fetchQueueDepth(const wire::QueueDepthRequest &Request,
                       const Reply &Answer);
  void putConfiguration(wire::PutConfiguration Request, Reply Answer);
  void fetchConfiguration(const Reply &Answer);

  void attachWorker(TimePoint Now, wire::WorkerHello Hello,
                    WorkerStream Stream);
  void handleWorkerReport(TimePoint Now, wire::WorkerReport Report,
                          Reply Answer);
  void handleWorkerGone(TimePoint Now, const wire::WorkerGone &Notice,
                        Reply Answer);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_JOBSERVICE_H
