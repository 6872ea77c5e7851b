#include "dragonfly/entry/Gateway.h"

#include "entry/GatewayFixture.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::entry;
using wire::ClaimStatus;

namespace {

/// Lets the router learn how long requests of \p Kind take.
void learnLatency(GatewayFixture &Fake, const std::string &Kind) {
  for (int Number = 0; Number < 200; ++Number) {
    Fake.submit(Kind, "learn" + std::to_string(Number));
    Fake.advance(std::chrono::milliseconds(5));
    if (Fake.controlPending())
      Fake.endControlCall(claimReply(ClaimStatus::Granted));
    Fake.endAgentCall(Done);
  }
  Fake.AgentCalls_.clear();
  Fake.Answers_.clear();
  Fake.Receipts_.clear();
  Fake.Told_.clear();
}

} // namespace

TEST_CASE("a slow urgent request is hedged and the first answer counts",
          "[entry][hedge]") {
  GatewayFixture Fake;
  learnLatency(Fake, "check");
  Fake.submit("check", "slow");
  Fake.advance(std::chrono::milliseconds(100));
  REQUIRE(Fake.AgentCalls_.size() == 2);
  CHECK(Fake.AgentCalls_[0].Worker_ != Fake.AgentCalls_[1].Worker_);
  const auto FirstEnd = Fake.AgentCalls_[0].OnEnd_;
  SECTION("the hedge answers first") {
    Fake.endAgentCall(Done);
    REQUIRE(Fake.Told_.size() == 1);
    CHECK(Fake.Told_[0].first == Fake.AgentCalls_[0].Worker_);
    FirstEnd(Done);
  }
  SECTION("the first attempt answers first") {
    FirstEnd(Done);
    REQUIRE(Fake.Told_.size() == 1);
    CHECK(Fake.Told_[0].first == Fake.AgentCalls_[1].Worker_);
    Fake.endAgentCall(Done);
  }
  SECTION("the hedge is refused") {
    Fake.endAgentCall(NoSlot);
    CHECK(Fake.Answers_.empty());
    FirstEnd(Done);
  }
  SECTION("the first attempt is lost") {
    FirstEnd(Lost);
    CHECK(Fake.Answers_.empty());
    Fake.endAgentCall(Done);
  }
  REQUIRE(Fake.Answers_.size() == 1);
  CHECK(Fake.Answers_[0]->Outcome_ == Outcome::Completed);
  CHECK(Fake.AgentCalls_.size() == 2);
  CHECK(Fake.Receipts_.size() == 1);
  CHECK(Fake.Gateway_->inProgress() == 0);
}

TEST_CASE("a non-idempotent request is never hedged",
          "[entry][hedge][at-most-once]") {
  GatewayFixture Fake;
  learnLatency(Fake, "review");
  Fake.submit("review", "slow");
  Fake.endControlCall(claimReply(ClaimStatus::Granted));
  Fake.advance(std::chrono::seconds(5));
  CHECK(Fake.AgentCalls_.size() == 1);
}

TEST_CASE("hedges leave part of the budget for retries", "[entry][hedge]") {
  constexpr std::uint32_t RetryPermille = 20;
  constexpr std::size_t Slow = 20;
  GatewayFixture Fake(RetryPermille);
  learnLatency(Fake, "check");
  for (std::size_t Number = 0; Number < Slow; ++Number)
    Fake.submit("check", "slow" + std::to_string(Number));
  Fake.advance(std::chrono::milliseconds(100));
  REQUIRE(Fake.AgentCalls_.size() > Slow);
  REQUIRE(Fake.AgentCalls_.size() < 2 * Slow);
  Fake.submit("check", "refused");
  const std::size_t Before = Fake.AgentCalls_.size();
  Fake.endAgentCall(NoSlot);
  CHECK(Fake.Answers_.empty());
  CHECK(Fake.AgentCalls_.size() == Before + 1);
}
