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
  IndicesByRank_.resize(Rows_.size());
  std::iota(IndicesByRank_.begin(), IndicesByRank_.end(), RowIndex{0});
  std::ranges::sort(IndicesByRank_, {}, [this](RowIndex Index) {
    return std::pair(Rows_[Index].Policy_.Rank_, Index);
  });
}

/// Rounds by the largest remainder method, so that the sum of the floors is as
/// close to the guaranteed share as whole slots allow.
void KindTable::assignFloorSlots(std::uint32_t Slots) {
  std::uint64_t GuaranteedPermille = 0;
  std::uint32_t Unassigned = Slots;
  std::vector<std::pair<std::uint64_t, RowIndex>> Remainders;
  for (RowIndex Index : IndicesByRank_) {
    KindRow &Kind = Rows_[Index];
    const std::uint64_t Share =
        std::uint64_t{Slots} * Kind.Policy_.FloorPermille_;
    GuaranteedPermille += Share;
    Kind.FloorSlots_ =
        std::min(Unassigned, static_cast<std::uint32_t>(Share / Permille));
    Unassigned -= Kind.FloorSlots_;
    // Any kind with a nonzero floor gets a slot before the others are rounded
    // up.
    const bool HasNoSlot = Share > 0 && Kind.FloorSlots_ == 0;
    Remainders.emplace_back(HasNoSlot ? Permille : Share % Permille, Index);
  }
  std::ranges::sort(Remainders, std::ranges::greater(),
                    [](const auto &Row) { return Row.first; });
  auto RoundUps = static_cast<std::uint32_t>(
      (GuaranteedPermille + Permille / 2) / Permille);
  RoundUps -= std::min(RoundUps, Slots - Unassigned);
  for (const auto &[Remainder, Index] : Remainders) {
    const bool HasNoSlot = Remainder == Permille;
    if (Unassigned == 0 || Remainder == 0 || (RoundUps == 0 && !HasNoSlot))
      break;
    ++Rows_[Index].FloorSlots_;
    --Unassigned;
    RoundUps -= std::min(RoundUps, 1U);
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
    const auto [Found, Inserted] = IndexByName_.try_emplace(
        Policy.Name_, static_cast<RowIndex>(Rows_.size()));
    if (Inserted)
      Rows_.emplace_back();
    CustomerRow &Row = Rows_[Found->second];
    Row.MaxConcurrent_ = Policy.MaxConcurrent_;
    Row.MaxWaiting_ = Policy.MaxWaiting_;
    Row.Listed_ = true;
  }
}

std::optional<RowIndex> CustomerTable::find(std::string_view Name) const {
  const auto Found = IndexByName_.find(Name);
  if (Found == IndexByName_.end() || !Rows_[Found->second].Listed_)
    return std::nullopt;
  return Found->second;
}

RowIndex RequestTable::add() {
  if (FreeIndices_.empty()) {
    FreeIndices_.push_back(static_cast<RowIndex>(Rows_.size()));
    Rows_.emplace_back();
  }
  const RowIndex Index = FreeIndices_.back();
  FreeIndices_.pop_back();
  const std::uint32_t Generation = Rows_[Index].Generation_ + 1;
  Rows_[Index] = {.State_ = RequestState::Offered, .Generation_ = Generation};
  return Index;
}

void RequestTable::remove(RowIndex Index) {
  Rows_[Index].State_ = RequestState::Free;
  FreeIndices_.push_back(Index);
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
