/// The leader's view of workers: sessions, leases, and their runs.
#ifndef DRAGONFLY_SRC_CONTROL_WORKERSESSIONS_H
#define DRAGONFLY_SRC_CONTROL_WORKERSESSIONS_H

#include "control/JobBatch.h"
#include "dragonfly/control/JobService.h"

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonfly::control {

/// What the leader knows of a run beyond the replicated state.
struct RunInfo {
  wire::RunReport Report_;
  /// When its start was sent or, if an earlier leader sent it, its first report
  /// arrived.
  TimePoint StartOrderedAt_;
  TimePoint StopSentAt_;
  /// When the report of the run last showed progress, or the run could not be
  /// expected to show any.
  TimePoint LastProgressAt_;
  /// Since when the run has been throttled to a speed at which it may move to
  /// another worker (`decide::RunMoveOptions`); empty while it is faster.
  std::optional<TimePoint> ThrottledAt_;
};

/// The lease of a worker and, while an agent is attached, its session.
struct WorkerSession {
  wire::WorkerHello Hello_;
  WorkerStream Stream_;
  /// 0 while no agent is attached.
  std::uint64_t Number_ = 0;
  std::uint64_t FencingToken_ = 0;
  /// The agent has reported every run on the worker.
  bool Reconciled_ = false;
  bool Draining_ = false;
  /// Whether the worker has stopped answering its agent.
  bool Silent_ = false;
  TimePoint DrainDeadline_;
  /// How much longer the worker is slow after its start, by its last report.
  Duration ColdTimeLeft_{};
  /// Every lease granted to the worker has expired by then.
  TimePoint LeaseExpiresAt_;
  TimePoint LastContactAt_;
  TimePoint LastSentAt_;
  TimePoint LastStartAt_;
  std::map<jobs::RunName, RunInfo> Runs_;

  /// Records that the agent was heard from. After a gap in the reports the
  /// stall timers of all runs restart, because their progress meanwhile is
  /// unknown.
  void recordContact(TimePoint Now);
  bool isAttached() const { return Number_ != 0; }
  /// Returns whether new runs may be placed on the worker.
  bool isSchedulable() const {
    return isAttached() && Reconciled_ && !Draining_ && !Silent_;
  }
};

class WorkerSessions {
public:
  /// Returns the headroom losses between the images on a worker, which are sent
  /// to its agent.
  using ImageLossHook =
      std::function<std::vector<wire::Disturbance>(const std::string &Worker)>;

  /// \p OnRunBegun is called once a run is first reported to be on its worker.
  WorkerSessions(const JobServiceOptions &Options, const jobs::JobTable &Table,
                 JobBatch &Batch, ImageLossHook ImageLossesOn,
                 std::function<void(const jobs::RunName &)> OnRunBegun)
      : Options_(Options), Table_(Table), Batch_(Batch),
        ImageLossesOn_(std::move(ImageLossesOn)),
        OnRunBegun_(std::move(OnRunBegun)) {}

  void startLeading(TimePoint Now, Term Led);
  void stopLeading();
  /// Expires leases, detaches closed streams and sends keep-alives on idle
  /// ones.
  void tick(TimePoint Now);

  /// Records the worker in the log and, once that is committed, opens a session
  /// on \p Stream. An older session of the worker ends.
  void attach(TimePoint Now, wire::WorkerHello Hello, WorkerStream Stream);
  /// Renews the lease of the worker and updates its runs. Answers once the
  /// reported ends are committed.
  void handleReport(TimePoint Now, wire::WorkerReport Report,
                    JobService::Reply Answer);
  /// Ends all runs of a worker that has left and removes it.
  void handleWorkerGone(const wire::WorkerGone &Notice,
                        JobService::Reply Answer);

  /// Sends orders on the session \p Number; returns false if it has ended.
  bool sendOrders(TimePoint Now, const std::string &Worker,
                  std::uint64_t Number, wire::WorkerOrders Orders);
  /// Orders the worker's agent to stop \p Run, unless that order was sent
  /// within the resend interval.
  void stopRun(TimePoint Now, const std::string &Worker,
               const jobs::RunName &Run);

  const std::map<std::string, WorkerSession> &sessions() const {
    return Sessions_;
  }
  /// Returns the newest checkpoint reported for the run, or an empty string.
  std::string latestCheckpoint(const std::string &Worker,
                               const jobs::RunName &Run) const;
  /// Returns whether any input of placement has changed since the last call,
  /// and clears the flag.
  bool consumeChanged() { return std::exchange(Changed_, false); }

private:
  /// Returns the longest time, on the leader's clock, that a worker's runs may
  /// go on after a renewal.
  Duration maxLeaseDuration() const;
  std::vector<wire::StartOrder> recordedRuns(const std::string &Worker) const;
  void detach(WorkerSession &Session);
  bool isElsewhere(const wire::WorkerHello &Hello) const;
  /// Ends the runs of older workers on the VM of \p Hello, which is certain to
  /// be there, and removes these workers.
  void endRunsOfReplacedWorkers(const wire::WorkerHello &Hello);
  void expireLease(TimePoint Now, const std::string &Worker,
                   WorkerSession &Session);
  void endRuns(const std::string &Worker, jobs::RunEnd How,
               const std::set<jobs::RunName> &Except);
  Duration updateStateAndRenewLease(TimePoint Now, WorkerSession &Session,
                                    const wire::WorkerReport &Report);
  bool gatherEnds(const WorkerSession &Session,
                  const wire::WorkerReport &Report);
  void updateRuns(TimePoint Now, const std::string &Worker,
                  WorkerSession &Session, const wire::WorkerReport &Report);

  const JobServiceOptions &Options_;
  const jobs::JobTable &Table_;
  JobBatch &Batch_;
  ImageLossHook ImageLossesOn_;
  std::function<void(const jobs::RunName &)> OnRunBegun_;
  std::map<std::string, WorkerSession> Sessions_;
  std::uint64_t LastNumber_ = 0;
  bool Changed_ = true;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_WORKERSESSIONS_H
