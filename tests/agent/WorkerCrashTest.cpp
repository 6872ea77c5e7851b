/// What an agent tells control after its worker has crashed.
#include "agent/AgentFixture.h"

#include <catch2/catch.hpp>

namespace dragonfly::agent {
namespace {

void startRun(AgentFixture &On, const jobs::RunName &Run) {
  On.Leader_->order({.Starts_ = {{.Run_ = Run}}});
  On.run(milliseconds(30));
}

/// The worker is back after a crash, in another life.
void comeBack(AgentFixture &On, std::string Name, std::uint64_t Born) {
  On.Worker_->setSilent(false);
  On.restartWorker(std::move(Name), Born);
  On.run(milliseconds(300));
}

/// Replaces the worker, of which control must not be told as of a crash.
void replaceWithoutCrash(AgentFixture &On) {
  On.restartWorker("w2", 20);
  On.run(seconds(1));
  CHECK(On.Leader_->Crashes_.empty());
}

/// The worker crashes \p Delay after the order to start \p Run has arrived, and
/// is back after three seconds.
void crashAfterStart(AgentFixture &On, const jobs::RunName &Run, Duration Delay,
                     std::string Name = "w2", std::uint64_t Born = 20) {
  startRun(On, Run);
  REQUIRE(On.Worker_->isRunning(Run));
  On.run(Delay);
  On.Worker_->setSilent(true);
  On.run(seconds(3));
  comeBack(On, std::move(Name), Born);
}

/// How a call for a start ends.
struct CallEnd {
  Duration After_{};
  StartStatus Status_ = StartStatus::NoAnswer;
};

/// The worker crashes \p Delay after the order to start run 8, whose calls end
/// as \p Ends says, one after another. Returns what control is told.
jobs::WorkerCrash crashWhileStarting(AgentFixture &On, Duration Delay,
                                     const std::vector<CallEnd> &Ends) {
  std::vector<net::Timer> Calls;
  WorkerCalls Worker = On.Worker_->calls();
  Worker.Start_ = [&](const std::string &, const StartCall &,
                      const std::function<void(StartStatus)> &OnEnd) {
    REQUIRE(Calls.size() < Ends.size());
    const CallEnd &End = Ends[Calls.size()];
    Calls.push_back(On.Loop_->after(
        End.After_, [OnEnd, Status = End.Status_] { OnEnd(Status); }));
  };
  On.Agent_ = std::make_unique<WorkerAgent>(
      *On.Loop_, *On.Link_,
      WorkerAgentOptions{.Calls_ = std::move(Worker), .Vm_ = "vm-1"});
  On.startRuns(0);
  On.Leader_->order({.Starts_ = {{.Run_ = makeRun(8)}}});
  On.run(Delay);
  REQUIRE(Calls.size() == Ends.size());
  On.Worker_->setSilent(true);
  On.run(seconds(3));
  On.Worker_->restart("w2", 20);
  On.Worker_->setSilent(false);
  On.announce(On.Worker_->announce());
  On.run(milliseconds(300));
  // Its calls refer to the variables above.
  On.Agent_.reset();
  REQUIRE(On.Leader_->Crashes_.size() == 1);
  return On.Leader_->Crashes_.front().Crash_;
}

} // namespace

// Guards against BUDGET: a run that takes its worker down counted nowhere.
TEST_CASE("the runs that have just begun are suspected of a crash",
          "[agent][worker][crash]") {
  AgentFixture On;
  On.startRuns(3);
  const std::string Name = GENERATE("w1", "w2");
  crashAfterStart(On, makeRun(7), milliseconds(20), Name);
  REQUIRE(On.Leader_->Crashes_.size() == 1);
  const jobs::WorkerCrash &Told = On.Leader_->Crashes_.front().Crash_;
  CHECK(Told.Worker_ == "w1");
  CHECK(Told.Born_ == 10);
  CHECK(Told.Suspects_ == std::vector{makeRun(7)});
  CHECK(Told.Unconfirmed_.empty());
  // The next life begins without suspects.
  On.restartWorker("w9", 30);
  On.run(seconds(1));
  CHECK(On.Leader_->Crashes_.size() == 1);
}

// Guards against BUDGET: the lease of the lost runs may end before the worker
// is back.
TEST_CASE("a crash is told also where the worker is back late",
          "[agent][worker][crash]") {
  AgentFixture On;
  On.startRuns(1);
  startRun(On, makeRun(7));
  On.Worker_->setSilent(true);
  On.run(seconds(8));
  REQUIRE(On.Leader_->Ends_.size() == 2);
  comeBack(On, "w1", 20);
  REQUIRE(On.Leader_->Crashes_.size() == 1);
  CHECK(On.Leader_->Crashes_.front().Crash_.Suspects_ ==
        std::vector{makeRun(7)});
}

// Guards against a job that fails without cause: a run that was at work before
// its worker crashed.
TEST_CASE("a run that has been at work for a while is not suspected",
          "[agent][worker][crash]") {
  AgentFixture On;
  On.startRuns(1);
  crashAfterStart(On, makeRun(7), milliseconds(1000));
  CHECK(On.Leader_->Crashes_.empty());
}

TEST_CASE("a worker that was only silent has not crashed",
          "[agent][worker][crash]") {
  AgentFixture On;
  On.startRuns(1);
  startRun(On, makeRun(7));
  On.Worker_->setSilent(true);
  On.run(seconds(2));
  On.Worker_->setSilent(false);
  On.run(seconds(2));
  // It leaves later for another reason.
  replaceWithoutCrash(On);
}

TEST_CASE("a worker that had announced that it leaves has not crashed",
          "[agent][worker][crash]") {
  AgentFixture On;
  On.startRuns(1);
  startRun(On, makeRun(7));
  On.announceDraining();
  On.run(milliseconds(50));
  replaceWithoutCrash(On);
}

TEST_CASE("a crash is told again until control has recorded it",
          "[agent][worker][crash]") {
  AgentFixture On;
  On.startRuns(1);
  On.Leader_->LostCrashes_ = 2;
  crashAfterStart(On, makeRun(7), milliseconds(20));
  REQUIRE(On.runUntil([&] { return On.Leader_->Crashes_.size() == 1; },
                      seconds(5)));
  On.run(seconds(3));
  CHECK(On.Leader_->Crashes_.size() == 1);
}

// Guards against BUDGET, and a healthy task that is blamed: starts that were
// open when the worker fell silent and turned out not to have been carried out
// remained suspects of its crash.
TEST_CASE("a start that was not carried out is no suspect",
          "[agent][worker][crash]") {
  AgentFixture On;
  // Of run 8 in each case, and of run 7 where it has not begun.
  const StartStatus Status =
      GENERATE(StartStatus::Unhealthy, StartStatus::NoRoom,
               StartStatus::LeaseOver, StartStatus::NoAnswer);
  const bool HasBegun = GENERATE(true, false);
  INFO(enumName(Status) << (HasBegun ? ", beside a run that has begun" : ""));
  std::vector<net::Timer> Answers;
  WorkerCalls Calls = On.Worker_->calls();
  Calls.Start_ = [&, Start = Calls.Start_](
                     const std::string &Worker, const StartCall &Call,
                     std::function<void(StartStatus)> OnEnd) {
    const bool IsDone =
        Call.Run_ == makeRun(0) || (Call.Run_ == makeRun(7) && HasBegun);
    if (IsDone)
      Start(Worker, Call, std::move(OnEnd));
    else
      Answers.push_back(On.Loop_->after(milliseconds(700),
                                        [OnEnd, Status] { OnEnd(Status); }));
  };
  On.Agent_ = std::make_unique<WorkerAgent>(
      *On.Loop_, *On.Link_,
      WorkerAgentOptions{.Calls_ = std::move(Calls), .Vm_ = "vm-1"});
  On.startRuns(1);
  On.Leader_->order({.Starts_ = {{.Run_ = makeRun(7)}, {.Run_ = makeRun(8)}}});
  On.run(milliseconds(30));
  REQUIRE(On.Worker_->isRunning(makeRun(7)) == HasBegun);
  On.Worker_->setSilent(true);
  On.run(milliseconds(500));
  const std::string Meanwhile = GENERATE("nothing", "a stop", "no control");
  INFO("meanwhile " << Meanwhile);
  if (Meanwhile == "a stop")
    On.Leader_->order({.Stops_ = {makeRun(8)}});
  On.Leader_->setSilent(Meanwhile == "no control");
  On.run(milliseconds(2500));
  On.Leader_->setSilent(false);
  On.Worker_->restart("w2", 20);
  On.Worker_->setSilent(false);
  On.announce(On.Worker_->announce());
  On.run(seconds(3));

  std::vector<jobs::RunName> Suspects;
  if (HasBegun || Status == StartStatus::NoAnswer)
    Suspects.push_back(makeRun(7));
  if (Status == StartStatus::NoAnswer)
    Suspects.push_back(makeRun(8));
  REQUIRE(On.Leader_->Crashes_.size() == (Suspects.empty() ? 0 : 1));
  if (Suspects.empty())
    return;
  CHECK(On.Leader_->Crashes_.front().Crash_.Suspects_ == Suspects);
  // Guards against a healthy task that is blamed: a worker that had crashed
  // before the start answers none.
  if (HasBegun)
    std::erase(Suspects, makeRun(7));
  CHECK(On.Leader_->Crashes_.front().Crash_.Unconfirmed_ == Suspects);
}

// Guards against BUDGET: a start that is refused may have been carried out by
// an earlier call without an answer.
TEST_CASE("a start with an earlier call without an answer remains a suspect",
          "[agent][worker][crash]") {
  AgentFixture On;
  const jobs::WorkerCrash Told = crashWhileStarting(
      On, milliseconds(300),
      {{.After_ = milliseconds(50), .Status_ = StartStatus::NoAnswer},
       {.After_ = milliseconds(700), .Status_ = StartStatus::Unhealthy}});
  CHECK(Told.Suspects_ == std::vector{makeRun(8)});
  CHECK(Told.Unconfirmed_ == std::vector{makeRun(8)});
}

// Guards against BUDGET: a start whose confirmation is read after the worker
// was taken for silent counts as confirmed.
TEST_CASE("a start that is confirmed late is confirmed",
          "[agent][worker][crash]") {
  AgentFixture On;
  const jobs::WorkerCrash Told = crashWhileStarting(
      On, milliseconds(30),
      {{.After_ = milliseconds(700), .Status_ = StartStatus::Started}});
  CHECK(Told.Suspects_ == std::vector{makeRun(8)});
  CHECK(Told.Unconfirmed_.empty());
}

} // namespace dragonfly::agent
