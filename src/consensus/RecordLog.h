/// The records of the log that are held in memory, after a base that a
/// snapshot covers.
#ifndef DRAGONFLY_SRC_CONSENSUS_RECORDLOG_H
#define DRAGONFLY_SRC_CONSENSUS_RECORDLOG_H

#include "dragonfly/base/Ids.h"
#include "dragonfly/consensus/Storage.h"

#include <deque>
#include <optional>
#include <vector>

namespace dragonfly::consensus {

constexpr LogIndex nextIndex(LogIndex Index) { return {Index.Value_ + 1}; }
constexpr LogIndex previousIndex(LogIndex Index) { return {Index.Value_ - 1}; }

class RecordLog {
public:
  /// Drops all records; the next one follows \p Index.
  void reset(LogIndex Index, Term BaseTerm);
  /// Appends a record, whose index is `lastIndex()` plus one.
  void append(Record Value);
  /// Removes the records at \p From and after it.
  void truncateFrom(LogIndex From);
  /// Removes the records up to and including \p Index.
  void dropThrough(LogIndex Index);

  /// Bytes of the payloads that are held.
  std::size_t payloadBytes() const { return PayloadBytes_; }
  /// Returns the index before the first of the newest records up to \p Last
  /// that together have at most \p MaxBytes bytes of payload.
  LogIndex startOfBytes(LogIndex Last, std::size_t MaxBytes) const;
  LogIndex baseIndex() const { return Base_; }
  LogIndex lastIndex() const { return {Base_.Value_ + Records_.size()}; }
  Term lastTerm() const;
  /// The term of the record at \p Index, if it is known.
  std::optional<Term> termAt(LogIndex Index) const;
  /// The record at \p Index, which is held.
  const Record &at(LogIndex Index) const;
  /// Records from \p First on, up to about \p MaxBytes and at least one.
  std::vector<Record> slice(LogIndex First, std::size_t MaxBytes) const;
  /// The first index of the run of records that have the term of \p Index.
  LogIndex firstOfTerm(LogIndex Index) const;

private:
  LogIndex Base_;
  Term BaseTerm_;
  std::deque<Record> Records_;
  std::size_t PayloadBytes_ = 0;
};

} // namespace dragonfly::consensus

#endif // DRAGONFLY_SRC_CONSENSUS_RECORDLOG_H
