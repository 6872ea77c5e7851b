#include "dragonfly/agent/TaskRunner.h"
#include "FakeUpstream.h"
#include "dragonfly/agent/Ledger.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::agent;

namespace {

constexpr Resources Whole{.MilliProcessors_ = 1000, .MemoryMib_ = 1024};

struct Bench {
  Ledger Ledger_{{.Capacity_ = Whole}};
  FakeUpstream Upstream_;
  Reason MayStart_ = Reason::None;
  std::vector<wire::TaskReport> Reports_;
  TaskRunner Runner_{
      {.Ledger_ = &Ledger_,
       .MayStart_ = [this] { return MayStart_; },
       .OnReport_ =
           [this](wire::TaskReport Row) { Reports_.push_back(std::move(Row)); },
       .Upstream_ = Upstream_.hooks()}};

  void order(wire::TaskAction Action, std::uint64_t Under,
             std::uint64_t Task = 1) {
    Runner_.take({{.Task_ = {Task},
                   .Epoch_ = {Under},
                   .Action_ = Action,
                   .Need_ = Whole}});
  }
  void start(std::uint64_t Under) {
    order(wire::TaskAction::Start, Under);
    Upstream_.OrderEnds_.back()({.Status_ = OrderStatus::Done});
  }
};

} // namespace

TEST_CASE("a start counts once per epoch and never an older one",
          "[agent][tasks]") {
  Bench Vm;
  Vm.start(5);
  Vm.order(wire::TaskAction::Start, 5);
  Vm.order(wire::TaskAction::Resume, 4);
  REQUIRE(Vm.Upstream_.Orders_.size() == 1);
  REQUIRE(Vm.Reports_.size() == 1);
  REQUIRE(Vm.Reports_[0].Event_ == wire::TaskEvent::Started);
  Vm.order(wire::TaskAction::Stop, 4);
  REQUIRE(Vm.Runner_.running() == 1);
  Vm.order(wire::TaskAction::Stop, 5);
  Vm.Upstream_.OrderEnds_.back()({.Status_ = OrderStatus::Done});
  REQUIRE(Vm.Runner_.running() == 0);
  REQUIRE(Vm.Ledger_.committed() == Resources{});
  Vm.order(wire::TaskAction::Start, 5);
  REQUIRE(Vm.Runner_.running() == 0);
}

TEST_CASE("a start that does not fit or may not run is refused",
          "[agent][tasks]") {
  Bench Vm;
  Vm.start(1);
  Vm.order(wire::TaskAction::Start, 2, 2);
  REQUIRE(Vm.Reports_.back().Event_ == wire::TaskEvent::Refused);
  REQUIRE(Vm.Reports_.back().Reason_ == Reason::NoFreeSlot);
  Vm.MayStart_ = Reason::StaleConfiguration;
  Vm.order(wire::TaskAction::Start, 3, 3);
  REQUIRE(Vm.Reports_.back().Reason_ == Reason::StaleConfiguration);
  REQUIRE(Vm.Upstream_.Orders_.size() == 1);
}

TEST_CASE("an epoch that was refused is never started", "[agent][tasks]") {
  Bench Vm;
  Vm.MayStart_ = Reason::StaleConfiguration;
  Vm.order(wire::TaskAction::Start, 1);
  REQUIRE(Vm.Reports_.size() == 1);
  Vm.MayStart_ = Reason::None;
  Vm.order(wire::TaskAction::Start, 1);
  REQUIRE(Vm.Upstream_.Orders_.empty());
  Vm.start(2);
  REQUIRE(Vm.Reports_.back().Event_ == wire::TaskEvent::Started);
}

TEST_CASE("a task cancelled before its start is refused, once",
          "[agent][tasks]") {
  Bench Vm;
  Vm.MayStart_ = Reason::LedgerNotReady;
  Vm.order(wire::TaskAction::Stop, 2);
  REQUIRE(Vm.Reports_.empty());
  Vm.MayStart_ = Reason::None;
  Vm.order(wire::TaskAction::Stop, 2);
  Vm.order(wire::TaskAction::Stop, 2);
  Vm.order(wire::TaskAction::Start, 2);
  REQUIRE(Vm.Reports_.size() == 1);
  REQUIRE(Vm.Reports_[0].Event_ == wire::TaskEvent::Refused);
  REQUIRE(Vm.Upstream_.Orders_.empty());
}

TEST_CASE("an end that the former agent did not report is reported",
          "[agent][tasks]") {
  Bench Vm;
  Vm.Runner_.adopt({.Task_ = {1},
                    .Epoch_ = {3},
                    .State_ = WorkerTaskState::Finished,
                    .Need_ = Whole,
                    .Status_ = 200});
  Vm.Runner_.adopt({.Task_ = {2},
                    .Epoch_ = {4},
                    .State_ = WorkerTaskState::Checkpointed,
                    .Need_ = Whole,
                    .CheckpointId_ = "c-2"});
  REQUIRE(Vm.Reports_.size() == 2);
  REQUIRE(Vm.Reports_[0].Event_ == wire::TaskEvent::Finished);
  REQUIRE(Vm.Reports_[1].CheckpointId_ == "c-2");
  REQUIRE(Vm.Ledger_.committed() == Resources{});
}

TEST_CASE("a checkpoint frees the VM and names itself", "[agent][tasks]") {
  Bench Vm;
  Vm.start(1);
  Vm.order(wire::TaskAction::Checkpoint, 1);
  Vm.order(wire::TaskAction::Checkpoint, 1);
  REQUIRE(Vm.Upstream_.Orders_.size() == 2);
  Vm.Upstream_.OrderEnds_.back()(
      {.Status_ = OrderStatus::Done, .CheckpointId_ = "c-1"});
  REQUIRE(Vm.Reports_.back().Event_ == wire::TaskEvent::Checkpointed);
  REQUIRE(Vm.Reports_.back().CheckpointId_ == "c-1");
  REQUIRE(Vm.Ledger_.committed() == Resources{});
}

TEST_CASE("what the worker lists settles what is unknown", "[agent][tasks]") {
  Bench Vm;
  Vm.order(wire::TaskAction::Start, 1);
  Vm.Upstream_.OrderEnds_.back()({.Status_ = OrderStatus::Unknown});
  REQUIRE(Vm.Reports_.empty());
  Vm.Runner_.reconcile({{.Task_ = {1},
                         .Epoch_ = {1},
                         .State_ = WorkerTaskState::Finished,
                         .Status_ = 200,
                         .Body_ = "grades"}});
  REQUIRE(Vm.Reports_.size() == 1);
  REQUIRE(Vm.Reports_[0].Event_ == wire::TaskEvent::Finished);
  REQUIRE(Vm.Reports_[0].Body_ == "grades");
}

TEST_CASE("a stop without an answer is tried again", "[agent][tasks]") {
  Bench Vm;
  Vm.start(1);
  Vm.Runner_.stopAll(Reason::Timeout);
  Vm.Upstream_.OrderEnds_.back()({.Status_ = OrderStatus::Unknown});
  REQUIRE(Vm.Runner_.running() == 1);
  REQUIRE(Vm.Ledger_.committed() == Whole);
  Vm.Runner_.stopAll(Reason::Timeout);
  Vm.Upstream_.OrderEnds_.back()({.Status_ = OrderStatus::Done});
  REQUIRE(Vm.Runner_.running() == 0);
  REQUIRE(Vm.Reports_.back().Event_ == wire::TaskEvent::Stopped);
}
