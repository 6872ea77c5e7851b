#include "decide/KindQueue.h"

#include <algorithm>

namespace dragonfly::decide {

KindQueue::CustomerQueue &KindQueue::customerQueue(RowIndex Customer) {
  if (CustomerQueues_.size() <= Customer)
    CustomerQueues_.resize(Customer + 1);
  return CustomerQueues_[Customer];
}

void KindQueue::push(const QueuedRequest &Request) {
  ByDeadline_.insert(Request);
  customerQueue(Request.Customer_).Waiting_.insert(Request);
  WaitingCustomers_.insert(Request.Customer_);
}

void KindQueue::erase(const QueuedRequest &Request) {
  ByDeadline_.erase(Request);
  CustomerQueue &Queue = customerQueue(Request.Customer_);
  Queue.Waiting_.erase(Request);
  if (Queue.Waiting_.empty())
    WaitingCustomers_.erase(Request.Customer_);
}

std::optional<QueuedRequest>
KindQueue::next(std::uint32_t Slots,
                const std::function<bool(RowIndex)> &PlanAllows) const {
  if (WaitingCustomers_.empty())
    return std::nullopt;
  const std::size_t EqualShare =
      std::max<std::size_t>(1, Slots / WaitingCustomers_.size());
  const QueuedRequest *EarliestWithinShare = nullptr;
  const QueuedRequest *EarliestOfAll = nullptr;
  for (RowIndex Customer : WaitingCustomers_) {
    if (!PlanAllows(Customer))
      continue;
    const CustomerQueue &Queue = CustomerQueues_[Customer];
    const QueuedRequest &First = *Queue.Waiting_.begin();
    if (EarliestOfAll == nullptr || First < *EarliestOfAll)
      EarliestOfAll = &First;
    if (Queue.InProgress_ < EqualShare &&
        (EarliestWithinShare == nullptr || First < *EarliestWithinShare))
      EarliestWithinShare = &First;
  }
  const QueuedRequest *Chosen =
      EarliestWithinShare != nullptr ? EarliestWithinShare : EarliestOfAll;
  return Chosen == nullptr ? std::nullopt : std::optional(*Chosen);
}

std::optional<QueuedRequest> KindQueue::earliest() const {
  return ByDeadline_.empty() ? std::nullopt
                             : std::optional(*ByDeadline_.begin());
}

std::optional<QueuedRequest> KindQueue::latestOfLongestQueue() const {
  if (WaitingCustomers_.empty())
    return std::nullopt;
  const auto Largest = std::ranges::max_element(
      WaitingCustomers_, {}, [this](RowIndex Customer) {
        return CustomerQueues_[Customer].Waiting_.size();
      });
  return *CustomerQueues_[*Largest].Waiting_.rbegin();
}

std::size_t KindQueue::waitingCount(RowIndex Customer) const {
  return Customer < CustomerQueues_.size()
             ? CustomerQueues_[Customer].Waiting_.size()
             : 0;
}

} // namespace dragonfly::decide
