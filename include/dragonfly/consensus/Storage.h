/// Where a replica keeps its term, vote, records and snapshot.
#ifndef DRAGONFLY_CONSENSUS_STORAGE_H
#define DRAGONFLY_CONSENSUS_STORAGE_H

#include "dragonfly/base/Error.h"
#include "dragonfly/base/Ids.h"

#include <array>
#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace dragonfly::consensus {

enum class StorageFault : std::uint8_t {
  CannotOpen,
  CannotWrite,
  CannotSync,
  DiskFull,
  CorruptRecord,
  CorruptSnapshot,
  WrongFormat,
  FolderInUse
};

using StorageError = TypedError<StorageFault>;

enum class RecordKind : std::uint8_t { Command, Membership, Empty };

/// One record of the log.
struct Record {
  LogIndex Index_;
  Term Term_;
  RecordKind Kind_ = RecordKind::Command;
  std::string Payload_;
};

/// Term and vote; synced before any reply that depends on them.
struct HardState {
  Term Term_;
  ReplicaId VotedFor_;
};

/// The state up to and including `Index_`.
struct Snapshot {
  LogIndex Index_;
  Term Term_;
  /// The encoded membership as of `Index_`.
  std::string Members_;
  std::string State_;
};

/// What was found on opening.
struct Recovered {
  StoreId Store_;
  HardState Hard_;
  Snapshot Snapshot_;
  std::vector<Record> Records_;
  bool NewFolder_ = false;
};

/// Durable storage of one replica. Writes are durable once `sync()` returns.
/// Every function throws StorageError. After DiskFull everything is as it was
/// before the call, which may be made again; after any other fault the storage
/// is unusable.
class Storage {
public:
  virtual ~Storage() = default;

  virtual Recovered recover() = 0;
  virtual void append(const Record &Value) = 0;
  /// Removes every record at \p From and after it.
  virtual void truncateFrom(LogIndex From) = 0;
  virtual void saveHardState(const HardState &Value) = 0;
  /// Replaces the snapshot and drops records that it covers.
  virtual void saveSnapshot(const Snapshot &Value) = 0;
  virtual void sync() = 0;
};

/// Opens or makes the data folder \p Path. Throws StorageError.
std::unique_ptr<Storage> openFileStorage(const std::string &Path);

} // namespace dragonfly::consensus

template <> struct dragonfly::EnumTable<dragonfly::consensus::StorageFault> {
  using StorageFault = consensus::StorageFault;
  static constexpr std::array<EnumName<StorageFault>, 8> Rows{{
      {StorageFault::CannotOpen, "cannot-open"},
      {StorageFault::CannotWrite, "cannot-write"},
      {StorageFault::CannotSync, "cannot-sync"},
      {StorageFault::DiskFull, "disk-full"},
      {StorageFault::CorruptRecord, "corrupt-record"},
      {StorageFault::CorruptSnapshot, "corrupt-snapshot"},
      {StorageFault::WrongFormat, "wrong-format"},
      {StorageFault::FolderInUse, "folder-in-use"},
  }};
};

#endif // DRAGONFLY_CONSENSUS_STORAGE_H
