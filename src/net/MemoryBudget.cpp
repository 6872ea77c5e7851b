#include "dragonfly/net/MemoryBudget.h"

#include "dragonfly/base/Log.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace dragonfly::net {
namespace {

/// Dropping goes on down to this share of the limit, so that the holders need
/// not be compared again with each further byte.
constexpr std::size_t TargetEighths = 7;
constexpr Duration LogInterval = std::chrono::seconds(1);
/// Added to the age of a request, so that among new ones the largest counts.
constexpr Duration MinAge = std::chrono::milliseconds(100);

} // namespace

MemoryBudget::Holder::Holder(MemoryBudget &Budget, std::function<void()> Drop)
    : Budget_(Budget), Drop_(std::move(Drop)) {
  Budget_.Holders_.insert(this);
}

MemoryBudget::Holder::~Holder() {
  Budget_.Bytes_ -= Bytes_;
  Budget_.Holders_.erase(this);
}

void MemoryBudget::Holder::set(std::size_t Bytes, std::size_t Droppable) {
  if (Droppable_ == 0 && Droppable > 0)
    Since_ = Clock::now();
  Budget_.Bytes_ += Bytes - Bytes_;
  Bytes_ = Bytes;
  Droppable_ = Droppable;
  if (Budget_.Bytes_ > Budget_.Limit_)
    Budget_.dropUntilBelowLimit();
}

void MemoryBudget::dropUntilBelowLimit() {
  if (std::exchange(Dropping_, true))
    return;
  const TimePoint Now = Clock::now();
  std::vector<std::pair<double, Holder *>> Ranked;
  for (Holder *Each : Holders_)
    if (Each->Droppable_ > 0)
      Ranked.emplace_back(static_cast<double>(Each->Droppable_) *
                              toMilliseconds(Now - Each->Since_ + MinAge),
                          Each);
  std::ranges::sort(Ranked, std::ranges::greater{});
  const std::size_t Target = Limit_ / 8 * TargetEighths;
  for (const auto &[Rank, Each] : Ranked) {
    if (Bytes_ <= Target)
      break;
    // An earlier drop may have destroyed it.
    if (!Holders_.contains(Each) || Each->Droppable_ == 0)
      continue;
    ++Dropped_;
    const auto Drop = Each->Drop_;
    Drop();
  }
  if (Now >= NextLogAt_) {
    NextLogAt_ = Now + LogInterval;
    logEvent(Event::MemoryBudgetExceeded,
             {{"bytes", Bytes_}, {"limit", Limit_}, {"dropped", Dropped_}});
  }
  Dropping_ = false;
}

} // namespace dragonfly::net
