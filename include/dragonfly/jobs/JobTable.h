/// The replicated state of queues, jobs, runs and workers: a pure function of
/// the commands in the log.
#ifndef DRAGONFLY_JOBS_JOBTABLE_H
#define DRAGONFLY_JOBS_JOBTABLE_H

#include "dragonfly/base/Ids.h"
#include "dragonfly/jobs/Configuration.h"
#include "dragonfly/jobs/CrashTable.h"
#include "dragonfly/jobs/Job.h"
#include "dragonfly/jobs/TaskRows.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace dragonfly::jobs {

/// Submits one job to the queue that host and path select when it is applied.
struct SubmitRow {
  std::string Job_;
  std::string Host_;
  std::string Path_;
  JobSpec Spec_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Job_, Host_, Path_, Spec_);
  }
};

enum class SubmitStatus : std::uint8_t { Accepted, NoQueue };

enum class CancelStatus : std::uint8_t {
  /// There is no such job; a submission of it that is still on its way is
  /// accepted as cancelled.
  RecordedEarly,
  Known,  ///< There is such a job, which may have ended before.
  Refused ///< There is no such job and no room to record the cancel.
};

/// Starts a waiting task on a worker. The run number is the task's next one.
struct StartRow {
  RunName Run_;
  std::string Worker_;
  /// The worker's fence that the start was decided under.
  std::uint64_t Fence_ = 0;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Run_, Worker_, Fence_);
  }
};

/// Ends a run. Has no effect unless it is the task's current one.
struct EndRow {
  RunName Run_;
  std::string Worker_;
  RunEnd How_ = RunEnd::Finished;
  std::string Checkpoint_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Run_, Worker_, How_, Checkpoint_);
  }
};

/// One life of a worker and the agent process that speaks for it.
struct WorkerLife {
  std::string Worker_;
  /// Tells lives of one worker apart.
  std::uint64_t Born_ = 0;
  Incarnation Agent_;
  /// Where it runs. A VM has one worker: another one there means that this one
  /// is gone.
  std::string Vm_;

  bool operator==(const WorkerLife &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Worker_, Born_, Agent_, Vm_);
  }
};

struct StepRow {
  TaskRows Tasks_;
  std::uint32_t Finished_ = 0;
  std::uint32_t Waiting_ = 0;

  /// Number of tasks that may be on a worker.
  std::uint32_t onWorkers() const {
    return Tasks_.size() - Finished_ - Waiting_;
  }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Tasks_, Finished_, Waiting_);
  }
};

struct JobRow {
  std::string Id_;
  /// The queue as it was when the job was accepted.
  Queue Queue_;
  JobSpec Spec_;
  JobState State_ = JobState::Queued;
  /// Order of acceptance.
  std::uint64_t Sequence_ = 0;
  /// Log time.
  Duration AcceptedAt_{};
  Duration EndedAt_{};
  std::vector<StepRow> Steps_;

  bool active() const {
    return State_ == JobState::Queued || State_ == JobState::Running;
  }
  /// True once every step that \p Step depends on has finished.
  bool isStepDue(std::uint32_t Step) const;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Id_, Queue_, Spec_, State_, Sequence_, AcceptedAt_, EndedAt_, Steps_);
  }
};

/// Returns the memory that the job holds in the table of the leader, in bytes.
std::size_t heldBytes(const JobRow &Job);
/// Returns the same for a job of \p Spec of which no task has begun.
std::size_t newJobBytes(const JobSpec &Spec);

/// A worker that has registered or still has runs.
struct WorkerRow {
  WorkerLife Life_;
  /// Grows with each life and each agent process; orders carry it.
  std::uint64_t Fence_ = 0;
  /// Runs that may be on the worker. Derived from the jobs.
  std::set<RunName> Runs_;
  /// What these runs reserve. Derived.
  Resources Reserved_;
  /// Processors of runs that use spare ones. Derived.
  std::int64_t SpareMilliProcessors_ = 0;
  /// Runs with a bound on their tail latency, and their part of `Reserved_`.
  /// Derived.
  std::int64_t ServingRuns_ = 0;
  std::int64_t ServingMilliProcessors_ = 0;
  /// Grows whenever a run is added or removed. Derived.
  std::uint64_t RunsVersion_ = 0;
  /// Log time at which a run on it last finished; zero if none has. Follows
  /// from the log, so that the next leader knows it.
  Duration LastFinishedAt_{};
  /// First failures of tasks on it since then. Follows from the log.
  std::uint32_t FailuresInRow_ = 0;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Life_, Fence_); }
};

/// Adds what a run of \p Step holds, \p Sign times, to \p Worker.
void reserve(WorkerRow &Worker, const StepSpec &Step, std::int64_t Sign);

/// A step with tasks that may start now.
struct ReadyStep {
  std::uint64_t Sequence_ = 0;
  std::string Job_;
  std::uint32_t Step_ = 0;

  auto operator<=>(const ReadyStep &) const = default;
};

class JobTable {
public:
  /// How long an ended job's state can be read, in log time; the platform asks
  /// for two minutes.
  static constexpr Duration EndedJobRetention = std::chrono::seconds(150);
  /// How long the steps of an ended job are kept once none of its runs is left,
  /// in log time. Its state is kept for `EndedJobRetention`.
  static constexpr Duration EndedStepsRetention = std::chrono::seconds(30);
  /// How long a cancel of an unknown job holds, in log time. It must
  /// exceed the time for which entries retry a submission.
  static constexpr Duration EarlyCancelRetention = std::chrono::seconds(30);
  /// Cancels of unknown jobs that are kept. Callers' ids have a fixed length.
  static constexpr std::size_t MaxEarlyCancels = 4096;

  /// Takes \p Value where its version is the highest one; returns whether.
  bool putConfiguration(Configuration Value);
  SubmitStatus submit(Duration At, SubmitRow Row);
  /// Returns false where the row has no effect.
  bool start(const StartRow &Row);
  bool end(Duration At, const EndRow &Row);
  /// Records the crash, and fails the jobs of tasks that are given up.
  void recordCrash(Duration At, const WorkerCrash &Crash);
  CancelStatus cancel(Duration At, const std::string &Job);
  /// Returns the fence of \p Life, which is a new one unless it is registered.
  std::uint64_t registerWorker(const WorkerLife &Life);
  /// Forgets a worker that has no runs.
  bool forgetWorker(const std::string &Worker);
  /// Drops the jobs that ended `EndedJobRetention` before \p At, and the steps
  /// of those that ended `EndedStepsRetention` before.
  void forgetEnded(Duration At);

  /// Memory that all jobs hold, in bytes.
  std::size_t heldBytes() const { return HeldBytes_; }

  const Configuration &configuration() const { return Configuration_; }
  const CrashTable &crashes() const { return Crashes_; }
  /// Log times of cancels of unknown jobs, by id.
  const std::map<std::string, Duration> &earlyCancels() const {
    return EarlyCancels_;
  }
  /// Restores what the table itself does not serialize.
  void restore(CrashTable Crashes,
               std::map<std::string, Duration> EarlyCancels) {
    Crashes_ = std::move(Crashes);
    EarlyCancels_ = std::move(EarlyCancels);
  }
  const JobRow *find(const std::string &Job) const;
  const WorkerRow *findWorker(const std::string &Worker) const;
  const std::map<std::string, WorkerRow> &workers() const { return Workers_; }
  const std::set<ReadyStep> &readySteps() const { return Ready_; }
  const std::map<std::string, JobRow> &jobs() const { return Jobs_; }
  /// Counts the active jobs of the queue of which no task has begun. A start is
  /// recorded before its worker begins it, so that \p Begun names the jobs of
  /// which a task is known to have begun.
  std::uint64_t countPending(std::string_view Host, std::string_view PathPrefix,
                             const std::set<std::string> &Begun) const;

  /// Makes the derived parts anew, after the rows were read.
  void rebuild();

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Configuration_, Jobs_, Workers_, LastSequence_, LastFence_);
  }

private:
  /// Changes a row and counts its memory.
  void setTask(StepRow &Step, std::uint32_t Index, TaskRow Row);
  /// Drops what only the runs of an ended job need.
  void dropSteps(JobRow &Job);
  /// Returns whether \p Run was started, and its task has not finished.
  bool isOfUnfinishedTask(const RunName &Run) const;
  void recordOutcome(Duration At, const EndRow &Row, bool IsFirstFailure);
  CancelStatus recordEarlyCancel(Duration At, const std::string &Job);
  /// Forgets the early cancel of \p Job; returns whether it held at \p At.
  bool consumeEarlyCancel(Duration At, const std::string &Job);
  void setReady(const JobRow &Job);
  void clearReady(const JobRow &Job);
  void finish(Duration At, JobRow &Job, JobState State);
  void addRun(const JobRow &Job, const RunName &Run, const std::string &Worker);
  void removeRun(const JobRow &Job, const RunName &Run,
                 const std::string &Worker);

  Configuration Configuration_;
  std::map<std::string, JobRow> Jobs_;
  std::map<std::string, WorkerRow> Workers_;
  std::uint64_t LastSequence_ = 0;
  std::uint64_t LastFence_ = 0;
  CrashTable Crashes_;
  std::map<std::string, Duration> EarlyCancels_;
  std::set<ReadyStep> Ready_;
  /// Derived.
  std::size_t HeldBytes_ = 0;
};

} // namespace dragonfly::jobs

#endif // DRAGONFLY_JOBS_JOBTABLE_H
