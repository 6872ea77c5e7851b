/// A worker that follows the platform's protocol, with the clock paused.
#ifndef DRAGONFLY_TESTS_AGENT_FAKEWORKER_H
#define DRAGONFLY_TESTS_AGENT_FAKEWORKER_H

#include "dragonfly/agent/WorkerCalls.h"
#include "dragonfly/base/Clock.h"
#include "dragonfly/net/EventLoop.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <iterator>
#include <map>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::agent {

using std::chrono::milliseconds;
using std::chrono::seconds;

inline jobs::RunName makeRun(std::uint32_t Index, std::uint32_t Run = 1) {
  return {.Task_ = {.Job_ = "5c0e7a21d94b36f8", .Step_ = 0, .Index_ = Index},
          .Run_ = Run};
}

/// An announcement of a worker that is not on the VM.
inline WorkerAnnouncement foreign(std::string Name, std::uint64_t Born) {
  return {.Worker_ = std::move(Name),
          .Born_ = Born,
          .Sequence_ = 1,
          .Service_ = "unnamed",
          .AvailabilityZone_ = "zone-a",
          .Capacity_ = {.MilliProcessors_ = 16000, .MemoryMib_ = 64000}};
}

/// Runs what it is told to under a lease, as the platform describes workers.
class FakeWorker {
public:
  FakeWorker(net::EventLoop &Loop, std::string Name, std::uint64_t Born)
      : Loop_(Loop) {
    restart(std::move(Name), Born);
  }

  /// Begins another life, which knows and runs nothing.
  void restart(std::string Name, std::uint64_t Born) {
    Self_ = {.Worker_ = std::move(Name),
             .Born_ = Born,
             .Service_ = "sorting",
             .AvailabilityZone_ = "zone-a",
             .Labels_ = {"a"},
             .Capacity_ = {.MilliProcessors_ = 4000, .MemoryMib_ = 4096}};
    StartedAt_ = Clock::now();
    Runs_.clear();
    Ends_.clear();
    Settled_.clear();
    NextEnd_ = 1;
    Fence_ = 0;
    LeaseUntil_ = {};
  }

  /// Returns what its next heartbeat says.
  WorkerAnnouncement announce() {
    ++Self_.Sequence_;
    return Self_;
  }

  /// Sets what its next heartbeats say of its capacity.
  void setCapacity(std::int64_t MilliProcessors, std::int64_t MemoryMib = 4096,
                   std::int64_t Accelerators = 0) {
    Self_.Capacity_ = {.MilliProcessors_ = MilliProcessors,
                       .MemoryMib_ = MemoryMib,
                       .Accelerators_ = Accelerators};
  }

  /// While set, calls get no answer and are not carried out.
  void setSilent(bool Silent) { Silent_ = Silent; }
  /// While positive, starts and stops get no answer and are carried out so much
  /// later, also by a later life of the same name.
  void setOrderDelay(Duration Delay) { OrderDelay_ = Delay; }
  /// While positive, lists are made when they are asked for and arrive so much
  /// later.
  void setListDelay(Duration Delay) { ListDelay_ = Delay; }
  /// Sets the speed of the worker's clock, in thousandths of true time.
  void setClockPermille(int Permille) { ClockPermille_ = Permille; }

  bool isRunning(const jobs::RunName &Run) {
    expireLease();
    return Runs_.contains(Run);
  }
  std::size_t running() {
    expireLease();
    return Runs_.size();
  }
  /// How often the run has begun, in all lives.
  std::size_t starts(const jobs::RunName &Run) const {
    return static_cast<std::size_t>(std::ranges::count(Started_, Run));
  }
  void finish(const jobs::RunName &Run) { endRun(Run, jobs::RunEnd::Finished); }
  /// Ends that it has not been told to forget.
  std::size_t keptEnds() const { return Ends_.size(); }
  std::uint64_t fence() const { return Fence_; }
  void raiseFence(std::uint64_t Fence) { Fence_ = Fence; }
  /// Calls for another worker, which were refused.
  std::size_t misdirected() const { return Misdirected_; }

  WorkerCalls calls() {
    return {.Start_ =
                [this](const std::string &Worker, const StartCall &Call,
                       std::function<void(StartStatus)> OnEnd) {
                  if (OrderDelay_ > Duration::zero()) {
                    carryOutLate([this, Worker, Call] { start(Worker, Call); },
                                 [OnEnd] { OnEnd(StartStatus::NoAnswer); });
                    return;
                  }
                  const StartStatus Status = start(Worker, Call);
                  reply([OnEnd, Status] { OnEnd(Status); },
                        [OnEnd] { OnEnd(StartStatus::NoAnswer); });
                },
            .Stop_ =
                [this](const std::string &Worker, const StopCall &Call,
                       std::function<void(bool)> OnEnd) {
                  if (OrderDelay_ > Duration::zero()) {
                    carryOutLate([this, Worker, Call] { stop(Worker, Call); },
                                 [OnEnd] { OnEnd(false); });
                    return;
                  }
                  const bool Done = stop(Worker, Call);
                  reply([OnEnd, Done] { OnEnd(Done); },
                        [OnEnd] { OnEnd(false); });
                },
            .Pace_ =
                [this](const std::string &, const PaceCall &,
                       std::function<void(bool)> OnEnd) {
                  reply([OnEnd] { OnEnd(true); }, [OnEnd] { OnEnd(false); });
                },
            .Hold_ =
                [this](const std::string &Worker, const HoldCall &Call,
                       std::function<void(HoldAnswer)> OnEnd) {
                  hold(Worker, Call, std::move(OnEnd));
                }};
  }

private:
  static constexpr Duration CallTimeout = milliseconds(800);
  static constexpr WorkerTime MaxLease = seconds(10);

  WorkerTime clock() const {
    return std::chrono::duration_cast<WorkerTime>((Clock::now() - StartedAt_) *
                                                  ClockPermille_ / 1000);
  }

  HoldStatus takes(const std::string &Worker, std::uint64_t Fence) {
    expireLease();
    if (Worker != Self_.Worker_) {
      ++Misdirected_;
      return HoldStatus::OtherLife;
    }
    if (Fence < Fence_)
      return HoldStatus::Fenced;
    if (Silent_)
      return HoldStatus::NoAnswer;
    Fence_ = Fence;
    return HoldStatus::Listed;
  }

  StartStatus start(const std::string &Worker, const StartCall &Call) {
    switch (takes(Worker, Call.Fence_)) {
    case HoldStatus::Listed:
      break;
    case HoldStatus::Fenced:
      return StartStatus::Fenced;
    case HoldStatus::OtherLife:
      return StartStatus::OtherLife;
    case HoldStatus::NoAnswer:
      return StartStatus::NoAnswer;
    }
    // A lease applies to everything on the worker and never shortens.
    LeaseUntil_ =
        std::max(LeaseUntil_, std::min(Call.LeaseUntil_, clock() + MaxLease));
    if (Runs_.contains(Call.Run_))
      return StartStatus::Started;
    if (isSettled(Call.Run_))
      return StartStatus::Ended;
    if (clock() >= LeaseUntil_)
      return StartStatus::LeaseOver;
    Runs_.insert(Call.Run_);
    Started_.push_back(Call.Run_);
    return StartStatus::Started;
  }

  bool stop(const std::string &Worker, const StopCall &Call) {
    if (takes(Worker, Call.Fence_) != HoldStatus::Listed)
      return false;
    endRun(Call.Run_, jobs::RunEnd::Stopped);
    settle(Call.Run_);
    return true;
  }

  /// Whether the run, or a later one of its task, was stopped or has ended.
  bool isSettled(const jobs::RunName &Run) const {
    const auto It = Settled_.find(Run.Task_);
    return It != Settled_.end() && Run.Run_ <= It->second;
  }
  void settle(const jobs::RunName &Run) {
    std::uint32_t &Newest = Settled_[Run.Task_];
    Newest = std::max(Newest, Run.Run_);
  }

  void carryOutLate(std::function<void()> CarryOut,
                    std::function<void()> OnTimeout) {
    Pending_.push_back(Loop_.after(OrderDelay_, std::move(CarryOut)));
    Pending_.push_back(Loop_.after(CallTimeout, std::move(OnTimeout)));
  }

  void hold(const std::string &Worker, const HoldCall &Call,
            std::function<void(HoldAnswer)> OnEnd) {
    const HoldStatus Status = takes(Worker, Call.Fence_);
    if (Status == HoldStatus::Listed) {
      LeaseUntil_ =
          std::max(LeaseUntil_, std::min(Call.LeaseUntil_, clock() + MaxLease));
      std::erase_if(Ends_, [&Call](const ListedEnd &Each) {
        return Each.Number_ <= Call.LastDurableEnd_;
      });
    }
    if (Status == HoldStatus::Listed && ListDelay_ > Duration::zero()) {
      reply([OnEnd, Lists = lists()] { OnEnd(Lists); }, [OnEnd] { OnEnd({}); },
            ListDelay_);
      return;
    }
    const bool Waits = Status == HoldStatus::Listed && Ends_.empty();
    const std::uint64_t Life = Self_.Born_;
    const auto Answer = [this, Status, Life, OnEnd] {
      if (Status != HoldStatus::Listed || Life != Self_.Born_)
        OnEnd({.Status_ = Status == HoldStatus::Listed ? HoldStatus::NoAnswer
                                                       : Status});
      else
        OnEnd(lists());
    };
    reply(
        Answer, [OnEnd] { OnEnd({}); }, Waits ? Call.Wait_ : Duration::zero());
  }

  HoldAnswer lists() {
    expireLease();
    HoldAnswer Answer{.Status_ = HoldStatus::Listed,
                      .Born_ = Self_.Born_,
                      .Clock_ = clock(),
                      .Ends_ = Ends_};
    // As many as one answer of the platform lists.
    constexpr std::size_t MaxListedEnds = 500;
    if (Answer.Ends_.size() >= MaxListedEnds) {
      Answer.Ends_.resize(MaxListedEnds);
      Answer.Truncated_ = true;
    }
    std::ranges::transform(
        Runs_, std::back_inserter(Answer.Runs_),
        [](const jobs::RunName &Run) { return ListedRun{.Run_ = Run}; });
    return Answer;
  }

  void reply(std::function<void()> Answer, std::function<void()> OnTimeout,
             Duration Delay = {}) {
    // The answer is lost if the worker falls silent before it leaves.
    const bool Lost = Silent_;
    Pending_.push_back(Loop_.after(Lost ? CallTimeout : Delay,
                                   [this, Lost, Answer = std::move(Answer),
                                    OnTimeout = std::move(OnTimeout)] {
                                     if (Lost || Silent_)
                                       OnTimeout();
                                     else
                                       Answer();
                                   }));
  }

  void expireLease() {
    while (!Runs_.empty() && clock() >= LeaseUntil_)
      endRun(*Runs_.begin(), jobs::RunEnd::LeaseExpired);
  }

  void endRun(const jobs::RunName &Run, jobs::RunEnd How) {
    auto Ended = Runs_.extract(Run);
    if (Ended.empty())
      return;
    settle(Ended.value());
    Ends_.push_back(
        {.Number_ = NextEnd_++, .Run_ = std::move(Ended.value()), .How_ = How});
  }

  net::EventLoop &Loop_;
  WorkerAnnouncement Self_;
  TimePoint StartedAt_;
  std::set<jobs::RunName> Runs_;
  std::vector<jobs::RunName> Started_;
  std::vector<ListedEnd> Ends_;
  /// The highest run that was stopped or has ended here, by task.
  std::map<jobs::TaskName, std::uint32_t> Settled_;
  std::uint64_t NextEnd_ = 1;
  std::uint64_t Fence_ = 0;
  WorkerTime LeaseUntil_{};
  bool Silent_ = false;
  Duration OrderDelay_{};
  Duration ListDelay_{};
  int ClockPermille_ = 1000;
  std::size_t Misdirected_ = 0;
  std::vector<net::Timer> Pending_;
};

} // namespace dragonfly::agent

#endif // DRAGONFLY_TESTS_AGENT_FAKEWORKER_H
