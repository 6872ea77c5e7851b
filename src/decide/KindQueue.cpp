#include "decide/KindQueue.h"

#include <algorithm>

namespace dragonfly::decide {

KindQueue::Share &KindQueue::share(RowIndex Customer) {
  if (Shares_.size() <= Customer)
    Shares_.resize(Customer + 1);
  return Shares_[Customer];
}

void KindQueue::push(const QueuedRequest &Request) {
  Order_.insert(Request);
  share(Request.Customer_).Waiting_.insert(Request);
  Active_.insert(Request.Customer_);
}

void KindQueue::erase(const QueuedRequest &Request) {
  Order_.erase(Request);
  Share &Own = share(Request.Customer_);
  Own.Waiting_.erase(Request);
  if (Own.Waiting_.empty())
    Active_.erase(Request.Customer_);
}

std::optional<QueuedRequest>
KindQueue::next(std::uint32_t Slots,
                const std::function<bool(RowIndex)> &MayRun) const {
  if (Active_.empty())
    return std::nullopt;
  const std::size_t Equal = std::max<std::size_t>(1, Slots / Active_.size());
  const QueuedRequest *Within = nullptr;
  const QueuedRequest *Any = nullptr;
  for (RowIndex Customer : Active_) {
    if (!MayRun(Customer))
      continue;
    const Share &Own = Shares_[Customer];
    const QueuedRequest &First = *Own.Waiting_.begin();
    if (Any == nullptr || First < *Any)
      Any = &First;
    if (Own.InProgress_ < Equal && (Within == nullptr || First < *Within))
      Within = &First;
  }
  const QueuedRequest *Chosen = Within != nullptr ? Within : Any;
  return Chosen == nullptr ? std::nullopt : std::optional(*Chosen);
}

std::optional<QueuedRequest> KindQueue::earliest() const {
  return Order_.empty() ? std::nullopt : std::optional(*Order_.begin());
}

std::optional<QueuedRequest> KindQueue::latestOfLargest() const {
  if (Active_.empty())
    return std::nullopt;
  const auto Largest =
      std::ranges::max_element(Active_, {}, [this](RowIndex Customer) {
        return Shares_[Customer].Waiting_.size();
      });
  return *Shares_[*Largest].Waiting_.rbegin();
}

std::size_t KindQueue::waitingOf(RowIndex Customer) const {
  return Customer < Shares_.size() ? Shares_[Customer].Waiting_.size() : 0;
}

} // namespace dragonfly::decide
