#include "dragonfly/decide/ConfigurationLease.h"

#include <algorithm>
#include <cassert>

namespace dragonfly::decide {

ConfigurationLease::ConfigurationLease(std::size_t Replicas, Duration Term)
    : Term_(Term), Replicas_(Replicas) {
  assert(Replicas > 0 && "a deployment has control replicas");
}

void ConfigurationLease::recordAcknowledgement(std::size_t Replica,
                                               TimePoint SentAt,
                                               const ListVersions &Named) {
  ReplicaRow &Row = Replicas_.at(Replica);
  if (Row.Heard_ && SentAt < Row.LatestSentAt_)
    return;
  Row.Heard_ = true;
  Row.LatestSentAt_ = SentAt;
  Row.LatestNamed_ = Named;
  cover(Row);
}

void ConfigurationLease::activate(const ListVersions &Versions) {
  InForce_.Plans_ = std::max(InForce_.Plans_, Versions.Plans_);
  InForce_.Purchases_ = std::max(InForce_.Purchases_, Versions.Purchases_);
  for (ReplicaRow &Row : Replicas_)
    cover(Row);
}

void ConfigurationLease::cover(ReplicaRow &Row) const {
  if (!Row.Heard_ || !InForce_.isAtLeast(Row.LatestNamed_))
    return;
  Row.Covered_ = true;
  Row.CoveredSentAt_ = Row.LatestSentAt_;
}

bool ConfigurationLease::isValid(TimePoint Now) const {
  if (!InForce_.Plans_ || !InForce_.Purchases_)
    return false;
  const auto Covering =
      std::ranges::count_if(Replicas_, [this, Now](const ReplicaRow &Row) {
        return Row.Covered_ && Now < Row.CoveredSentAt_ + Term_;
      });
  return static_cast<std::size_t>(Covering) > Replicas_.size() / 2;
}

bool ConfigurationLease::isOutdated() const {
  return std::ranges::any_of(Replicas_, [this](const ReplicaRow &Row) {
    return Row.Heard_ && !InForce_.isAtLeast(Row.LatestNamed_);
  });
}

} // namespace dragonfly::decide
