#include "consensus/RaftCore.h"

#include "dragonfly/base/Log.h"

#include <boost/crc.hpp>

#include <algorithm>

namespace dragonfly::consensus {

/// Longest state that a follower takes, in bytes.
static constexpr std::uint64_t MaxSnapshotBytes = 256U << 20U;
/// Share of the records between two snapshots that stays in memory behind
/// one, so that a follower that lags a little needs no transfer.
static constexpr std::uint64_t RetainedShare = 4;

/// Payload bytes in memory beyond which no record is kept for a peer.
static constexpr std::size_t MaxRetainedBytes = 16U << 20U;

/// Payload bytes behind a snapshot up to which it is sent to a peer as it is.
static constexpr std::uint64_t MinFreshSnapshotBytes = 1U << 20U;

/// How soon a snapshot that found no room is made again.
static constexpr Duration SnapshotRetryPeriod = std::chrono::seconds(1);

static std::uint32_t checksumOf(std::string_view Bytes) {
  boost::crc_32_type Crc;
  Crc.process_bytes(Bytes.data(), Bytes.size());
  return Crc.checksum();
}

bool RaftCore::needsSnapshot(const Peer &Row) const {
  if (Row.Transfer_ || Row.Next_ <= Log_.baseIndex())
    return true;
  const bool HoldsNothing = Row.Next_ == nextIndex({});
  return HoldsNothing && (Snapshot_->Index_ || isFreshSnapshotWorthwhile());
}

bool RaftCore::isFreshSnapshotWorthwhile() const {
  return LogBytes_ > std::max<std::uint64_t>(MinFreshSnapshotBytes,
                                             Snapshot_->State_.size()) &&
         Now_ >= SnapshotRetryAt_;
}

bool RaftCore::isSnapshotDue() const {
  const std::uint64_t Records = Applied_.Value_ - Snapshot_->Index_.Value_;
  return Records >= Options_.SnapshotEveryRecords_ ||
         (Records > 0 &&
          (FreshSnapshotDue_ ||
           (Options_.MaxLogBytes_ > 0 && LogBytes_ >= Options_.MaxLogBytes_)));
}

void RaftCore::takeSnapshot() {
  if (!isSnapshotDue() || Now_ < SnapshotRetryAt_)
    return;
  FreshSnapshotDue_ = false;
  auto Fresh = std::make_shared<Snapshot>(
      Snapshot{Applied_, *Log_.termAt(Applied_),
               encodeMembers(Members_.membersAt(Applied_)),
               Options_.Machine_.Snapshot_()});
  try {
    Disk_->saveSnapshot(*Fresh);
  } catch (const StorageError &Failure) {
    if (Failure.code() != StorageFault::DiskFull)
      throw;
    // The records still hold it all; whether they find room decides the rest.
    SnapshotRetryAt_ = Now_ + SnapshotRetryPeriod;
    logEvent(Event::DiskFull,
             {{"replica", Options_.Self_.Value_}, {"detail", Failure.what()}});
    return;
  }
  logEvent(Event::SnapshotSaved,
           {{"replica", Options_.Self_.Value_},
            {"index", Fresh->Index_.Value_},
            {"state_bytes", Fresh->State_.size()},
            {"records", Fresh->Index_.Value_ - Snapshot_->Index_.Value_},
            {"log_bytes", LogBytes_}});
  Snapshot_ = std::move(Fresh);
  Dirty_ = true;
  LogBytes_ = 0;
  Log_.dropThrough(retainedFrom());
  Members_.dropBefore(Snapshot_->Index_);
}

/// Records stay for the peers that follow, or that receive an older snapshot,
/// so that one that has caught up to a snapshot does not need the next.
LogIndex RaftCore::retainedFrom() const {
  const std::uint64_t Kept = Options_.SnapshotEveryRecords_ / RetainedShare;
  LogIndex Result{Snapshot_->Index_.Value_ -
                  std::min(Kept, Snapshot_->Index_.Value_)};
  // Few large records hold as much as thousands of others.
  Result =
      std::max(Result, Log_.startOfBytes(Snapshot_->Index_, MaxRetainedBytes));
  if (Log_.payloadBytes() > MaxRetainedBytes + Options_.MaxLogBytes_)
    return Result;
  for (const auto &[Id, Row] : Peers_) {
    if (Row.Transfer_)
      Result = std::min(Result, Row.Transfer_->Snapshot_->Index_);
    else if (Row.Match_ && followsClosely(Row))
      Result = std::min(Result, Row.Match_);
  }
  return Result;
}

bool RaftCore::followsClosely(const Peer &Row) const {
  return Now_ - std::max(Row.AckedAt_, Row.KnownSince_) <
         Options_.ElectionTimeout_;
}

void RaftCore::sendChunk(const Member &Row, Peer &To) {
  if (!To.Transfer_)
    To.Transfer_ = Transfer{Snapshot_, checksumOf(Snapshot_->State_), 0};
  const Transfer &From = *To.Transfer_;
  const Snapshot &Whole = *From.Snapshot_;
  InstallRequest Value{
      Hard_.Term_,
      Whole.Index_,
      Whole.Term_,
      Whole.State_.size(),
      From.Offset_,
      From.Checksum_,
      makeStamp(),
      Whole.Members_,
      Whole.State_.substr(From.Offset_, Options_.MaxBatchBytes_)};
  To.Awaiting_ = true;
  To.AwaitingSince_ = To.LastSent_ = Now_;
  postEarly(Row.Id_, Row.Store_, std::move(Value));
}

void RaftCore::on(ReplicaId From, StoreId Store, const InstallReply &Value) {
  Peer *Row = acknowledge(From, Store, Value.Term_, Value.Stamp_);
  if (!Row || !Row->Transfer_ ||
      Row->Transfer_->Snapshot_->Index_ != Value.Index_)
    return;
  Row->Awaiting_ = false;
  if (Value.Installed_) {
    Row->Match_ = std::max(Row->Match_, Value.Index_);
    Row->Next_ = std::max(Row->Next_, nextIndex(Row->Match_));
    Row->Transfer_.reset();
    noteProgress(From, *Row);
  } else if (Value.NextOffset_ <= Row->Transfer_->Snapshot_->State_.size()) {
    Row->Transfer_->Offset_ = Value.NextOffset_;
  }
}

void RaftCore::on(ReplicaId From, StoreId Store, const InstallRequest &Value) {
  InstallReply Reply{Hard_.Term_, Value.Index_, 0, false, Value.Stamp_};
  if (followLeader(From, Value.Term_)) {
    Reply.Term_ = Hard_.Term_;
    if (Value.Index_ <= Commit_)
      Reply.Installed_ = true;
    else
      takeChunk(Value, Reply);
  }
  post(From, Store, Reply);
}

void RaftCore::takeChunk(const InstallRequest &Value, InstallReply &Reply) {
  const bool Hostile = Value.TotalBytes_ > MaxSnapshotBytes ||
                       Value.Offset_ > Value.TotalBytes_ ||
                       Value.Chunk_.size() > Value.TotalBytes_ - Value.Offset_;
  if (Hostile)
    throw CodecError(CodecFault::Malformed, "a chunk exceeds its snapshot");
  if (!Incoming_ || Incoming_->Index_ != Value.Index_ ||
      Incoming_->Term_ != Value.SnapshotTerm_)
    Incoming_ = Incoming{Value.Index_, Value.SnapshotTerm_, {}};
  std::string &Bytes = Incoming_->Bytes_;
  if (Value.Offset_ == Bytes.size())
    Bytes += Value.Chunk_;
  Reply.NextOffset_ = Bytes.size();
  if (Bytes.size() != Value.TotalBytes_)
    return;
  if (checksumOf(Bytes) == Value.Checksum_) {
    install(Value, std::move(Bytes));
    Reply.Installed_ = true;
  } else {
    Reply.NextOffset_ = 0;
  }
  Incoming_.reset();
}

/// Replaces the state. Records after the snapshot stay only where the log
/// holds the snapshot's last record.
void RaftCore::install(const InstallRequest &Value, std::string State) {
  std::vector<Member> Rows = decodeMembers(Value.Members_);
  const bool Extends = Log_.termAt(Value.Index_) == Value.SnapshotTerm_;
  auto Fresh = std::make_shared<Snapshot>(Snapshot{
      Value.Index_, Value.SnapshotTerm_, Value.Members_, std::move(State)});
  Disk_->saveSnapshot(*Fresh);
  Snapshot_ = std::move(Fresh);
  Dirty_ = true;
  if (Extends) {
    Log_.dropThrough(Value.Index_);
  } else {
    Disk_->truncateFrom(nextIndex(Value.Index_));
    Log_.reset(Value.Index_, Value.SnapshotTerm_);
    Members_.reset(Value.Index_, std::move(Rows));
  }
  Commit_ = Applied_ = Value.Index_;
  LogBytes_ = 0;
  Options_.Machine_.Restore_(Snapshot_->State_);
  logEvent(Event::SnapshotInstalled, {{"replica", Options_.Self_.Value_},
                                      {"index", Value.Index_.Value_}});
}

} // namespace dragonfly::consensus
