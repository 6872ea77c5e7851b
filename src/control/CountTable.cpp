#include "dragonfly/control/CountTable.h"

#include <algorithm>

namespace dragonfly::control {
namespace {

/// Clocks may differ in rate, so an age is extended by the fraction
/// 1 / `AgeDriftDivisor`.
constexpr int AgeDriftDivisor = 20;

bool outranks(Outcome A, Outcome B) {
  constexpr std::array<int, 3> Rank{2, 0, 1};
  return Rank[static_cast<std::size_t>(A)] > Rank[static_cast<std::size_t>(B)];
}

} // namespace

bool CountTable::isRedundant(const ReceiptRow &Row) const {
  const auto Customer = Customers_.find(Row.Key_.Customer_);
  if (Customer == Customers_.end())
    return false;
  const auto &Requests = Customer->second.Requests_;
  const auto Found = Requests.find(Row.Key_.RequestId_);
  return Found != Requests.end() &&
         !outranks(Row.Outcome_, Found->second.Outcome_);
}

bool CountTable::merge(Duration At, const ReceiptRow &Row) {
  CustomerCounts &Counts = Customers_[Row.Key_.Customer_];
  forgetOldRequests(At, Counts);
  const auto Index = static_cast<std::size_t>(Row.Outcome_);
  if (const auto Found = Counts.Requests_.find(Row.Key_.RequestId_);
      Found != Counts.Requests_.end()) {
    RequestRecord &Known = Found->second;
    if (!outranks(Row.Outcome_, Known.Outcome_))
      return false;
    auto &Requests = Counts.Kinds_[Known.Kind_].Requests_;
    --Requests[static_cast<std::size_t>(Known.Outcome_)];
    ++Requests[Index];
    Known.Outcome_ = Row.Outcome_;
    return true;
  }
  const Duration EndedAt = At - Row.Age_ - Row.Age_ / AgeDriftDivisor;
  if (EndedAt < Counts.ForgottenBefore_) {
    ++Counts.Kinds_[Row.Kind_].Late_;
    return false;
  }
  ++Counts.Kinds_[Row.Kind_].Requests_[Index];
  Counts.Requests_.emplace(
      Row.Key_.RequestId_,
      RequestRecord{.Kind_ = Row.Kind_, .Outcome_ = Row.Outcome_});
  Counts.MergeOrder_.push_back(
      {.MergedAt_ = At, .RequestId_ = Row.Key_.RequestId_});
  return true;
}

void CountTable::forgetOldRequests(Duration At, CustomerCounts &Counts) const {
  const std::size_t Share =
      std::max<std::size_t>(1, Window_.MaxRows_ / Customers_.size());
  while (!Counts.MergeOrder_.empty()) {
    const MergedRequest &Oldest = Counts.MergeOrder_.front();
    if (Counts.MergeOrder_.size() < Share &&
        At - Oldest.MergedAt_ <= Window_.MaxAge_)
      return;
    // A request that was just merged may be dropped for lack of room. A
    // watermark in the future would reject receipts of new requests.
    Counts.ForgottenBefore_ =
        std::min(At, std::max(Counts.ForgottenBefore_,
                              Oldest.MergedAt_ + Window_.MaxReceiptSkew_));
    Counts.Requests_.erase(Oldest.RequestId_);
    Counts.MergeOrder_.pop_front();
  }
}

std::vector<CountRow> CountTable::rows() const {
  std::vector<CountRow> Rows;
  for (const auto &[Customer, Counts] : Customers_)
    for (const auto &[Kind, Row] : Counts.Kinds_)
      Rows.push_back({.Customer_ = Customer,
                      .Kind_ = Kind,
                      .Requests_ = Row.Requests_,
                      .Late_ = Row.Late_});
  return Rows;
}

} // namespace dragonfly::control
