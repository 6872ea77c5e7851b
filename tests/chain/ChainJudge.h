/// Checks what callers and workers see of jobs against the rules on starts that
/// nobody asked for, on cancels, on runs of one task and on lasting tasks.
#ifndef DRAGONFLY_TESTS_CHAIN_CHAINJUDGE_H
#define DRAGONFLY_TESTS_CHAIN_CHAINJUDGE_H

#include "chain/ChainClock.h"
#include "dragonfly/jobs/Job.h"

#include <algorithm>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::chain {

/// What the callers of one job have sent and heard.
struct JobRecord {
  jobs::JobSpec Spec_;
  bool Sent_ = false;
  /// Attempts to submit that were not refused.
  std::size_t NotRefused_ = 0;
  std::optional<TimePoint> AcceptedAt_;
  std::optional<TimePoint> CancelSentAt_;
  std::optional<TimePoint> CancelAckedAt_;
  /// Steady time for which the cancel has waited.
  Duration CancelWaited_{};
  /// Machines on whose workers starts of the job were ordered.
  std::set<std::size_t> OrderedTo_;
  /// How many workers were lost after that.
  std::size_t LostWorkers_ = 0;
  /// From then on the cancel must have an effect.
  std::optional<TimePoint> CancelHoldsAt_;
};

/// One start that an agent asks of its worker.
struct OrderedStart {
  jobs::RunName Run_;
  std::string Payload_;
  std::string Checkpoint_;
  TimePoint OrderedAt_;
  /// Whether the agent's machine was in touch then.
  bool InTouch_ = false;
  /// Birth of the worker's life that it was sent to.
  std::uint64_t Life_ = 0;
};

/// Names one end: the worker's machine, its life and the end's number.
using EndKey = std::tuple<std::size_t, std::uint64_t, std::uint64_t>;

class ChainJudge {
public:
  explicit ChainJudge(const ChainClock &Calm) : Calm_(Calm) {}

  std::map<std::string, JobRecord> Jobs_;

  void note(const std::string &Line) {
    const auto At = std::chrono::duration_cast<milliseconds>(
        Clock::now().time_since_epoch());
    Trace_.push_back(std::to_string(At.count()) + " " + Line);
    if (Trace_.size() > TraceLines)
      Trace_.pop_front();
  }
  bool broken() const { return !Broken_.empty(); }
  /// Returns what was broken, after the last steps.
  std::string report() const {
    std::string Text;
    for (const std::string &Each : Trace_)
      Text += Each + "\n";
    return Text + Broken_;
  }
  std::size_t starts() const { return Starts_; }

  /// Lets the steady time \p By pass for cancels without an answer.
  void waitForCancels(Duration By) {
    for (auto &[Job, Row] : Jobs_) {
      if (!Row.CancelSentAt_ || Row.CancelHoldsAt_)
        continue;
      if (Calm_.isSteady())
        Row.CancelWaited_ += By;
      if (Row.CancelWaited_ >= AckTime)
        Row.CancelHoldsAt_ = Clock::now();
    }
  }
  void cancelAcknowledged(const std::string &Job) {
    JobRecord &Row = Jobs_[Job];
    if (!Row.CancelAckedAt_)
      Row.CancelAckedAt_ = Clock::now();
    if (!Row.CancelHoldsAt_)
      Row.CancelHoldsAt_ = Clock::now();
  }

  /// A call for a start that a worker may carry out.
  void ordered(std::size_t To, const OrderedStart &Call) {
    checkOrigin(Call);
    Jobs_[Call.Run_.Task_.Job_].OrderedTo_.insert(To);
  }

  /// A run has begun on the worker of machine \p On.
  void started(std::size_t On, std::uint64_t Life, const OrderedStart &Call,
               bool Late) {
    ++Starts_;
    const jobs::RunName &Run = Call.Run_;
    note("worker " + std::to_string(On) + (Late ? " late" : "") + " start " +
         printRun(Run));
    checkOrigin(Call);
    if (Broken_.empty())
      checkCancelled(Call, Late);
    Task &Row = Tasks_[Run.Task_];
    const std::string From =
        Call.Life_ == Life ? "" : ", sent to an earlier life";
    if (!Row.Alive_.empty())
      fail("8: two runs at once of " + printRun(Run) + " and " +
           printRun(Row.Alive_.front().Run_) + From);
    for (const Done &End : Row.Done_)
      if (End.Noted_)
        fail("8: start after a recorded end: " + printRun(Run) + From);
    Row.Alive_.push_back(
        {.Run_ = Run, .On_ = On, .StartedAt_ = Clock::now(), .Late_ = Late});
    Row.NewestStart_ = Clock::now();
  }
  /// A run is over on the worker of machine \p On; \p Key names a `done` end.
  void ended(std::size_t On, const jobs::RunName &Run, std::string_view How,
             std::optional<EndKey> Key) {
    note("worker " + std::to_string(On) + " " + std::string(How) + " " +
         printRun(Run));
    Task &Row = Tasks_[Run.Task_];
    std::erase_if(Row.Alive_, [&](const Live &Each) {
      return Each.Run_ == Run && Each.On_ == On;
    });
    Row.LastRunAt_ = Clock::now();
    if (!Key)
      return;
    Row.Done_.push_back({.At_ = Clock::now(), .Key_ = *Key});
    Ends_[*Key] = Run.Task_;
  }
  /// The worker was told to forget an end.
  void endNoted(const EndKey &Key) {
    const auto It = Ends_.find(Key);
    if (It == Ends_.end())
      return;
    Task &Row = Tasks_[It->second];
    for (Done &Each : Row.Done_) {
      if (Each.Key_ != Key || Each.Noted_)
        continue;
      Each.Noted_ = true;
      if (Row.NewestStart_ > Each.At_)
        fail("8: a start had followed an end that is recorded now: " +
             It->second.Job_);
    }
    Ends_.erase(It);
  }
  /// The lease of a worker has run out: its ends that were not noted until then
  /// no longer bind.
  void leaseOver(std::size_t On) {
    std::erase_if(Ends_, [On](const auto &Each) {
      return std::get<0>(Each.first) == On;
    });
  }
  /// The worker of machine \p On has crashed, or left.
  void workerLost(std::size_t On) {
    for (auto &[Job, Row] : Jobs_) {
      const auto It = Row.OrderedTo_.find(On);
      if (It != Row.OrderedTo_.end())
        ++Row.LostWorkers_;
      Row.OrderedTo_.erase(On);
    }
  }
  /// Control shows a lasting job as failed. It is taken that a job may be given
  /// up that has crashed two workers (DEVELOPERS.md, questions to the users).
  void checkGivenUp(const std::string &Job) {
    if (Jobs_.at(Job).LostWorkers_ < 2)
      fail("10: a lasting job has failed: " + Job);
  }
  void checkpointMade(const std::string &Value, const jobs::TaskName &Of) {
    Checkpoints_.emplace(Value, Of);
  }

  /// Whether no cancel was sent and the task lasts, has no run and is due.
  bool isDue(const std::string &Job, std::uint32_t Index) const {
    const JobRecord &Row = Jobs_.at(Job);
    if (!Row.AcceptedAt_ || Row.CancelSentAt_)
      return false;
    const auto It = Tasks_.find({.Job_ = Job, .Step_ = 0, .Index_ = Index});
    const TimePoint Since =
        It == Tasks_.end() ? *Row.AcceptedAt_
                           : std::max(*Row.AcceptedAt_, It->second.LastRunAt_);
    return (It == Tasks_.end() || It->second.Alive_.empty()) &&
           Clock::now() - Since >= seconds(6);
  }

  void checkRunsOfCancelledJobs() {
    for (const auto &[Name, Row] : Tasks_) {
      const auto It = Jobs_.find(Name.Job_);
      if (It == Jobs_.end() || !It->second.CancelHoldsAt_)
        continue;
      for (const Live &Each : Row.Alive_) {
        const TimePoint From = std::max(*It->second.CancelHoldsAt_ + CancelTime,
                                        Each.StartedAt_ + ContactTime);
        const Duration Over = Clock::now() - From - StopTime;
        // Nothing was disturbed since the cancel, nor shortly before it.
        if (Over > Duration::zero() &&
            Calm_.calmFor() >= CancelTime + StopTime + ContactTime)
          fail("6: a task of a cancelled job runs on: " + printRun(Each.Run_));
      }
    }
  }

  void fail(const std::string &What) {
    note("BROKEN " + What);
    if (Broken_.empty())
      Broken_ = What;
  }

private:
  static constexpr std::size_t TraceLines = 60;

  struct Live {
    jobs::RunName Run_;
    std::size_t On_ = 0;
    TimePoint StartedAt_;
    bool Late_ = false;
  };
  struct Done {
    TimePoint At_;
    EndKey Key_;
    bool Noted_ = false;
  };
  struct Task {
    std::vector<Live> Alive_;
    std::vector<Done> Done_;
    TimePoint NewestStart_;
    TimePoint LastRunAt_;
  };

  void checkOrigin(const OrderedStart &Call) {
    const jobs::TaskName &Name = Call.Run_.Task_;
    const auto It = Jobs_.find(Name.Job_);
    const bool Known = It != Jobs_.end() && It->second.Sent_ &&
                       Name.Step_ < It->second.Spec_.Steps_.size() &&
                       Name.Index_ < It->second.Spec_.Steps_[Name.Step_].Count_;
    if (!Known)
      return fail("1: nobody submitted " + printRun(Call.Run_));
    if (Call.Payload_ != It->second.Spec_.Payload_)
      fail("2: another payload for " + printRun(Call.Run_));
    const auto Made = Checkpoints_.find(Call.Checkpoint_);
    if (!Call.Checkpoint_.empty() &&
        (Made == Checkpoints_.end() || Made->second != Name))
      fail("3: the checkpoint is not of the task: " + printRun(Call.Run_));
    if (It->second.NotRefused_ == 0)
      fail("7: all submissions were refused of " + printRun(Call.Run_));
  }

  void checkCancelled(const OrderedStart &Call, bool Late) {
    const JobRecord &Row = Jobs_.at(Call.Run_.Task_.Job_);
    if (Late || !Call.InTouch_ || !Row.CancelHoldsAt_ ||
        Call.OrderedAt_ - *Row.CancelHoldsAt_ <= CancelTime)
      return;
    fail((Row.CancelAckedAt_ ? "4: start after the cancel of "
                             : "5: start after an unanswered cancel of ") +
         printRun(Call.Run_));
  }

  const ChainClock &Calm_;
  std::map<jobs::TaskName, Task> Tasks_;
  /// Ends of finished runs that workers were not told to forget.
  std::map<EndKey, jobs::TaskName> Ends_;
  std::map<std::string, jobs::TaskName> Checkpoints_;
  std::deque<std::string> Trace_;
  std::string Broken_;
  std::size_t Starts_ = 0;
};

} // namespace dragonfly::chain

#endif // DRAGONFLY_TESTS_CHAIN_CHAINJUDGE_H
