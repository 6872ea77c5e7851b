#include "consensus/Membership.h"

#include <algorithm>
#include <limits>
#include <ranges>

namespace dragonfly::consensus {

void Membership::reset(LogIndex Index, std::vector<Member> Members) {
  Rows_.clear();
  Rows_.push_back({Index, std::move(Members)});
}

void Membership::add(LogIndex Index, std::vector<Member> Members) {
  Rows_.push_back({Index, std::move(Members)});
}

void Membership::truncateFrom(LogIndex From) {
  while (Rows_.size() > 1 && Rows_.back().Index_ >= From)
    Rows_.pop_back();
}

void Membership::dropBefore(LogIndex Index) {
  while (Rows_.size() > 1 && Rows_[1].Index_ <= Index)
    Rows_.erase(Rows_.begin());
}

const std::vector<Member> &Membership::membersAt(LogIndex Index) const {
  const auto Newest = std::ranges::find_if(
      Rows_ | std::views::reverse,
      [Index](const Row &Candidate) { return Candidate.Index_ <= Index; });
  return Newest == Rows_.rend() ? Rows_.front().Members_ : Newest->Members_;
}

const Member *Membership::find(ReplicaId Id) const {
  const auto Row = std::ranges::find(members(), Id, &Member::Id_);
  return Row == members().end() ? nullptr : &*Row;
}

bool Membership::isVoter(ReplicaId Id, StoreId Store) const {
  const Member *Row = find(Id);
  return Row && Row->Voter_ && (!Row->Store_ || Row->Store_ == Store);
}

bool Membership::formed() const {
  return !members().empty() &&
         std::ranges::all_of(members(), [](const Member &Row) {
           return static_cast<bool>(Row.Store_);
         });
}

std::size_t Membership::quorumSize(std::size_t Voters) const {
  return formed() ? Voters / 2 + 1 : Voters;
}

bool Membership::reachesQuorum(const MemberTest &Test) const {
  return quorumValue([&Test](const Member &Row) -> std::int64_t {
           return Test(Row) ? 1 : 0;
         }) == 1;
}

std::int64_t Membership::quorumValue(const MemberValue &Value) const {
  std::vector<std::int64_t> Values;
  for (const Member &Row : members())
    if (Row.Voter_)
      Values.push_back(Value(Row));
  if (Values.empty())
    return std::numeric_limits<std::int64_t>::min();
  std::ranges::sort(Values, std::greater<>());
  return Values[quorumSize(Values.size()) - 1];
}

} // namespace dragonfly::consensus
