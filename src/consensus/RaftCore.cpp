#include "consensus/RaftCore.h"

#include "dragonfly/base/Log.h"

namespace dragonfly::consensus {

/// How often a full disk is tried again; an election takes longer.
static constexpr Duration DiskRetryPeriod = std::chrono::milliseconds(100);

RaftCore::RaftCore(ReplicatedLogOptions Options, std::unique_ptr<Storage> Disk,
                   TimePoint Now)
    : Options_(std::move(Options)), Disk_(std::move(Disk)),
      Random_(Options_.Seed_), Now_(Now), LeaderHeardAt_(Now) {
  recover();
  restartElectionTimer();
}

void RaftCore::recover() {
  Recovered Found = Disk_->recover();
  Store_ = Found.Store_;
  Hard_ = Found.Hard_;
  Snapshot_ = std::make_shared<Snapshot>(std::move(Found.Snapshot_));
  Commit_ = Applied_ = Snapshot_->Index_;
  Log_.reset(Snapshot_->Index_, Snapshot_->Term_);
  Members_.reset({}, Options_.FirstMembers_);
  if (Snapshot_->Index_) {
    Members_.reset(Snapshot_->Index_, decodeMembers(Snapshot_->Members_));
    Options_.Machine_.Restore_(Snapshot_->State_);
  }
  for (Record &Value : Found.Records_) {
    if (Value.Kind_ == RecordKind::Membership)
      Members_.add(Value.Index_, decodeMembers(Value.Payload_));
    Log_.append(std::move(Value));
  }
}

void RaftCore::tick(TimePoint Now) {
  Now_ = Now;
  if (Role_ == RaftRole::Leader)
    tickLeader();
  else
    tickElection();
  flush();
  advanceCommit();
  applyCommitted();
  finishBarriers();
  takeSnapshot();
  runDeferred();
}

void RaftCore::receive(TimePoint Now, ReplicaId From, std::string_view Bytes) {
  Now_ = Now;
  try {
    const Envelope Value = decodeEnvelope(Bytes);
    if (acceptsEnvelope(From, Value))
      std::visit([&](const auto &Message) { on(From, Value.From_, Message); },
                 Value.Message_);
  } catch (const CodecError &Failure) {
    logEvent(Event::ReplicaMessageRejected,
             {{"from", From.Value_}, {"type", Failure.type()}});
  } catch (const StorageError &Failure) {
    noteDiskFull(Failure);
  }
}

/// A message for the former store of this replica is answered with the name of
/// the present one, and has no other effect.
bool RaftCore::acceptsEnvelope(ReplicaId From, const Envelope &Value) {
  if (std::holds_alternative<StoreMismatch>(Value.Message_) || !Value.To_ ||
      Value.To_ == Store_)
    return true;
  exclude(Value.To_);
  post(From, {}, StoreMismatch{Value.To_});
  return false;
}

void RaftCore::post(ReplicaId To, StoreId ToStore, RaftMessage Value) {
  AfterSync_.push_back(
      {To, encodeEnvelope({Store_, ToStore, std::move(Value)})});
}

void RaftCore::postEarly(ReplicaId To, StoreId ToStore, RaftMessage Value) {
  Early_.push_back({To, encodeEnvelope({Store_, ToStore, std::move(Value)})});
}

void RaftCore::flush() {
  const auto SendAll = [this](std::vector<Outgoing> Messages) {
    for (Outgoing &Value : Messages)
      Options_.Send_(Value.To_, std::move(Value.Bytes_));
  };
  if (!HardDirty_)
    SendAll(std::exchange(Early_, {}));
  if (!makeDurable()) {
    // None of these may be said; peers ask again.
    Early_.clear();
    AfterSync_.clear();
    return;
  }
  SendAll(std::exchange(Early_, {}));
  SendAll(std::exchange(AfterSync_, {}));
}

/// Returns false while the disk is full.
bool RaftCore::makeDurable() {
  if (DiskFull_) {
    if (Now_ < DiskRetryAt_)
      return false;
    // Tells whether there is room, also where nothing else waits.
    HardDirty_ = true;
  }
  try {
    if (HardDirty_)
      Disk_->saveHardState(Hard_);
    if (Dirty_ || HardDirty_)
      Disk_->sync();
  } catch (const StorageError &Failure) {
    noteDiskFull(Failure);
    return false;
  }
  Dirty_ = HardDirty_ = false;
  if (std::exchange(DiskFull_, false))
    logEvent(Event::DiskHasRoom, {{"replica", Options_.Self_.Value_}});
  return true;
}

/// Gives up leadership after \p Failure; throws it on where it is not that the
/// disk is full.
void RaftCore::noteDiskFull(const StorageError &Failure) {
  if (Failure.code() != StorageFault::DiskFull)
    throw StorageError(Failure);
  DiskRetryAt_ = Now_ + DiskRetryPeriod;
  if (!std::exchange(DiskFull_, true))
    logEvent(Event::DiskFull,
             {{"replica", Options_.Self_.Value_}, {"detail", Failure.what()}});
  if (Role_ != RaftRole::Follower)
    becomeFollower(Hard_.Term_, {});
}

void RaftCore::later(std::function<void()> Work) {
  Deferred_.push_back(std::move(Work));
}

void RaftCore::runDeferred() {
  for (const std::function<void()> &Work : std::exchange(Deferred_, {}))
    Work();
}

void RaftCore::appendRecord(Record Value) {
  Disk_->append(Value);
  Dirty_ = true;
  if (Value.Kind_ == RecordKind::Membership)
    Members_.add(Value.Index_, decodeMembers(Value.Payload_));
  Log_.append(std::move(Value));
}

void RaftCore::truncateLog(LogIndex From) {
  Disk_->truncateFrom(From);
  Dirty_ = true;
  Log_.truncateFrom(From);
  Members_.truncateFrom(From);
}

void RaftCore::adoptTerm(Term Value) {
  Hard_ = {Value, {}};
  HardDirty_ = true;
}

bool RaftCore::isSelf(const Member &Row) const {
  return Row.Id_ == Options_.Self_ && (!Row.Store_ || Row.Store_ == Store_);
}

Stamp RaftCore::makeStamp() const {
  return {Round_, Now_.time_since_epoch().count()};
}

} // namespace dragonfly::consensus
