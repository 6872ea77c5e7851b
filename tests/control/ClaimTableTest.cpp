#include "control/MachineFixture.h"

#include <catch2/catch.hpp>

using namespace dragonfly;
using namespace dragonfly::control;
using namespace std::chrono_literals;
using wire::ClaimStatus;

namespace {

ClaimRow claimOf(std::uint64_t Claimant, std::uint32_t Attempt,
                 std::string Id = "r1", std::uint64_t Hash = 7) {
  return {.Key_ = {"c", std::move(Id)},
          .Worker_ = "vm",
          .Target_ = {100 + Attempt},
          .Claimant_ = {Claimant},
          .Attempt_ = Attempt,
          .BodyHash_ = Hash};
}

ReceiptRow receiptOf(Outcome Result, std::uint64_t Claimant = 0,
                     std::string Id = "r1", std::string Body = "answer") {
  ReceiptRow Row;
  Row.Key_ = {"c", std::move(Id)};
  Row.Kind_ = "plan";
  Row.Outcome_ = Result;
  Row.Claimant_ = {Claimant};
  Row.NonIdempotent_ = true;
  Row.Status_ = 200;
  Row.Body_ = std::move(Body);
  return Row;
}

ClaimOutcome claim(MachineFixture &Fixture, const ClaimRow &Row,
                   Duration At = {}) {
  return std::get<ClaimOutcomes>(Fixture.apply(ClaimRequests{{Row}}, At))
      .Rows_.at(0);
}

/// Earlier claims and receipts, and the expected status of one more claim.
struct ClaimCase {
  const char *Name_;
  std::vector<ClaimRow> Claims_;
  std::vector<ReceiptRow> Receipts_;
  ClaimRow FinalClaim_;
  ClaimStatus Status_;
};

std::vector<ClaimCase> claimCases() {
  const auto Refused = Outcome::RefusedNotRun;
  return {
      {"first", {}, {}, claimOf(1, 1), ClaimStatus::Granted},
      {"resend", {claimOf(1, 1)}, {}, claimOf(1, 1), ClaimStatus::Granted},
      {"next attempt",
       {claimOf(1, 1)},
       {},
       claimOf(1, 2),
       ClaimStatus::Granted},
      {"skipped attempt",
       {claimOf(1, 1)},
       {},
       claimOf(1, 3),
       ClaimStatus::Pending},
      {"late first attempt",
       {claimOf(1, 1), claimOf(1, 2)},
       {},
       claimOf(1, 1),
       ClaimStatus::Pending},
      {"another claimant",
       {claimOf(1, 1)},
       {},
       claimOf(2, 1),
       ClaimStatus::Pending},
      {"another claimant's next attempt",
       {claimOf(1, 1)},
       {},
       claimOf(2, 2),
       ClaimStatus::Pending},
      {"another body",
       {claimOf(1, 1)},
       {},
       claimOf(2, 1, "r1", 8),
       ClaimStatus::Mismatch},
      {"settled",
       {claimOf(1, 1)},
       {receiptOf(Outcome::Completed)},
       claimOf(2, 1),
       ClaimStatus::Settled},
      {"settled, claimed again by its claimant",
       {claimOf(1, 1)},
       {receiptOf(Outcome::Completed)},
       claimOf(1, 1),
       ClaimStatus::Settled},
      {"settled, then refused by a late receipt",
       {claimOf(1, 1)},
       {receiptOf(Outcome::Completed), receiptOf(Refused, 1)},
       claimOf(2, 1),
       ClaimStatus::Settled},
      {"unknown",
       {claimOf(1, 1)},
       {receiptOf(Outcome::Unknown, 1)},
       claimOf(2, 1),
       ClaimStatus::Settled},
      {"released by its claimant",
       {claimOf(1, 1)},
       {receiptOf(Refused, 1)},
       claimOf(2, 1),
       ClaimStatus::Granted},
      {"released, then a late resend of the claim",
       {claimOf(1, 1)},
       {receiptOf(Refused, 1)},
       claimOf(1, 1),
       ClaimStatus::Pending},
      {"refusal of another claimant",
       {claimOf(1, 1)},
       {receiptOf(Refused, 2)},
       claimOf(3, 1),
       ClaimStatus::Pending},
      {"refusal without a claimant",
       {claimOf(1, 1)},
       {receiptOf(Refused)},
       claimOf(2, 1),
       ClaimStatus::Pending},
  };
}

} // namespace

TEST_CASE("a claim is granted once unless resent, retried or released",
          "[control][claims]") {
  const bool Restart = GENERATE(false, true);
  for (const ClaimCase &Case : claimCases()) {
    INFO(Case.Name_);
    MachineFixture Fixture(Restart);
    for (const ClaimRow &Row : Case.Claims_)
      REQUIRE(claim(Fixture, Row).Status_ == ClaimStatus::Granted);
    for (const ReceiptRow &Row : Case.Receipts_)
      Fixture.apply(MergeReceipts{{Row}});
    CHECK(claim(Fixture, Case.FinalClaim_).Status_ == Case.Status_);
  }
}

TEST_CASE("a repeated refusal releases only the claim of its claimant",
          "[control][claims]") {
  MachineFixture Fixture(GENERATE(false, true));
  claim(Fixture, claimOf(1, 1));
  Fixture.apply(MergeReceipts{{receiptOf(Outcome::RefusedNotRun, 1)}});
  REQUIRE(claim(Fixture, claimOf(2, 1)).Status_ == ClaimStatus::Granted);
  Fixture.apply(MergeReceipts{{receiptOf(Outcome::RefusedNotRun, 1)}});
  CHECK(claim(Fixture, claimOf(3, 1)).Status_ == ClaimStatus::Pending);
}

TEST_CASE("a settled claim keeps its first completed answer",
          "[control][claims]") {
  MachineFixture Fixture(GENERATE(false, true));
  claim(Fixture, claimOf(1, 1));
  Fixture.apply(MergeReceipts{{receiptOf(Outcome::Unknown, 1, "r1", "")}});
  CHECK(claim(Fixture, claimOf(2, 1)).Outcome_ == Outcome::Unknown);
  Fixture.apply(MergeReceipts{{receiptOf(Outcome::Completed)}});
  Fixture.apply(
      MergeReceipts{{receiptOf(Outcome::Completed, 1, "r1", "other")}});
  const ClaimOutcome Result = claim(Fixture, claimOf(2, 1));
  CHECK(Result.Outcome_ == Outcome::Completed);
  CHECK(Result.Body_ == "answer");
}

TEST_CASE("the claim window limits the number, age and bytes of claims",
          "[control][claims]") {
  ClaimTable Claims(
      {.MinAge_ = 10s, .MaxAge_ = 100s, .MaxRows_ = 2, .MaxAnswerBytes_ = 8});
  CHECK(Claims.claim(0s, claimOf(1, 1, "r1")).Status_ == ClaimStatus::Granted);
  CHECK(Claims.claim(1s, claimOf(1, 1, "r2")).Status_ == ClaimStatus::Granted);
  CHECK(Claims.claim(9s, claimOf(1, 1, "r3")).Status_ ==
        ClaimStatus::OutsideWindow);
  Claims.applyReceipt(receiptOf(Outcome::Completed, 1, "r1"));
  Claims.applyReceipt(receiptOf(Outcome::Completed, 1, "r2"));
  const ClaimOutcome Dropped = Claims.claim(9s, claimOf(1, 1, "r1"));
  CHECK(Dropped.Status_ == ClaimStatus::Settled);
  CHECK(Dropped.HttpStatus_ == 410);
  CHECK(Dropped.Body_.empty());
  CHECK(Claims.claim(9s, claimOf(1, 1, "r2")).Body_ == "answer");
  CHECK(Claims.claim(10s, claimOf(1, 1, "r3")).Status_ == ClaimStatus::Granted);
  CHECK(Claims.size() == 2);
  CHECK(Claims.claim(200s, claimOf(1, 1, "r4")).Status_ ==
        ClaimStatus::Granted);
  CHECK(Claims.size() == 1);
}

TEST_CASE("customers have equal shares of the claim window",
          "[control][claims]") {
  ClaimTable Claims({.MinAge_ = 10s, .MaxAge_ = 100s, .MaxRows_ = 8});
  const auto ClaimFor = [&](const std::string &Customer, Duration At, int Id) {
    ClaimRow Row = claimOf(1, 1, std::to_string(Id));
    Row.Key_.Customer_ = Customer;
    return Claims.claim(At, Row).Status_;
  };
  for (int Id = 0; Id < 8; ++Id)
    CHECK(ClaimFor("greedy", 0s, Id) == ClaimStatus::Granted);
  CHECK(ClaimFor("greedy", 1s, 8) == ClaimStatus::OutsideWindow);
  for (int Id = 0; Id < 4; ++Id)
    CHECK(ClaimFor("modest", 1s, Id) == ClaimStatus::Granted);
  CHECK(ClaimFor("modest", 1s, 4) == ClaimStatus::OutsideWindow);
  CHECK(ClaimFor("greedy", 10s, 8) == ClaimStatus::Granted);
  CHECK(Claims.size() == 8);
}
