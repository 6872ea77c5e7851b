#include "dragonfly/decide/SlotShares.h"

#include <algorithm>
#include <numeric>

namespace dragonfly::decide {
namespace {

/// An entry and the slots that it may still take.
struct Claimant {
  const EntryRow *Entry_ = nullptr;
  std::uint64_t Left_ = 0;
  bool IsOwn_ = false;
};

std::vector<Claimant> claimants(std::span<const EntryRow> Entries,
                                std::string_view Own, std::uint64_t Slots) {
  std::vector<Claimant> Rows;
  Rows.reserve(Entries.size());
  for (const EntryRow &Entry : Entries)
    Rows.push_back({&Entry, 0, Entry.Name_ == Own});
  std::ranges::sort(Rows, {},
                    [](const Claimant &Row) { return Row.Entry_->Name_; });
  std::uint64_t Extra = Slots % Rows.size();
  for (Claimant &Row : Rows) {
    Row.Left_ = Slots / Rows.size() + (Extra > 0 ? 1 : 0);
    Extra -= Extra > 0 ? 1 : 0;
  }
  return Rows;
}

/// Gives out the slots of one upstream in turn, to entries that \p May allows.
template <typename MayFn>
void giveOut(std::vector<Claimant> &Rows, std::uint32_t &Free,
             std::uint32_t &Share, std::size_t &Turn, MayFn May) {
  for (std::size_t Passed = 0; Free > 0 && Passed < Rows.size(); ++Turn) {
    Claimant &Row = Rows[Turn % Rows.size()];
    if (Row.Left_ == 0 || !May(Row)) {
      ++Passed;
      continue;
    }
    Passed = 0;
    --Row.Left_;
    --Free;
    Share += Row.IsOwn_ ? 1 : 0;
  }
}

} // namespace

std::vector<std::uint32_t> slotShares(std::span<const EntryRow> Entries,
                                      std::string_view Own,
                                      std::span<const UpstreamRow> Upstreams) {
  std::vector<std::uint32_t> Shares(Upstreams.size(), 0);
  if (Entries.empty())
    return Shares;
  std::vector<std::uint32_t> Free(Upstreams.size());
  std::ranges::transform(Upstreams, Free.begin(), [](const UpstreamRow &Row) {
    return Row.Draining_ ? 0 : Row.Slots_;
  });
  std::vector<Claimant> Rows =
      claimants(Entries, Own,
                std::accumulate(Free.begin(), Free.end(), std::uint64_t{0}));
  std::vector<std::size_t> Order(Upstreams.size());
  std::iota(Order.begin(), Order.end(), std::size_t{0});
  std::ranges::sort(Order, {}, [&Upstreams](std::size_t Index) {
    return Upstreams[Index].Name_;
  });
  std::size_t Turn = 0;
  for (std::size_t Index : Order)
    giveOut(Rows, Free[Index], Shares[Index], Turn, [&](const Claimant &Row) {
      return Row.Entry_->AvailabilityZone_ ==
             Upstreams[Index].AvailabilityZone_;
    });
  for (std::size_t Index : Order)
    giveOut(Rows, Free[Index], Shares[Index], Turn,
            [](const Claimant &) { return true; });
  return Shares;
}

} // namespace dragonfly::decide
