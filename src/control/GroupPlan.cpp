#include "dragonfly/control/GroupPlan.h"

#include <algorithm>

namespace dragonfly::control {

using consensus::Member;

namespace {

class Planner {
public:
  Planner(const GroupPlanOptions &Options, const std::vector<Member> &Members,
          const std::map<ReplicaId, ReplicaSighting> &Seen,
          TimePoint LeaderSince, TimePoint Now,
          const std::vector<ReplicaId> &Lagging)
      : Options_(Options), Members_(Members), Seen_(Seen),
        LeaderSince_(LeaderSince), Now_(Now), Lagging_(Lagging) {}

  std::optional<GroupChange> plan() const {
    if (auto Change = admitNewStore())
      return Change;
    const auto Voters = static_cast<std::size_t>(
        std::ranges::count(Members_, true, &Member::Voter_));
    const Member *AbsentVoter = absentVoter();
    const bool TooFewVoters = Voters < Options_.Voters_;
    const bool ReplaceVoter =
        Voters == Options_.Voters_ && AbsentVoter != nullptr;
    if (TooFewVoters || ReplaceVoter)
      if (const Member *Learner = promotableLearner())
        return setVoter(*Learner, true);
    if (Voters > Options_.Voters_)
      if (const Member *Surplus =
              AbsentVoter != nullptr ? AbsentVoter : otherVoter())
        return setVoter(*Surplus, false);
    return removeAbsentLearner();
  }

private:
  static GroupChange setVoter(Member Target, bool Voter) {
    Target.Voter_ = Voter;
    return {.Target_ = std::move(Target)};
  }

  /// Returns the time since \p Row was last seen with its current store,
  /// counted from the start of this leadership at the earliest; zero for this
  /// replica.
  Duration absence(const Member &Row) const {
    if (Row.Id_ == Options_.Self_)
      return {};
    const auto It = Seen_.find(Row.Id_);
    const bool SameStore = It != Seen_.end() && It->second.Store_ == Row.Store_;
    return Now_ - (SameStore ? std::max(It->second.SeenAt_, LeaderSince_)
                             : LeaderSince_);
  }

  bool isPresent(const Member &Row) const {
    const auto It = Seen_.find(Row.Id_);
    return It != Seen_.end() && It->second.Store_ == Row.Store_ &&
           Now_ - It->second.SeenAt_ < Options_.PresentTime_;
  }

  /// Adds a present replica as a learner if it is not a member or its store id
  /// differs from the member's, as after a lost disk.
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

  const Member *absentVoter() const {
    const auto Row =
        std::ranges::find_if(Members_, [this](const Member &Candidate) {
          return Candidate.Voter_ &&
                 absence(Candidate) >= Options_.VoterTimeout_;
        });
    return Row == Members_.end() ? nullptr : &*Row;
  }

  const Member *promotableLearner() const {
    const auto Row =
        std::ranges::find_if(Members_, [this](const Member &Candidate) {
          return !Candidate.Voter_ && isPresent(Candidate) &&
                 std::ranges::find(Lagging_, Candidate.Id_) == Lagging_.end();
        });
    return Row == Members_.end() ? nullptr : &*Row;
  }

  const Member *otherVoter() const {
    const auto Row =
        std::ranges::find_if(Members_, [this](const Member &Candidate) {
          return Candidate.Voter_ && Candidate.Id_ != Options_.Self_;
        });
    return Row == Members_.end() ? nullptr : &*Row;
  }

  std::optional<GroupChange> removeAbsentLearner() const {
    const auto Row =
        std::ranges::find_if(Members_, [this](const Member &Candidate) {
          return !Candidate.Voter_ &&
                 absence(Candidate) >= Options_.LearnerTimeout_;
        });
    if (Row == Members_.end())
      return std::nullopt;
    return GroupChange{.Target_ = *Row, .Remove_ = true};
  }

  const GroupPlanOptions &Options_;
  const std::vector<Member> &Members_;
  const std::map<ReplicaId, ReplicaSighting> &Seen_;
  TimePoint LeaderSince_;
  TimePoint Now_;
  const std::vector<ReplicaId> &Lagging_;
};

} // namespace

std::optional<GroupChange> planGroupChange(
    const GroupPlanOptions &Options, const std::vector<Member> &Members,
    const std::map<ReplicaId, ReplicaSighting> &Seen, TimePoint LeaderSince,
    TimePoint Now, const std::vector<ReplicaId> &Lagging) {
  return Planner(Options, Members, Seen, LeaderSince, Now, Lagging).plan();
}

} // namespace dragonfly::control
