/// What callers and workers saw, and the promises that it breaks.
#ifndef DRAGONFLY_TESTS_SOAK_PROMISES_H
#define DRAGONFLY_TESTS_SOAK_PROMISES_H

#include "dragonfly/base/Clock.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonfly::soak {

/// One task of a job's step, as workers name it.
struct TaskId {
  std::string Job_;
  std::uint32_t Step_ = 0;
  std::uint32_t Index_ = 0;

  auto operator<=>(const TaskId &) const = default;
  std::string text() const;
};

/// A job with steps that follow each other.
struct PlannedJob {
  std::string Spec_;
  /// Tasks of each step.
  std::vector<std::uint32_t> Counts_;
  std::int64_t MilliProcessors_ = 0;
  Duration TaskTime_{};
  /// Whether runs may fail by themselves.
  bool MayFail_ = true;
  /// A task that crashes each worker that starts it.
  std::optional<TaskId> Deadly_;
  /// Its tasks run until it is cancelled.
  bool Lasts_ = false;
};

/// A task whose runs fail by themselves so often fails its job.
inline constexpr std::uint32_t MaxTaskAttempts = 100;

class Promises {
public:
  void planned(const std::string &Job, PlannedJob Plan);
  /// A submission was answered with success; the job must complete, or fail
  /// where it may.
  void accepted(const std::string &Job) { Accepted_.insert(Job); }
  /// Each attempt was answered as not run.
  void refused(const std::string &Job) { Refused_.insert(Job); }
  void completed(const std::string &Job);
  void failed(const std::string &Job);
  void unknown(const std::string &Job, const std::string &Where);

  /// A worker with \p Room free starts a run.
  void starts(const TaskId &Task, const std::string &Worker,
              const std::string &Spec, std::int64_t Room);
  /// The run is gone from the worker; \p Done where it has finished.
  void ends(const TaskId &Task, bool Done);
  /// The run has failed by itself.
  void failsByItself(const TaskId &Task) { ++OwnFailures_[Task]; }
  /// A worker crashed while it ran the task.
  void crashesUnder(const TaskId &Task) { ++Crashes_[Task]; }
  /// The end of a run that has finished was taken note of.
  void endNoted(const TaskId &Task) { Noted_.insert(Task); }

  /// The connection of a request ended without a whole answer.
  void unanswered(const std::string &What);
  /// A process was told to stop, and still runs after its stop time.
  void stopsTooLate(const std::string &What);
  /// \p Free processors of the workers in \p Free, of \p All, are unused, while
  /// nothing has been disturbed for some time.
  void observeCalm(TimePoint Now, const std::vector<std::int64_t> &Free,
                   std::int64_t All);
  /// What has stood still so far does not count.
  void disturbed() { StillSince_.clear(); }
  /// A lasting job is being cancelled.
  void cancelled(const std::string &Job) { Ended_.insert(Job); }
  std::vector<std::string> lasting() const;

  void configurationAcked(std::uint64_t Version);
  void configurationRead(std::uint64_t Version);
  /// A change of this version or a higher one has to be accepted.
  void expectChange(std::uint64_t Version) { ExpectedChange_ = Version; }
  bool isChangeAccepted() const { return NewestAcked_ >= ExpectedChange_; }

  const PlannedJob *plan(const std::string &Job) const;
  bool isPending(const std::string &Job) const {
    return Accepted_.contains(Job) && !Ended_.contains(Job);
  }
  std::vector<std::string> pending() const;
  std::size_t acceptedCount() const { return Accepted_.size(); }
  std::size_t startCount() const { return Starts_; }
  std::size_t failedCount() const { return Failed_.size(); }
  /// Jobs that have been told both ways.
  void checkEnd();
  const std::vector<std::string> &broken() const { return Broken_; }

private:
  void require(bool Kept, const std::string &Promise, const std::string &What);
  /// Tasks whose turn has come and that have not ended.
  std::vector<TaskId> dueTasks(const std::string &Job) const;
  /// Breaks \p Promise once \p What has stood still for longer than \p Most.
  void observeStill(TimePoint Now, bool StandsStill, const std::string &What,
                    Duration Most, const std::string &Promise);

  std::map<std::string, PlannedJob> Plans_;
  std::set<std::string> Accepted_;
  std::set<std::string> Refused_;
  std::set<std::string> Ended_;
  std::set<std::string> Failed_;
  std::set<std::string> Started_;
  std::map<TaskId, std::string> RunningOn_;
  std::set<TaskId> Done_;
  std::set<TaskId> Noted_;
  std::map<TaskId, std::uint32_t> OwnFailures_;
  std::map<TaskId, std::uint32_t> Crashes_;
  /// Starts of deadly tasks after the third crash.
  std::map<TaskId, std::uint32_t> LateStarts_;
  std::uint64_t NewestAcked_ = 0;
  std::uint64_t ExpectedChange_ = 0;
  std::size_t Starts_ = 0;
  /// Since when jobs and lasting tasks have had nothing running.
  std::map<std::string, TimePoint> StillSince_;
  std::vector<std::string> Broken_;
};

} // namespace dragonfly::soak

#endif // DRAGONFLY_TESTS_SOAK_PROMISES_H
