/// Jobs: steps of equal tasks with dependencies between the steps.
#ifndef DRAGONFLY_JOBS_JOB_H
#define DRAGONFLY_JOBS_JOB_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/EnumTable.h"
#include "dragonfly/base/Resources.h"

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace dragonfly::jobs {

/// What the tasks of one step need and how they behave.
struct StepSpec {
  std::uint32_t Count_ = 1;
  /// Of each task.
  Resources Need_;
  /// The submitter's rough guess of one task's run time.
  Duration Estimate_{};
  /// Numbers of earlier steps that must be done first.
  std::vector<std::uint32_t> DependsOn_;
  /// Tasks save their progress and can resume from it.
  bool Checkpointing_ = false;
  /// Tasks run until the job is cancelled and are restarted however they end.
  bool LongRunning_ = false;
  /// Several runs of one task may go on at once; the first to finish counts.
  bool Speculative_ = false;
  /// Tasks use processors that others leave idle; theirs are not reserved.
  bool UsesSpareProcessors_ = false;
  /// Tasks of this step on one worker at most; 0 for no bound.
  std::uint32_t MaxPerWorker_ = 0;
  /// Tasks of a long-running step that the system may interrupt at once.
  std::uint32_t MaxUnavailable_ = 0;
  /// Tasks of one image behave alike.
  std::string Image_;
  /// Bound on the tail latency that the tasks' own users see; 0 for none.
  Duration TailTarget_{};
  /// Label that the worker must carry; empty for none.
  std::string RequiredLabel_;
  /// Rack that holds the step's data; empty for none.
  std::string DataRack_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Count_, Need_, Estimate_, DependsOn_, Checkpointing_, LongRunning_,
       Speculative_, UsesSpareProcessors_, MaxPerWorker_, MaxUnavailable_,
       Image_, TailTarget_, RequiredLabel_, DataRack_);
  }
};

struct JobSpec {
  /// Handed to every task as it is.
  std::string Payload_;
  std::vector<StepSpec> Steps_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Payload_, Steps_);
  }
};

/// Returns the memory that \p Spec holds beside the object itself, in bytes.
std::size_t heldBytes(const JobSpec &Spec);

/// Names one task of a job.
struct TaskName {
  std::string Job_;
  std::uint32_t Step_ = 0;
  std::uint32_t Index_ = 0;

  auto operator<=>(const TaskName &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Job_, Step_, Index_);
  }
};

/// Names one start of a task; runs are numbered from 1.
struct RunName {
  TaskName Task_;
  std::uint32_t Run_ = 0;

  auto operator<=>(const RunName &) const = default;

  template <typename Archive> void serialize(Archive &Ar) { Ar(Task_, Run_); }
};

/// Returns the run as log lines name it, such as "5c0e7a21d94b36f8.0.17#2".
std::string printRun(const RunName &Run);

/// Returns the steps as log lines describe them, separated by commas. Each is
/// COUNTxMILLIPROCESSORS:KIND, where KIND is `serving`, `batch` or `short`,
/// followed by `<` and the steps that it depends on, separated by `+`:
/// "4x500:short,20x1800:batch<0".
std::string printSteps(const JobSpec &Spec);

enum class JobState : std::uint8_t {
  Queued,    ///< No task has started.
  Running,   ///< A task has started.
  Completed, ///< Every task has finished.
  Failed,    ///< A task has used up its attempts.
  Cancelled
};

/// How a run ended.
enum class RunEnd : std::uint8_t {
  Finished,
  Failed,
  Stopped,
  LeaseExpired, ///< The worker's lease ran out, or the worker was lost.
  NotStarted    ///< The start is known to have had no effect.
};

} // namespace dragonfly::jobs

namespace dragonfly {

template <> struct EnumTable<jobs::JobState> {
  static constexpr std::array<EnumName<jobs::JobState>, 5> Rows{{
      {jobs::JobState::Queued, "queued"},
      {jobs::JobState::Running, "running"},
      {jobs::JobState::Completed, "completed"},
      {jobs::JobState::Failed, "failed"},
      {jobs::JobState::Cancelled, "cancelled"},
  }};
};

template <> struct EnumTable<jobs::RunEnd> {
  static constexpr std::array<EnumName<jobs::RunEnd>, 5> Rows{{
      {jobs::RunEnd::Finished, "finished"},
      {jobs::RunEnd::Failed, "failed"},
      {jobs::RunEnd::Stopped, "stopped"},
      {jobs::RunEnd::LeaseExpired, "lease-expired"},
      {jobs::RunEnd::NotStarted, "not-started"},
  }};
};

} // namespace dragonfly

#endif // DRAGONFLY_JOBS_JOB_H
