#include "consensus/RecordLog.h"

#include <algorithm>
#include <cassert>

namespace dragonfly::consensus {

void RecordLog::reset(LogIndex Index, Term BaseTerm) {
  Base_ = Index;
  BaseTerm_ = BaseTerm;
  Records_.clear();
  PayloadBytes_ = 0;
}

void RecordLog::append(Record Value) {
  assert(Value.Index_ == nextIndex(lastIndex()));
  PayloadBytes_ += Value.Payload_.size();
  Records_.push_back(std::move(Value));
}

void RecordLog::truncateFrom(LogIndex From) {
  while (!Records_.empty() && Records_.back().Index_ >= From) {
    PayloadBytes_ -= Records_.back().Payload_.size();
    Records_.pop_back();
  }
}

void RecordLog::dropThrough(LogIndex Index) {
  while (!Records_.empty() && Records_.front().Index_ <= Index) {
    Base_ = Records_.front().Index_;
    BaseTerm_ = Records_.front().Term_;
    PayloadBytes_ -= Records_.front().Payload_.size();
    Records_.pop_front();
  }
}

Term RecordLog::lastTerm() const {
  return Records_.empty() ? BaseTerm_ : Records_.back().Term_;
}

std::optional<Term> RecordLog::termAt(LogIndex Index) const {
  if (Index == Base_)
    return BaseTerm_;
  if (Index < Base_ || Index > lastIndex())
    return std::nullopt;
  return at(Index).Term_;
}

const Record &RecordLog::at(LogIndex Index) const {
  assert(Index > Base_ && Index <= lastIndex());
  return Records_[Index.Value_ - Base_.Value_ - 1];
}

std::vector<Record> RecordLog::slice(LogIndex First,
                                     std::size_t MaxBytes) const {
  std::vector<Record> Result;
  std::size_t Bytes = 0;
  for (LogIndex I = First; I <= lastIndex(); I = nextIndex(I)) {
    Bytes += at(I).Payload_.size();
    if (!Result.empty() && Bytes > MaxBytes)
      break;
    Result.push_back(at(I));
  }
  return Result;
}

LogIndex RecordLog::startOfBytes(LogIndex Last, std::size_t MaxBytes) const {
  std::size_t Bytes = 0;
  LogIndex First = std::min(Last, lastIndex());
  for (; First > Base_; First = previousIndex(First)) {
    Bytes += at(First).Payload_.size();
    if (Bytes > MaxBytes)
      break;
  }
  return First;
}

LogIndex RecordLog::firstOfTerm(LogIndex Index) const {
  const std::optional<Term> Wanted = termAt(Index);
  while (Index > Base_ && termAt(previousIndex(Index)) == Wanted)
    Index = previousIndex(Index);
  return Index;
}

} // namespace dragonfly::consensus
