#include "dragonfly/consensus/ReplicatedLog.h"

#include "consensus/RaftCore.h"

namespace dragonfly::consensus {

struct ReplicatedLog::Impl {
  RaftCore Core_;
};

ReplicatedLog::ReplicatedLog(ReplicatedLogOptions Options,
                             std::unique_ptr<Storage> Disk, TimePoint Now)
    : Impl_(new Impl{RaftCore(std::move(Options), std::move(Disk), Now)}) {}

ReplicatedLog::~ReplicatedLog() = default;

void ReplicatedLog::tick(TimePoint Now) { Impl_->Core_.tick(Now); }

void ReplicatedLog::receive(TimePoint Now, ReplicaId From,
                            std::string_view Bytes) {
  Impl_->Core_.receive(Now, From, Bytes);
}

void ReplicatedLog::propose(std::string Command,
                            std::function<void(ProposeResult)> Done) {
  Impl_->Core_.propose(std::move(Command), std::move(Done));
}

void ReplicatedLog::readBarrier(std::function<void(bool)> Done) {
  Impl_->Core_.readBarrier(std::move(Done));
}

void ReplicatedLog::changeMember(Member Target, bool Remove,
                                 std::function<void(ProposeResult)> Done) {
  Impl_->Core_.changeMember(std::move(Target), Remove, std::move(Done));
}

std::optional<ChangeObstacle>
ReplicatedLog::changeObstacle(const Member &Target, bool Remove) const {
  return Impl_->Core_.changeObstacle(Target, Remove);
}

void ReplicatedLog::transferLeadership() { Impl_->Core_.transferLeadership(); }

void ReplicatedLog::requestSnapshot() { Impl_->Core_.requestSnapshot(); }

std::size_t ReplicatedLog::snapshotBytes() const {
  return Impl_->Core_.snapshotBytes();
}

void ReplicatedLog::visitUnapplied(
    const std::function<void(std::string_view Command)> &Visit) const {
  Impl_->Core_.visitUnapplied(Visit);
}

RaftRole ReplicatedLog::role() const { return Impl_->Core_.role(); }

bool ReplicatedLog::holdsLeaderLease(TimePoint Now) const {
  return Impl_->Core_.holdsLeaderLease(Now);
}

ReplicaId ReplicatedLog::leader() const { return Impl_->Core_.leader(); }
Term ReplicatedLog::term() const { return Impl_->Core_.term(); }
LogIndex ReplicatedLog::commitIndex() const {
  return Impl_->Core_.commitIndex();
}
LogIndex ReplicatedLog::appliedIndex() const {
  return Impl_->Core_.appliedIndex();
}
const std::vector<Member> &ReplicatedLog::members() const {
  return Impl_->Core_.members();
}
StoreId ReplicatedLog::store() const { return Impl_->Core_.store(); }

} // namespace dragonfly::consensus
