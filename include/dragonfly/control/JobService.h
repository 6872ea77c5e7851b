/// The job service of the leading replica: accepts submissions and queries,
/// keeps the sessions of workers, places tasks and sends orders to agents.
#ifndef DRAGONFLY_CONTROL_JOBSERVICE_H
#define DRAGONFLY_CONTROL_JOBSERVICE_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Metrics.h"
#include "dragonfly/consensus/ReplicatedLog.h"
#include "dragonfly/control/Command.h"
#include "dragonfly/jobs/EvacuationTable.h"
#include "dragonfly/jobs/ImageLosses.h"
#include "dragonfly/jobs/JobTable.h"
#include "dragonfly/wire/Messages.h"

#include <chrono>
#include <functional>
#include <memory>

namespace dragonfly::control {

/// The streamed answer to a WorkerHello.
struct WorkerStream {
  std::function<void(const wire::Message &)> SendPart_;
  std::function<void(const wire::Message &)> SendEnd_;
  std::function<bool()> IsConnected_;
};

struct JobServiceOptions {
  /// Adds the log time to a record and proposes it; the handler runs within a
  /// later tick.
  std::function<void(CommandBody, std::function<void(consensus::ProposeStatus,
                                                     const CommandOutput &)>)>
      Propose_;
  /// Returns true while no other replica can lead.
  std::function<bool()> HoldsLeaderLease_;
  /// Returns the answer to a request that was not accepted.
  std::function<wire::Refusal()> MakeRefusal_;
  /// How long a worker's runs go on without a renewal. Longer than a change of
  /// leader, and short enough to run lost work again in time.
  Duration WorkerLeaseTerm_ = wire::MaxWorkerLeaseTerm;
  /// How much slower than the leader's clock a worker's may run, in
  /// thousandths. The platform allows 2%.
  std::uint32_t ClockDriftPermille_ = 30;
  /// Added to the lease term, beside the clock drift, before the runs of a
  /// worker count as lost.
  Duration LeaseMargin_ = std::chrono::milliseconds(300);
  /// How many times as long a task takes on a rack without its data. With 1 no
  /// task waits for a place near its data.
  double RemoteFactor_ = 1;
  std::shared_ptr<Metrics> Metrics_ = std::make_shared<Metrics>();
  /// Returns whether the state has no room for further jobs; may be empty.
  std::function<bool()> IsStateFull_;
  /// Memory that jobs may hold, in bytes; further ones are refused. 0 is no
  /// bound.
  std::size_t MaxJobBytes_ = 0;
  /// How long clients should wait before they retry a rejected request.
  Duration RetryAfter_ = std::chrono::seconds(1);
  /// The same where the state or the memory for jobs is full; ended jobs are
  /// forgotten this often then.
  Duration FullStateRetryAfter_ = std::chrono::seconds(5);
};

/// The other functions may be called only between `startLeading` and
/// `stopLeading`.
class JobService {
public:
  using Reply = std::function<void(wire::Message)>;
  using EvacuationDone =
      std::function<void(consensus::ProposeStatus, jobs::EvacuationStatus)>;

  JobService(JobServiceOptions Options, const jobs::JobTable &Table,
             const jobs::ImageLosses &Losses,
             const jobs::EvacuationTable &Evacuations);
  ~JobService();

  /// Starts to lead in the term \p Led. All records of earlier leaders must
  /// have been applied.
  void startLeading(TimePoint Now, Term Led);
  /// Ends all sessions and refuses the requests whose changes were not proposed
  /// yet.
  void stopLeading();
  /// Places tasks and proposes the gathered changes. \p LogTime is the current
  /// time on the clock of the log.
  void tick(TimePoint Now, Duration LogTime);

  /// Returns whether little memory is left for jobs.
  bool isJobMemoryScarce() const;

  /// Each request is answered within this call or a later tick, or never if its
  /// outcome is unknown.
  void submitJob(TimePoint Now, wire::SubmitJob Request, Reply Answer);
  void handleJobRequest(TimePoint Now, const wire::JobRequest &Request,
                        Reply Answer);
  void fetchQueueDepth(const wire::QueueDepthRequest &Request,
                       const Reply &Answer);
  void putConfiguration(wire::PutConfiguration Request, Reply Answer);
  void fetchConfiguration(const Reply &Answer);

  void fetchEvacuation(const wire::FetchEvacuation &Request,
                       const Reply &Answer);
  /// \p Done is called with the outcome of the record.
  void setEvacuation(SetEvacuation Change, EvacuationDone Done);

  void attachWorker(TimePoint Now, wire::WorkerHello Hello,
                    WorkerStream Stream);
  void handleWorkerReport(TimePoint Now, wire::WorkerReport Report,
                          Reply Answer);
  void handleWorkerGone(TimePoint Now, const wire::WorkerGone &Notice,
                        Reply Answer);
  /// Answers once the crash is recorded.
  void handleWorkerCrashed(const jobs::WorkerCrash &Crash, Reply Answer);

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_CONTROL_JOBSERVICE_H
