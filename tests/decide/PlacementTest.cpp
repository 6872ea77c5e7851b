#include "dragonfly/decide/Placement.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <optional>
#include <set>

using namespace dragonfly;
using namespace dragonfly::decide;
using namespace std::chrono_literals;

namespace {

constexpr TimePoint Start{100s};
constexpr Resources VmSize{16000, 60000, 0};

/// Drives a placement on simulated time and tracks the worker of each task.
class PlacementFixture {
public:
  explicit PlacementFixture(std::size_t Workers, PlacementOptions Options = {})
      : Placement_(Options) {
    for (std::size_t Index = 0; Index < Workers; ++Index)
      setWorker(Index);
  }

  WorkerRow workerRow(std::size_t Index) const {
    WorkerRow Row;
    Row.Name_ = "w" + std::to_string(Index);
    Row.AvailabilityZone_ = "z" + std::to_string(Index % 4);
    Row.Rack_ = "r" + std::to_string(Index / 3);
    Row.Capacity_ = VmSize;
    return Row;
  }

  void setWorker(std::size_t Index) {
    Placement_.setWorker(Now_, workerRow(Index));
  }

  Reason addTask(std::uint64_t Id, Resources Need = {4000, 8000, 0},
                 Duration TimeToDeadline = 1h, bool Evictable = true,
                 const std::string &Kind = "plan") {
    TaskRow Task;
    Task.Task_ = {Id};
    Task.Customer_ = "c";
    Task.Kind_ = Kind;
    Task.Need_ = Need;
    Task.Deadline_ = Now_ + TimeToDeadline;
    Task.ExpectedRunTime_ = 60s;
    Task.Evictable_ = Evictable;
    return Placement_.addTask(Now_, Task);
  }

  std::vector<PlacementCommand> tick(Duration Step = 100ms) {
    Now_ += Step;
    const std::vector<PlacementCommand> Commands = Placement_.tick(Now_);
    for (const PlacementCommand &Command : Commands)
      if (Command.Action_ == PlacementAction::Start)
        WorkerOfTask_[Command.Task_.Value_] = Command.Worker_;
    return Commands;
  }

  void endTask(std::uint64_t Id, PlacementOutcome Result) {
    WorkerOfTask_.erase(Id);
    Placement_.recordTaskEnd(Now_, {Id}, Result);
  }

  Placement Placement_;
  TimePoint Now_ = Start;
  std::map<std::uint64_t, std::string> WorkerOfTask_;
};

std::size_t countActions(const std::vector<PlacementCommand> &Commands,
                         PlacementAction Action) {
  return static_cast<std::size_t>(
      std::ranges::count(Commands, Action, &PlacementCommand::Action_));
}

} // namespace

TEST_CASE("no worker is committed beyond its capacity", "[decide][placement]") {
  PlacementFixture Fixture(3);
  for (std::uint64_t Id = 1; Id <= 40; ++Id)
    REQUIRE(Fixture.addTask(Id) == Reason::None);
  REQUIRE(countActions(Fixture.tick(), PlacementAction::Start) == 12);
  REQUIRE(Fixture.Placement_.waitingTaskCount() == 28);
  for (std::size_t Index = 0; Index < 3; ++Index)
    REQUIRE(Fixture.Placement_.reservedResources("w" + std::to_string(Index))
                .fitsIn(VmSize));
  Fixture.endTask(Fixture.WorkerOfTask_.begin()->first,
                  PlacementOutcome::Finished);
  REQUIRE(countActions(Fixture.tick(), PlacementAction::Start) == 1);
}

TEST_CASE("a task larger than every VM is refused on submission",
          "[decide][placement]") {
  PlacementFixture Fixture(3);
  const auto Need = GENERATE(Resources{16001, 1, 0}, Resources{1, 60001, 0},
                             Resources{1, 1, 1});
  REQUIRE(Fixture.addTask(1, Need) == Reason::NeverFits);
  REQUIRE(Fixture.tick().empty());
}

TEST_CASE(
    "the task with the earliest latest start starts first, late tasks last",
    "[decide][placement]") {
  PlacementFixture Fixture(1);
  for (std::uint64_t Id = 1; Id <= 4; ++Id)
    Fixture.addTask(Id);
  Fixture.tick();
  Fixture.addTask(5, {4000, 8000, 0}, 2h);
  Fixture.addTask(6, {4000, 8000, 0}, 10min);
  // Runs for 60 s, so it cannot meet its deadline.
  Fixture.addTask(7, {4000, 8000, 0}, 30s);
  Fixture.tick();
  Fixture.endTask(1, PlacementOutcome::Finished);
  Fixture.tick();
  REQUIRE(Fixture.WorkerOfTask_.contains(6));
  REQUIRE_FALSE(Fixture.WorkerOfTask_.contains(7));
}

TEST_CASE("tasks of one group are spread over racks", "[decide][placement]") {
  PlacementFixture Fixture(9);
  for (std::uint64_t Id = 1; Id <= 3; ++Id)
    Fixture.addTask(Id);
  Fixture.tick();
  std::set<std::string> Racks;
  for (const auto &[Id, Worker] : Fixture.WorkerOfTask_)
    Racks.insert(std::to_string((Worker[1] - '0') / 3));
  REQUIRE(Racks.size() == 3);
}

TEST_CASE("workers with accelerators are kept for tasks that need them",
          "[decide][placement]") {
  PlacementFixture Fixture(4);
  WorkerRow Row = Fixture.workerRow(4);
  Row.Capacity_.Accelerators_ = 1;
  Fixture.Placement_.setWorker(Start, Row);
  for (std::uint64_t Id = 1; Id <= 16; ++Id)
    Fixture.addTask(Id);
  Fixture.addTask(17, {4000, 8000, 1});
  Fixture.tick();
  REQUIRE(Fixture.WorkerOfTask_.size() == 17);
  for (const auto &[Id, Worker] : Fixture.WorkerOfTask_)
    REQUIRE((Worker == "w4") == (Id == 17));
}

TEST_CASE("reservations shrink to the measured usage of earlier tasks",
          "[decide][placement]") {
  PlacementFixture Fixture(1);
  for (std::uint64_t Id = 1; Id <= 12; ++Id) {
    Fixture.addTask(Id);
    Fixture.tick();
    Fixture.Placement_.reportUsage(Fixture.Now_, {Id}, {900, 1800, 0});
    Fixture.endTask(Id, PlacementOutcome::Finished);
  }
  for (std::uint64_t Id = 20; Id < 40; ++Id)
    Fixture.addTask(Id);
  const auto Started = countActions(Fixture.tick(), PlacementAction::Start);
  REQUIRE(Started >= 12);
  REQUIRE(Fixture.Placement_.reservedResources("w0").fitsIn(VmSize));
}

TEST_CASE("a task that fails on every worker is parked after three starts",
          "[decide][placement]") {
  PlacementFixture Fixture(11);
  Fixture.addTask(1);
  std::set<std::string> TriedWorkers;
  std::size_t Starts = 0;
  std::vector<PlacementCommand> Commands;
  for (int Step = 0; Step < 10; ++Step) {
    Commands = Fixture.tick();
    if (!Fixture.WorkerOfTask_.contains(1))
      break;
    ++Starts;
    TriedWorkers.insert(Fixture.WorkerOfTask_.at(1));
    Fixture.endTask(1, PlacementOutcome::Failed);
  }
  REQUIRE(Starts == 3);
  REQUIRE(TriedWorkers.size() == 3);
  REQUIRE(Commands.size() == 1);
  REQUIRE(Commands.front().Action_ == PlacementAction::Park);
  REQUIRE(Commands.front().Reason_ == Reason::RepeatedFailure);
  for (const std::string &Worker : TriedWorkers)
    REQUIRE_FALSE(Fixture.Placement_.isQuarantined(Fixture.Now_, Worker));
}

TEST_CASE("a worker on which all tasks fail is quarantined, no task is parked",
          "[decide][placement]") {
  PlacementFixture Fixture(4);
  std::size_t FailuresOnFaulty = 0;
  std::size_t Parked = 0;
  for (std::uint64_t Id = 1; Id <= 200; ++Id) {
    Fixture.addTask(Id);
    for (int Step = 0; Step < 4; ++Step) {
      Parked += countActions(Fixture.tick(), PlacementAction::Park);
      if (!Fixture.WorkerOfTask_.contains(Id))
        break;
      const bool OnFaultyWorker = Fixture.WorkerOfTask_.at(Id) == "w0";
      FailuresOnFaulty += OnFaultyWorker ? 1 : 0;
      Fixture.endTask(Id, OnFaultyWorker ? PlacementOutcome::Failed
                                         : PlacementOutcome::Finished);
    }
  }
  REQUIRE(Parked == 0);
  REQUIRE(FailuresOnFaulty <= 5);
}

TEST_CASE("after a quarantine a worker gets one task until it finishes",
          "[decide][placement]") {
  PlacementFixture Fixture(2);
  for (std::uint64_t Id = 1; Id <= 8; ++Id)
    Fixture.addTask(Id);
  Fixture.tick();
  const auto WorkerOfTask = Fixture.WorkerOfTask_;
  for (const auto &[Id, Worker] : WorkerOfTask)
    if (Worker == "w0")
      Fixture.endTask(Id, PlacementOutcome::Failed);
  REQUIRE(Fixture.Placement_.isQuarantined(Fixture.Now_, "w0"));
  REQUIRE(countActions(Fixture.tick(), PlacementAction::Start) == 0);
  for (std::uint64_t Id = 20; Id <= 24; ++Id)
    Fixture.addTask(Id);
  const auto Probe = Fixture.tick(31s);
  REQUIRE(countActions(Probe, PlacementAction::Start) == 1);
  Fixture.endTask(Probe.front().Task_.Value_, PlacementOutcome::Finished);
  REQUIRE(countActions(Fixture.tick(), PlacementAction::Start) == 4);
}

TEST_CASE("high slowdown throttles, then checkpoints; low slowdown unthrottles",
          "[decide][placement]") {
  PlacementFixture Fixture(1);
  for (std::uint64_t Id = 1; Id <= 3; ++Id)
    Fixture.addTask(Id);
  Fixture.tick();
  std::vector<PlacementAction> Actions;
  const auto Report = [&](std::uint32_t Slowdown, int Seconds) {
    for (int Step = 0; Step < Seconds; ++Step) {
      WorkerRow Row = Fixture.workerRow(0);
      Row.SlowdownPermille_ = Slowdown;
      Fixture.Placement_.setWorker(Fixture.Now_, Row);
      for (const PlacementCommand &Command : Fixture.tick(1s))
        if (Command.Action_ != PlacementAction::Start) {
          Actions.push_back(Command.Action_);
          if (Command.Action_ == PlacementAction::Checkpoint)
            Fixture.endTask(Command.Task_.Value_, PlacementOutcome::Evicted);
        }
    }
  };
  Report(1000, 12);
  REQUIRE(Actions.empty());
  Report(9000, 3);
  REQUIRE_FALSE(Actions.empty());
  REQUIRE(Actions.front() == PlacementAction::Throttle);
  REQUIRE(std::ranges::count(Actions, PlacementAction::Checkpoint) == 0);
  Report(9000, 12);
  REQUIRE(std::ranges::count(Actions, PlacementAction::Checkpoint) >= 1);
  Actions.clear();
  Report(3000, 30);
  REQUIRE(Actions.empty());
  Report(1000, 10);
  REQUIRE_FALSE(Actions.empty());
  REQUIRE(Actions.front() == PlacementAction::Unthrottle);
}

TEST_CASE("a task that callers wait for evicts batch tasks to start",
          "[decide][placement]") {
  PlacementFixture Fixture(1);
  for (std::uint64_t Id = 1; Id <= 4; ++Id)
    Fixture.addTask(Id);
  Fixture.tick();
  Fixture.addTask(9, {8000, 8000, 0}, 1h, false, "watch");
  const auto Commands = Fixture.tick(1s);
  REQUIRE(countActions(Commands, PlacementAction::Checkpoint) == 2);
  for (const PlacementCommand &Command : Commands)
    Fixture.endTask(Command.Task_.Value_, PlacementOutcome::Evicted);
  Fixture.tick();
  REQUIRE(Fixture.WorkerOfTask_.contains(9));
  REQUIRE(Fixture.Placement_.waitingTaskCount() == 2);
}

TEST_CASE("tasks of a removed worker start on another worker",
          "[decide][placement]") {
  PlacementFixture Fixture(2);
  for (std::uint64_t Id = 1; Id <= 3; ++Id)
    Fixture.addTask(Id);
  Fixture.tick();
  const std::string Lost = Fixture.WorkerOfTask_.begin()->second;
  Fixture.Placement_.removeWorker(Fixture.Now_, Lost);
  Fixture.tick();
  for (const auto &[Id, Worker] : Fixture.WorkerOfTask_)
    REQUIRE(Worker != Lost);
  REQUIRE(Fixture.Placement_.waitingTaskCount() == 0);
}

TEST_CASE("a refused start is retried on the worker after a backoff",
          "[decide][placement]") {
  PlacementFixture Fixture(1);
  Fixture.addTask(1);
  Fixture.tick();
  Fixture.endTask(1, PlacementOutcome::Refused);
  REQUIRE(Fixture.tick().empty());
  REQUIRE(countActions(Fixture.tick(1s), PlacementAction::Start) == 1);
}

TEST_CASE("running tasks added after a restart hold their reservation",
          "[decide][placement]") {
  PlacementFixture Fixture(1);
  TaskRow Task;
  Task.Task_ = {5};
  Task.Need_ = {12000, 8000, 0};
  Fixture.Placement_.addRunningTask(Fixture.Now_, Task, "w0");
  Fixture.addTask(6);
  Fixture.addTask(7);
  REQUIRE(countActions(Fixture.tick(), PlacementAction::Start) == 1);
  Fixture.Placement_.removeTask(Fixture.Now_, {5});
  REQUIRE(countActions(Fixture.tick(), PlacementAction::Start) == 1);
}
