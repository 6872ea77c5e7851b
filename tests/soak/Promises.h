/// What callers and workers saw, and the promises that it breaks.
#ifndef DRAGONFLY_TESTS_SOAK_PROMISES_H
#define DRAGONFLY_TESTS_SOAK_PROMISES_H

#include "dragonfly/base/Clock.h"
#include "soak/Calm.h"
#include "soak/CancelChecks.h"
#include "soak/TaskId.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonfly::soak {

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
  /// Runs save how far they have come, and resume from there.
  bool Checkpointing_ = false;
};

/// What a worker is told to start.
struct StartOrder {
  TaskId Task_;
  std::string Worker_;
  /// Number of the worker's agent, from 0.
  std::size_t Place_ = 0;
  std::string Spec_;
  std::string Checkpoint_;
  /// Thousandths of processors that are free.
  std::int64_t Room_ = 0;
  /// It was told long before, and got no answer.
  bool IsLate_ = false;
};

/// A task whose runs fail by themselves so often fails its job.
inline constexpr std::uint32_t MaxTaskAttempts = 100;

class Promises {
public:
  explicit Promises(const Calm &Quiet);

  /// The job is about to be handed in for the first time.
  void planned(const std::string &Job, PlannedJob Plan);
  /// A submission was answered with success; the job must complete, or fail
  /// where it may.
  void accepted(const std::string &Job) { Accepted_.insert(Job); }
  /// Each attempt was answered as not run.
  void refused(const std::string &Job) { Refused_.insert(Job); }
  void completed(const std::string &Job);
  void failed(const std::string &Job);
  void unknown(const std::string &Job, const std::string &Where);

  void starts(const StartOrder &Order);
  /// The run is gone from worker \p Place; \p Done where it has finished.
  void ends(const TaskId &Task, std::size_t Place, bool Done);
  /// A run of the task has saved that it has worked for \p Work.
  void saves(const TaskId &Task, const std::string &Checkpoint, Duration Work) {
    Saved_[Task][Checkpoint] = Work;
  }
  /// Work that \p Checkpoint holds; none if no run of the task has made it.
  Duration savedWork(const TaskId &Task, const std::string &Checkpoint) const;
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
  /// A cancel of the job is sent.
  void cancelSent(const std::string &Job);
  void cancelAnswered(const std::string &Job);
  /// The state that a caller was shown, which had asked at \p AskedAt.
  void shown(const std::string &Job, const std::string &State,
             TimePoint AskedAt);
  CancelChecks &cancels() { return Cancels_; }
  /// Whether the first step has ended, and the second one has not.
  bool isBetweenSteps(const std::string &Job) const;
  std::vector<std::string> lasting() const;

  void configurationAcked(std::uint64_t Version);
  void configurationRead(std::uint64_t Version);
  /// An operator that sent the invalid configuration \p Body has an answer.
  void invalidAnswered(const std::string &Body, std::uint16_t Status);
  /// A change of this version or a higher one has to be accepted.
  void expectChange(std::uint64_t Version) { ExpectedChange_ = Version; }
  bool isChangeAccepted() const { return NewestAcked_ >= ExpectedChange_; }

  const PlannedJob *plan(const std::string &Job) const;
  bool isAccepted(const std::string &Job) const {
    return Accepted_.contains(Job);
  }
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

  CancelChecks Cancels_;
  std::map<std::string, PlannedJob> Plans_;
  std::set<std::string> Accepted_;
  std::set<std::string> Refused_;
  std::set<std::string> Ended_;
  std::set<std::string> Failed_;
  std::set<std::string> Started_;
  std::map<TaskId, std::string> RunningOn_;
  std::set<TaskId> Done_;
  std::set<TaskId> Noted_;
  /// Checkpoints that runs of each task have made.
  std::map<TaskId, std::map<std::string, Duration>> Saved_;
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
