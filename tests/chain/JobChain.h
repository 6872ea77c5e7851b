/// One seeded run of the whole chain of jobs: callers, an entry, three control
/// replicas, agents and workers, with disruptions of each.
#ifndef DRAGONFLY_TESTS_CHAIN_JOBCHAIN_H
#define DRAGONFLY_TESTS_CHAIN_JOBCHAIN_H

#include "chain/ChainCaller.h"
#include "chain/ChainMachine.h"

#include <array>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::chain {

class JobChain {
public:
  explicit JobChain(std::uint64_t Seed)
      : Random_(Seed), Calm_(Machines), Judge_(Calm_),
        Control_(Loop_, Cluster_, Machines + 1, Seed),
        Caller_(Loop_, Control_, Judge_, Machines) {
    Cluster_.repairGroup();
    for (std::size_t I = 0; I < Machines; ++I)
      Machines_.push_back(std::make_unique<ChainMachine>(
          Loop_, Control_, Judge_, Calm_, I, Random_()));
    // Some days are rough, others have long calm stretches.
    FaultPause_ = milliseconds(chance(50) ? pick(200, 1500) : pick(1500, 6000));
  }

  /// Returns false where a rule was broken.
  bool play() {
    run(seconds(4));
    const TimePoint End = Clock::now() + seconds(30);
    while (Clock::now() < End && !Judge_.broken()) {
      run(milliseconds(pick(20, 400)));
      act();
      if (Clock::now() >= NextFaultAt_) {
        NextFaultAt_ = Clock::now() + FaultPause_ * pick(20, 200) / 100;
        disturb();
      }
    }
    run(seconds(14));
    return !Judge_.broken();
  }
  const ChainJudge &judge() const { return Judge_; }

private:
  static constexpr std::size_t Machines = 3;
  static constexpr Duration BeatPeriod = milliseconds(500);
  static constexpr Duration CheckPeriod = milliseconds(20);

  /// Something that goes on until its end.
  struct Trouble {
    TimePoint Until_;
    std::function<void()> WhileOn_;
    std::function<void()> AtEnd_;
  };

  int pick(int Least, int Most) {
    return std::uniform_int_distribution<int>(Least, Most)(Random_);
  }
  bool chance(int Percent) { return pick(1, 100) <= Percent; }
  void after(Duration Delay, std::function<void()> Work) {
    Pending_.push_back(Loop_.after(Delay, std::move(Work)));
  }

  void run(Duration By) {
    for (const TimePoint End = Clock::now() + By;
         Clock::now() < End && !Judge_.broken();) {
      Cluster_.run(control::ServiceCluster::Step);
      // A connection is ready a little after the call that opens it.
      constexpr int IdlePolls = 6;
      for (int Idle = 0; Idle < IdlePolls;)
        Idle = Loop_.poll() > 0 ? 0 : Idle + 1;
      if (Clock::now() >= NextCheckAt_)
        check();
      if (Clock::now() >= NextBeatAt_)
        beat();
    }
  }

  void beat() {
    NextBeatAt_ = Clock::now() + BeatPeriod;
    for (const auto &Each : Machines_)
      Each->beat();
  }

  void check() {
    NextCheckAt_ = Clock::now() + CheckPeriod;
    for (const auto &Each : Machines_)
      Each->worker().tick();
    // What ends at this moment was on until now.
    std::vector<Trouble> Over;
    for (const Trouble &Each : Troubles_) {
      Each.WhileOn_();
      if (Clock::now() >= Each.Until_)
        Over.push_back(Each);
    }
    std::erase_if(Troubles_, [](const Trouble &Each) {
      return Clock::now() >= Each.Until_;
    });
    for (const Trouble &Each : Over)
      Each.AtEnd_();
    Judge_.waitForCancels(CheckPeriod);
    Judge_.checkRunsOfCancelledJobs();
    checkLastingTasks();
  }

  /// A lasting task that is due has to run within 3 s while everything is calm
  /// and there is room for it twice over.
  void checkLastingTasks() {
    for (const auto &[Job, Row] : Judge_.Jobs_) {
      const jobs::StepSpec &Step = Row.Spec_.Steps_.front();
      if (Step.LongRunning_ && hasFailed(Job)) {
        Judge_.checkGivenUp(Job);
        continue;
      }
      for (std::uint32_t I = 0; Step.LongRunning_ && I < Step.Count_; ++I) {
        const jobs::TaskName Name{.Job_ = Job, .Step_ = 0, .Index_ = I};
        if (!Judge_.isDue(Job, I) || !hasRoomTwice(Step.Need_)) {
          DueSince_.erase(Name);
          continue;
        }
        const TimePoint Since =
            DueSince_.try_emplace(Name, Clock::now()).first->second;
        if (Clock::now() - Since >= seconds(3) && Calm_.calmFor() >= seconds(7))
          Judge_.fail("9: a lasting task does not run: " + Job + "." +
                      std::to_string(I));
      }
    }
  }
  bool hasFailed(const std::string &Job) {
    const std::optional<std::size_t> Leader = Control_.leader();
    if (!Leader)
      return false;
    const auto *Row = Cluster_.node(*Leader).state().jobs().find(Job);
    return Row != nullptr && Row->State_ == jobs::JobState::Failed;
  }
  bool hasRoomTwice(const Resources &Need) {
    return std::ranges::any_of(Machines_, [&](const auto &Each) {
      return Each->hasAgent() && Each->worker().isReady() &&
             (Need + Need).fitsIn(Each->worker().freeRoom());
    });
  }

  // What callers do.

  void act() {
    switch (pick(0, 5)) {
    case 0:
    case 1:
      return beginJob();
    case 2:
      // Before the submission, or after it, or as one of several.
      if (!Names_.empty() && chance(60))
        Caller_.cancel(anyJob());
      return;
    case 3:
      if (!Names_.empty() && chance(30))
        Caller_.submit(anyJob());
      return;
    default:
      if (!Names_.empty())
        Caller_.query(anyJob());
    }
  }

  const std::string &anyJob() {
    return Names_[static_cast<std::size_t>(
        pick(0, static_cast<int>(Names_.size()) - 1))];
  }

  void beginJob() {
    constexpr std::size_t MaxJobs = 40;
    if (Names_.size() >= MaxJobs)
      return;
    std::string Job = "5c0e7a21d94b0000";
    const std::string Number = std::to_string(1000 + Names_.size());
    Job.replace(Job.size() - Number.size(), Number.size(), Number);
    Names_.push_back(Job);
    JobRecord &Row = Judge_.Jobs_[Job];
    Row.Spec_ = makeSpec(Job);
    constexpr int EarlyCancel = 8;
    if (chance(EarlyCancel)) {
      Caller_.cancel(Job);
      after(milliseconds(pick(0, 3000)), [this, Job] { Caller_.submit(Job); });
      return;
    }
    Caller_.submit(Job);
    constexpr int SoonCancel = 30;
    if (chance(SoonCancel))
      after(milliseconds(pick(0, 1500)), [this, Job] { Caller_.cancel(Job); });
  }

  jobs::JobSpec makeSpec(const std::string &Job) {
    jobs::JobSpec Spec{.Payload_ = Job + std::string(1, '\0') +
                                   std::to_string(Random_())};
    const bool Lasts = chance(35);
    const int Steps = Lasts ? 1 : pick(1, 3);
    for (int I = 0; I < Steps; ++I) {
      jobs::StepSpec Step{
          .Count_ = static_cast<std::uint32_t>(pick(1, Lasts ? 2 : 4)),
          // Lasting tasks must leave room, or nothing runs elsewhere.
          .Need_ = {.MilliProcessors_ =
                        std::int64_t{pick(1, 4)} * (Lasts ? 75 : 250),
                    .MemoryMib_ = std::int64_t{pick(1, 4)} * 100},
          .Estimate_ = milliseconds(pick(100, 4000)),
          .Checkpointing_ = chance(40),
          .LongRunning_ = Lasts};
      if (I > 0)
        Step.DependsOn_ = {static_cast<std::uint32_t>(I - 1)};
      Spec.Steps_.push_back(std::move(Step));
    }
    return Spec;
  }

  // What goes wrong.

  void begin(Duration For, std::function<void()> WhileOn,
             std::function<void()> AtEnd) {
    WhileOn();
    Troubles_.push_back({.Until_ = Clock::now() + For,
                         .WhileOn_ = std::move(WhileOn),
                         .AtEnd_ = std::move(AtEnd)});
  }
  Duration draw(int Least, int Most) { return milliseconds(pick(Least, Most)); }

  void disturb() {
    const auto I = static_cast<std::size_t>(pick(0, Machines - 1));
    switch (pick(0, 17)) {
    case 0:
    case 1:
      return disturbCore();
    case 12:
      return announceForeign(I);
    case 13:
    case 14:
    case 15:
    case 16:
      return strikeTwice(I);
    case 2:
      return cutMachine(I);
    case 3:
      return restartAgent(I);
    case 4:
      return silenceWorker(I);
    case 5:
    case 6:
      return crashWorker(I);
    case 7:
    case 8:
      return delayOrders(I);
    case 9:
      return drainWorker(I);
    case 10:
      return loseEntry();
    case 11:
      return loseMessages();
    default:
      Judge_.note("reset " + std::to_string(I));
      Calm_.disturbMachine(I);
      Control_.resetAll(I);
    }
  }

  /// One replica at a time is away; a lost disk needs a group that is whole.
  void disturbCore() {
    if (CoreBusy_)
      return;
    const std::optional<std::size_t> Leader = Control_.leader();
    const std::size_t I =
        Leader && chance(60) ? *Leader : static_cast<std::size_t>(pick(0, 2));
    CoreBusy_ = true;
    const auto Shake = [this] { Calm_.disturbCore(); };
    const auto Rest = [this] {
      Calm_.disturbCore();
      after(seconds(3), [this] { CoreBusy_ = false; });
    };
    switch (pick(0, 3)) {
    case 0:
      Judge_.note("kill replica " + std::to_string(I));
      Control_.kill(I);
      return begin(draw(100, 5000), Shake, [this, I, Rest] {
        Control_.restart(I);
        Rest();
      });
    case 1:
      Judge_.note("isolate replica " + std::to_string(I));
      Cluster_.isolate(I);
      return begin(draw(100, 6000), Shake, [this, Rest] {
        Cluster_.heal();
        Rest();
      });
    case 2:
      Judge_.note("hand over " + std::to_string(I));
      Cluster_.node(I).transferLeadership();
      return begin(draw(0, 100), Shake, Rest);
    default:
      Judge_.note("lose disk " + std::to_string(I));
      Control_.loseDisk(I);
      // The group takes a few seconds to replace the member.
      return begin(seconds(6), Shake, Rest);
    }
  }

  void cutMachine(std::size_t I) {
    Judge_.note("cut machine " + std::to_string(I));
    const bool One = chance(30);
    const auto Only = static_cast<std::size_t>(pick(0, 2));
    for (std::size_t Replica = 0; Replica < ChainControl::Replicas; ++Replica)
      if (!One || Replica == Only)
        Control_.cut(I, Replica);
    begin(
        draw(100, 7000), [this, I] { Calm_.disturbMachine(I); },
        [this, I, WithReset = chance(50)] { Control_.heal(I, WithReset); });
  }

  void restartAgent(std::size_t I) {
    if (!Machines_[I]->hasAgent())
      return;
    Judge_.note("restart agent " + std::to_string(I));
    Machines_[I]->killAgent();
    Control_.resetAll(I);
    begin(
        draw(0, 3000), [this, I] { Calm_.disturbMachine(I); },
        [this, I] { Machines_[I]->startAgent(); });
  }

  void silenceWorker(std::size_t I) {
    Judge_.note("silence worker " + std::to_string(I));
    Machines_[I]->worker().setSilent(true);
    begin(
        draw(100, 7000), [this, I] { Calm_.disturbWorker(I); },
        [this, I] { Machines_[I]->worker().setSilent(false); });
  }

  void crashWorker(std::size_t I) {
    if (!Machines_[I]->worker().isUp())
      return;
    Judge_.note("crash worker " + std::to_string(I));
    Machines_[I]->worker().end();
    begin(
        draw(50, 5000), [this, I] { Calm_.disturbWorker(I); },
        [this, I, SameId = chance(60)] {
          Judge_.note("worker " + std::to_string(I) + " is back" +
                      (SameId ? " under its id" : ""));
          Machines_[I]->beginWorker(SameId);
        });
  }

  void delayOrders(std::size_t I) {
    const Duration Delay = draw(100, 9000);
    Judge_.note("late orders on worker " + std::to_string(I));
    Machines_[I]->worker().setOrderDelay(Delay);
    begin(
        draw(100, 3000), [this, I] { Calm_.disturbWorker(I); },
        [this, I] { Machines_[I]->worker().setOrderDelay({}); });
  }

  void drainWorker(std::size_t I) {
    if (!Machines_[I]->worker().isReady())
      return;
    Judge_.note("drain worker " + std::to_string(I));
    Machines_[I]->worker().startDraining();
    Machines_[I]->beat();
    begin(
        draw(2000, 6000), [this, I] { Calm_.disturbWorker(I); },
        [this, I] {
          // A crash may have come first.
          if (Machines_[I]->worker().isUp() &&
              !Machines_[I]->worker().isReady())
            replaceWorker(I);
        });
  }
  void replaceWorker(std::size_t I) {
    Judge_.note("worker " + std::to_string(I) + " leaves");
    Machines_[I]->leave();
    begin(
        draw(50, 3000), [this, I] { Calm_.disturbWorker(I); },
        [this, I] { Machines_[I]->beginWorker(false); });
  }

  /// A second fault on the machine before the first one is over.
  void strikeTwice(std::size_t I) {
    strike(I, pick(0, 4));
    after(draw(0, 1200), [this, I] { strike(I, pick(0, 4)); });
  }
  void strike(std::size_t I, int Kind) {
    switch (Kind) {
    case 0:
      return cutMachine(I);
    case 1:
      return restartAgent(I);
    case 2:
      return silenceWorker(I);
    case 3:
      return crashWorker(I);
    default:
      return delayOrders(I);
    }
  }

  /// No disruption: agents have to see through it.
  void announceForeign(std::size_t I) {
    const bool Nowhere = chance(50);
    Judge_.note("foreign heartbeat to " + std::to_string(I));
    Machines_[I]->hearForeign(
        Nowhere ? nullptr : &Machines_[(I + 1) % Machines]->worker());
  }

  void loseEntry() {
    if (!Caller_.hasEntry())
      return;
    Judge_.note("lose entry");
    Caller_.killEntry();
    begin(
        draw(0, 2000), [this] { Calm_.disturbEntry(); },
        [this] { Caller_.startEntry(); });
  }

  void loseMessages() {
    Judge_.note("lose messages of the entry");
    Control_.setLoss(Machines, pick(5, 60));
    begin(
        draw(500, 5000), [this] { Calm_.disturbEntry(); },
        [this] { Control_.setLoss(Machines, 0); });
  }

  RandomEngine Random_;
  control::JobCluster Cluster_;
  net::EventLoop Loop_;
  ChainClock Calm_;
  ChainJudge Judge_;
  ChainControl Control_;
  ChainCaller Caller_;
  std::vector<std::unique_ptr<ChainMachine>> Machines_;
  std::vector<std::string> Names_;
  std::map<jobs::TaskName, TimePoint> DueSince_;
  std::vector<Trouble> Troubles_;
  std::vector<net::Timer> Pending_;
  bool CoreBusy_ = false;
  Duration FaultPause_{};
  TimePoint NextFaultAt_;
  TimePoint NextBeatAt_;
  TimePoint NextCheckAt_;
};

} // namespace dragonfly::chain

#endif // DRAGONFLY_TESTS_CHAIN_JOBCHAIN_H
