#include "dragonfly/consensus/FoundingRecord.h"

#include "consensus/FileOps.h"
#include "consensus/RaftMessages.h"
#include "dragonfly/consensus/Storage.h"

#include <filesystem>

namespace dragonfly::consensus {
namespace {

constexpr const char *FileName = "founding";

} // namespace

std::optional<std::vector<Member>> FoundingRecord::load() {
  const std::string Path = Folder_ + "/" + FileName;
  const auto Bytes = readChecked(Path, StorageFault::CorruptRecord);
  if (!Bytes)
    return std::nullopt;
  const Recovered Found = openFileStorage(Folder_)->recover();
  if (!Found.Records_.empty() || Found.Snapshot_.Index_) {
    std::error_code Failure;
    std::filesystem::remove(Path, Failure);
    return std::nullopt;
  }
  try {
    return decodeMembers(*Bytes);
  } catch (const CodecError &Failure) {
    throw StorageError(StorageFault::WrongFormat, Path + ": " + Failure.what());
  }
}

void FoundingRecord::save(const std::vector<Member> &Chosen) {
  // A folder that holds anything has an identity, which comes first.
  openFileStorage(Folder_)->recover();
  replaceFile(systemFileHooks(), Folder_, FileName, encodeMembers(Chosen));
}

} // namespace dragonfly::consensus
