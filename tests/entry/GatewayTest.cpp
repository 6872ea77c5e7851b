#include "dragonfly/entry/Gateway.h"

#include "dragonfly/base/Random.h"
#include "entry/GatewayFixture.h"

#include <catch2/catch.hpp>

#include <map>

using namespace dragonfly;
using namespace dragonfly::entry;
using wire::ClaimStatus;

namespace {

/// One way for the attempts of a request to end, and what the caller is told.
struct OutcomeRow {
  std::string_view Name_;
  std::vector<net::CallResult> Attempts_;
  Outcome Outcome_;
  Reason Reason_;
};

/// Plays the attempts; a non-idempotent request's claims are granted.
void play(GatewayFixture &Fake, const OutcomeRow &Row) {
  for (const net::CallResult &Attempt : Row.Attempts_) {
    if (Fake.controlPending())
      Fake.endControlCall(claimReply(ClaimStatus::Granted));
    REQUIRE(Fake.agentPending());
    Fake.endAgentCall(Attempt);
  }
  CHECK_FALSE(Fake.agentPending());
  CHECK_FALSE(Fake.controlPending());
}

void checkRow(const std::string &Kind, const OutcomeRow &Row) {
  INFO(Kind << ": " << Row.Name_);
  GatewayFixture Fake;
  Fake.submit(Kind, "r1");
  play(Fake, Row);
  REQUIRE(Fake.Answers_.size() == 1);
  CHECK(Fake.Answers_[0]->Outcome_ == Row.Outcome_);
  CHECK(Fake.Answers_[0]->Reason_ == Row.Reason_);
  CHECK(Fake.AgentCalls_.size() == Row.Attempts_.size());
  CHECK(Fake.Gateway_->inProgress() == 0);
  const bool Completed = Row.Outcome_ == Outcome::Completed;
  CHECK(Fake.Completions_ == (Completed ? 1 : 0));
}

} // namespace

TEST_CASE("the outcome of an idempotent request", "[entry][outcome]") {
  const std::vector<OutcomeRow> Rows{
      {"completed", {Done}, Outcome::Completed, Reason::None},
      {"refused once", {NoSlot, Done}, Outcome::Completed, Reason::None},
      {"draining",
       {executed(Outcome::RefusedNotRun, Reason::Draining), Done},
       Outcome::Completed,
       Reason::None},
      {"refused for good",
       {executed(Outcome::RefusedNotRun, Reason::DeadlinePassed)},
       Outcome::RefusedNotRun,
       Reason::DeadlinePassed},
      {"refusal frame",
       {answered(wire::Refusal{.Reason_ = Reason::LedgerNotReady}), Done},
       Outcome::Completed,
       Reason::None},
      {"upstream not reached",
       {executed(Outcome::RefusedNotRun, Reason::UpstreamFailed), Done},
       Outcome::Completed,
       Reason::None},
      {"never sent", {NeverSent, Done}, Outcome::Completed, Reason::None},
      {"never sent anywhere",
       {NeverSent, NeverSent, NeverSent},
       Outcome::RefusedNotRun,
       Reason::NoUpstream},
      {"lost, then completed", {Lost, Done}, Outcome::Completed, Reason::None},
      {"lost, then refused everywhere",
       {Lost, NoSlot, NoSlot},
       Outcome::Unknown,
       Reason::NoFreeSlot},
      {"upstream failed, then completed",
       {Broken, Done},
       Outcome::Completed,
       Reason::None},
      {"timed out", {TimedOut}, Outcome::Unknown, Reason::Timeout},
      {"another message",
       {answered(wire::FetchLists{}), Done},
       Outcome::Completed,
       Reason::None},
  };
  for (const OutcomeRow &Row : Rows)
    checkRow("check", Row);
}

TEST_CASE("the outcome of a non-idempotent request",
          "[entry][outcome][at-most-once]") {
  const std::vector<OutcomeRow> Rows{
      {"completed", {Done}, Outcome::Completed, Reason::None},
      {"refused once", {NoSlot, Done}, Outcome::Completed, Reason::None},
      {"wrong incarnation",
       {executed(Outcome::RefusedNotRun, Reason::WrongIncarnation), Done},
       Outcome::Completed,
       Reason::None},
      {"never sent", {NeverSent, Done}, Outcome::Completed, Reason::None},
      {"lost", {Lost}, Outcome::Unknown, Reason::ConnectionLost},
      {"timed out", {TimedOut}, Outcome::Unknown, Reason::Timeout},
      {"upstream failed", {Broken}, Outcome::Unknown, Reason::UpstreamFailed},
      {"another message",
       {answered(wire::FetchLists{})},
       Outcome::Unknown,
       Reason::UpstreamFailed},
      {"refused, then lost",
       {NoSlot, Lost},
       Outcome::Unknown,
       Reason::ConnectionLost},
  };
  for (const OutcomeRow &Row : Rows)
    checkRow("review", Row);
}

TEST_CASE("urgent work that is refused everywhere waits in the queue until its "
          "deadline is out of reach",
          "[entry][outcome]") {
  GatewayFixture Fake;
  Fake.submit("check", "r1");
  const TimePoint Start = Clock::now();
  std::uint32_t Refusals = 0;
  while (Fake.Answers_.empty() && Refusals < 1000) {
    if (Fake.agentPending()) {
      Fake.endAgentCall(NoSlot);
      ++Refusals;
    } else {
      Fake.advance(std::chrono::milliseconds(1));
    }
  }
  REQUIRE(Fake.Answers_.size() == 1);
  CHECK(Fake.Answers_[0]->Outcome_ == Outcome::RefusedNotRun);
  CHECK(Refusals > 3);
  CHECK(Refusals < 100);
  CHECK(Clock::now() - Start <= std::chrono::seconds(1));
  CHECK(Fake.Gateway_->inProgress() == 0);
}

TEST_CASE("heavy work that is refused everywhere waits for room until its "
          "deadline",
          "[entry][outcome][at-most-once]") {
  GatewayFixture Fake;
  Fake.submit("review", "r1");
  std::uint32_t Claims = 0;
  while (Fake.Answers_.empty() && Claims < 1000) {
    if (Fake.controlPending()) {
      const auto &Asked =
          std::get<wire::Claim>(Fake.ControlCalls_.back().Request_);
      REQUIRE(Asked.Attempt_ == ++Claims);
      Fake.endControlCall(claimReply(ClaimStatus::Granted));
    }
    if (Fake.agentPending())
      Fake.endAgentCall(NoSlot);
    else
      Fake.advance(std::chrono::milliseconds(10));
  }
  REQUIRE(Fake.Answers_.size() == 1);
  CHECK(Fake.Answers_[0]->Outcome_ == Outcome::RefusedNotRun);
  CHECK(Fake.Answers_[0]->Reason_ == Reason::NoFreeSlot);
  CHECK(Claims > 3);
  CHECK(Fake.Gateway_->inProgress() == 0);
}

TEST_CASE("heavy work runs once room is found after a pause",
          "[entry][outcome][at-most-once]") {
  GatewayFixture Fake;
  Fake.submit("review", "r1");
  for (int Refusal = 0; Refusal < 3; ++Refusal) {
    Fake.endControlCall(claimReply(ClaimStatus::Granted));
    Fake.endAgentCall(NoSlot);
  }
  REQUIRE(Fake.Answers_.empty());
  Fake.advance(std::chrono::milliseconds(10));
  Fake.endControlCall(claimReply(ClaimStatus::Granted));
  Fake.endAgentCall(Done);
  REQUIRE(Fake.Answers_.size() == 1);
  CHECK(Fake.Answers_[0]->Outcome_ == Outcome::Completed);
}

TEST_CASE("how a claim's answer decides", "[entry][claim][at-most-once]") {
  struct ClaimRow {
    std::string_view Name_;
    net::CallResult Reply_;
    Outcome Outcome_;
    Reason Reason_;
  };
  const std::vector<ClaimRow> Rows{
      {"settled", claimReply(ClaimStatus::Settled), Outcome::Completed,
       Reason::None},
      {"another body", claimReply(ClaimStatus::Mismatch),
       Outcome::RefusedNotRun, Reason::RequestIdReused},
      {"too old", claimReply(ClaimStatus::OutsideWindow), Outcome::Unknown,
       Reason::ClaimOutsideWindow},
      {"never sent", NeverSent, Outcome::RefusedNotRun, Reason::NoQuorum},
      {"lost", Lost, Outcome::Unknown, Reason::NoQuorum},
      {"timed out", TimedOut, Outcome::Unknown, Reason::NoQuorum},
  };
  for (const ClaimRow &Row : Rows) {
    INFO(Row.Name_);
    GatewayFixture Fake;
    Fake.submit("review", "r1");
    REQUIRE(Fake.controlPending());
    Fake.endControlCall(Row.Reply_);
    CHECK(Fake.AgentCalls_.empty());
    REQUIRE(Fake.Answers_.size() == 1);
    CHECK(Fake.Answers_[0]->Outcome_ == Row.Outcome_);
    CHECK(Fake.Answers_[0]->Reason_ == Row.Reason_);
  }
}

TEST_CASE("a pending claim is asked for again until it is settled",
          "[entry][claim]") {
  GatewayFixture Fake;
  Fake.submit("review", "r1");
  Fake.endControlCall(claimReply(ClaimStatus::Pending));
  Fake.advance(std::chrono::milliseconds(100));
  REQUIRE(Fake.controlPending());
  const auto &Again = std::get<wire::Claim>(Fake.ControlCalls_.back().Request_);
  CHECK(Again.Attempt_ == 1);
  SECTION("settled") {
    Fake.endControlCall(claimReply(ClaimStatus::Settled));
    REQUIRE(Fake.Answers_.size() == 1);
    CHECK(Fake.Answers_[0]->Body_ == "first");
  }
  SECTION("never settled") {
    while (Fake.controlPending()) {
      Fake.endControlCall(claimReply(ClaimStatus::Pending));
      Fake.advance(std::chrono::seconds(2));
    }
    REQUIRE(Fake.Answers_.size() == 1);
    CHECK(Fake.Answers_[0]->Outcome_ == Outcome::Unknown);
  }
  CHECK(Fake.AgentCalls_.empty());
}

TEST_CASE("each claim after a refusal carries the next attempt",
          "[entry][claim]") {
  GatewayFixture Fake;
  Fake.submit("review", "r1");
  Fake.endControlCall(claimReply(ClaimStatus::Granted));
  Fake.endAgentCall(NoSlot);
  const auto &First = std::get<wire::Claim>(Fake.ControlCalls_[0].Request_);
  const auto &Second = std::get<wire::Claim>(Fake.ControlCalls_[1].Request_);
  CHECK(First.Attempt_ == 1);
  CHECK(Second.Attempt_ == 2);
  CHECK(First.Worker_ != Second.Worker_);
  CHECK(First.BodyHash_ == Second.BodyHash_);
  Fake.endControlCall(claimReply(ClaimStatus::Granted));
  const auto &Sent = std::get<wire::Execute>(Fake.AgentCalls_.back().Request_);
  CHECK(Sent.Target_ == Second.Target_);
  CHECK(Sent.NonIdempotent_);
}

TEST_CASE("whatever happens, a non-idempotent request runs at most once and a "
          "refused one did not run",
          "[entry][at-most-once][random]") {
  const std::vector<net::CallResult> AgentEnds{Done, NoSlot,   NeverSent,
                                               Lost, TimedOut, Broken};
  const std::vector<net::CallResult> ClaimEnds{
      claimReply(ClaimStatus::Granted), claimReply(ClaimStatus::Granted),
      claimReply(ClaimStatus::Pending), NeverSent, TimedOut};
  for (std::uint64_t Seed = 1; Seed <= 300; ++Seed) {
    INFO("seed " << Seed);
    RandomEngine Random(Seed);
    GatewayFixture Fake;
    bool MayHaveRun = false;
    Fake.submit("review", "r1");
    for (int Step = 0; Step < 40 && Fake.Answers_.empty(); ++Step) {
      if (Fake.controlPending())
        Fake.endControlCall(ClaimEnds[Random() % ClaimEnds.size()]);
      if (Fake.agentPending()) {
        REQUIRE_FALSE(MayHaveRun);
        const std::size_t End = Random() % AgentEnds.size();
        MayHaveRun = End != 1 && End != 2;
        Fake.endAgentCall(AgentEnds[End]);
      }
      Fake.advance(std::chrono::milliseconds(Random() % 500));
    }
    REQUIRE(Fake.Answers_.size() == 1);
    if (Fake.Answers_[0]->Outcome_ == Outcome::RefusedNotRun)
      CHECK_FALSE(MayHaveRun);
    CHECK_FALSE(Fake.agentPending());
  }
}

TEST_CASE("a resend joins the request in progress and gets its answer",
          "[entry][join]") {
  const std::string Kind = GENERATE("check", "review");
  GatewayFixture Fake;
  Fake.submit(Kind, "r1");
  Fake.submit(Kind, "r1");
  if (Fake.controlPending())
    Fake.endControlCall(claimReply(ClaimStatus::Granted));
  REQUIRE(Fake.AgentCalls_.size() == 1);
  Fake.endAgentCall(Done);
  REQUIRE(Fake.Answers_.size() == 2);
  CHECK(Fake.Answers_[0] == Fake.Answers_[1]);
  Fake.submit(Kind, "r1");
  REQUIRE(Fake.Answers_.size() == 3);
  CHECK(Fake.Answers_[2] == Fake.Answers_[0]);
  Fake.submit(Kind, "r1", "another body");
  REQUIRE(Fake.Answers_.size() == 4);
  CHECK(Fake.Answers_[3]->Reason_ == Reason::RequestIdReused);
  CHECK(Fake.AgentCalls_.size() == 1);
  CHECK(Fake.Receipts_.size() == 1);
}

TEST_CASE("what is refused before admission", "[entry][admission]") {
  GatewayFixture Fake;
  Reason Expected = Reason::None;
  CallerRequest Sent{.Key_ = {"acme", "r1"}, .Kind_ = "check"};
  SECTION("unknown customer") {
    Sent.Key_.Customer_ = "nobody";
    Expected = Reason::UnknownCustomer;
  }
  SECTION("unknown kind") {
    Sent.Kind_ = "nothing";
    Expected = Reason::UnknownKind;
  }
  SECTION("no id") {
    Sent.Key_.RequestId_.clear();
    Expected = Reason::MissingRequestId;
  }
  SECTION("configuration not fresh") {
    Fake.MayTakeWork_ = false;
    Expected = Reason::StaleConfiguration;
  }
  SECTION("draining") {
    Fake.Gateway_->drain();
    Expected = Reason::Draining;
  }
  SECTION("no upstream") {
    Fake.setUpstreams(1);
    std::vector<wire::Upstream> Leaving{{.Name_ = "vm-1",
                                         .Incarnation_ = {1},
                                         .Draining_ = true,
                                         .Vm_ = {.Slots_ = 8}}};
    Fake.Gateway_->setUpstreams(Leaving, 8);
    Expected = Reason::NoUpstream;
  }
  AnswerPtr End;
  Fake.Gateway_->submit(Clock::now(), Sent,
                        {.OnAnswer_ = [&](const AnswerPtr &A) { End = A; }});
  REQUIRE(End);
  CHECK(End->Outcome_ == Outcome::RefusedNotRun);
  CHECK(End->Reason_ == Expected);
  CHECK(End->RetryAfter_ > Duration::zero());
  CHECK(Fake.AgentCalls_.empty());
  CHECK(Fake.Receipts_.empty());
}

TEST_CASE("draining finishes what is in progress", "[entry][drain]") {
  GatewayFixture Fake;
  Fake.submit("check", "r1");
  Fake.Gateway_->drain();
  Fake.submit("check", "r2");
  REQUIRE(Fake.Answers_.size() == 1);
  CHECK(Fake.Answers_[0]->Reason_ == Reason::Draining);
  CHECK(Fake.Gateway_->inProgress() == 1);
  Fake.endAgentCall(Done);
  REQUIRE(Fake.Answers_.size() == 2);
  CHECK(Fake.Answers_[1]->Outcome_ == Outcome::Completed);
  CHECK(Fake.Gateway_->inProgress() == 0);
}

TEST_CASE(
    "receipts: one per completion, and one where a held claim is given up",
    "[entry][receipt]") {
  GatewayFixture Fake;
  Fake.submit("check", "r1");
  Fake.endAgentCall(Done);
  REQUIRE(Fake.Receipts_.size() == 1);
  CHECK(Fake.Receipts_[0].Outcome_ == Outcome::Completed);
  CHECK(Fake.Receipts_[0].Body_.empty());
  Fake.submit("review", "r2");
  Fake.endControlCall(claimReply(ClaimStatus::Granted));
  Fake.endAgentCall(executed(Outcome::RefusedNotRun, Reason::DeadlinePassed));
  REQUIRE(Fake.Receipts_.size() == 2);
  CHECK(Fake.Receipts_[1].Outcome_ == Outcome::RefusedNotRun);
  Fake.submit("review", "r3");
  Fake.endControlCall(claimReply(ClaimStatus::Granted));
  Fake.endAgentCall(Lost);
  CHECK(Fake.Receipts_.size() == 2);
}

TEST_CASE("a task is accepted once control has it, then followed",
          "[entry][task]") {
  GatewayFixture Fake;
  const wire::TaskReply Running{.Known_ = true,
                                .State_ = wire::TaskState::Running};
  const wire::TaskReply Finished{.Known_ = true,
                                 .State_ = wire::TaskState::Finished,
                                 .Outcome_ = Outcome::Completed,
                                 .Status_ = 200,
                                 .Body_ = "plan"};
  SECTION("waited for") {
    Fake.submit("batch", "t1");
    Fake.endControlCall(answered(Running));
    Fake.advance(std::chrono::milliseconds(50));
    REQUIRE(Fake.controlPending());
    Fake.endControlCall(answered(Finished));
    REQUIRE(Fake.Answers_.size() == 1);
    CHECK(Fake.Answers_[0]->Body_ == "plan");
  }
  SECTION("detached") {
    Fake.submit("batch", "t1", "b", true);
    CHECK(Fake.Accepted_ == 0);
    Fake.endControlCall(answered(Running));
    CHECK(Fake.Accepted_ == 1);
  }
  SECTION("no quorum, never sent") {
    Fake.submit("batch", "t1");
    Fake.endControlCall(NeverSent);
    CHECK(Fake.Answers_.at(0)->Outcome_ == Outcome::RefusedNotRun);
  }
  SECTION("no quorum, perhaps accepted") {
    Fake.submit("batch", "t1");
    Fake.endControlCall(TimedOut);
    CHECK(Fake.Answers_.at(0)->Outcome_ == Outcome::Unknown);
  }
  CHECK(Fake.Gateway_->inProgress() == 0);
  CHECK(Fake.AgentCalls_.empty());
  CHECK(Fake.Receipts_.empty());
}

TEST_CASE("an answer that comes after its request has ended is dropped",
          "[entry][late]") {
  GatewayFixture Fake;
  Fake.submit("check", "r1");
  const auto FirstEnd = Fake.AgentCalls_[0].OnEnd_;
  Fake.endAgentCall(Lost);
  REQUIRE(Fake.AgentCalls_.size() == 2);
  FirstEnd(Done);
  CHECK(Fake.Answers_.empty());
  Fake.endAgentCall(Done);
  FirstEnd(Done);
  CHECK(Fake.Answers_.size() == 1);
  CHECK(Fake.Receipts_.size() == 1);
}
