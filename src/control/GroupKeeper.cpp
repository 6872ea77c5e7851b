#include "control/GroupKeeper.h"

#include "dragonfly/base/Log.h"

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
  Seen_.clear();
}

void GroupKeeper::sighted(TimePoint Now, const wire::JoinGroup &Notice) {
  Seen_[Notice.Id_] = {
      .Store_ = Notice.Store_, .Address_ = Notice.Address_, .SeenAt_ = Now};
}

void GroupKeeper::tick(TimePoint Now, const GroupPlanOptions &Options) {
  if (ChangeInProgress_)
    return;
  if (Now >= RefusedUntil_)
    Refused_.clear();
  const auto Change = planGroupChange(Options, Log_.members(), Seen_,
                                      LeaderSince_, Now, Refused_);
  if (!Change)
    return;
  noteDelay(*Change, Log_.changeObstacle(Change->Target_, Change->Remove_));
  ChangeInProgress_ = true;
  Log_.changeMember(
      Change->Target_, Change->Remove_,
      [this, Change = *Change, RetryAt = Now + Options.PresentTime_](
          const consensus::ProposeResult &Result) {
        finishChange(RetryAt, Change, Result.Status_);
      });
}

void GroupKeeper::noteDelay(const GroupChange &Change,
                            std::optional<ChangeObstacle> Obstacle) {
  if (Obstacle && Obstacle != LastObstacle_)
    logEvent(Event::MemberChangeDelayed,
             {{"replica", Change.Target_.Id_.Value_},
              {"role", roleOf(Change)},
              {"reason", enumName(*Obstacle)}});
  LastObstacle_ = Obstacle;
}

void GroupKeeper::finishChange(TimePoint RetryAt, const GroupChange &Change,
                               ProposeStatus Status) {
  ChangeInProgress_ = false;
  if (Status != ProposeStatus::Committed) {
    Refused_.push_back(Change.Target_.Id_);
    RefusedUntil_ = RetryAt;
    return;
  }
  logEvent(Event::MemberChanged, {{"replica", Change.Target_.Id_.Value_},
                                  {"store", Change.Target_.Store_.Value_},
                                  {"role", roleOf(Change)},
                                  {"address", Change.Target_.Address_}});
}

} // namespace dragonfly::control
