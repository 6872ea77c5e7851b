/// Tasks under which workers have crashed. Replicated, so that a change of
/// leader forgets none of it.
#ifndef DRAGONFLY_JOBS_CRASHTABLE_H
#define DRAGONFLY_JOBS_CRASHTABLE_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/jobs/Job.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::jobs {

/// The crash of one life of a worker.
struct WorkerCrash {
  std::string Worker_;
  std::uint64_t Born_ = 0;
  /// Runs that had begun there a moment before, or may have.
  std::vector<RunName> Suspects_;
  /// Those of them whose start nobody has confirmed. It has a type of its own
  /// on the wire and in the log, which the version before does not know.
  std::vector<RunName> Unconfirmed_;

  /// Returns whether the start of \p Run, one of the suspects, is confirmed.
  bool isConfirmed(const RunName &Run) const {
    return std::ranges::find(Unconfirmed_, Run) == Unconfirmed_.end();
  }

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Worker_, Born_, Suspects_);
  }
};

class CrashTable {
public:
  /// The crashes under one task, whoever took the blame.
  struct Exposure {
    std::uint64_t Crashes_ = 0;
    /// Log time of the newest one.
    Duration At_{};

    template <typename Archive> void serialize(Archive &Ar) {
      Ar(Crashes_, At_);
    }
  };
  using Exposures = std::map<TaskName, Exposure>;

  /// Crashes after which a task is given up, if no other run had just begun
  /// beside it at the last one. A single crash may be a coincidence.
  static constexpr std::size_t MaxAlone = 2;
  /// The same, if it was the only suspect among several runs.
  static constexpr std::size_t MaxOnlySuspect = 3;
  /// The same, if it was one of several suspects, or if its start there is not
  /// confirmed: a worker that had crashed before the start confirms none
  /// either.
  static constexpr std::size_t MaxShared = 5;
  /// Crashes under a task, whoever took the blame, from which on it counts as
  /// suspect of all of them until it is cleared. Such a task is started alone,
  /// so that two more crashes are proof.
  static constexpr std::size_t MinExposures = 3;
  /// A crash with more suspects than this does not count against tasks that are
  /// not blamed: trying hundreds of tasks one by one would keep their workers
  /// idle.
  static constexpr std::size_t MaxExposed = 16;
  /// A task is suspect for this long after a crash, in log time.
  static constexpr Duration SuspicionTime = std::chrono::seconds(60);

  /// Records \p Crash, of whose suspects those in \p Candidates still have to
  /// run. Among these, tasks that are suspect already take the blame from the
  /// others. A crash that is recorded again has no effect. Returns the tasks to
  /// give up, which explain their crashes: other suspects of these are cleared.
  std::vector<TaskName> record(Duration At, const WorkerCrash &Crash,
                               const std::vector<TaskName> &Candidates);

  /// The worker has outlived a run of the task.
  void clear(const TaskName &Task) {
    Rows_.erase(Task);
    Exposures_.erase(Task);
  }
  void removeJob(const std::string &Job);

  /// Returns whether the task is suspected of a crash.
  bool isSuspect(const TaskName &Task) const { return crashes(Task) > 0; }
  /// Returns how many crashes the task is suspected of.
  std::size_t crashes(const TaskName &Task) const;
  bool empty() const { return Rows_.empty() && Exposures_.empty(); }

  const Exposures &exposures() const { return Exposures_; }
  /// Restores what the table itself does not serialize.
  void restore(Exposures Value) { Exposures_ = std::move(Value); }
  /// For snapshots without exposures: there are those that are blamed.
  void deriveExposures();

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Rows_, Recorded_, LastCrash_);
  }

private:
  struct Row {
    /// Numbers of the crashes that the task is suspected of.
    std::vector<std::uint64_t> Crashes_;
    /// Log time of the newest one.
    Duration At_{};

    template <typename Archive> void serialize(Archive &Ar) {
      Ar(Crashes_, At_);
    }
  };
  using Life = std::pair<std::string, std::uint64_t>;

  /// Agents repeat a notice within seconds.
  static constexpr std::size_t MaxRecorded = 1024;

  bool isRecorded(const Life &Crashed);
  /// Returns the crashes after which a suspect of \p Crash is given up, if its
  /// start there is confirmed.
  static std::size_t limitOf(const WorkerCrash &Crash, std::size_t Blamed);
  static bool isConfirmed(const WorkerCrash &Crash, const TaskName &Task);
  void expose(Duration At, const std::set<TaskName> &Tasks);
  /// The task has caused all the crashes that it is suspected of.
  void explain(const TaskName &Culprit);

  /// Tasks that are blamed.
  std::map<TaskName, Row> Rows_;
  /// Lives whose crash was recorded, oldest first.
  std::vector<Life> Recorded_;
  std::uint64_t LastCrash_ = 0;
  Exposures Exposures_;
};

} // namespace dragonfly::jobs

#endif // DRAGONFLY_JOBS_CRASHTABLE_H
