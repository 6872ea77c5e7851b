#include "dragonfly/agent/RequestRunner.h"
#include "FakeUpstream.h"
#include "dragonfly/agent/Ledger.h"

#include <catch2/catch.hpp>

#include <optional>

using namespace dragonfly;
using namespace dragonfly::agent;
using namespace std::chrono_literals;

namespace {

constexpr Incarnation Self{7};

struct Bench {
  Ledger Ledger_{{.Slots_ = 1, .Connections_ = 2}};
  FakeUpstream Upstream_;
  Reason MayAccept_ = Reason::None;
  std::vector<wire::Receipt> Receipts_;
  RequestRunner Runner_{
      {.Self_ = Self,
       .Ledger_ = &Ledger_,
       .MayAccept_ = [this] { return MayAccept_; },
       .OnReceipt_ =
           [this](wire::Receipt Row) { Receipts_.push_back(std::move(Row)); },
       .Upstream_ = Upstream_.hooks()}};
  std::optional<wire::ExecuteResult> Result_;
  std::vector<wire::ExecutePart> Parts_;

  void execute(wire::Execute Request) {
    Result_.reset();
    Runner_.execute(std::move(Request),
                    {.OnEnd_ = [this](auto Result) { Result_ = Result; },
                     .OnPart_ = [this](auto Part) { Parts_.push_back(Part); }});
  }
};

wire::Execute makeRequest() {
  return {.Key_ = {"alnarp", "r-1"},
          .Kind_ = "lot-review",
          .Target_ = Self,
          .TimeLeft_ = 1s,
          .NonIdempotent_ = true};
}

} // namespace

TEST_CASE("refused means that the upstream never saw it", "[agent][runner]") {
  struct Case {
    std::function<void(Bench &, wire::Execute &)> Arrange_;
    Reason Expected_;
  };
  const std::vector<Case> Cases{
      {[](Bench &, wire::Execute &Request) { Request.Target_ = {8}; },
       Reason::WrongIncarnation},
      {[](Bench &, wire::Execute &Request) { Request.TimeLeft_ = 0s; },
       Reason::DeadlinePassed},
      {[](Bench &Vm, wire::Execute &) { Vm.MayAccept_ = Reason::Draining; },
       Reason::Draining},
      {[](Bench &Vm, wire::Execute &) { Vm.Ledger_.takeSlot(false); },
       Reason::NoFreeSlot},
  };
  for (const Case &Row : Cases) {
    Bench Vm;
    wire::Execute Request = makeRequest();
    Row.Arrange_(Vm, Request);
    Vm.execute(Request);
    INFO(enumName(Row.Expected_));
    REQUIRE(Vm.Result_);
    REQUIRE(Vm.Result_->Outcome_ == Outcome::RefusedNotRun);
    REQUIRE(Vm.Result_->Reason_ == Row.Expected_);
    REQUIRE(Vm.Upstream_.Runs_.empty());
    REQUIRE(Vm.Receipts_.empty());
  }
}

TEST_CASE("each end of an upstream call has one outcome", "[agent][runner]") {
  struct Case {
    RunResult End_;
    Outcome Outcome_;
    std::size_t Receipts_;
  };
  const std::vector<Case> Cases{
      {{net::CallStatus::Answered, 200, "ok"}, Outcome::Completed, 1},
      {{net::CallStatus::Answered, 422, "no"}, Outcome::Completed, 1},
      {{net::CallStatus::Answered, 500, ""}, Outcome::Unknown, 0},
      {{net::CallStatus::NeverSent, 0, ""}, Outcome::RefusedNotRun, 0},
      {{net::CallStatus::Lost, 0, ""}, Outcome::Unknown, 0},
      {{net::CallStatus::TimedOut, 0, ""}, Outcome::Unknown, 0},
  };
  for (const Case &Row : Cases) {
    Bench Vm;
    Vm.execute(makeRequest());
    REQUIRE(Vm.Ledger_.freeSlots() == 0);
    Vm.Upstream_.Ends_.at(0)(Row.End_);
    REQUIRE(Vm.Result_);
    REQUIRE(Vm.Result_->Outcome_ == Row.Outcome_);
    REQUIRE(Vm.Receipts_.size() == Row.Receipts_);
    REQUIRE(Vm.Ledger_.freeSlots() == 1);
  }
}

TEST_CASE("parts are numbered in order", "[agent][runner]") {
  Bench Vm;
  wire::Execute Request = makeRequest();
  Request.Streamed_ = true;
  Vm.execute(Request);
  REQUIRE(Vm.Ledger_.freeSlots() == 1);
  Vm.Upstream_.Parts_.at(0)("a");
  Vm.Upstream_.Parts_.at(0)("b");
  REQUIRE(Vm.Parts_.size() == 2);
  REQUIRE(Vm.Parts_[1].Number_ == 1);
  REQUIRE(Vm.Parts_[1].Body_ == "b");
}

TEST_CASE("only an idempotent request is given up", "[agent][runner]") {
  Bench Vm;
  Vm.execute(makeRequest());
  Vm.Runner_.cancel(makeRequest().Key_);
  REQUIRE(!Vm.Result_);
  Vm.Upstream_.Ends_.at(0)({net::CallStatus::Answered, 200, "ok"});
  wire::Execute Idempotent = makeRequest();
  Idempotent.NonIdempotent_ = false;
  Vm.execute(Idempotent);
  Vm.Runner_.cancel(Idempotent.Key_);
  REQUIRE(Vm.Result_);
  REQUIRE(Vm.Result_->Reason_ == Reason::Cancelled);
  REQUIRE(Vm.Upstream_.Cancelled_.size() == 1);
  Vm.Upstream_.Ends_.at(1)({net::CallStatus::Answered, 200, "late"});
  REQUIRE(Vm.Receipts_.size() == 1);
}
