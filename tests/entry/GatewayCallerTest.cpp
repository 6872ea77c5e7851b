#include "dragonfly/entry/Gateway.h"

#include "entry/GatewayFixture.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::entry;
using wire::ClaimStatus;

TEST_CASE("a watch passes its parts in order and is cancelled when left",
          "[entry][watch]") {
  GatewayFixture Fake;
  const WaiterId Follower = Fake.submit("watch", "w1");
  REQUIRE(Fake.agentPending());
  CHECK(std::get<wire::Execute>(Fake.AgentCalls_[0].Request_).Streamed_);
  Fake.AgentCalls_[0].OnPart_(wire::ExecutePart{0, "one,"});
  Fake.AgentCalls_[0].OnPart_(wire::ExecutePart{1, "two"});
  CHECK(Fake.Parts_ == "one,two");
  SECTION("whole") {
    Fake.endAgentCall(Done);
    CHECK(Fake.Answers_.at(0)->Outcome_ == Outcome::Completed);
  }
  SECTION("lost after a part: not tried again") {
    Fake.endAgentCall(Lost);
    CHECK(Fake.AgentCalls_.size() == 1);
    CHECK(Fake.Answers_.at(0)->Outcome_ == Outcome::Unknown);
  }
  SECTION("follower gone") {
    Fake.Gateway_->callerGone(Clock::now(), Follower);
    REQUIRE(Fake.Told_.size() == 1);
    CHECK(std::holds_alternative<wire::CancelExecute>(Fake.Told_[0].second));
    Fake.endAgentCall(Done);
    CHECK(Fake.Answers_.empty());
  }
  SECTION("follower too slow") {
    Fake.KeepsUp_ = false;
    Fake.AgentCalls_[0].OnPart_(wire::ExecutePart{2, "three"});
    CHECK(Fake.Told_.size() == 1);
  }
  CHECK(Fake.Gateway_->inProgress() == 0);
}

TEST_CASE("a request whose caller has gone holds no place in the queue",
          "[entry][callers]") {
  GatewayFixture Fake;
  Fake.Gateway_->setCustomers({{"acme", 1, 100}});
  Fake.submit("check", "r1");
  const WaiterId Second = Fake.submit("check", "r2");
  REQUIRE(Fake.AgentCalls_.size() == 1);
  Fake.Gateway_->callerGone(Clock::now(), Second);
  Fake.endAgentCall(Done);
  CHECK(Fake.AgentCalls_.size() == 1);
  CHECK(Fake.Answers_.size() == 1);
  CHECK(Fake.Gateway_->inProgress() == 0);
}

TEST_CASE("a cancelled request still has one outcome", "[entry][cancel]") {
  GatewayFixture Fake;
  SECTION("while it waits") {
    Fake.Gateway_->setCustomers({{"acme", 1, 100}});
    Fake.submit("check", "r1");
    Fake.submit("check", "r2");
    Fake.Gateway_->cancel(Clock::now(), {"acme", "r2"});
    REQUIRE(Fake.Answers_.size() == 1);
    CHECK(Fake.Answers_[0]->Outcome_ == Outcome::RefusedNotRun);
    CHECK(Fake.Answers_[0]->Reason_ == Reason::Cancelled);
  }
  SECTION("while it is claimed") {
    Fake.submit("review", "r1");
    Fake.Gateway_->cancel(Clock::now(), {"acme", "r1"});
    Fake.endControlCall(claimReply(ClaimStatus::Granted));
    CHECK(Fake.AgentCalls_.empty());
    REQUIRE(Fake.Answers_.size() == 1);
    CHECK(Fake.Answers_[0]->Outcome_ == Outcome::RefusedNotRun);
    CHECK(Fake.Receipts_.size() == 1);
  }
  SECTION("while it runs") {
    Fake.submit("check", "r1");
    Fake.Gateway_->cancel(Clock::now(), {"acme", "r1"});
    REQUIRE(Fake.Told_.size() == 1);
    Fake.endAgentCall(Done);
    REQUIRE(Fake.Answers_.size() == 1);
    CHECK(Fake.Answers_[0]->Outcome_ == Outcome::Completed);
  }
}
