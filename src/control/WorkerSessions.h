/// The leader's view of workers: sessions, leases, and what runs there.
#ifndef DRAGONFLY_SRC_CONTROL_WORKERSESSIONS_H
#define DRAGONFLY_SRC_CONTROL_WORKERSESSIONS_H

#include "control/JobBatch.h"
#include "dragonfly/control/JobService.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonfly::control {

/// What is known of one run beyond the replicated state.
struct RunInfo {
  wire::RunReport Report_;
  TimePoint OrderedAt_;
  TimePoint StopSentAt_;
  /// When the reported progress last grew.
  TimePoint ProgressAt_;
  /// Since when reports tell a speed at which the run may move to another
  /// worker (`decide::RunMoveOptions`); none where it is faster.
  std::optional<TimePoint> SlowedAt_;
};

struct WorkerSession {
  wire::WorkerHello Hello_;
  WorkerStream Stream_;
  /// 0 while no agent is attached.
  std::uint64_t Number_ = 0;
  std::uint64_t Fence_ = 0;
  /// The agent has told everything that runs there.
  bool Reconciled_ = false;
  bool Draining_ = false;
  /// The worker does not answer its agent.
  bool Silent_ = false;
  TimePoint DrainBy_;
  /// Every lease that was granted has run out by then.
  TimePoint LeaseUntil_;
  TimePoint HeardAt_;
  TimePoint SentAt_;
  std::map<jobs::RunName, RunInfo> Runs_;

  /// Notes that the agent was heard. After silence nobody can tell whether runs
  /// stood still meanwhile, so that they do not count as stalled.
  void hear(TimePoint Now);
  bool attached() const { return Number_ != 0; }
  /// True where new runs may be placed.
  bool open() const {
    return attached() && Reconciled_ && !Draining_ && !Silent_;
  }
};

class WorkerSessions {
public:
  /// Returns what an agent should know of the images on its worker.
  using DisturbanceHook =
      std::function<std::vector<wire::Disturbance>(const std::string &Worker)>;

  WorkerSessions(const JobServiceOptions &Options, const jobs::JobTable &Table,
                 JobBatch &Batch, DisturbanceHook Disturbances)
      : Options_(Options), Table_(Table), Batch_(Batch),
        Disturbances_(std::move(Disturbances)) {}

  void lead(TimePoint Now, Term Led);
  void stop();
  /// Ends leases that have run out and keeps idle streams alive.
  void tick(TimePoint Now);

  void attach(TimePoint Now, wire::WorkerHello Hello, WorkerStream Stream);
  void report(TimePoint Now, wire::WorkerReport Report,
              JobService::Reply Answer);
  void gone(const wire::WorkerGone &Notice, JobService::Reply Answer);

  /// Sends orders on the session \p Number; false where it has ended.
  bool order(TimePoint Now, const std::string &Worker, std::uint64_t Number,
             wire::WorkerOrders Orders);
  /// Tells the worker's agent to stop \p Run, unless that was done lately.
  void stopRun(TimePoint Now, const std::string &Worker,
               const jobs::RunName &Run);

  const std::map<std::string, WorkerSession> &rows() const { return Rows_; }
  /// The run's newest checkpoint that a report carried, or empty.
  std::string checkpointOf(const std::string &Worker,
                           const jobs::RunName &Run) const;
  /// True once after anything changed that placement depends on.
  bool takeChanged() { return std::exchange(Changed_, false); }

private:
  Duration longestLease() const;
  std::vector<wire::StartOrder> knownRuns(const std::string &Worker) const;
  void detach(WorkerSession &Session);
  /// Ends the runs of workers that \p Hello has replaced on its VM.
  void endReplaced(const wire::WorkerHello &Hello);
  void expire(TimePoint Now, const std::string &Worker, WorkerSession &Session);
  void endRuns(const std::string &Worker, jobs::RunEnd How,
               const std::set<jobs::RunName> &Except);
  Duration takeState(TimePoint Now, WorkerSession &Session,
                     const wire::WorkerReport &Report);
  bool takeEnds(const wire::WorkerReport &Report);
  void takeRuns(TimePoint Now, const std::string &Worker,
                WorkerSession &Session, const wire::WorkerReport &Report);

  const JobServiceOptions &Options_;
  const jobs::JobTable &Table_;
  JobBatch &Batch_;
  DisturbanceHook Disturbances_;
  std::map<std::string, WorkerSession> Rows_;
  std::uint64_t LastNumber_ = 0;
  bool Changed_ = true;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_SRC_CONTROL_WORKERSESSIONS_H
