#include "control/ServiceCluster.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::control;
using namespace std::chrono_literals;
using settings::ListName;

namespace {

PutList changeOf(std::uint64_t Expected, std::string ChangeId,
                 std::string Content) {
  return {ListName::Plans, {Expected}, std::move(ChangeId), std::move(Content)};
}

wire::SubmitTask taskOf(std::string Id, bool NonIdempotent = false) {
  wire::SubmitTask Task;
  Task.Key_ = {"c", std::move(Id)};
  Task.Kind_ = "review";
  Task.Need_ = {1000, 64, 0};
  Task.TimeLeft_ = 600s;
  Task.ExpectedRunTime_ = 5s;
  Task.NonIdempotent_ = NonIdempotent;
  return Task;
}

wire::Claim claimOf(std::string Id, std::uint64_t Claimant) {
  wire::Claim Claim;
  Claim.Key_ = {"c", std::move(Id)};
  Claim.Claimant_ = {Claimant};
  return Claim;
}

/// Keeps one agent's heartbeats going for \p By.
void beatFor(ServiceCluster &Cluster, Duration By, std::uint64_t Process = 1) {
  for (Duration Passed{}; Passed < By; Passed += 500ms) {
    Cluster.beat("vm", Process);
    Cluster.run(500ms);
  }
}

const TaskRecord &taskAt(ServiceCluster &Cluster, std::uint64_t Id = 1) {
  return *Cluster.node(Cluster.leader()).state().tasks().find(TaskId{Id});
}

wire::TaskReports reportOf(const TaskRecord &Task, wire::TaskEvent Event) {
  wire::TaskReports Batch{.Worker_ = "vm", .Incarnation_ = {1}, .Rows_ = {}};
  wire::TaskReport Row;
  Row.Task_ = Task.Task_;
  Row.Epoch_ = Task.Epoch_;
  Row.Event_ = Event;
  Batch.Rows_.push_back(Row);
  return Batch;
}

/// Returns a cluster's task once it runs on the worker "vm".
void startTask(ServiceCluster &Cluster, bool NonIdempotent = false) {
  beatFor(Cluster, 1s);
  REQUIRE(
      Cluster.askLeader<wire::TaskReply>(taskOf("t", NonIdempotent)).Known_);
  beatFor(Cluster, 1s);
  REQUIRE(taskAt(Cluster).State_ == wire::TaskState::Placed);
  Cluster.askLeader<wire::TaskReportsAck>(
      reportOf(taskAt(Cluster), wire::TaskEvent::Started));
  REQUIRE(taskAt(Cluster).State_ == wire::TaskState::Running);
}

} // namespace

TEST_CASE("an accepted list survives its leader, and a resend finds it",
          "[control][service][lists]") {
  ServiceCluster Cluster;
  const std::size_t First = Cluster.leader();
  REQUIRE(Cluster.put(First, changeOf(1, "a", "gold"))->Version_ ==
          ListVersion{2});
  Cluster.kill(First);
  const std::size_t Second = Cluster.leader();
  REQUIRE(Second != First);
  const auto Again = Cluster.put(Second, changeOf(1, "a", "gold"));
  CHECK(Again->Status_ == PutStatus::Accepted);
  CHECK(Again->Version_ == ListVersion{2});
  CHECK(Cluster.put(Second, changeOf(1, "b", "tin"))->Status_ ==
        PutStatus::Conflict);
  Cluster.start(First);
  Cluster.run(2s);
  CHECK(Cluster.node(First).state().lists().list(ListName::Plans).Content_ ==
        "gold");
}

TEST_CASE("a replica names a version that is in its log and not committed",
          "[control][service][lists]") {
  ServiceCluster Cluster;
  const std::size_t Leader = Cluster.leader();
  const std::size_t Follower = (Leader + 1) % 3;
  for (std::size_t I = 0; I < 3; ++I)
    if (I != Leader)
      Cluster.cut(I, Leader);
  Cluster.node(Leader).putList(changeOf(1, "a", "gold"), [](auto, auto) {});
  Cluster.run(20ms);
  const auto Ack = Cluster.node(Follower).heartbeat(Cluster.now(), {});
  CHECK(Ack->Plans_ == ListVersion{2});
  CHECK(Ack->Purchases_ == ListVersion{1});
  CHECK_FALSE(Ack->IsLeader_);
  CHECK(Cluster.node(Follower).state().lists().list(ListName::Plans).Version_ ==
        ListVersion{1});
}

TEST_CASE("a replica with a lost disk acknowledges no heartbeat",
          "[control][service]") {
  ServiceCluster Cluster;
  const std::size_t Leader = Cluster.leader();
  Cluster.run(500ms);
  const std::size_t Lost = (Leader + 1) % 3;
  REQUIRE(Cluster.node(Lost).heartbeat(Cluster.now(), {}));
  Cluster.loseDisk(Lost);
  for (int I = 0; I < 20; ++I) {
    CHECK_FALSE(Cluster.node(Lost).heartbeat(Cluster.now(), {}));
    Cluster.run(100ms);
  }
}

TEST_CASE("claims of one tick are one record", "[control][service][claims]") {
  ServiceCluster Cluster;
  ControlService &Leader = Cluster.node(Cluster.leader());
  const LogIndex Before = Leader.log().appliedIndex();
  int Granted = 0;
  for (int I = 0; I < 100; ++I)
    Leader.handle(Cluster.now(), claimOf(std::to_string(I), 1),
                  [&](const wire::Message &Answer) {
                    Granted += std::get<wire::ClaimReply>(Answer).Status_ ==
                                       wire::ClaimStatus::Granted
                                   ? 1
                                   : 0;
                  });
  Cluster.run(500ms);
  CHECK(Granted == 100);
  CHECK(Leader.log().appliedIndex().Value_ == Before.Value_ + 1);
}

TEST_CASE("a claim at a leader that is cut off is neither granted nor refused",
          "[control][service][claims]") {
  ServiceCluster Cluster;
  const std::size_t Old = Cluster.leader();
  Cluster.isolate(Old);
  CHECK_FALSE(Cluster.ask(Old, claimOf("r", 1)));
  // Having stepped down, it does nothing and says so.
  CHECK(std::holds_alternative<wire::Refusal>(
      Cluster.ask(Old, claimOf("r", 1)).value()));
  const std::size_t New = Cluster.leader();
  REQUIRE(New != Old);
  CHECK(Cluster.askLeader<wire::ClaimReply>(claimOf("r", 2)).Status_ ==
        wire::ClaimStatus::Granted);
  Cluster.heal();
  Cluster.run(1s);
  const auto Pointed =
      std::get<wire::Refusal>(Cluster.ask(Old, claimOf("r", 1)).value());
  CHECK(Pointed.Leader_ == Cluster.node(Old).leader()->Address_);
  CHECK(Cluster.askLeader<wire::ClaimReply>(claimOf("r", 1)).Status_ ==
        wire::ClaimStatus::Pending);
}

TEST_CASE("receipts of both holders count once, resends included",
          "[control][service][counts]") {
  ServiceCluster Cluster;
  wire::Receipt Row;
  Row.Key_ = {"c", "r"};
  Row.Kind_ = "check";
  Row.Outcome_ = Outcome::Completed;
  for (const std::string Holder : {"entry", "agent", "entry"})
    CHECK(Cluster
              .askLeader<wire::ReceiptAck>(wire::ReceiptBatch{
                  .Holder_ = Holder, .Incarnation_ = {1}, .Rows_ = {Row, Row}})
              .Count_ == 2);
  Cluster.kill(Cluster.leader());
  Cluster.askLeader<wire::ReceiptAck>(wire::ReceiptBatch{
      .Holder_ = "agent", .Incarnation_ = {1}, .Rows_ = {Row}});
  const auto Rows = Cluster.node(Cluster.leader()).state().counts().rows();
  REQUIRE(Rows.size() == 1);
  CHECK(Rows[0].Requests_[0] == 1);
}

TEST_CASE("a silent worker's tasks are lost only after the term and the margin",
          "[control][service][leases]") {
  ServiceCluster Cluster;
  startTask(Cluster, GENERATE(false, true));
  const bool LeaderDies = GENERATE(false, true);
  REQUIRE(Cluster.beat("vm", 1));
  TimePoint RenewedAt = Cluster.now();
  if (LeaderDies) {
    Cluster.run(1s);
    Cluster.kill(Cluster.leader());
    Cluster.leader();
    // The new leader counts from its election, which is not before this.
    RenewedAt += 1s;
  }
  while (taskAt(Cluster).Epoch_ == Epoch{1})
    Cluster.run(ServiceCluster::Step);
  CHECK(Cluster.now() - RenewedAt >
        ServiceCluster::Term + ServiceCluster::Margin);
  CHECK(Cluster.now() - RenewedAt < 3 * ServiceCluster::Term);
  const TaskRecord &Task = taskAt(Cluster);
  CHECK(Task.State_ == (Task.NonIdempotent_ ? wire::TaskState::Failed
                                            : wire::TaskState::Waiting));
}

TEST_CASE("a worker that keeps its lease keeps its task through elections",
          "[control][service][leases]") {
  ServiceCluster Cluster;
  startTask(Cluster);
  for (int Round = 0; Round < 3; ++Round) {
    const std::size_t Dead = Cluster.leader();
    Cluster.kill(Dead);
    beatFor(Cluster, 5s);
    Cluster.start(Dead);
    beatFor(Cluster, 2s);
  }
  CHECK(taskAt(Cluster).State_ == wire::TaskState::Running);
  CHECK(taskAt(Cluster).Epoch_ == Epoch{1});
}

TEST_CASE("only who holds the lease is told what to run",
          "[control][service][leases]") {
  ServiceCluster Cluster;
  startTask(Cluster);
  const std::string Elsewhere = "127.0.3.9:7100";
  // Another process claims the name while the first one lives.
  Cluster.beat("vm", 1);
  const TimePoint RenewedAt = Cluster.now();
  CHECK_FALSE(Cluster.beat("vm", 2, Elsewhere));
  CHECK(std::holds_alternative<wire::Refusal>(
      Cluster.ask(Cluster.leader(), wire::FetchDirectives{"vm", {2}}).value()));
  // The first one dies; the other gets the name once the task is given up.
  while (!Cluster.beat("vm", 2, Elsewhere))
    Cluster.run(100ms);
  CHECK(Cluster.now() - RenewedAt >
        ServiceCluster::Term + ServiceCluster::Margin);
  CHECK(taskAt(Cluster).Epoch_ >= Epoch{2});
  CHECK(std::holds_alternative<wire::Refusal>(
      Cluster.ask(Cluster.leader(), wire::FetchDirectives{"vm", {1}}).value()));
  Cluster.beat("vm", 2, Elsewhere);
  Cluster.run(500ms);
  CHECK(Cluster.beat("vm", 2, Elsewhere));
  const auto Told =
      Cluster.askLeader<wire::Directives>(wire::FetchDirectives{"vm", {2}});
  REQUIRE(Told.Rows_.size() == 1);
  CHECK(Told.Rows_[0].Epoch_ == Epoch{2});
  CHECK(Told.Rows_[0].Action_ == wire::TaskAction::Start);
}

TEST_CASE("a stay that is no longer valid is told to stop",
          "[control][service][tasks]") {
  ServiceCluster Cluster;
  startTask(Cluster);
  wire::TaskReports Stale = reportOf(taskAt(Cluster), wire::TaskEvent::Started);
  Stale.Rows_[0].Epoch_ = {7};
  Cluster.askLeader<wire::TaskReportsAck>(Stale);
  Cluster.beat("vm", 1);
  const auto Told =
      Cluster.askLeader<wire::Directives>(wire::FetchDirectives{"vm", {1}});
  REQUIRE(Told.Rows_.size() == 1);
  CHECK(Told.Rows_[0].Epoch_ == Epoch{7});
  CHECK(Told.Rows_[0].Action_ == wire::TaskAction::Stop);
}

TEST_CASE("a cancelled task is stopped and then ends", "[control][service]") {
  ServiceCluster Cluster;
  startTask(Cluster);
  const wire::CancelTask Cancel{.Key_ = {"c", "t"}};
  CHECK(Cluster.askLeader<wire::TaskReply>(Cancel).State_ ==
        wire::TaskState::Running);
  Cluster.beat("vm", 1);
  const auto Told =
      Cluster.askLeader<wire::Directives>(wire::FetchDirectives{"vm", {1}});
  REQUIRE(Told.Rows_.size() == 1);
  CHECK(Told.Rows_[0].Action_ == wire::TaskAction::Stop);
  Cluster.askLeader<wire::TaskReportsAck>(
      reportOf(taskAt(Cluster), wire::TaskEvent::Stopped));
  const auto Ended =
      Cluster.askLeader<wire::TaskReply>(wire::QueryTask{.Key_ = {"c", "t"}});
  CHECK(Ended.State_ == wire::TaskState::Cancelled);
  CHECK(Ended.Outcome_ == Outcome::Unknown);
}

TEST_CASE("a task that no worker could hold ends as refused",
          "[control][service][tasks]") {
  ServiceCluster Cluster;
  beatFor(Cluster, 4s);
  wire::SubmitTask Huge = taskOf("huge");
  Huge.Need_ = {1'000'000, 64, 0};
  Cluster.askLeader<wire::TaskReply>(Huge);
  beatFor(Cluster, 1s);
  CHECK(taskAt(Cluster).State_ == wire::TaskState::Parked);
  CHECK(taskAt(Cluster).Outcome_ == Outcome::RefusedNotRun);
  CHECK(taskAt(Cluster).Reason_ == Reason::NeverFits);
}
