#include "control/MachineFixture.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::control;
using namespace std::chrono_literals;
using wire::TaskEvent;
using wire::TaskState;

namespace {

TaskRequest requestOf(std::string Id, bool NonIdempotent = false) {
  return {.Key_ = {"c", std::move(Id)},
          .Kind_ = "review",
          .Need_ = {1000, 64, 0},
          .TimeLeft_ = 60s,
          .ExpectedRunTime_ = 5s,
          .NonIdempotent_ = NonIdempotent,
          .Body_ = "body"};
}

AcceptOutcome accept(MachineFixture &Fixture, const TaskRequest &Request) {
  return std::get<AcceptOutcomes>(Fixture.apply(AcceptTasks{{Request}}))
      .Rows_.at(0);
}

/// Applies a command of one row; returns whether the row had an effect.
bool hadEffect(MachineFixture &Fixture, CommandBody Body) {
  return std::get<RowsApplied>(Fixture.apply(std::move(Body))).Count_ == 1;
}

bool place(MachineFixture &Fixture, std::uint64_t EpochNumber,
           const std::string &Worker = "vm") {
  return hadEffect(
      Fixture, PlaceTasks{{{TaskId{1}, Epoch{EpochNumber}, Worker, {9}, {}}}});
}

bool report(MachineFixture &Fixture, std::uint64_t EpochNumber, TaskEvent Event,
            const std::string &Checkpoint = {},
            const std::string &Worker = "vm") {
  ReportRow Row;
  Row.Task_ = {1};
  Row.Epoch_ = {EpochNumber};
  Row.Event_ = Event;
  Row.CheckpointId_ = Checkpoint;
  Row.Body_ = "grades";
  return hadEffect(Fixture, ReportTasks{Worker, {Row}});
}

/// How a placement ends, and the expected state of the task.
struct PlacementEndCase {
  const char *Name_;
  bool NonIdempotent_;
  bool Started_;
  bool Cancelled_;
  std::optional<TaskEvent> End_; ///< Empty if the worker is lost.
  TaskState State_;
  Outcome Outcome_;
};

const std::vector<PlacementEndCase> PlacementEndCases{
    {"finished", false, true, false, TaskEvent::Finished, TaskState::Finished,
     Outcome::Completed},
    {"finished before its start was reported", true, false, false,
     TaskEvent::Finished, TaskState::Finished, Outcome::Completed},
    {"refused", true, false, false, TaskEvent::Refused, TaskState::Waiting,
     Outcome::Unknown},
    {"failed", false, true, false, TaskEvent::Failed, TaskState::Waiting,
     Outcome::Unknown},
    {"failed, non-idempotent", true, true, false, TaskEvent::Failed,
     TaskState::Failed, Outcome::Unknown},
    {"lost", false, true, false, std::nullopt, TaskState::Waiting,
     Outcome::Unknown},
    {"lost, non-idempotent", true, true, false, std::nullopt, TaskState::Failed,
     Outcome::Unknown},
    {"lost before its start was reported, non-idempotent", true, false, false,
     std::nullopt, TaskState::Failed, Outcome::Unknown},
    {"checkpointed", true, true, false, TaskEvent::Checkpointed,
     TaskState::Evicted, Outcome::Unknown},
    {"stopped for a cancellation", false, true, true, TaskEvent::Stopped,
     TaskState::Cancelled, Outcome::Unknown},
    {"refused while cancelled", false, false, true, TaskEvent::Refused,
     TaskState::Cancelled, Outcome::RefusedNotRun},
    {"lost while cancelled", false, true, true, std::nullopt,
     TaskState::Cancelled, Outcome::Unknown},
    {"finished while cancelled", false, true, true, TaskEvent::Finished,
     TaskState::Finished, Outcome::Completed},
};

} // namespace

TEST_CASE("a placement ends once and repeated reports have no effect",
          "[control][tasks]") {
  const bool Restart = GENERATE(false, true);
  for (const PlacementEndCase &Case : PlacementEndCases) {
    INFO(Case.Name_);
    MachineFixture Fixture(Restart);
    accept(Fixture, requestOf("1", Case.NonIdempotent_));
    REQUIRE(place(Fixture, 1));
    CHECK_FALSE(place(Fixture, 1, "other"));
    if (Case.Started_) {
      REQUIRE(report(Fixture, 1, TaskEvent::Started));
      CHECK_FALSE(report(Fixture, 1, TaskEvent::Started));
      CHECK_FALSE(report(Fixture, 1, TaskEvent::Refused));
    }
    if (Case.Cancelled_) {
      REQUIRE(hadEffect(Fixture, CancelTasks{{TaskId{1}}}));
      CHECK_FALSE(hadEffect(Fixture, CancelTasks{{TaskId{1}}}));
    }
    for (const bool First : {true, false})
      CHECK(First == (Case.End_ ? report(Fixture, 1, *Case.End_, "cp")
                                : hadEffect(Fixture, LoseTasks{{{{1}, {1}}}})));
    CHECK(Fixture.task(1).State_ == Case.State_);
    CHECK(Fixture.task(1).Outcome_ == Case.Outcome_);
    CHECK(Fixture.task(1).Epoch_ == Epoch{2});
    CHECK(Fixture.machine().tasks().tasksOnWorker("vm").empty());
  }
}

TEST_CASE("reports of another epoch or worker have no effect",
          "[control][tasks]") {
  MachineFixture Fixture(GENERATE(false, true));
  accept(Fixture, requestOf("1"));
  REQUIRE(place(Fixture, 1));
  REQUIRE(hadEffect(Fixture, LoseTasks{{{{1}, {1}}}}));
  REQUIRE(place(Fixture, 2, "other"));
  for (const TaskEvent Event :
       {TaskEvent::Started, TaskEvent::Refused, TaskEvent::Checkpointed,
        TaskEvent::Finished, TaskEvent::Failed, TaskEvent::Stopped}) {
    CHECK_FALSE(report(Fixture, 1, Event));
    CHECK_FALSE(report(Fixture, 2, Event));
    CHECK_FALSE(report(Fixture, 3, Event, {}, "other"));
  }
  CHECK(Fixture.task(1).State_ == TaskState::Placed);
}

TEST_CASE("only one placement resumes from a checkpoint", "[control][tasks]") {
  MachineFixture Fixture(GENERATE(false, true));
  accept(Fixture, requestOf("1", true));
  std::uint64_t EpochNumber = 1;
  for (int Round = 0; Round < 3; ++Round) {
    REQUIRE(place(Fixture, EpochNumber));
    REQUIRE(report(Fixture, EpochNumber, TaskEvent::Started));
    const std::string Checkpoint = "cp" + std::to_string(Round);
    REQUIRE(report(Fixture, EpochNumber, TaskEvent::Checkpointed, Checkpoint));
    CHECK_FALSE(report(Fixture, EpochNumber, TaskEvent::Checkpointed, "late"));
    CHECK_FALSE(report(Fixture, EpochNumber, TaskEvent::Finished));
    CHECK(Fixture.task(1).CheckpointId_ == Checkpoint);
    ++EpochNumber;
    // A refusal proves that the checkpoint is unused.
    REQUIRE(place(Fixture, EpochNumber));
    REQUIRE(report(Fixture, EpochNumber, TaskEvent::Refused));
    CHECK(Fixture.task(1).State_ == TaskState::Evicted);
    CHECK(Fixture.task(1).CheckpointId_ == Checkpoint);
    ++EpochNumber;
  }
  CHECK(Fixture.task(1).Evictions_ == 3);
  REQUIRE(place(Fixture, EpochNumber));
  REQUIRE(hadEffect(Fixture, LoseTasks{{{{1}, {EpochNumber}}}}));
  CHECK(Fixture.task(1).State_ == TaskState::Failed);
  CHECK(Fixture.task(1).CheckpointId_.empty());
}

TEST_CASE("an idempotent task lost after a resume starts from the beginning",
          "[control][tasks]") {
  MachineFixture Fixture(GENERATE(false, true));
  accept(Fixture, requestOf("1"));
  REQUIRE(place(Fixture, 1));
  REQUIRE(report(Fixture, 1, TaskEvent::Checkpointed, "cp"));
  REQUIRE(place(Fixture, 2));
  REQUIRE(hadEffect(Fixture, LoseTasks{{{{1}, {2}}}}));
  CHECK(Fixture.task(1).State_ == TaskState::Waiting);
  CHECK(Fixture.task(1).CheckpointId_.empty());
}

TEST_CASE("a resent task returns the first id and another body is refused",
          "[control][tasks]") {
  MachineFixture Fixture(GENERATE(false, true));
  TaskRequest Request = requestOf("1");
  CHECK(accept(Fixture, Request).Task_ == TaskId{1});
  CHECK(accept(Fixture, Request).Task_ == TaskId{1});
  Request.Body_ = "another";
  CHECK(accept(Fixture, Request).Status_ == AcceptStatus::RequestIdReused);
  CHECK(accept(Fixture, requestOf("2")).Task_ == TaskId{2});
}

TEST_CASE("one record cancels a batch of tasks", "[control][tasks]") {
  MachineFixture Fixture(GENERATE(false, true));
  constexpr std::uint64_t Tasks = 100;
  AcceptTasks Accept;
  CancelTasks Cancel;
  for (std::uint64_t I = 1; I <= Tasks; ++I) {
    Accept.Rows_.push_back(requestOf(std::to_string(I)));
    Cancel.Rows_.push_back({I});
  }
  Fixture.apply(Accept);
  REQUIRE(place(Fixture, 1));
  CHECK(std::get<RowsApplied>(Fixture.apply(Cancel)).Count_ == Tasks);
  CHECK(std::get<RowsApplied>(Fixture.apply(Cancel)).Count_ == 0);
  CHECK(Fixture.task(1).Cancelling_);
  CHECK(Fixture.task(2).State_ == TaskState::Cancelled);
  REQUIRE(report(Fixture, 1, TaskEvent::Stopped));
  const auto Rows = Fixture.machine().counts().rows();
  REQUIRE(Rows.size() == 1);
  CHECK(Rows[0].Requests_ == std::array<std::uint64_t, 3>{0, Tasks - 1, 1});
}

TEST_CASE("a parked task counts as refused only if it never ran",
          "[control][tasks]") {
  MachineFixture Fixture(GENERATE(false, true));
  accept(Fixture, requestOf("1"));
  SECTION("never placed") {
    REQUIRE(hadEffect(Fixture, ParkTasks{{{{1}, {1}, Reason::NeverFits}}}));
    CHECK(Fixture.task(1).Outcome_ == Outcome::RefusedNotRun);
    CHECK_FALSE(place(Fixture, 1));
  }
  SECTION("failed before") {
    REQUIRE(place(Fixture, 1));
    CHECK_FALSE(hadEffect(Fixture, ParkTasks{{{{1}, {1}, Reason::NeverFits}}}));
    REQUIRE(report(Fixture, 1, TaskEvent::Failed));
    REQUIRE(
        hadEffect(Fixture, ParkTasks{{{{1}, {2}, Reason::RepeatedFailure}}}));
    CHECK(Fixture.task(1).Outcome_ == Outcome::Unknown);
  }
  CHECK(Fixture.task(1).State_ == TaskState::Parked);
}

TEST_CASE("a full task table refuses tasks until ended ones expire",
          "[control][tasks]") {
  TaskTable Tasks({.MaxUnfinished_ = 1, .MaxEnded_ = 1, .MinAge_ = 10s}, {});
  REQUIRE(Tasks.accept(0s, requestOf("1")).Task_ == TaskId{1});
  CHECK(Tasks.accept(0s, requestOf("2")).Status_ == AcceptStatus::TableFull);
  Tasks.cancel(0s, TaskId{1});
  REQUIRE(Tasks.accept(1s, requestOf("2")).Task_ == TaskId{2});
  Tasks.cancel(1s, TaskId{2});
  CHECK(Tasks.accept(9s, requestOf("3")).Status_ == AcceptStatus::TableFull);
  CHECK(Tasks.accept(10s, requestOf("3")).Task_ == TaskId{3});
  CHECK(Tasks.find(TaskId{1}) == nullptr);
}
