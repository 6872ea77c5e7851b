#include "faults/ConsensusScenario.h"

#include "dragonfly/base/Error.h"

#include <algorithm>

namespace dragonfly::faults {

using namespace std::chrono_literals;
using namespace bench;
using namespace consensus;

namespace {

constexpr Duration WarmUp = 2s;
constexpr Duration BetweenProvocations = 2s;
constexpr int MaxProvocations = 8;
/// Longer than the leader's lease and the election that follows it.
constexpr Duration Outage = 3s;
constexpr Duration Lateness = 4s;
constexpr Duration Aftermath = 5s;
constexpr Duration RepairPatience = 60s;
constexpr std::uint64_t LoadPeriodSteps = 7;
constexpr std::uint64_t ReadPeriodSteps = 11;
constexpr std::uint64_t OperatorPeriodSteps = 50;
constexpr std::uint64_t HandOverPeriodSteps = 400;
constexpr std::uint32_t LostMessages = 3;
constexpr std::uint32_t DoubledMessages = 30;
constexpr std::int64_t FastPermille = 1020;
constexpr std::int64_t SlowPermille = 980;

/// A change of membership is brought about by a lost disk, and a fault that
/// loses another must leave a majority.
std::size_t replicasFor(Step AtStep) {
  return AtStep == Step::MembershipChange ? 5 : 3;
}

/// Steps that only a leader takes are taken next by another replica, where the
/// first one was killed.
bool isLeaderStep(Step Value) {
  return Value == Step::Commit || Value == Step::Read;
}

Step toStep(DiskStep Value) {
  switch (Value) {
  case DiskStep::Append:
    return Step::Append;
  case DiskStep::AppendMembership:
    return Step::MembershipChange;
  case DiskStep::SaveHardState:
    return Step::Vote;
  case DiskStep::SaveSnapshot:
    return Step::Snapshot;
  case DiskStep::Sync:
    return Step::Sync;
  }
  return Step::Sync;
}

} // namespace

ConsensusScenario::ConsensusScenario(Step AtStep, Fault Kind,
                                     std::uint64_t Seed, ScenarioHooks Hooks)
    : Hooks_(std::move(Hooks)), Step_(AtStep), Fault_(Kind), Seed_(Seed),
      Random_(Seed),
      Group_({.Replicas_ = replicasFor(AtStep),
              .Seed_ = Seed,
              .SnapshotEveryRecords_ = Hooks_.SnapshotEveryRecords_,
              .MaxBatchBytes_ = 256,
              .Machine_ = Hooks_.Machine_}),
      Skip_(Seed % 7) {
  if (Fault_ == Fault::SameFaultTwice)
    StrikesLeft_ = 2;
  Replica &Odd = Group_.replicas()[Seed % Group_.replicas().size()];
  if (Fault_ == Fault::ClockFast)
    Odd.ClockPermille_ = FastPermille;
  if (Fault_ == Fault::ClockSlow)
    Odd.ClockPermille_ = SlowPermille;
  for (const Replica &Row : Group_.replicas())
    Group_.start(Row.Id_);
  observe();
}

void ConsensusScenario::observe() {
  Group_.OnDisk_ = [this](ReplicaId Id, DiskStep Reached, bool After) {
    if (FullDiskOf_ == Id && !After)
      throw StorageError(StorageFault::DiskFull, "test");
    if (FailSyncOf_ == Id && Reached == DiskStep::Sync && !After) {
      FailSyncOf_.reset();
      throw StorageError(StorageFault::CannotSync, "test");
    }
    onStep(Id, toStep(Reached), After);
  };
  Group_.OnApply_ = [this](ReplicaId Id, std::string_view Command, bool After) {
    if (After) {
      const std::vector<std::string> &Applied = Group_.replica(Id).Applied_;
      History_.applied(Applied.size() - 1, Applied.back());
    }
    if (!Hooks_.StrikesAt_ || Hooks_.StrikesAt_(Command))
      onStep(Id, Step::Apply, After);
  };
  Group_.OnRestore_ = [this](ReplicaId Id, bool After) {
    const std::vector<std::string> &Applied = Group_.replica(Id).Applied_;
    for (std::size_t I = 0; After && I < Applied.size(); ++I)
      History_.applied(I, Applied[I]);
    onStep(Id, Step::Install, After);
  };
  Group_.OnReceive_ = [this](const RoutedBytes &Value, bool After) {
    if (Group_.replica(Value.To_).Log_->role() == RaftRole::Leader)
      onStep(Value.To_, Step::Commit, After);
  };
  Group_.Route_ = [this](const RoutedBytes &Value) { return route(Value); };
  Group_.OnTime_ = [this] { onTime(); };
}

void ConsensusScenario::onStep(ReplicaId Id, Step Reached, bool After) {
  if (!Armed_ || Reached != Step_ || StrikesLeft_ == 0 ||
      (Struck_ && *Struck_ != Id && !isLeaderStep(Step_)))
    return;
  const bool StrikesBefore =
      Fault_ == Fault::KilledBefore || Fault_ == Fault::TornWrite ||
      (Fault_ == Fault::SyncFailed && Step_ == Step::Sync);
  if (After == StrikesBefore)
    return;
  if (Skip_ > 0) {
    --Skip_;
    return;
  }
  --StrikesLeft_;
  Struck_ = Id;
  strike(Id, After);
}

void ConsensusScenario::strike(ReplicaId Id, bool After) {
  switch (Fault_) {
  case Fault::KilledBefore:
  case Fault::KilledAfter:
  case Fault::SameFaultTwice:
    throw ProcessKilled{};
  case Fault::TornWrite:
    throw ProcessKilled{.Torn_ = true};
  case Fault::DiskLost:
    LoseDiskOf_ = Id;
    throw ProcessKilled{};
  case Fault::SecondFault:
    SecondAt_ = Id;
    if (Seed_ % 2 == 0)
      LoseDiskOf_ = Id;
    throw ProcessKilled{};
  case Fault::SyncFailed:
    if (!After)
      throw StorageError(StorageFault::CannotSync, "test");
    FailSyncOf_ = Id;
    return;
  default:
    strikeLater(Id);
  }
}

/// Faults that leave the process running.
void ConsensusScenario::strikeLater(ReplicaId Id) {
  EndsAt_ = Group_.now() + Outage;
  const Replica *Leader = Group_.leader();
  switch (Fault_) {
  case Fault::FrozenPastLease:
    Group_.replica(Id).Frozen_ = true;
    break;
  case Fault::MessageLost:
    SpecialMessages_ = LostMessages;
    break;
  case Fault::MessageDoubled:
    SpecialMessages_ = DoubledMessages;
    break;
  case Fault::MessageDelayed:
    SpecialMessages_ = LostMessages;
    break;
  case Fault::OneWayCut:
    cutFor(Id, Seed_ % 2 == 0, Seed_ % 2 == 1);
    break;
  case Fault::TwoWayCut:
    cutFor(Id, true, true);
    break;
  case Fault::DiskFull:
    FullDiskOf_ = Id;
    break;
  default:
    cutFor(Leader ? Leader->Id_ : Id, true, true);
  }
}

void ConsensusScenario::cutFor(ReplicaId Id, bool Outgoing, bool Incoming) {
  for (const Replica &Row : Group_.replicas()) {
    if (Outgoing)
      Group_.cut(Id, Row.Id_);
    if (Incoming)
      Group_.cut(Row.Id_, Id);
  }
}

/// Messages take 1 to 5 ms and so overtake each other.
std::vector<Duration> ConsensusScenario::route(const RoutedBytes &Value) {
  const auto Delay = [this] {
    constexpr std::uint64_t Spread = 5;
    return Duration(1ms) * static_cast<std::int64_t>(1 + Random_() % Spread);
  };
  if (SpecialMessages_ == 0 || Struck_ != Value.From_)
    return {Delay()};
  --SpecialMessages_;
  switch (Fault_) {
  case Fault::MessageLost:
    return {};
  case Fault::MessageDoubled:
    return {Delay(), Delay() * 20};
  default:
    if (SpecialMessages_ == 0)
      cutFor(Value.From_, true, true);
    return {Lateness};
  }
}

void ConsensusScenario::provoke() {
  const Replica *Leader = Group_.leader();
  if (!Leader)
    return;
  const ReplicaId Follower{Leader->Id_.Value_ % 3 + 1};
  if (Step_ == Step::Vote)
    Group_.kill(Leader->Id_, false);
  if (Step_ == Step::MembershipChange)
    Group_.loseDisk(Follower);
  if (Step_ == Step::Install) {
    cutFor(Follower, true, true);
    Group_.run(1s);
    Group_.heal();
  }
}

void ConsensusScenario::onTime() {
  ++Steps_;
  if (LoseDiskOf_)
    Group_.loseDisk(*std::exchange(LoseDiskOf_, {}));
  if (EndsAt_ && *EndsAt_ <= Group_.now()) {
    EndsAt_.reset();
    FullDiskOf_.reset();
    Group_.heal();
    for (Replica &Row : Group_.replicas())
      Row.Frozen_ = false;
  }
  const bool Repairing = SecondAt_ && Group_.replica(*SecondAt_).Log_ &&
                         Steps_ % OperatorPeriodSteps == 0;
  if (Repairing) {
    const ReplicaId Other{SecondAt_->Value_ % 3 + 1};
    SecondAt_.reset();
    if (Seed_ % 2 == 0)
      Group_.kill(Other, false);
    else
      Group_.loseDisk(Other);
  }
  for (const Replica &Row : Group_.replicas())
    if (Row.Log_ && Row.Log_->role() == RaftRole::Leader)
      History_.leads(Row.Id_, Row.Log_->term(),
                     Row.Log_->holdsLeaderLease(Group_.localNow(Row)));
  if (FullDiskOf_ && !Group_.replica(*FullDiskOf_).Log_)
    History_.violated(Promise::Progress, "a full disk ended the process");
  if (Hooks_.HandsOver_ && Steps_ % HandOverPeriodSteps == 0)
    for (Replica &Row : Group_.replicas())
      if (Row.Log_ && !Row.Frozen_)
        Row.Log_->transferLeadership();
  if (Hooks_.Load_)
    Hooks_.Load_();
  else
    load();
  operate();
}

/// Proposes and reads at every replica that takes itself for the leader.
void ConsensusScenario::load() {
  for (Replica &Row : Group_.replicas()) {
    if (!Row.Log_ || Row.Frozen_)
      continue;
    if (Steps_ % LoadPeriodSteps == 0)
      Group_.within(Row, [&] {
        Proposal &Entry = History_.propose(
            "command " + std::to_string(++Commands_), Group_.now());
        Row.Log_->propose(Entry.Command_,
                          [this, &Entry](const ProposeResult &Result) {
                            if (Entry.Completed_)
                              History_.violated(Promise::ExactlyOnce,
                                                "answer of " + Entry.Command_);
                            Entry.Completed_ = Group_.now();
                            Entry.Status_ = Result.Status_;
                          });
      });
    if (Row.Log_ && Steps_ % ReadPeriodSteps == 0)
      readAt(Row);
  }
}

void ConsensusScenario::readAt(Replica &Target) {
  const ReplicaId Id = Target.Id_;
  Group_.within(Target, [&] {
    const bool Leads = Target.Log_->role() == RaftRole::Leader;
    if (Leads)
      onStep(Id, Step::Read, false);
    Target.Log_->readBarrier([this, Id, Invoked = Group_.now()](bool Fresh) {
      if (Fresh)
        History_.read({.Invoked_ = Invoked,
                       .Completed_ = Group_.now(),
                       .Seen_ = Group_.replica(Id).Applied_.size()});
    });
    if (Leads)
      onStep(Id, Step::Read, true);
  });
}

/// Replaces lost folders: first as a learner, then as a voter again.
void ConsensusScenario::operate() {
  Replica *Leader = Group_.leader();
  if (!Leader || Steps_ % OperatorPeriodSteps != 0)
    return;
  for (const Member &Row : std::vector<Member>(Leader->Log_->members())) {
    const StoreId Store = Group_.replica(Row.Id_).Disk_->Current_.Store_;
    if (!Leader->Log_ || (Row.Store_ == Store && Row.Voter_))
      continue;
    Member Target = Row;
    Target.Voter_ = Row.Store_ == Store;
    Target.Store_ = Store;
    Group_.within(*Leader, [&] {
      Leader->Log_->changeMember(Target, false, [](const ProposeResult &) {});
    });
  }
}

bool ConsensusScenario::isWhole() {
  const Replica *Leader = Group_.leader();
  return Leader &&
         std::ranges::all_of(Leader->Log_->members(), [&](const Member &Row) {
           const Replica &Held = Group_.replica(Row.Id_);
           return Held.Log_ && !Held.Frozen_ && Row.Voter_ &&
                  Row.Store_ == Held.Disk_->Current_.Store_ &&
                  Held.Log_->commitIndex() >= Leader->Log_->commitIndex();
         });
}

void ConsensusScenario::repair() {
  Group_.heal();
  for (Replica &Row : Group_.replicas())
    Row.Frozen_ = false;
  if (!Group_.runUntil([this] { return isWhole(); }, RepairPatience))
    History_.violated(Promise::Progress, "the group is not whole");
  const std::size_t Before = History_.committed();
  if (!Group_.runUntil([&] { return History_.committed() > Before; },
                       RepairPatience))
    History_.violated(Promise::Progress, "nothing commits");
}

std::vector<Violation> ConsensusScenario::run() {
  Group_.run(WarmUp);
  Armed_ = true;
  for (int I = 0; I < MaxProvocations && StrikesLeft_ > 0; ++I) {
    provoke();
    Group_.run(BetweenProvocations);
  }
  if (StrikesLeft_ > 0)
    History_.violated(Promise::FaultStruck,
                      std::to_string(StrikesLeft_) + " left");
  Armed_ = false;
  Group_.run(Aftermath);
  repair();
  return History_.check();
}

} // namespace dragonfly::faults
