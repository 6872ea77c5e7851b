#include "control/PeerAddresses.h"

#include <algorithm>

namespace dragonfly::control {

PeerAddresses::PeerAddresses(
    const std::vector<settings::ReplicaSettings> &Rows) {
  for (const settings::ReplicaSettings &Row : Rows)
    Configured_.emplace(Row.Id_, Row.Address_);
}

void PeerAddresses::learn(const wire::Group &Told) {
  for (const wire::GroupRow &Row : Told.Rows_)
    if (Told.Leader_.empty())
      Told_.emplace(Row.Id_, Row.Address_);
    else
      Told_.insert_or_assign(Row.Id_, Row.Address_);
}

std::string
PeerAddresses::find(ReplicaId Id,
                    const std::vector<consensus::Member> &Members) const {
  const auto Row = std::ranges::find(Members, Id, &consensus::Member::Id_);
  if (Row != Members.end() && !Row->Address_.empty())
    return Row->Address_;
  for (const auto *Source : {&Told_, &Configured_})
    if (const auto Found = Source->find(Id);
        Found != Source->end() && !Found->second.empty())
      return Found->second;
  return {};
}

} // namespace dragonfly::control
