/// A disk in memory that forgets what was not synced when its process dies,
/// with a hook at each step through which tests make it fail.
#ifndef DRAGONFLY_BENCH_SUPPORT_MEMORYDISK_H
#define DRAGONFLY_BENCH_SUPPORT_MEMORYDISK_H

#include "dragonfly/consensus/Storage.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace dragonfly::bench {

enum class DiskStep : std::uint8_t {
  Append,
  AppendMembership,
  SaveHardState,
  SaveSnapshot,
  Sync
};

class MemoryDisk {
public:
  explicit MemoryDisk(StoreId Store);

  /// Makes what was written survive a crash.
  void keep();
  /// Loses what was not synced. With \p Torn half of the records that were
  /// being written survive.
  void crash(bool Torn);

  /// Called before each step and after it; may throw.
  std::function<void(DiskStep, bool After)> OnStep_;
  consensus::Recovered Current_;
  consensus::Recovered Durable_;
};

/// Returns storage on \p Disk, which outlives any one process.
std::unique_ptr<consensus::Storage>
openMemoryStorage(std::shared_ptr<MemoryDisk> Disk);

} // namespace dragonfly::bench

#endif // DRAGONFLY_BENCH_SUPPORT_MEMORYDISK_H
