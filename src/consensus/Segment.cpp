#include "consensus/Segment.h"

#include "consensus/RaftMessages.h"
#include "dragonfly/base/Log.h"

#include <fcntl.h>
#include <unistd.h>

#include <cstdio>
#include <optional>
#include <string_view>

namespace dragonfly::consensus {
namespace {

constexpr std::uint32_t SegmentMagic = 0x44464C47;
constexpr std::uint32_t SegmentFormatVersion = 1;
constexpr std::size_t SegmentHeaderBytes = 16;
constexpr std::uint32_t RecordMagic = 0x44465245;
constexpr std::size_t RecordHeaderBytes = 20;
constexpr std::size_t LengthOffset = 4;
constexpr std::size_t ChecksumOffset = 8;
constexpr std::size_t SyncedOffset = 12;

/// A record as it stands in a segment.
struct Stored {
  std::uint64_t Synced_ = 0;
  std::string_view Payload_;
};

std::string frameRecord(const Record &Value, std::uint64_t Synced) {
  std::string Body;
  putInteger(Body, Synced);
  Body += encodeRecord(Value);
  std::string Out;
  putInteger(Out, RecordMagic);
  putInteger(Out,
             static_cast<std::uint32_t>(Body.size() - sizeof(std::uint64_t)));
  putInteger(Out, checksum(Body));
  return Out + Body;
}

/// Returns the whole and undamaged record at \p Offset, if there is one.
std::optional<Stored> storedAt(std::string_view Bytes, std::size_t Offset) {
  if (Bytes.size() - Offset < RecordHeaderBytes ||
      getInteger<std::uint32_t>(Bytes, Offset) != RecordMagic)
    return std::nullopt;
  const auto Length = getInteger<std::uint32_t>(Bytes, Offset + LengthOffset);
  if (Length > Bytes.size() - Offset - RecordHeaderBytes)
    return std::nullopt;
  const std::string_view Body =
      Bytes.substr(Offset + SyncedOffset, sizeof(std::uint64_t) + Length);
  if (checksum(Body) !=
      getInteger<std::uint32_t>(Bytes, Offset + ChecksumOffset))
    return std::nullopt;
  return Stored{getInteger<std::uint64_t>(Body, 0),
                Body.substr(sizeof(std::uint64_t))};
}

/// True where a record behind \p Offset proves that the bytes at \p Offset had
/// been synced.
bool wasSynced(std::string_view Bytes, std::size_t Offset) {
  for (std::size_t At = Offset + 1; At + RecordHeaderBytes <= Bytes.size();
       ++At) {
    const std::optional<Stored> Later = storedAt(Bytes, At);
    if (Later && Later->Synced_ > Offset)
      return true;
  }
  return false;
}

} // namespace

Segment::Segment(const FileHooks &Hooks, const std::string &Path, int Flags)
    : File_(Hooks, Path, Flags) {}

std::string Segment::fileName(LogIndex First) {
  constexpr int Digits = 20;
  std::string Number = std::to_string(First.Value_);
  return "log-" + std::string(Digits - Number.size(), '0') + Number +
         ".segment";
}

std::unique_ptr<Segment> Segment::create(const FileHooks &Hooks,
                                         const std::string &Folder,
                                         LogIndex First) {
  std::unique_ptr<Segment> Result(
      new Segment(Hooks, Folder + "/" + fileName(First),
                  O_WRONLY | O_CREAT | O_TRUNC | O_APPEND));
  Result->First_ = First;
  putInteger(Result->Buffer_, SegmentMagic);
  putInteger(Result->Buffer_, SegmentFormatVersion);
  putInteger(Result->Buffer_, First.Value_);
  try {
    Result->sync();
  } catch (const StorageError &) {
    // A segment without a header may only be the last one.
    ::unlink(Result->path().c_str());
    throw;
  }
  syncFolder(Hooks, Folder);
  return Result;
}

std::unique_ptr<Segment> Segment::open(const FileHooks &Hooks,
                                       const std::string &Path, bool IsLast,
                                       std::vector<Record> &Records) {
  const std::string Bytes = readWhole(Path).value_or("");
  if (Bytes.size() < SegmentHeaderBytes) {
    if (IsLast)
      return nullptr;
    throw StorageError(StorageFault::CorruptRecord, Path + ": no header");
  }
  if (getInteger<std::uint32_t>(Bytes, 0) != SegmentMagic ||
      getInteger<std::uint32_t>(Bytes, 4) != SegmentFormatVersion)
    throw StorageError(StorageFault::WrongFormat, Path);
  std::unique_ptr<Segment> Result(new Segment(Hooks, Path, O_RDWR | O_APPEND));
  Result->First_ = {getInteger<std::uint64_t>(Bytes, 8)};
  std::size_t Offset = SegmentHeaderBytes;
  while (const std::optional<Stored> Found = storedAt(Bytes, Offset)) {
    Record Value = decodeRecord(Found->Payload_);
    if (Value.Index_ != Result->endIndex())
      throw StorageError(StorageFault::CorruptRecord, Path + ": wrong index");
    Result->Rows_.push_back({Offset, Value.Term_});
    Records.push_back(std::move(Value));
    Offset += RecordHeaderBytes + Found->Payload_.size();
  }
  Result->Bytes_ = Result->Synced_ = Offset;
  if (Offset == Bytes.size())
    return Result;
  if (!IsLast || wasSynced(Bytes, Offset))
    throw StorageError(StorageFault::CorruptRecord,
                       Path + " at byte " + std::to_string(Offset));
  logEvent(
      Event::TornTailCut,
      {{"file", Path}, {"offset", Offset}, {"bytes", Bytes.size() - Offset}});
  Result->File_.truncate(Offset);
  Result->File_.sync();
  return Result;
}

void Segment::append(const Record &Value) {
  Rows_.push_back({bytes(), Value.Term_});
  Buffer_ += frameRecord(Value, Synced_);
}

void Segment::truncateFrom(LogIndex From) {
  if (From >= endIndex())
    return;
  const std::size_t Kept = From.Value_ - First_.Value_;
  const std::uint64_t Offset = Rows_[Kept].Offset_;
  Rows_.resize(Kept);
  if (Offset >= Bytes_) {
    Buffer_.resize(Offset - Bytes_);
    return;
  }
  Buffer_.clear();
  File_.truncate(Offset);
  Bytes_ = Offset;
  Synced_ = std::min(Synced_, Offset);
}

void Segment::sync() {
  if (HasTornTail_) {
    File_.truncate(Bytes_);
    HasTornTail_ = false;
  }
  HasTornTail_ = !Buffer_.empty();
  File_.write(Buffer_);
  HasTornTail_ = false;
  Bytes_ += Buffer_.size();
  Buffer_.clear();
  File_.sync();
  Synced_ = Bytes_;
}

Term Segment::termAt(LogIndex Index) const {
  return Rows_[Index.Value_ - First_.Value_].Term_;
}

} // namespace dragonfly::consensus
