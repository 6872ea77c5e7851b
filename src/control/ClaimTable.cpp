#include "dragonfly/control/ClaimTable.h"

#include <algorithm>
#include <numeric>

namespace dragonfly::control {
namespace {

constexpr std::uint16_t HttpGone = 410;

ClaimOutcome makeOutcome(wire::ClaimStatus Status) {
  return {.Status_ = Status,
          .Outcome_ = Outcome::Unknown,
          .Reason_ = Reason::None,
          .HttpStatus_ = 0,
          .Body_ = {}};
}

/// Precedence of an outcome when entry and agent report different ones; the
/// highest one wins.
int precedenceOf(Outcome Value) {
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
    return claimExisting(At, Found->second, Row);
  if (!makeRoomForClaim(At, Claims))
    return makeOutcome(wire::ClaimStatus::OutsideWindow);
  ClaimRecord Record;
  Record.Target_ = Row.Target_;
  Record.Claimant_ = Row.Claimant_;
  Record.Attempt_ = Row.Attempt_;
  Record.BodyHash_ = Row.BodyHash_;
  Record.ClaimedAt_ = At;
  Claims.Rows_.emplace(Row.Key_.RequestId_, std::move(Record));
  Claims.ClaimOrder_.push_back(Row.Key_.RequestId_);
  return makeOutcome(wire::ClaimStatus::Granted);
}

ClaimOutcome ClaimTable::claimExisting(Duration At, ClaimRecord &Record,
                                       const ClaimRow &Row) {
  if (Record.BodyHash_ != Row.BodyHash_)
    return makeOutcome(wire::ClaimStatus::Mismatch);
  if (Record.Phase_ == Phase::Settled)
    return {.Status_ = wire::ClaimStatus::Settled,
            .Outcome_ = Record.Outcome_,
            .Reason_ = Record.Reason_,
            .HttpStatus_ = Record.Status_,
            .Body_ = Record.Body_};
  const bool SameClaimant = Record.Claimant_ == Row.Claimant_;
  if (Record.Phase_ == Phase::Released && SameClaimant)
    return makeOutcome(wire::ClaimStatus::Pending);
  const bool Resend = SameClaimant && Record.Attempt_ == Row.Attempt_ &&
                      Record.Target_ == Row.Target_;
  const bool NextAttempt = SameClaimant && Row.Attempt_ == Record.Attempt_ + 1;
  if (Record.Phase_ != Phase::Released && !Resend && !NextAttempt)
    return makeOutcome(wire::ClaimStatus::Pending);
  if (!Resend)
    Record.ClaimedAt_ = At;
  Record.Phase_ = Phase::Pending;
  Record.Claimant_ = Row.Claimant_;
  Record.Attempt_ = Row.Attempt_;
  Record.Target_ = Row.Target_;
  return makeOutcome(wire::ClaimStatus::Granted);
}

std::size_t ClaimTable::sharePerCustomer(std::size_t Total) const {
  return std::max<std::size_t>(
      1, Total / std::max<std::size_t>(1, Customers_.size()));
}

bool ClaimTable::makeRoomForClaim(Duration At, CustomerClaims &Claims) const {
  while (!Claims.ClaimOrder_.empty()) {
    const auto Oldest = Claims.Rows_.find(Claims.ClaimOrder_.front());
    const Duration Age = At - Oldest->second.ClaimedAt_;
    const bool Full = Claims.Rows_.size() >= sharePerCustomer(Window_.MaxRows_);
    if (!Full && Age <= Window_.MaxAge_)
      return true;
    if (Age < Window_.MinAge_)
      return false;
    if (!Claims.AnswerOrder_.empty() &&
        Claims.AnswerOrder_.front() == Claims.ClaimOrder_.front())
      Claims.AnswerOrder_.pop_front();
    Claims.AnswerBytes_ -= Oldest->second.Body_.size();
    Claims.Rows_.erase(Oldest);
    Claims.ClaimOrder_.pop_front();
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
      precedenceOf(Row.Outcome_) <= precedenceOf(Record.Outcome_))
    return;
  Record.Phase_ = Phase::Settled;
  Record.Outcome_ = Row.Outcome_;
  Record.Reason_ = Row.Reason_;
  Record.Status_ = Row.Status_;
  storeAnswer(Claims, Row, Record);
}

void ClaimTable::storeAnswer(CustomerClaims &Claims, const ReceiptRow &Row,
                             ClaimRecord &Record) const {
  Claims.AnswerBytes_ -= Record.Body_.size();
  Record.Body_ = Row.Body_;
  if (Record.Body_.empty())
    return;
  Claims.AnswerBytes_ += Record.Body_.size();
  Claims.AnswerOrder_.push_back(Row.Key_.RequestId_);
  while (Claims.AnswerBytes_ > sharePerCustomer(Window_.MaxAnswerBytes_) &&
         !Claims.AnswerOrder_.empty()) {
    if (const auto Oldest = Claims.Rows_.find(Claims.AnswerOrder_.front());
        Oldest != Claims.Rows_.end()) {
      Claims.AnswerBytes_ -= Oldest->second.Body_.size();
      Oldest->second.Body_.clear();
      Oldest->second.Status_ = HttpGone;
    }
    Claims.AnswerOrder_.pop_front();
  }
}

std::size_t ClaimTable::size() const {
  return std::accumulate(Customers_.begin(), Customers_.end(), std::size_t{0},
                         [](std::size_t Sum, const auto &Row) {
                           return Sum + Row.second.Rows_.size();
                         });
}

} // namespace dragonfly::control
