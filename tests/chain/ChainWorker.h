/// The worker of one machine, as the platform describes workers: fencing
/// tokens, leases on its own clock, run numbers, numbered ends, checkpoints,
/// and orders that are carried out late, also in its next life.
#ifndef DRAGONFLY_TESTS_CHAIN_CHAINWORKER_H
#define DRAGONFLY_TESTS_CHAIN_CHAINWORKER_H

#include "chain/ChainJudge.h"
#include "dragonfly/agent/WorkerCalls.h"
#include "dragonfly/base/Random.h"
#include "dragonfly/net/EventLoop.h"

#include <algorithm>
#include <functional>
#include <map>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::chain {

class ChainWorker {
public:
  ChainWorker(net::EventLoop &Loop, ChainJudge &Judge, const ChainClock &Calm,
              std::size_t Machine, std::uint64_t Seed)
      : Loop_(Loop), Judge_(Judge), Calm_(Calm), Machine_(Machine),
        Random_(Seed) {
    begin("w" + std::to_string(Machine) + "a");
  }

  /// Begins another life, which knows and runs nothing.
  void begin(std::string Name) {
    // Starts that were ordered while it was down.
    Judge_.workerLost(Machine_);
    const auto Born = std::chrono::duration_cast<milliseconds>(
        Clock::now().time_since_epoch());
    Self_ = {.Worker_ = std::move(Name),
             .Born_ = static_cast<std::uint64_t>(Born.count()),
             .Service_ = "sorting",
             .AvailabilityZone_ = "zone-a",
             .Capacity_ = Room};
    Permille_ = pick(980, 1020);
    StartedAt_ = Clock::now();
    Ends_.clear();
    Settled_.clear();
    NextEnd_ = 1;
    Fence_ = 0;
    LeaseUntil_ = {};
    DrainKnownAt_.reset();
    Up_ = true;
  }
  /// Ends this life; everything on it terminates.
  void end() {
    for (const auto &[Run, Row] : std::exchange(Runs_, {}))
      Judge_.ended(Machine_, Run, "lost", {});
    Judge_.workerLost(Machine_);
    Up_ = false;
  }
  bool isUp() const { return Up_; }
  bool isReady() const { return Up_ && !Self_.Draining_; }
  const std::string &name() const { return Self_.Worker_; }
  std::uint64_t born() const { return Self_.Born_; }
  void startDraining() { Self_.Draining_ = true; }
  /// An agent has acknowledged a heartbeat.
  void announcementTaken() {
    if (Self_.Draining_ && !DrainKnownAt_)
      DrainKnownAt_ = Clock::now();
  }
  agent::WorkerAnnouncement announce() {
    ++Self_.Sequence_;
    return Self_;
  }

  /// While set, calls get no answer and are not carried out.
  void setSilent(bool Silent) { Silent_ = Silent; }
  /// While positive, starts and stops get no answer and are carried out so much
  /// later, by whichever life has the worker's id then.
  void setOrderDelay(Duration Delay) { OrderDelay_ = Delay; }

  Resources freeRoom() const {
    Resources Free = Room;
    for (const auto &[Run, Row] : Runs_)
      Free -= Row.Need_;
    return Free;
  }

  /// Lets runs make progress, end and lapse.
  void tick() {
    expireLease();
    std::vector<jobs::RunName> Over;
    for (auto &[Run, Row] : Runs_)
      if (isOver(Run, Row))
        Over.push_back(Run);
    for (const jobs::RunName &Run : Over)
      endRun(Run, Runs_.at(Run).StopsAt_ ? jobs::RunEnd::Stopped
                                         : Runs_.at(Run).EndsAs_);
  }

  agent::WorkerCalls calls() {
    using agent::StartStatus;
    return {
        .Start_ =
            [this](const std::string &Worker, const agent::StartCall &Call,
                   std::function<void(StartStatus)> OnEnd) {
              const OrderedStart Order{.Run_ = Call.Run_,
                                       .Payload_ = Call.Payload_,
                                       .Checkpoint_ = Call.Checkpoint_,
                                       .OrderedAt_ = Clock::now(),
                                       .InTouch_ = Calm_.isInTouch(Machine_),
                                       .Life_ = Self_.Born_};
              Judge_.ordered(Machine_, Order);
              if (Order.InTouch_ && Worker == Self_.Worker_ && DrainKnownAt_ &&
                  Clock::now() - *DrainKnownAt_ > DrainTime)
                Judge_.fail("11: a start on a draining worker: " +
                            printRun(Call.Run_));
              take<StartStatus>(
                  [this, Worker, Call, Order](bool Late) {
                    return start(Worker, Call, Order, Late);
                  },
                  StartStatus::NoAnswer, std::move(OnEnd));
            },
        .Stop_ =
            [this](const std::string &Worker, const agent::StopCall &Call,
                   std::function<void(bool)> OnEnd) {
              take<bool>(
                  [this, Worker, Call](bool) { return stop(Worker, Call); },
                  false, std::move(OnEnd));
            },
        .Pace_ =
            [this](const std::string &, const agent::PaceCall &,
                   std::function<void(bool)> OnEnd) {
              after(milliseconds(1), [OnEnd] { OnEnd(true); });
            },
        .Hold_ =
            [this](const std::string &Worker, const agent::HoldCall &Call,
                   std::function<void(agent::HoldAnswer)> OnEnd) {
              hold(Worker, Call, std::move(OnEnd));
            }};
  }

private:
  using HoldStatus = agent::HoldStatus;
  using StartStatus = agent::StartStatus;
  static constexpr Duration CallTimeout = milliseconds(800);
  static constexpr agent::WorkerTime MaxLease = seconds(10);
  static constexpr Resources Room{.MilliProcessors_ = 4000, .MemoryMib_ = 4096};
  static constexpr Duration CheckpointPeriod = milliseconds(700);

  struct Run {
    Resources Need_;
    std::string Checkpoint_;
    bool Saves_ = false;
    TimePoint StartedAt_;
    TimePoint SavedAt_;
    /// Zero for a run that lasts.
    Duration Work_{};
    jobs::RunEnd EndsAs_ = jobs::RunEnd::Finished;
    std::optional<TimePoint> StopsAt_;
  };

  int pick(int Least, int Most) {
    return std::uniform_int_distribution<int>(Least, Most)(Random_);
  }
  void after(Duration Delay, std::function<void()> Work) {
    Pending_.push_back(Loop_.after(Delay, std::move(Work)));
    if (Pending_.size() > MaxPending)
      Pending_.erase(Pending_.begin(), Pending_.begin() + MaxPending / 2);
  }
  agent::WorkerTime clock() const {
    return std::chrono::duration_cast<agent::WorkerTime>(
        (Clock::now() - StartedAt_) * Permille_ / 1000);
  }

  /// Carries an order out now, or late and without an answer.
  template <typename T>
  void take(std::function<T(bool Late)> CarryOut, T NoAnswer,
            std::function<void(T)> OnEnd) {
    if (OrderDelay_ > Duration::zero()) {
      after(OrderDelay_, [CarryOut] { CarryOut(true); });
      after(CallTimeout, [OnEnd, NoAnswer] { OnEnd(NoAnswer); });
      return;
    }
    if (Silent_ || !Up_) {
      after(CallTimeout, [OnEnd, NoAnswer] { OnEnd(NoAnswer); });
      return;
    }
    const T Answer = CarryOut(false);
    after(milliseconds(pick(0, 20)), [OnEnd, Answer] { OnEnd(Answer); });
  }

  /// Returns `Listed` where a call for \p Worker under \p Fence is carried out.
  HoldStatus accept(const std::string &Worker, std::uint64_t Fence) {
    expireLease();
    if (!Up_ || Silent_)
      return HoldStatus::NoAnswer;
    if (Worker != Self_.Worker_)
      return HoldStatus::OtherLife;
    if (Fence < Fence_)
      return HoldStatus::Fenced;
    Fence_ = Fence;
    return HoldStatus::Listed;
  }
  void extendLease(agent::WorkerTime Until) {
    LeaseUntil_ = std::max(LeaseUntil_, std::min(Until, clock() + MaxLease));
  }

  StartStatus start(const std::string &Worker, const agent::StartCall &Call,
                    const OrderedStart &Order, bool Late) {
    switch (accept(Worker, Call.Fence_)) {
    case HoldStatus::Listed:
      break;
    case HoldStatus::Fenced:
      return StartStatus::Fenced;
    case HoldStatus::OtherLife:
      return StartStatus::OtherLife;
    case HoldStatus::NoAnswer:
      return StartStatus::NoAnswer;
    }
    extendLease(Call.LeaseUntil_);
    if (Runs_.contains(Call.Run_))
      return StartStatus::Started;
    if (isSettled(Call.Run_))
      return StartStatus::Ended;
    if (clock() >= LeaseUntil_)
      return StartStatus::LeaseOver;
    const jobs::StepSpec &Step =
        Judge_.Jobs_[Call.Run_.Task_.Job_].Spec_.Steps_.at(
            Call.Run_.Task_.Step_);
    if (!Step.Need_.fitsIn(freeRoom()))
      return StartStatus::NoRoom;
    Run &Row = Runs_[Call.Run_];
    Row = {.Need_ = Step.Need_,
           .Checkpoint_ = Call.Checkpoint_,
           .Saves_ = Step.Checkpointing_,
           .StartedAt_ = Clock::now(),
           .SavedAt_ = Clock::now()};
    if (!Step.LongRunning_)
      Row.Work_ = milliseconds(pick(100, 4000));
    constexpr int FailurePercent = 5;
    if (pick(1, 100) <= FailurePercent)
      Row.EndsAs_ = jobs::RunEnd::Failed;
    Judge_.started(Machine_, Self_.Born_, Order, Late);
    return StartStatus::Started;
  }

  bool stop(const std::string &Worker, const agent::StopCall &Call) {
    if (accept(Worker, Call.Fence_) != HoldStatus::Listed)
      return false;
    settle(Call.Run_);
    const auto It = Runs_.find(Call.Run_);
    if (It != Runs_.end() && !It->second.StopsAt_)
      It->second.StopsAt_ = Clock::now() + milliseconds(pick(0, 890));
    return true;
  }

  bool isSettled(const jobs::RunName &Run) const {
    const auto It = Settled_.find(Run.Task_);
    return It != Settled_.end() && Run.Run_ <= It->second;
  }
  void settle(const jobs::RunName &Run) {
    std::uint32_t &Newest = Settled_[Run.Task_];
    Newest = std::max(Newest, Run.Run_);
  }

  void hold(const std::string &Worker, const agent::HoldCall &Call,
            std::function<void(agent::HoldAnswer)> OnEnd) {
    const HoldStatus Status = accept(Worker, Call.Fence_);
    if (Status == HoldStatus::NoAnswer) {
      after(CallTimeout, [OnEnd] { OnEnd({}); });
      return;
    }
    if (Status == HoldStatus::Listed) {
      if (Call.LeaseUntil_ > agent::WorkerTime::zero())
        extendLease(Call.LeaseUntil_);
      forgetEnds(Call.LastDurableEnd_);
    }
    const bool Waits = Status == HoldStatus::Listed && Ends_.empty();
    const Duration Delay =
        milliseconds(pick(0, 10)) + (Waits ? Call.Wait_ : Duration::zero());
    after(Delay, [this, Status, Life = Self_.Born_, OnEnd] {
      if (Status != HoldStatus::Listed)
        OnEnd({.Status_ = Status});
      else if (Life != Self_.Born_ || Silent_ || !Up_)
        OnEnd({});
      else
        OnEnd(lists());
    });
  }

  void forgetEnds(std::uint64_t Last) {
    std::erase_if(Ends_, [&](const agent::ListedEnd &Each) {
      if (Each.Number_ > Last)
        return false;
      Judge_.endNoted({Machine_, Self_.Born_, Each.Number_});
      return true;
    });
  }

  agent::HoldAnswer lists() {
    expireLease();
    agent::HoldAnswer Answer{.Status_ = HoldStatus::Listed,
                             .Born_ = Self_.Born_,
                             .Clock_ = clock(),
                             .Ends_ = Ends_};
    if (Answer.Ends_.size() >= MaxListedEnds) {
      Answer.Ends_.resize(MaxListedEnds);
      Answer.Truncated_ = true;
    }
    for (const auto &[Name, Row] : Runs_)
      Answer.Runs_.push_back(
          {.Run_ = Name,
           .Checkpoint_ = Row.Checkpoint_,
           .ProgressPercent_ = percentOf(Row),
           .Load_ = static_cast<std::uint64_t>(Row.Need_.MilliProcessors_)});
    return Answer;
  }
  static std::uint32_t percentOf(const Run &Row) {
    const Duration Worked = Clock::now() - Row.StartedAt_;
    const Duration Whole =
        Row.Work_ > Duration::zero() ? Row.Work_ : Duration(seconds(60));
    return static_cast<std::uint32_t>(
        std::min<std::int64_t>(100, Worked * 100 / Whole));
  }

  /// Saves the progress of a run where it is due; returns whether it ends now.
  bool isOver(const jobs::RunName &Name, Run &Row) {
    const TimePoint Now = Clock::now();
    if (Row.Saves_ && Now - Row.SavedAt_ >= CheckpointPeriod)
      save(Name, Row);
    if (Row.StopsAt_)
      return Now >= *Row.StopsAt_;
    return Row.Work_ > Duration::zero() && Now - Row.StartedAt_ >= Row.Work_;
  }
  void save(const jobs::RunName &Name, Run &Row) {
    Row.SavedAt_ = Clock::now();
    Row.Checkpoint_ = std::to_string(Machine_) + "-" + std::to_string(++Saved_);
    Judge_.checkpointMade(Row.Checkpoint_, Name.Task_);
  }

  void expireLease() {
    if (!Up_ || clock() < LeaseUntil_)
      return;
    Judge_.leaseOver(Machine_);
    while (!Runs_.empty())
      endRun(jobs::RunName(Runs_.begin()->first), jobs::RunEnd::LeaseExpired);
  }

  void endRun(const jobs::RunName &Name, jobs::RunEnd How) {
    auto Ended = Runs_.extract(Name);
    if (How == jobs::RunEnd::Stopped && Ended.mapped().Saves_)
      save(Name, Ended.mapped());
    settle(Name);
    const std::uint64_t Number = NextEnd_++;
    Ends_.push_back({.Number_ = Number,
                     .Run_ = Name,
                     .How_ = How,
                     .Checkpoint_ = Ended.mapped().Checkpoint_});
    std::optional<EndKey> Key;
    if (How == jobs::RunEnd::Finished)
      Key = EndKey{Machine_, Self_.Born_, Number};
    Judge_.ended(Machine_, Name, enumName(How), Key);
  }

  static constexpr std::size_t MaxPending = 20000;
  /// Ends in one list; the platform's workers list 500, and have more runs.
  static constexpr std::size_t MaxListedEnds = 5;

  net::EventLoop &Loop_;
  ChainJudge &Judge_;
  const ChainClock &Calm_;
  std::size_t Machine_;
  RandomEngine Random_;
  agent::WorkerAnnouncement Self_;
  int Permille_ = 1000;
  TimePoint StartedAt_;
  std::map<jobs::RunName, Run> Runs_;
  std::vector<agent::ListedEnd> Ends_;
  /// The highest run that was stopped or has ended here, by task.
  std::map<jobs::TaskName, std::uint32_t> Settled_;
  std::uint64_t NextEnd_ = 1;
  std::uint64_t Fence_ = 0;
  std::uint64_t Saved_ = 0;
  agent::WorkerTime LeaseUntil_{};
  std::optional<TimePoint> DrainKnownAt_;
  bool Up_ = false;
  bool Silent_ = false;
  Duration OrderDelay_{};
  std::vector<net::Timer> Pending_;
};

} // namespace dragonfly::chain

#endif // DRAGONFLY_TESTS_CHAIN_CHAINWORKER_H
