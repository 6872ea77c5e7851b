/// Storage in a data folder.
///
/// The folder holds `identity` (the store id), `hard-state`, `snapshot`, the
/// log's segments and `lock`. Every file carries a format version and
/// checksums. What replaces a file is written beside it, synced and renamed.
#ifndef DRAGONFLY_SRC_CONSENSUS_FILESTORAGE_H
#define DRAGONFLY_SRC_CONSENSUS_FILESTORAGE_H

#include "consensus/FileOps.h"
#include "dragonfly/consensus/Storage.h"

#include <memory>
#include <string>

namespace dragonfly::consensus {

struct FileStorageOptions {
  std::string Folder_;
  FileHooks Hooks_ = systemFileHooks();
  /// A segment that has grown beyond this is followed by a new one.
  std::uint64_t MaxSegmentBytes_ = 8U << 20U;
};

/// Opens or makes a data folder. Throws StorageError.
std::unique_ptr<Storage> openFileStorage(FileStorageOptions Options);

} // namespace dragonfly::consensus

#endif // DRAGONFLY_SRC_CONSENSUS_FILESTORAGE_H
