#include "dragonfly/control/ClaimTable.h"

#include <algorithm>
#include <numeric>

namespace dragonfly::control {
namespace {

constexpr std::uint16_t AnswerGone = 410;

ClaimOutcome outcomeOf(wire::ClaimStatus Status) {
  return {.Status_ = Status,
          .Outcome_ = Outcome::Unknown,
          .Reason_ = Reason::None,
          .HttpStatus_ = 0,
          .Body_ = {}};
}

/// Rank of an outcome where two holders tell different ones.
int rankOf(Outcome Value) {
  switch (Value) {
  case Outcome::Completed:
    return 2;
  case Outcome::Unknown:
    return 1;
  case Outcome::RefusedNotRun:
    return 0;
  }
  return 0;
}

} // namespace

ClaimOutcome ClaimTable::claim(Duration At, const ClaimRow &Row) {
  CustomerClaims &Claims = Customers_[Row.Key_.Customer_];
  if (const auto Found = Claims.Rows_.find(Row.Key_.RequestId_);
      Found != Claims.Rows_.end())
    return claimAgain(At, Found->second, Row);
  if (!makeRoom(At, Claims))
    return outcomeOf(wire::ClaimStatus::OutsideWindow);
  ClaimRecord Record;
  Record.Target_ = Row.Target_;
  Record.Claimant_ = Row.Claimant_;
  Record.Attempt_ = Row.Attempt_;
  Record.BodyHash_ = Row.BodyHash_;
  Record.ClaimedAt_ = At;
  Claims.Rows_.emplace(Row.Key_.RequestId_, std::move(Record));
  Claims.Order_.push_back(Row.Key_.RequestId_);
  return outcomeOf(wire::ClaimStatus::Granted);
}

ClaimOutcome ClaimTable::claimAgain(Duration At, ClaimRecord &Record,
                                    const ClaimRow &Row) {
  if (Record.BodyHash_ != Row.BodyHash_)
    return outcomeOf(wire::ClaimStatus::Mismatch);
  if (Record.Phase_ == Phase::Settled)
    return {.Status_ = wire::ClaimStatus::Settled,
            .Outcome_ = Record.Outcome_,
            .Reason_ = Record.Reason_,
            .HttpStatus_ = Record.Status_,
            .Body_ = Record.Body_};
  const bool SameClaimant = Record.Claimant_ == Row.Claimant_;
  if (Record.Phase_ == Phase::Released && SameClaimant)
    return outcomeOf(wire::ClaimStatus::Pending);
  const bool Resend = SameClaimant && Record.Attempt_ == Row.Attempt_ &&
                      Record.Target_ == Row.Target_;
  const bool NextAttempt = SameClaimant && Row.Attempt_ == Record.Attempt_ + 1;
  if (Record.Phase_ != Phase::Released && !Resend && !NextAttempt)
    return outcomeOf(wire::ClaimStatus::Pending);
  if (!Resend)
    Record.ClaimedAt_ = At;
  Record.Phase_ = Phase::Pending;
  Record.Claimant_ = Row.Claimant_;
  Record.Attempt_ = Row.Attempt_;
  Record.Target_ = Row.Target_;
  return outcomeOf(wire::ClaimStatus::Granted);
}

std::size_t ClaimTable::shareOf(std::size_t Total) const {
  return std::max<std::size_t>(
      1, Total / std::max<std::size_t>(1, Customers_.size()));
}

bool ClaimTable::makeRoom(Duration At, CustomerClaims &Claims) const {
  while (!Claims.Order_.empty()) {
    const auto Oldest = Claims.Rows_.find(Claims.Order_.front());
    const Duration Age = At - Oldest->second.ClaimedAt_;
    const bool Full = Claims.Rows_.size() >= shareOf(Window_.MaxRows_);
    if (!Full && Age <= Window_.MaxAge_)
      return true;
    if (Age < Window_.MinAge_)
      return false;
    if (!Claims.Answers_.empty() &&
        Claims.Answers_.front() == Claims.Order_.front())
      Claims.Answers_.pop_front();
    Claims.AnswerBytes_ -= Oldest->second.Body_.size();
    Claims.Rows_.erase(Oldest);
    Claims.Order_.pop_front();
  }
  return true;
}

void ClaimTable::applyReceipt(const ReceiptRow &Row) {
  const auto Customer = Customers_.find(Row.Key_.Customer_);
  if (Customer == Customers_.end())
    return;
  CustomerClaims &Claims = Customer->second;
  const auto Found = Claims.Rows_.find(Row.Key_.RequestId_);
  if (Found == Claims.Rows_.end())
    return;
  ClaimRecord &Record = Found->second;
  if (Row.Outcome_ == Outcome::RefusedNotRun) {
    if (Record.Phase_ == Phase::Pending && Row.Claimant_ &&
        Row.Claimant_ == Record.Claimant_)
      Record.Phase_ = Phase::Released;
    return;
  }
  if (Record.Phase_ == Phase::Settled &&
      rankOf(Row.Outcome_) <= rankOf(Record.Outcome_))
    return;
  Record.Phase_ = Phase::Settled;
  Record.Outcome_ = Row.Outcome_;
  Record.Reason_ = Row.Reason_;
  Record.Status_ = Row.Status_;
  keepAnswer(Claims, Row, Record);
}

void ClaimTable::keepAnswer(CustomerClaims &Claims, const ReceiptRow &Row,
                            ClaimRecord &Record) const {
  Claims.AnswerBytes_ -= Record.Body_.size();
  Record.Body_ = Row.Body_;
  if (Record.Body_.empty())
    return;
  Claims.AnswerBytes_ += Record.Body_.size();
  Claims.Answers_.push_back(Row.Key_.RequestId_);
  while (Claims.AnswerBytes_ > shareOf(Window_.MaxAnswerBytes_) &&
         !Claims.Answers_.empty()) {
    if (const auto Oldest = Claims.Rows_.find(Claims.Answers_.front());
        Oldest != Claims.Rows_.end()) {
      Claims.AnswerBytes_ -= Oldest->second.Body_.size();
      Oldest->second.Body_.clear();
      Oldest->second.Status_ = AnswerGone;
    }
    Claims.Answers_.pop_front();
  }
}

std::size_t ClaimTable::size() const {
  return std::accumulate(Customers_.begin(), Customers_.end(), std::size_t{0},
                         [](std::size_t Sum, const auto &Row) {
                           return Sum + Row.second.Rows_.size();
                         });
}

} // namespace dragonfly::control
