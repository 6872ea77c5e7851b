/// What a case saw: a text file of what was sent, answered and run, and the
/// runs that workers had at the same time.
#ifndef DRAGONFLY_REVIEW_STANDIN_RECORD_H
#define DRAGONFLY_REVIEW_STANDIN_RECORD_H

#include "dragonfly/base/Clock.h"

#include <cstdint>
#include <fstream>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::review {

/// Writes one line per event, with the milliseconds since its creation.
class Record {
public:
  explicit Record(const std::string &Path) : Out_(Path) {}

  void write(const std::string &Line) {
    Out_ << static_cast<std::int64_t>(toMilliseconds(Clock::now() - Began_))
         << " ms: " << Line << std::endl;
  }

private:
  std::ofstream Out_;
  TimePoint Began_ = Clock::now();
};

/// One run of a task, as the worker that has it names it.
struct RunOn {
  std::string Worker_;
  std::uint64_t Run_ = 0;

  auto operator<=>(const RunOn &) const = default;
};

/// Sees the runs of all workers and applies the rule TWICE to them.
class RunJudge {
public:
  explicit RunJudge(Record &Lines) : Lines_(Lines) {}

  void began(const std::string &Task, const RunOn &Run);
  void ended(const std::string &Task, const RunOn &Run, const std::string &How);
  /// The end of a run that had finished was taken note of.
  void noted(const std::string &Task) { Noted_.insert(Task); }

  /// Closes the overlaps that go on, then returns the longest one.
  Duration longestOverlap();
  std::size_t overlaps() const { return Overlaps_; }
  std::size_t startsAfterDone() const { return StartsAfterDone_; }
  std::size_t running() const { return Running_.size(); }
  std::size_t runningOf(const std::string &Job) const;
  /// Tasks of \p Job that have ended as done.
  std::size_t doneOf(const std::string &Job) const;
  TimePoint lastStartOf(const std::string &Job) const;
  std::size_t started() const { return Started_; }
  /// True if a run of a task of \p Job has begun.
  bool hasRun(const std::string &Job) const { return Jobs_.contains(Job); }

private:
  Record &Lines_;
  std::map<std::string, std::map<RunOn, TimePoint>> Running_;
  std::set<std::string> Noted_;
  std::set<std::string> Done_;
  /// When the last run of a job's tasks began.
  std::map<std::string, TimePoint> Jobs_;
  Duration Longest_{};
  std::size_t Overlaps_ = 0;
  std::size_t StartsAfterDone_ = 0;
  std::size_t Started_ = 0;
};

} // namespace dragonfly::review

#endif // DRAGONFLY_REVIEW_STANDIN_RECORD_H
