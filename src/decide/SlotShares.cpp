#include "dragonfly/decide/SlotShares.h"

#include <algorithm>
#include <numeric>

namespace dragonfly::decide {
namespace {

/// An entry and the number of slots still to be assigned to it.
struct EntryQuota {
  const EntryRow *Entry_ = nullptr;
  std::uint64_t Unassigned_ = 0;
  bool IsOwn_ = false;
};

/// Divides \p Slots evenly among \p Entries, sorted by name. The first ones get
/// the remainder.
std::vector<EntryQuota> makeQuotas(std::span<const EntryRow> Entries,
                                   std::string_view OwnName,
                                   std::uint64_t Slots) {
  std::vector<EntryQuota> Quotas;
  Quotas.reserve(Entries.size());
  for (const EntryRow &Entry : Entries)
    Quotas.push_back({&Entry, 0, Entry.Name_ == OwnName});
  std::ranges::sort(Quotas, {},
                    [](const EntryQuota &Row) { return Row.Entry_->Name_; });
  std::uint64_t Remainder = Slots % Quotas.size();
  for (EntryQuota &Row : Quotas) {
    Row.Unassigned_ = Slots / Quotas.size() + (Remainder > 0 ? 1 : 0);
    Remainder -= Remainder > 0 ? 1 : 0;
  }
  return Quotas;
}

/// Assigns free slots of one upstream round robin to the entries that
/// \p IsEligible accepts. Adds those of the own entry to \p OwnShare.
template <typename EligibleFn>
void assignSlots(std::vector<EntryQuota> &Quotas, std::uint32_t &FreeSlots,
                 std::uint32_t &OwnShare, std::size_t &NextRow,
                 EligibleFn IsEligible) {
  for (std::size_t Skipped = 0; FreeSlots > 0 && Skipped < Quotas.size();
       ++NextRow) {
    EntryQuota &Row = Quotas[NextRow % Quotas.size()];
    if (Row.Unassigned_ == 0 || !IsEligible(Row)) {
      ++Skipped;
      continue;
    }
    Skipped = 0;
    --Row.Unassigned_;
    --FreeSlots;
    OwnShare += Row.IsOwn_ ? 1 : 0;
  }
}

} // namespace

std::vector<std::uint32_t> slotShares(std::span<const EntryRow> Entries,
                                      std::string_view OwnName,
                                      std::span<const UpstreamRow> Upstreams) {
  std::vector<std::uint32_t> Shares(Upstreams.size(), 0);
  if (Entries.empty())
    return Shares;
  std::vector<std::uint32_t> FreeSlots(Upstreams.size());
  std::ranges::transform(
      Upstreams, FreeSlots.begin(),
      [](const UpstreamRow &Row) { return Row.Draining_ ? 0 : Row.Slots_; });
  std::vector<EntryQuota> Quotas = makeQuotas(
      Entries, OwnName,
      std::accumulate(FreeSlots.begin(), FreeSlots.end(), std::uint64_t{0}));
  std::vector<std::size_t> IndicesByName(Upstreams.size());
  std::iota(IndicesByName.begin(), IndicesByName.end(), std::size_t{0});
  std::ranges::sort(IndicesByName, {}, [&Upstreams](std::size_t Index) {
    return Upstreams[Index].Name_;
  });
  std::size_t NextRow = 0;
  for (std::size_t Index : IndicesByName)
    assignSlots(Quotas, FreeSlots[Index], Shares[Index], NextRow,
                [&](const EntryQuota &Row) {
                  return Row.Entry_->AvailabilityZone_ ==
                         Upstreams[Index].AvailabilityZone_;
                });
  for (std::size_t Index : IndicesByName)
    assignSlots(Quotas, FreeSlots[Index], Shares[Index], NextRow,
                [](const EntryQuota &) { return true; });
  return Shares;
}

} // namespace dragonfly::decide
