#include "dragonfly/jobs/JobTable.h"

#include <catch2/catch.hpp>

#include <string>

namespace dragonfly::jobs {
namespace {

using std::chrono::seconds;

constexpr const char *JobId = "5c0e7a21d94b36f8";

Configuration configuration(std::uint64_t Version = 1) {
  return {.Version_ = Version,
          .Queues_ = {{.Name_ = "checks",
                       .Host_ = "a.example",
                       .PathPrefix_ = "/checks/",
                       .Service_ = "sorting",
                       .MaxAttempts_ = 2}},
          .Services_ = {{.Name_ = "sorting"}}};
}

StepSpec step(std::uint32_t Count, std::vector<std::uint32_t> DependsOn = {}) {
  return {.Count_ = Count,
          .Need_ = {.MilliProcessors_ = 500, .MemoryMib_ = 100},
          .DependsOn_ = std::move(DependsOn)};
}

/// A table with one queue, one worker under fence 1 and one job.
struct Fixture {
  explicit Fixture(std::vector<StepSpec> Steps) {
    Table_.putConfiguration(configuration());
    Fence_ =
        Table_.registerWorker({.Worker_ = "w1", .Born_ = 10, .Agent_ = {1}});
    const SubmitStatus Status = submit(std::move(Steps));
    REQUIRE(Status == SubmitStatus::Accepted);
  }

  SubmitStatus submit(std::vector<StepSpec> Steps) {
    return Table_.submit(seconds(1), {.Job_ = JobId,
                                      .Host_ = "a.example",
                                      .Path_ = std::string("/checks/") + JobId,
                                      .Spec_ = {.Steps_ = std::move(Steps)}});
  }

  RunName run(std::uint32_t Step, std::uint32_t Index, std::uint32_t Run = 1) {
    return {.Task_ = {.Job_ = JobId, .Step_ = Step, .Index_ = Index},
            .Run_ = Run};
  }
  bool start(const RunName &Run) {
    return Table_.start({.Run_ = Run, .Worker_ = "w1", .Fence_ = Fence_});
  }
  bool end(const RunName &Run, RunEnd How, std::string Checkpoint = {}) {
    return Table_.end(seconds(2), {.Run_ = Run,
                                   .Worker_ = "w1",
                                   .How_ = How,
                                   .Checkpoint_ = std::move(Checkpoint)});
  }
  const JobRow &job() { return *Table_.find(JobId); }
  const TaskRow &task(std::uint32_t Step, std::uint32_t Index) {
    return job().Steps_[Step].Tasks_[Index];
  }

  JobTable Table_;
  std::uint64_t Fence_ = 0;
};

} // namespace

TEST_CASE("a job completes once every task has finished", "[jobs]") {
  Fixture On({step(2), step(1, {0})});
  CHECK(On.job().State_ == JobState::Queued);
  REQUIRE(On.start(On.run(0, 0)));
  REQUIRE(On.start(On.run(0, 1)));
  CHECK(On.job().State_ == JobState::Running);
  CHECK_FALSE(On.start(On.run(1, 0)));
  On.end(On.run(0, 0), RunEnd::Finished);
  CHECK_FALSE(On.start(On.run(1, 0)));
  On.end(On.run(0, 1), RunEnd::Finished);
  REQUIRE(On.start(On.run(1, 0)));
  CHECK(On.job().State_ == JobState::Running);
  On.end(On.run(1, 0), RunEnd::Finished);
  CHECK(On.job().State_ == JobState::Completed);
  CHECK(On.Table_.readySteps().empty());
}

TEST_CASE("a resend of a job is one job, also after it has ended", "[jobs]") {
  Fixture On({step(1)});
  On.start(On.run(0, 0));
  CHECK(On.submit({step(5)}) == SubmitStatus::Accepted);
  CHECK(On.job().Steps_[0].Tasks_.size() == 1);
  On.Table_.cancel(seconds(2), JobId);
  CHECK(On.submit({step(1)}) == SubmitStatus::Accepted);
  CHECK(On.job().State_ == JobState::Cancelled);
}

TEST_CASE("a job to a queue that does not exist is not accepted", "[jobs]") {
  JobTable Table;
  CHECK(Table.submit(seconds(1), {.Job_ = JobId,
                                  .Host_ = "a.example",
                                  .Path_ = "/none/"}) == SubmitStatus::NoQueue);
}

// Guards against REFUSED: a cancel held until a later one pruned it, so that a
// job that was accepted long after it never ran.
TEST_CASE("a cancel of an unknown job holds for its retention", "[jobs]") {
  JobTable Table;
  Table.putConfiguration(configuration());
  const Duration CancelledAt = seconds(100);
  Table.cancel(CancelledAt, JobId);
  const bool IsLate = GENERATE(false, true);
  Table.submit(CancelledAt + JobTable::EarlyCancelRetention +
                   Duration(IsLate ? 1 : 0),
               {.Job_ = JobId,
                .Host_ = "a.example",
                .Path_ = std::string("/checks/") + JobId,
                .Spec_ = {.Steps_ = {step(1)}}});
  REQUIRE(Table.find(JobId) != nullptr);
  CHECK(Table.find(JobId)->State_ ==
        (IsLate ? JobState::Queued : JobState::Cancelled));
  CHECK(Table.earlyCancels().empty());
}

// Guards against UNASKED: while as many cancels are kept as may be, one that
// was sent again did not count from then on.
TEST_CASE("a cancel that is sent again counts from then on", "[jobs]") {
  JobTable Table;
  Table.putConfiguration(configuration());
  Table.cancel(seconds(100), JobId);
  for (std::size_t I = 1; I < JobTable::MaxEarlyCancels; ++I)
    Table.cancel(seconds(100), "other-job-" + std::to_string(I));
  CHECK(Table.cancel(seconds(100), "one-more-job") == CancelStatus::Refused);
  CHECK(Table.cancel(seconds(120), JobId) == CancelStatus::RecordedEarly);
  REQUIRE(Table.earlyCancels().size() == JobTable::MaxEarlyCancels);
  CHECK(Table.earlyCancels().at(JobId) == seconds(120));
}

TEST_CASE("a task has one run at a time", "[jobs]") {
  Fixture On({step(1)});
  REQUIRE(On.start(On.run(0, 0)));
  CHECK_FALSE(On.start(On.run(0, 0)));
  CHECK_FALSE(On.start(On.run(0, 0, 2)));
  CHECK_FALSE(On.end(On.run(0, 0, 2), RunEnd::Finished));
  REQUIRE(On.end(On.run(0, 0), RunEnd::Stopped, "half"));
  CHECK(On.task(0, 0).Checkpoint_ == "half");
  CHECK_FALSE(On.start(On.run(0, 0)));
  CHECK(On.start(On.run(0, 0, 2)));
}

TEST_CASE("an end that comes twice, or of an earlier run, has no effect",
          "[jobs]") {
  Fixture On({step(1)});
  On.start(On.run(0, 0));
  CHECK(On.end(On.run(0, 0), RunEnd::LeaseExpired));
  CHECK_FALSE(On.end(On.run(0, 0), RunEnd::Finished));
  On.start(On.run(0, 0, 2));
  CHECK_FALSE(On.end(On.run(0, 0), RunEnd::Finished));
  CHECK(On.job().State_ == JobState::Running);
}

TEST_CASE("only failures count as attempts", "[jobs]") {
  Fixture On({step(2)});
  std::uint32_t Run = 0;
  for (const RunEnd How : {RunEnd::Stopped, RunEnd::LeaseExpired,
                           RunEnd::NotStarted, RunEnd::Failed}) {
    REQUIRE(On.start(On.run(0, 0, ++Run)));
    REQUIRE(On.end(On.run(0, 0, Run), How));
    CHECK(On.job().active());
  }
  REQUIRE(On.start(On.run(0, 0, ++Run)));
  On.end(On.run(0, 0, Run), RunEnd::Failed);
  CHECK(On.job().State_ == JobState::Failed);
  CHECK_FALSE(On.start(On.run(0, 1)));
}

TEST_CASE("long-running tasks wait again however they end", "[jobs]") {
  StepSpec Watch = step(1);
  Watch.LongRunning_ = true;
  Fixture On({Watch});
  std::uint32_t Run = 0;
  for (const RunEnd How : {RunEnd::Failed, RunEnd::Failed, RunEnd::Failed,
                           RunEnd::Finished, RunEnd::Stopped}) {
    REQUIRE(On.start(On.run(0, 0, ++Run)));
    REQUIRE(On.end(On.run(0, 0, Run), How));
    CHECK(On.job().State_ == JobState::Running);
    CHECK(On.Table_.readySteps().size() == 1);
  }
}

TEST_CASE("a start under an old fence has no effect", "[jobs]") {
  Fixture On({step(1)});
  const std::uint64_t Old = On.Fence_;
  CHECK(On.Table_.registerWorker(
            {.Worker_ = "w1", .Born_ = 10, .Agent_ = {1}}) == Old);
  CHECK(On.Table_.registerWorker(
            {.Worker_ = "w1", .Born_ = 10, .Agent_ = {2}}) > Old);
  CHECK_FALSE(On.start(On.run(0, 0)));
}

TEST_CASE("a cancelled job starts nothing and keeps its runs until they end",
          "[jobs]") {
  Fixture On({step(2)});
  On.start(On.run(0, 0));
  REQUIRE(On.Table_.cancel(seconds(2), JobId) == CancelStatus::Known);
  CHECK_FALSE(On.start(On.run(0, 1)));
  CHECK(On.Table_.findWorker("w1")->Runs_.size() == 1);
  On.end(On.run(0, 0), RunEnd::Finished);
  CHECK(On.job().State_ == JobState::Cancelled);
  CHECK(On.Table_.findWorker("w1")->Runs_.empty());
  CHECK(On.Table_.findWorker("w1")->Reserved_ == Resources{});
}

// Guards against UNASKED: a Checkpoint of another run, or of another task.
TEST_CASE("a task keeps the checkpoint of its own newest run", "[jobs]") {
  Fixture On({step(2)});
  On.start(On.run(0, 0));
  On.start(On.run(0, 1));
  REQUIRE(On.end(On.run(0, 0), RunEnd::Stopped, "a1"));
  CHECK(On.task(0, 1).Checkpoint_.empty());
  On.start(On.run(0, 0, 2));
  CHECK_FALSE(On.end(On.run(0, 0), RunEnd::Stopped, "late"));
  CHECK_FALSE(On.end(On.run(0, 0, 3), RunEnd::Stopped, "early"));
  CHECK_FALSE(On.Table_.end(seconds(2), {.Run_ = On.run(0, 0, 2),
                                         .Worker_ = "w2",
                                         .How_ = RunEnd::Stopped,
                                         .Checkpoint_ = "elsewhere"}));
  CHECK(On.task(0, 0).Checkpoint_ == "a1");
  REQUIRE(On.end(On.run(0, 0, 2), RunEnd::LeaseExpired));
  CHECK(On.task(0, 0).Checkpoint_ == "a1");
}

// Guards against UNASKED: a submission that comes again starts a job that has
// been cancelled. The platform sends one again within seconds; states can be
// read for two minutes.
TEST_CASE("a cancelled job stays so for its retention", "[jobs]") {
  Fixture On({step(1)});
  const Duration CancelledAt = seconds(100);
  On.Table_.cancel(CancelledAt, JobId);
  const bool IsLate = GENERATE(false, true);
  const auto Submit = [&](const std::string &Id) {
    On.Table_.submit(CancelledAt + JobTable::EndedJobRetention +
                         Duration(IsLate ? 1 : 0),
                     {.Job_ = Id,
                      .Host_ = "a.example",
                      .Path_ = "/checks/" + Id,
                      .Spec_ = {.Steps_ = {step(1)}}});
  };
  Submit("00000000000000ff");
  Submit(JobId);
  CHECK(On.job().State_ == (IsLate ? JobState::Queued : JobState::Cancelled));
}

TEST_CASE("the highest version of the configuration takes effect", "[jobs]") {
  JobTable Table;
  CHECK(Table.putConfiguration(configuration(7)));
  CHECK_FALSE(Table.putConfiguration(configuration(7)));
  CHECK_FALSE(Table.putConfiguration(configuration(3)));
  CHECK(Table.putConfiguration(configuration(20)));
  CHECK(Table.configuration().Version_ == 20);
}

TEST_CASE("reservations can be made anew from the rows", "[jobs]") {
  StepSpec Spare = step(2);
  Spare.UsesSpareProcessors_ = true;
  Fixture On({step(1), Spare});
  On.start(On.run(0, 0));
  On.start(On.run(1, 1));
  const WorkerRow Before = *On.Table_.findWorker("w1");
  CHECK(Before.Reserved_ ==
        Resources{.MilliProcessors_ = 500, .MemoryMib_ = 200});
  CHECK(Before.SpareMilliProcessors_ == 500);
  On.Table_.rebuild();
  const WorkerRow &After = *On.Table_.findWorker("w1");
  CHECK(After.Runs_ == Before.Runs_);
  CHECK(After.Reserved_ == Before.Reserved_);
  CHECK(After.SpareMilliProcessors_ == Before.SpareMilliProcessors_);
  CHECK(On.Table_.readySteps().size() == 1);
}

TEST_CASE("the longest prefix selects the queue", "[jobs]") {
  Configuration Value = configuration();
  Value.Queues_.push_back({.Name_ = "inner",
                           .Host_ = "a.example",
                           .PathPrefix_ = "/checks/deep/",
                           .Service_ = "sorting"});
  CHECK(Value.findQueue("a.example", "/checks/x")->Name_ == "checks");
  CHECK(Value.findQueue("a.example", "/checks/deep/x")->Name_ == "inner");
  CHECK(Value.findQueue("b.example", "/checks/x") == nullptr);
  CHECK_NOTHROW(validate(Value));
  Value.Queues_.push_back(Value.Queues_.front());
  CHECK_THROWS_AS(validate(Value), ConfigurationError);
  Value.Queues_.back() = {.Host_ = "c", .Service_ = "none"};
  CHECK_THROWS_AS(validate(Value), ConfigurationError);
}

TEST_CASE("a job's steps are printed with their kinds and dependencies",
          "[jobs]") {
  StepSpec Short = step(4);
  StepSpec Batch = step(20, {0});
  Batch.UsesSpareProcessors_ = true;
  StepSpec Serving = step(6, {0, 1});
  Serving.TailTarget_ = std::chrono::milliseconds(18);
  CHECK(printSteps({.Steps_ = {Short, Batch, Serving}}) ==
        "4x500:short,20x500:batch<0,6x500:serving<0+1");
  CHECK(printSteps({}).empty());
}

} // namespace dragonfly::jobs
