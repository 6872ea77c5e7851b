#include "decide/AdmissionTables.h"

#include <algorithm>
#include <numeric>
#include <utility>

namespace dragonfly::decide {
namespace {

constexpr std::uint32_t Permille = 1000;

} // namespace

KindTable::KindTable(std::vector<KindPolicy> Policies) {
  for (KindPolicy &Policy : Policies)
    Rows_.emplace_back(std::move(Policy));
  ByRank_.resize(Rows_.size());
  std::iota(ByRank_.begin(), ByRank_.end(), RowIndex{0});
  std::ranges::sort(ByRank_, {}, [this](RowIndex Index) {
    return std::pair(Rows_[Index].Policy_.Rank_, Index);
  });
}

/// Rounds to whole slots by largest remainder, so that together the floors get
/// what they are promised as nearly as whole slots allow.
void KindTable::setSlots(std::uint32_t Slots) {
  std::uint64_t Promised = 0;
  std::uint32_t Left = Slots;
  std::vector<std::pair<std::uint64_t, RowIndex>> Remainders;
  for (RowIndex Index : ByRank_) {
    KindRow &Kind = Rows_[Index];
    const std::uint64_t Share =
        std::uint64_t{Slots} * Kind.Policy_.FloorPermille_;
    Promised += Share;
    Kind.FloorSlots_ =
        std::min(Left, static_cast<std::uint32_t>(Share / Permille));
    Left -= Kind.FloorSlots_;
    // A kind that is promised anything gets a slot before others are rounded.
    const bool Nothing = Share > 0 && Kind.FloorSlots_ == 0;
    Remainders.emplace_back(Nothing ? Permille : Share % Permille, Index);
  }
  std::ranges::sort(Remainders, std::ranges::greater(),
                    [](const auto &Row) { return Row.first; });
  auto Whole = static_cast<std::uint32_t>((Promised + Permille / 2) / Permille);
  Whole -= std::min(Whole, Slots - Left);
  for (const auto &[Remainder, Index] : Remainders) {
    const bool Nothing = Remainder == Permille;
    if (Left == 0 || Remainder == 0 || (Whole == 0 && !Nothing))
      break;
    ++Rows_[Index].FloorSlots_;
    --Left;
    Whole -= std::min(Whole, 1U);
  }
}

std::optional<RowIndex> KindTable::find(std::string_view Name) const {
  const auto Found = std::ranges::find_if(
      Rows_, [Name](const KindRow &Row) { return Row.Policy_.Name_ == Name; });
  if (Found == Rows_.end())
    return std::nullopt;
  return static_cast<RowIndex>(Found - Rows_.begin());
}

void CustomerTable::replace(const std::vector<CustomerPolicy> &Policies) {
  for (CustomerRow &Row : Rows_)
    Row.Listed_ = false;
  for (const CustomerPolicy &Policy : Policies) {
    const auto [Found, New] =
        Index_.try_emplace(Policy.Name_, static_cast<RowIndex>(Rows_.size()));
    if (New)
      Rows_.emplace_back();
    CustomerRow &Row = Rows_[Found->second];
    Row.MaxConcurrent_ = Policy.MaxConcurrent_;
    Row.MaxWaiting_ = Policy.MaxWaiting_;
    Row.Listed_ = true;
  }
}

std::optional<RowIndex> CustomerTable::find(std::string_view Name) const {
  const auto Found = Index_.find(Name);
  if (Found == Index_.end() || !Rows_[Found->second].Listed_)
    return std::nullopt;
  return Found->second;
}

RowIndex RequestTable::add() {
  if (Free_.empty()) {
    Free_.push_back(static_cast<RowIndex>(Rows_.size()));
    Rows_.emplace_back();
  }
  const RowIndex Index = Free_.back();
  Free_.pop_back();
  const std::uint32_t Generation = Rows_[Index].Generation_ + 1;
  Rows_[Index] = {.State_ = RequestState::Offered, .Generation_ = Generation};
  return Index;
}

void RequestTable::remove(RowIndex Index) {
  Rows_[Index].State_ = RequestState::Free;
  Free_.push_back(Index);
}

RequestHandle RequestTable::handle(RowIndex Index) const {
  return (RequestHandle{Rows_[Index].Generation_} << 32U) | Index;
}

std::optional<RowIndex> RequestTable::find(RequestHandle Handle) const {
  const auto Index = static_cast<RowIndex>(Handle);
  if (Index >= Rows_.size() || handle(Index) != Handle ||
      Rows_[Index].State_ == RequestState::Free)
    return std::nullopt;
  return Index;
}

} // namespace dragonfly::decide
