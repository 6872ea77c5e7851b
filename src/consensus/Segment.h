/// One file of consecutive records of the log.
///
/// A segment starts with a magic number, the format's version and the index of
/// its first record. Each record is a magic number, the payload's length, a
/// checksum, the number of bytes of the segment that were synced when it was
/// written, and the payload. That number tells a torn tail, which nobody was
/// told about, from damage to records that had been acknowledged.
#ifndef DRAGONFLY_SRC_CONSENSUS_SEGMENT_H
#define DRAGONFLY_SRC_CONSENSUS_SEGMENT_H

#include "consensus/FileOps.h"

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

namespace dragonfly::consensus {

class Segment {
public:
  /// Makes a new, empty segment in \p Folder and syncs it.
  static std::unique_ptr<Segment>
  create(const FileHooks &Hooks, const std::string &Folder, LogIndex First);
  /// Opens a segment and adds its records to \p Records. Where \p IsLast, a
  /// torn tail is cut; otherwise it is StorageError(CorruptRecord).
  static std::unique_ptr<Segment> open(const FileHooks &Hooks,
                                       const std::string &Path, bool IsLast,
                                       std::vector<Record> &Records);
  /// Returns the name of the segment that starts at \p First.
  static std::string fileName(LogIndex First);

  void append(const Record &Value);
  /// Removes the records at \p From and after it. `sync()` makes it durable.
  void truncateFrom(LogIndex From);
  void sync();

  const std::string &path() const { return File_.path(); }
  LogIndex firstIndex() const { return First_; }
  /// One past the last record.
  LogIndex endIndex() const { return {First_.Value_ + Rows_.size()}; }
  std::uint64_t bytes() const { return Bytes_ + Buffer_.size(); }
  /// The term of a record that the segment holds.
  Term termAt(LogIndex Index) const;

private:
  struct Row {
    std::uint64_t Offset_ = 0;
    Term Term_;
  };

  Segment(const FileHooks &Hooks, const std::string &Path, int Flags);

  File File_;
  LogIndex First_;
  std::vector<Row> Rows_;
  /// Bytes written to the file, and of these the synced ones.
  std::uint64_t Bytes_ = 0;
  std::uint64_t Synced_ = 0;
  /// Records that wait for the next sync.
  std::string Buffer_;
  /// A write that failed may have left some of its bytes behind `Bytes_`.
  bool HasTornTail_ = false;
};

} // namespace dragonfly::consensus

#endif // DRAGONFLY_SRC_CONSENSUS_SEGMENT_H
