#include "consensus/FileStorage.h"

#include "consensus/RaftMessages.h"
#include "consensus/Segment.h"
#include "dragonfly/base/Random.h"

#include <fcntl.h>
#include <sys/file.h>

#include <algorithm>
#include <filesystem>

namespace dragonfly::consensus {

namespace {

constexpr const char *IdentityName = "identity";
constexpr const char *HardStateName = "hard-state";
constexpr const char *SnapshotName = "snapshot";

/// Makes the folder where there is none, and its entry in its parent durable.
std::string makeFolder(const FileHooks &Hooks, const std::string &Folder) {
  std::error_code Failure;
  if (std::filesystem::create_directories(Folder, Failure) && !Failure) {
    const auto Parent = std::filesystem::absolute(Folder).parent_path();
    syncFolder(Hooks, Parent.string());
  }
  if (Failure)
    throw StorageError(StorageFault::CannotOpen,
                       Folder + ": " + Failure.message());
  return Folder;
}

/// Runs \p Decode on the payload of a file, where there is one.
template <typename Decode>
auto readFile(const std::string &Path, StorageFault OnDamage, Decode Decoder) {
  std::optional<decltype(Decoder(std::string_view()))> Result;
  const std::optional<std::string> Bytes = readChecked(Path, OnDamage);
  try {
    if (Bytes)
      Result = Decoder(*Bytes);
  } catch (const CodecError &Failure) {
    throw StorageError(StorageFault::WrongFormat, Path + ": " + Failure.what());
  }
  return Result;
}

class FileStorage : public Storage {
public:
  explicit FileStorage(FileStorageOptions Options)
      : Options_(std::move(Options)),
        Lock_(Options_.Hooks_,
              makeFolder(Options_.Hooks_, Options_.Folder_) + "/lock",
              O_RDWR | O_CREAT) {
    if (::flock(Lock_.fd(), LOCK_EX | LOCK_NB) != 0)
      throw StorageError(StorageFault::FolderInUse, Options_.Folder_);
  }

  Recovered recover() override;
  void append(const Record &Value) override;
  void truncateFrom(LogIndex From) override;
  void saveHardState(const HardState &Value) override;
  void saveSnapshot(const Snapshot &Value) override;
  void sync() override;

private:
  std::string path(const std::string &Name) const {
    return Options_.Folder_ + "/" + Name;
  }
  /// Removes what a process left that died as it replaced a file: on a disk
  /// that is nearly full it takes the room of the next term and vote.
  void removeUnfinished();
  void recoverIdentity(Recovered &Found);
  void recoverSegments(Recovered &Found);
  void dropCovered(Recovered &Found);
  void removeSegment(std::size_t Position);
  void removeAllSegments();

  FileStorageOptions Options_;
  File Lock_;
  /// In ascending order of index; appends go to the last one.
  std::vector<std::unique_ptr<Segment>> Segments_;
};

Recovered FileStorage::recover() {
  Recovered Found;
  removeUnfinished();
  recoverIdentity(Found);
  Found.Hard_ = readFile(path(HardStateName), StorageFault::CorruptRecord,
                         decodeHardState)
                    .value_or(HardState{});
  Found.Snapshot_ = readFile(path(SnapshotName), StorageFault::CorruptSnapshot,
                             decodeSnapshot)
                        .value_or(Snapshot{});
  recoverSegments(Found);
  dropCovered(Found);
  return Found;
}

void FileStorage::removeUnfinished() {
  for (const char *Name : {IdentityName, HardStateName, SnapshotName}) {
    std::error_code Failure;
    std::filesystem::remove(temporaryOf(path(Name)), Failure);
    if (Failure)
      throw StorageError(StorageFault::CannotWrite, Failure.message());
  }
}

/// A folder without identity is new only where it holds nothing else: a lost
/// identity must not turn an old folder into a fresh one.
void FileStorage::recoverIdentity(Recovered &Found) {
  if (const auto Store = readFile(path(IdentityName),
                                  StorageFault::CorruptRecord, decodeStoreId)) {
    Found.Store_ = *Store;
    return;
  }
  for (const auto &Entry :
       std::filesystem::directory_iterator(Options_.Folder_)) {
    const std::string Name = Entry.path().filename().string();
    if (Name != "lock")
      throw StorageError(StorageFault::WrongFormat,
                         Name + " in a folder without identity");
  }
  Found.NewFolder_ = true;
  Found.Store_ = makeFreshId<StoreId>();
  replaceFile(Options_.Hooks_, Options_.Folder_, IdentityName,
              encodeStoreId(Found.Store_));
}

void FileStorage::recoverSegments(Recovered &Found) {
  std::vector<std::string> Paths;
  for (const auto &Entry :
       std::filesystem::directory_iterator(Options_.Folder_))
    if (Entry.path().extension() == ".segment")
      Paths.push_back(Entry.path().string());
  std::ranges::sort(Paths);
  for (const std::string &Path : Paths) {
    const bool IsLast = Path == Paths.back();
    std::unique_ptr<Segment> Opened;
    try {
      Opened = Segment::open(Options_.Hooks_, Path, IsLast, Found.Records_);
    } catch (const CodecError &Failure) {
      throw StorageError(StorageFault::CorruptRecord, Failure.what());
    }
    if (!Opened) {
      std::filesystem::remove(Path);
      syncFolder(Options_.Hooks_, Options_.Folder_);
      continue;
    }
    if (!Segments_.empty() &&
        Segments_.back()->endIndex() != Opened->firstIndex())
      throw StorageError(StorageFault::CorruptRecord,
                         Path + " does not follow the segment before it");
    Segments_.push_back(std::move(Opened));
  }
}

/// Leaves the records that follow the snapshot. A log that does not hold the
/// snapshot's last record is one that the snapshot was to replace.
void FileStorage::dropCovered(Recovered &Found) {
  const Snapshot &Covered = Found.Snapshot_;
  std::vector<Record> &Records = Found.Records_;
  if (Records.empty()) {
    removeAllSegments();
    return;
  }
  const LogIndex First = Records.front().Index_;
  if (First.Value_ > Covered.Index_.Value_ + 1)
    throw StorageError(StorageFault::CorruptRecord,
                       "records are missing before index " +
                           std::to_string(First.Value_));
  const auto Last = std::ranges::find(Records, Covered.Index_, &Record::Index_);
  const bool Replaced = Records.back().Index_ < Covered.Index_ ||
                        (Last != Records.end() && Last->Term_ != Covered.Term_);
  if (Replaced) {
    Records.clear();
    removeAllSegments();
    return;
  }
  std::erase_if(Records, [&](const Record &Value) {
    return Value.Index_ <= Covered.Index_;
  });
}

void FileStorage::append(const Record &Value) {
  const bool Full = !Segments_.empty() &&
                    Segments_.back()->bytes() >= Options_.MaxSegmentBytes_;
  if (Full)
    Segments_.back()->sync();
  if (Full || Segments_.empty())
    Segments_.push_back(
        Segment::create(Options_.Hooks_, Options_.Folder_, Value.Index_));
  Segments_.back()->append(Value);
}

/// Later segments go first, so that a crash leaves a log without gaps.
void FileStorage::truncateFrom(LogIndex From) {
  while (!Segments_.empty() && Segments_.back()->firstIndex() >= From)
    removeSegment(Segments_.size() - 1);
  if (!Segments_.empty())
    Segments_.back()->truncateFrom(From);
}

void FileStorage::saveHardState(const HardState &Value) {
  replaceFile(Options_.Hooks_, Options_.Folder_, HardStateName,
              encodeHardState(Value));
}

void FileStorage::saveSnapshot(const Snapshot &Value) {
  replaceFile(Options_.Hooks_, Options_.Folder_, SnapshotName,
              encodeSnapshot(Value));
  const bool Extends = std::ranges::any_of(Segments_, [&](const auto &Held) {
    return Held->firstIndex() <= Value.Index_ &&
           Value.Index_ < Held->endIndex() &&
           Held->termAt(Value.Index_) == Value.Term_;
  });
  if (!Extends) {
    removeAllSegments();
    return;
  }
  while (Segments_.size() > 1 &&
         Segments_.front()->endIndex().Value_ <= Value.Index_.Value_ + 1)
    removeSegment(0);
}

void FileStorage::sync() {
  if (!Segments_.empty())
    Segments_.back()->sync();
}

void FileStorage::removeSegment(std::size_t Position) {
  std::error_code Failure;
  std::filesystem::remove(Segments_[Position]->path(), Failure);
  if (Failure)
    throw StorageError(StorageFault::CannotWrite, Failure.message());
  Segments_.erase(Segments_.begin() + static_cast<std::ptrdiff_t>(Position));
  syncFolder(Options_.Hooks_, Options_.Folder_);
}

void FileStorage::removeAllSegments() {
  while (!Segments_.empty())
    removeSegment(Segments_.size() - 1);
}

} // namespace

std::unique_ptr<Storage> openFileStorage(FileStorageOptions Options) {
  return std::make_unique<FileStorage>(std::move(Options));
}

std::unique_ptr<Storage> openFileStorage(const std::string &Path) {
  return openFileStorage(FileStorageOptions{.Folder_ = Path});
}

} // namespace dragonfly::consensus
