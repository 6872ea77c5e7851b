/// Tasks under which workers have crashed. Replicated, so that a change of
/// leader forgets none of it.
#ifndef DRAGONFLY_JOBS_CRASHTABLE_H
#define DRAGONFLY_JOBS_CRASHTABLE_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/jobs/Job.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::jobs {

/// The crash of one life of a worker.
struct WorkerCrash {
  std::string Worker_;
  std::uint64_t Born_ = 0;
  /// Runs that had begun there a moment before.
  std::vector<RunName> Suspects_;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Worker_, Born_, Suspects_);
  }
};

class CrashTable {
public:
  /// Crashes after which a task is given up, if no other run had just begun
  /// beside it at the last one. A single crash may be a coincidence.
  static constexpr std::size_t MaxAlone = 2;
  /// The same, if it was the only suspect among several runs.
  static constexpr std::size_t MaxOnlySuspect = 3;
  /// The same, if it was one of several suspects.
  static constexpr std::size_t MaxShared = 5;
  /// A task is suspect for this long after a crash, in log time.
  static constexpr Duration SuspicionTime = std::chrono::seconds(60);

  /// Records \p Crash, of whose suspects those in \p Candidates still have to
  /// run. Among these, tasks that are suspect already take the blame from the
  /// others. A crash that is recorded again has no effect. Returns the tasks to
  /// give up, which explain their crashes: other suspects of these are cleared.
  std::vector<TaskName> record(Duration At, const WorkerCrash &Crash,
                               const std::vector<TaskName> &Candidates);

  /// The worker has outlived a run of the task.
  void clear(const TaskName &Task) { Rows_.erase(Task); }
  void removeJob(const std::string &Job);

  /// Returns whether a worker crashed when it had started the task.
  bool isSuspect(const TaskName &Task) const { return Rows_.contains(Task); }
  /// Returns how many crashes the task is suspected of.
  std::size_t crashes(const TaskName &Task) const;
  bool empty() const { return Rows_.empty(); }

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
  /// Returns the crashes after which a suspect of \p Crash is given up.
  static std::size_t limitOf(const WorkerCrash &Crash, std::size_t Blamed);
  /// The task has caused all the crashes that it is suspected of.
  void explain(const TaskName &Culprit);

  std::map<TaskName, Row> Rows_;
  /// Lives whose crash was recorded, oldest first.
  std::vector<Life> Recorded_;
  std::uint64_t LastCrash_ = 0;
};

} // namespace dragonfly::jobs

#endif // DRAGONFLY_JOBS_CRASHTABLE_H
