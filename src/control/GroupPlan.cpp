#include "dragonfly/control/GroupPlan.h"

#include <algorithm>

namespace dragonfly::control {

using consensus::Member;

namespace {

class Planner {
public:
  Planner(const GroupPlanOptions &Options, const std::vector<Member> &Members,
          const std::map<ReplicaId, ReplicaSighting> &Seen, TimePoint Since,
          TimePoint Now, const std::vector<ReplicaId> &Refused)
      : Options_(Options), Members_(Members), Seen_(Seen), Since_(Since),
        Now_(Now), Refused_(Refused) {}

  std::optional<GroupChange> plan() const {
    if (auto Change = admitNewStore())
      return Change;
    const auto Voters = static_cast<std::size_t>(
        std::ranges::count(Members_, true, &Member::Voter_));
    const Member *Missing = missingVoter();
    const bool TooFew = Voters < Options_.Voters_;
    const bool Replace = Voters == Options_.Voters_ && Missing != nullptr;
    if (TooFew || Replace)
      if (const Member *Learner = promotable())
        return change(*Learner, true);
    if (Voters > Options_.Voters_)
      if (const Member *Surplus = Missing != nullptr ? Missing : anyOther())
        return change(*Surplus, false);
    return removeLearner();
  }

private:
  static GroupChange change(Member Target, bool Voter) {
    Target.Voter_ = Voter;
    return {.Target_ = std::move(Target)};
  }

  /// How long ago \p Id was seen with \p Store.
  Duration absence(const Member &Row) const {
    if (Row.Id_ == Options_.Self_)
      return {};
    const auto It = Seen_.find(Row.Id_);
    const bool SameStore = It != Seen_.end() && It->second.Store_ == Row.Store_;
    return Now_ - (SameStore ? std::max(It->second.SeenAt_, Since_) : Since_);
  }

  bool isPresent(const Member &Row) const {
    const auto It = Seen_.find(Row.Id_);
    return It != Seen_.end() && It->second.Store_ == Row.Store_ &&
           Now_ - It->second.SeenAt_ < Options_.PresentTime_;
  }

  /// A replica that is no member, or whose data folder is another one, joins
  /// as a learner.
  std::optional<GroupChange> admitNewStore() const {
    for (const auto &[Id, Sighting] : Seen_) {
      if (Id == Options_.Self_ ||
          Now_ - Sighting.SeenAt_ >= Options_.PresentTime_)
        continue;
      const auto Row = std::ranges::find(Members_, Id, &Member::Id_);
      if (Row != Members_.end() && Row->Store_ == Sighting.Store_)
        continue;
      return GroupChange{.Target_ = {.Id_ = Id,
                                     .Store_ = Sighting.Store_,
                                     .Voter_ = false,
                                     .Address_ = Sighting.Address_}};
    }
    return std::nullopt;
  }

  const Member *missingVoter() const {
    const auto Row = std::ranges::find_if(Members_, [this](const Member &Each) {
      return Each.Voter_ && absence(Each) >= Options_.VoterTimeout_;
    });
    return Row == Members_.end() ? nullptr : &*Row;
  }

  const Member *promotable() const {
    const auto Row = std::ranges::find_if(Members_, [this](const Member &Each) {
      return !Each.Voter_ && isPresent(Each) &&
             std::ranges::find(Refused_, Each.Id_) == Refused_.end();
    });
    return Row == Members_.end() ? nullptr : &*Row;
  }

  const Member *anyOther() const {
    const auto Row = std::ranges::find_if(Members_, [this](const Member &Each) {
      return Each.Voter_ && Each.Id_ != Options_.Self_;
    });
    return Row == Members_.end() ? nullptr : &*Row;
  }

  std::optional<GroupChange> removeLearner() const {
    const auto Row = std::ranges::find_if(Members_, [this](const Member &Each) {
      return !Each.Voter_ && absence(Each) >= Options_.LearnerTimeout_;
    });
    if (Row == Members_.end())
      return std::nullopt;
    return GroupChange{.Target_ = *Row, .Remove_ = true};
  }

  const GroupPlanOptions &Options_;
  const std::vector<Member> &Members_;
  const std::map<ReplicaId, ReplicaSighting> &Seen_;
  TimePoint Since_;
  TimePoint Now_;
  const std::vector<ReplicaId> &Refused_;
};

} // namespace

std::optional<GroupChange> planGroupChange(
    const GroupPlanOptions &Options, const std::vector<Member> &Members,
    const std::map<ReplicaId, ReplicaSighting> &Seen, TimePoint Since,
    TimePoint Now, const std::vector<ReplicaId> &Refused) {
  return Planner(Options, Members, Seen, Since, Now, Refused).plan();
}

} // namespace dragonfly::control
