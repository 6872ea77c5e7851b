#include "control/GroupKeeper.h"

#include "dragonfly/base/Log.h"

#include <string_view>
#include <vector>

namespace dragonfly::control {

using consensus::ChangeObstacle;
using consensus::ProposeStatus;

namespace {

std::string_view roleOf(const GroupChange &Change) {
  if (Change.Remove_)
    return "none";
  return Change.Target_.Voter_ ? "voter" : "learner";
}

} // namespace

void GroupKeeper::lead(TimePoint Now) {
  LeaderSince_ = Now;
  forgetReplacedStores();
  LoggedDelays_.clear();
}

void GroupKeeper::forgetReplacedStores() {
  for (const consensus::Member &Row : Log_.members()) {
    const StoreId Before = std::exchange(Stores_[Row.Id_], Row.Store_);
    const auto Found = Seen_.find(Row.Id_);
    if (Before != Row.Store_ && Found != Seen_.end() &&
        Found->second.Store_ != Row.Store_)
      Seen_.erase(Found);
  }
}

void GroupKeeper::sighted(TimePoint Now, const wire::JoinGroup &Notice) {
  // A process that is still bootstrapping has no data folder.
  if (!Notice.Store_)
    return;
  forgetReplacedStores();
  Seen_[Notice.Id_] = {
      .Store_ = Notice.Store_, .Address_ = Notice.Address_, .SeenAt_ = Now};
}

std::size_t GroupKeeper::countVoters() const {
  return static_cast<std::size_t>(
      std::ranges::count(Log_.members(), true, &consensus::Member::Voter_));
}

bool GroupKeeper::replacementIsDue(TimePoint Now,
                                   const GroupPlanOptions &Options) const {
  const bool LacksVoters = countVoters() < Options.Voters_;
  return std::ranges::any_of(Log_.members(), [&](const consensus::Member &Row) {
    const auto Found = Seen_.find(Row.Id_);
    if (Row.Id_ == Options.Self_ || Found == Seen_.end() ||
        Now - Found->second.SeenAt_ >= Options.PresentTime_)
      return false;
    return Row.Voter_ ? Row.Store_ != Found->second.Store_ : LacksVoters;
  });
}

void GroupKeeper::tick(TimePoint Now, const GroupPlanOptions &Options) {
  if (ChangeInProgress_)
    return;
  const auto Change = nextChange(Now, Options);
  if (!Change)
    return;
  ChangeInProgress_ = true;
  Log_.changeMember(
      Change->Target_, Change->Remove_,
      [this, Change = *Change](const consensus::ProposeResult &Result) {
        finishChange(Change, Result.Status_);
      });
}

std::optional<GroupChange>
GroupKeeper::nextChange(TimePoint Now, const GroupPlanOptions &Options) {
  std::vector<ReplicaId> Lagging;
  while (auto Change = planGroupChange(Options, Log_.members(), Seen_,
                                       LeaderSince_, Now, Lagging)) {
    const auto Obstacle = Log_.changeObstacle(Change->Target_, Change->Remove_);
    if (!Obstacle)
      return Change;
    noteDelay(*Change, *Obstacle);
    // Until a learner has caught up, another one may be promoted.
    if (*Obstacle != ChangeObstacle::NotCaughtUp)
      return std::nullopt;
    Lagging.push_back(Change->Target_.Id_);
  }
  return std::nullopt;
}

void GroupKeeper::noteDelay(const GroupChange &Change,
                            ChangeObstacle Obstacle) {
  if (!LoggedDelays_[Change.Target_.Id_]
           .insert({roleOf(Change), Obstacle})
           .second)
    return;
  logEvent(Event::MemberChangeDelayed, {{"replica", Change.Target_.Id_.Value_},
                                        {"role", roleOf(Change)},
                                        {"reason", enumName(Obstacle)}});
}

void GroupKeeper::finishChange(const GroupChange &Change,
                               ProposeStatus Status) {
  ChangeInProgress_ = false;
  if (Status != ProposeStatus::Committed)
    return;
  LoggedDelays_.erase(Change.Target_.Id_);
  logEvent(Event::MemberChanged, {{"replica", Change.Target_.Id_.Value_},
                                  {"store", Change.Target_.Store_.Value_},
                                  {"role", roleOf(Change)},
                                  {"voters", countVoters()},
                                  {"address", Change.Target_.Address_}});
}

} // namespace dragonfly::control
