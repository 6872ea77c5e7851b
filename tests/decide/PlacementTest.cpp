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

/// Drives a placement and keeps where each task runs.
class Fleet {
public:
  explicit Fleet(std::size_t Workers, PlacementOptions Options = {})
      : Placement_(Options) {
    for (std::size_t Index = 0; Index < Workers; ++Index)
      set(Index);
  }

  WorkerRow row(std::size_t Index) const {
    WorkerRow Row;
    Row.Name_ = "w" + std::to_string(Index);
    Row.AvailabilityZone_ = "z" + std::to_string(Index % 4);
    Row.Rack_ = "r" + std::to_string(Index / 3);
    Row.Capacity_ = VmSize;
    return Row;
  }

  void set(std::size_t Index) { Placement_.setWorker(Now_, row(Index)); }

  Reason add(std::uint64_t Id, Resources Need = {4000, 8000, 0},
             Duration Left = 1h, bool Evictable = true,
             const std::string &Kind = "plan") {
    TaskRow Task;
    Task.Task_ = {Id};
    Task.Customer_ = "c";
    Task.Kind_ = Kind;
    Task.Need_ = Need;
    Task.Deadline_ = Now_ + Left;
    Task.ExpectedRunTime_ = 60s;
    Task.Evictable_ = Evictable;
    return Placement_.addTask(Now_, Task);
  }

  std::vector<PlacementCommand> tick(Duration By = 100ms) {
    Now_ += By;
    const std::vector<PlacementCommand> Commands = Placement_.tick(Now_);
    for (const PlacementCommand &Command : Commands)
      if (Command.Action_ == PlacementAction::Start)
        Places_[Command.Task_.Value_] = Command.Worker_;
    return Commands;
  }

  void end(std::uint64_t Id, PlacementOutcome Result) {
    Places_.erase(Id);
    Placement_.recordTaskEnd(Now_, {Id}, Result);
  }

  Placement Placement_;
  TimePoint Now_ = Start;
  std::map<std::uint64_t, std::string> Places_;
};

std::size_t countOf(const std::vector<PlacementCommand> &Commands,
                    PlacementAction Action) {
  return static_cast<std::size_t>(
      std::ranges::count(Commands, Action, &PlacementCommand::Action_));
}

} // namespace

TEST_CASE("no worker is committed beyond its capacity", "[decide][placement]") {
  Fleet Value(3);
  for (std::uint64_t Id = 1; Id <= 40; ++Id)
    REQUIRE(Value.add(Id) == Reason::None);
  REQUIRE(countOf(Value.tick(), PlacementAction::Start) == 12);
  REQUIRE(Value.Placement_.waitingTaskCount() == 28);
  for (std::size_t Index = 0; Index < 3; ++Index)
    REQUIRE(Value.Placement_.reservedResources("w" + std::to_string(Index))
                .fitsIn(VmSize));
  Value.end(Value.Places_.begin()->first, PlacementOutcome::Finished);
  REQUIRE(countOf(Value.tick(), PlacementAction::Start) == 1);
}

TEST_CASE("a task that no VM could hold is refused on submission",
          "[decide][placement]") {
  Fleet Value(3);
  const auto Need = GENERATE(Resources{16001, 1, 0}, Resources{1, 60001, 0},
                             Resources{1, 1, 1});
  REQUIRE(Value.add(1, Need) == Reason::NeverFits);
  REQUIRE(Value.tick().empty());
}

TEST_CASE("the task that must start soonest goes first",
          "[decide][placement]") {
  Fleet Value(1);
  for (std::uint64_t Id = 1; Id <= 4; ++Id)
    Value.add(Id);
  Value.tick();
  Value.add(5, {4000, 8000, 0}, 2h);
  Value.add(6, {4000, 8000, 0}, 10min);
  Value.add(7, {4000, 8000, 0}, 30s);
  Value.tick();
  Value.end(1, PlacementOutcome::Finished);
  Value.tick();
  REQUIRE(Value.Places_.contains(6));
  REQUIRE_FALSE(Value.Places_.contains(7));
}

TEST_CASE("a group is spread over racks", "[decide][placement]") {
  Fleet Value(9);
  for (std::uint64_t Id = 1; Id <= 3; ++Id)
    Value.add(Id);
  Value.tick();
  std::set<std::string> Racks;
  for (const auto &[Id, Worker] : Value.Places_)
    Racks.insert(std::to_string((Worker[1] - '0') / 3));
  REQUIRE(Racks.size() == 3);
}

TEST_CASE("accelerators are kept for tasks that need them",
          "[decide][placement]") {
  Fleet Value(4);
  WorkerRow Row = Value.row(4);
  Row.Capacity_.Accelerators_ = 1;
  Value.Placement_.setWorker(Start, Row);
  for (std::uint64_t Id = 1; Id <= 16; ++Id)
    Value.add(Id);
  Value.add(17, {4000, 8000, 1});
  Value.tick();
  REQUIRE(Value.Places_.size() == 17);
  for (const auto &[Id, Worker] : Value.Places_)
    REQUIRE((Worker == "w4") == (Id == 17));
}

TEST_CASE("sizes are corrected by what was measured", "[decide][placement]") {
  Fleet Value(1);
  for (std::uint64_t Id = 1; Id <= 12; ++Id) {
    Value.add(Id);
    Value.tick();
    Value.Placement_.reportUsage(Value.Now_, {Id}, {900, 1800, 0});
    Value.end(Id, PlacementOutcome::Finished);
  }
  for (std::uint64_t Id = 20; Id < 40; ++Id)
    Value.add(Id);
  const auto Started = countOf(Value.tick(), PlacementAction::Start);
  REQUIRE(Started >= 12);
  REQUIRE(Value.Placement_.reservedResources("w0").fitsIn(VmSize));
}

TEST_CASE("a job that fails everywhere is parked after three starts",
          "[decide][placement]") {
  Fleet Value(11);
  Value.add(1);
  std::set<std::string> Tried;
  std::size_t Starts = 0;
  std::vector<PlacementCommand> Commands;
  for (int Step = 0; Step < 10; ++Step) {
    Commands = Value.tick();
    if (!Value.Places_.contains(1))
      break;
    ++Starts;
    Tried.insert(Value.Places_.at(1));
    Value.end(1, PlacementOutcome::Failed);
  }
  REQUIRE(Starts == 3);
  REQUIRE(Tried.size() == 3);
  REQUIRE(Commands.size() == 1);
  REQUIRE(Commands.front().Action_ == PlacementAction::Park);
  REQUIRE(Commands.front().Reason_ == Reason::RepeatedFailure);
  for (const std::string &Worker : Tried)
    REQUIRE_FALSE(Value.Placement_.isQuarantined(Value.Now_, Worker));
}

TEST_CASE("a worker that fails good jobs is quarantined, and they finish",
          "[decide][placement]") {
  Fleet Value(4);
  std::size_t OnBad = 0;
  std::size_t Parked = 0;
  for (std::uint64_t Id = 1; Id <= 200; ++Id) {
    Value.add(Id);
    for (int Step = 0; Step < 4; ++Step) {
      Parked += countOf(Value.tick(), PlacementAction::Park);
      if (!Value.Places_.contains(Id))
        break;
      const bool Bad = Value.Places_.at(Id) == "w0";
      OnBad += Bad ? 1 : 0;
      Value.end(Id,
                Bad ? PlacementOutcome::Failed : PlacementOutcome::Finished);
    }
  }
  REQUIRE(Parked == 0);
  REQUIRE(OnBad <= 5);
}

TEST_CASE("a worker returns from quarantine with one task at a time",
          "[decide][placement]") {
  Fleet Value(2);
  for (std::uint64_t Id = 1; Id <= 8; ++Id)
    Value.add(Id);
  Value.tick();
  const auto Places = Value.Places_;
  for (const auto &[Id, Worker] : Places)
    if (Worker == "w0")
      Value.end(Id, PlacementOutcome::Failed);
  REQUIRE(Value.Placement_.isQuarantined(Value.Now_, "w0"));
  REQUIRE(countOf(Value.tick(), PlacementAction::Start) == 0);
  for (std::uint64_t Id = 20; Id <= 24; ++Id)
    Value.add(Id);
  const auto Probe = Value.tick(31s);
  REQUIRE(countOf(Probe, PlacementAction::Start) == 1);
  Value.end(Probe.front().Task_.Value_, PlacementOutcome::Finished);
  REQUIRE(countOf(Value.tick(), PlacementAction::Start) == 4);
}

TEST_CASE("pressure throttles, then checkpoints, and calm releases",
          "[decide][placement]") {
  Fleet Value(1);
  for (std::uint64_t Id = 1; Id <= 3; ++Id)
    Value.add(Id);
  Value.tick();
  std::vector<PlacementAction> Actions;
  const auto Report = [&](std::uint32_t Slowdown, int Seconds) {
    for (int Step = 0; Step < Seconds; ++Step) {
      WorkerRow Row = Value.row(0);
      Row.SlowdownPermille_ = Slowdown;
      Value.Placement_.setWorker(Value.Now_, Row);
      for (const PlacementCommand &Command : Value.tick(1s))
        if (Command.Action_ != PlacementAction::Start) {
          Actions.push_back(Command.Action_);
          if (Command.Action_ == PlacementAction::Checkpoint)
            Value.end(Command.Task_.Value_, PlacementOutcome::Evicted);
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

TEST_CASE("what callers wait for evicts batch work and is never evicted",
          "[decide][placement]") {
  Fleet Value(1);
  for (std::uint64_t Id = 1; Id <= 4; ++Id)
    Value.add(Id);
  Value.tick();
  Value.add(9, {8000, 8000, 0}, 1h, false, "watch");
  const auto Commands = Value.tick(1s);
  REQUIRE(countOf(Commands, PlacementAction::Checkpoint) == 2);
  for (const PlacementCommand &Command : Commands)
    Value.end(Command.Task_.Value_, PlacementOutcome::Evicted);
  Value.tick();
  REQUIRE(Value.Places_.contains(9));
  REQUIRE(Value.Placement_.waitingTaskCount() == 2);
}

TEST_CASE("tasks of a lost worker start elsewhere", "[decide][placement]") {
  Fleet Value(2);
  for (std::uint64_t Id = 1; Id <= 3; ++Id)
    Value.add(Id);
  Value.tick();
  const std::string Lost = Value.Places_.begin()->second;
  Value.Placement_.removeWorker(Value.Now_, Lost);
  Value.tick();
  for (const auto &[Id, Worker] : Value.Places_)
    REQUIRE(Worker != Lost);
  REQUIRE(Value.Placement_.waitingTaskCount() == 0);
}

TEST_CASE("a refused start is tried again elsewhere or later",
          "[decide][placement]") {
  Fleet Value(1);
  Value.add(1);
  Value.tick();
  Value.end(1, PlacementOutcome::Refused);
  REQUIRE(Value.tick().empty());
  REQUIRE(countOf(Value.tick(1s), PlacementAction::Start) == 1);
}

TEST_CASE("running tasks are taken over after a restart",
          "[decide][placement]") {
  Fleet Value(1);
  TaskRow Task;
  Task.Task_ = {5};
  Task.Need_ = {12000, 8000, 0};
  Value.Placement_.addRunningTask(Value.Now_, Task, "w0");
  Value.add(6);
  Value.add(7);
  REQUIRE(countOf(Value.tick(), PlacementAction::Start) == 1);
  Value.Placement_.removeTask(Value.Now_, {5});
  REQUIRE(countOf(Value.tick(), PlacementAction::Start) == 1);
}
