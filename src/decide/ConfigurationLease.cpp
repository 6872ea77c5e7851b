#include "dragonfly/decide/ConfigurationLease.h"

#include <algorithm>
#include <cassert>

namespace dragonfly::decide {

ConfigurationLease::ConfigurationLease(std::size_t ReplicaCount, Duration Term)
    : Term_(Term), Replicas_(ReplicaCount) {
  assert(ReplicaCount > 0 && "a deployment has at least one control replica");
}

void ConfigurationLease::recordAcknowledgement(std::size_t Replica,
                                               TimePoint SentAt,
                                               const ListVersions &Versions) {
  ReplicaRow &Row = Replicas_.at(Replica);
  if (Row.Acknowledged_ && SentAt < Row.LatestSentAt_)
    return;
  Row.Acknowledged_ = true;
  Row.LatestSentAt_ = SentAt;
  Row.LatestVersions_ = Versions;
  confirm(Row);
}

void ConfigurationLease::activate(const ListVersions &Versions) {
  ActiveVersions_.Plans_ = std::max(ActiveVersions_.Plans_, Versions.Plans_);
  ActiveVersions_.Purchases_ =
      std::max(ActiveVersions_.Purchases_, Versions.Purchases_);
  for (ReplicaRow &Row : Replicas_)
    confirm(Row);
}

void ConfigurationLease::confirm(ReplicaRow &Row) const {
  if (!Row.Acknowledged_ || !ActiveVersions_.isAtLeast(Row.LatestVersions_))
    return;
  Row.Confirmed_ = true;
  Row.ConfirmedSentAt_ = Row.LatestSentAt_;
}

bool ConfigurationLease::isValid(TimePoint Now) const {
  if (!ActiveVersions_.Plans_ || !ActiveVersions_.Purchases_)
    return false;
  const auto Confirming =
      std::ranges::count_if(Replicas_, [this, Now](const ReplicaRow &Row) {
        return Row.Confirmed_ && Now < Row.ConfirmedSentAt_ + Term_;
      });
  return static_cast<std::size_t>(Confirming) > Replicas_.size() / 2;
}

bool ConfigurationLease::isOutdated() const {
  return std::ranges::any_of(Replicas_, [this](const ReplicaRow &Row) {
    return Row.Acknowledged_ && !ActiveVersions_.isAtLeast(Row.LatestVersions_);
  });
}

} // namespace dragonfly::decide
