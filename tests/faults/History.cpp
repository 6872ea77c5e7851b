#include "faults/History.h"

#include <algorithm>
#include <ranges>

namespace dragonfly::faults {

using consensus::ProposeStatus;

void History::applied(std::size_t Position, const std::string &Command) {
  if (Position < Order_.size()) {
    if (Order_[Position] != Command)
      violated(Promise::SameOrder, std::to_string(Position) + " is " +
                                       Order_[Position] + " and " + Command);
    return;
  }
  if (Position > Order_.size())
    violated(Promise::SameOrder, "gap before " + Command);
  if (!Positions_.emplace(Command, Order_.size()).second)
    violated(Promise::ExactlyOnce, Command);
  Order_.push_back(Command);
}

Proposal &History::propose(std::string Command, TimePoint Now) {
  return Proposals_.emplace_back(Proposal{.Command_ = std::move(Command),
                                          .Invoked_ = Now,
                                          .Completed_ = {},
                                          .Status_ = ProposeStatus::Unknown});
}

void History::leads(ReplicaId Id, Term InTerm, bool HoldsLease) {
  const auto [Row, IsNew] = Leaders_.emplace(InTerm, Id);
  if (Row->second != Id)
    violated(Promise::OneLeader, "term " + std::to_string(InTerm.Value_));
  if (HoldsLease && Leaders_.rbegin()->first > InTerm)
    violated(Promise::OneLease, "term " + std::to_string(InTerm.Value_));
}

void History::violated(Promise Broken, std::string Detail) {
  Violations_.push_back({Broken, std::move(Detail)});
}

std::vector<Violation> History::check() {
  checkCommands();
  checkEdits();
  checkReads();
  return Violations_;
}

void History::checkCommands() {
  for (const Proposal &Row : Proposals_) {
    const bool Applied = Positions_.contains(Row.Command_);
    if (Row.Status_ == ProposeStatus::Committed && !Applied)
      violated(Promise::NothingLost, Row.Command_);
    if (Row.Status_ == ProposeStatus::NotLeader && Applied)
      violated(Promise::RefusedNotRun, Row.Command_);
  }
}

/// The log's order is the order of the edits; it must not place an edit before
/// one that had completed when it was invoked.
void History::checkEdits() {
  std::vector<const Proposal *> Ordered(Order_.size());
  for (const Proposal &Row : Proposals_) {
    const auto Position = Positions_.find(Row.Command_);
    if (Position != Positions_.end())
      Ordered[Position->second] = &Row;
  }
  TimePoint EarliestLater = TimePoint::max();
  for (const Proposal *Row : Ordered | std::views::reverse) {
    if (!Row)
      continue;
    if (EarliestLater < Row->Invoked_)
      violated(Promise::LinearizableEdits, Row->Command_);
    if (Row->Status_ == ProposeStatus::Committed)
      EarliestLater = std::min(EarliestLater, *Row->Completed_);
  }
}

/// A read sees every edit and every read that completed before it began.
void History::checkReads() {
  struct Known {
    TimePoint At_;
    std::size_t Count_;
  };
  std::vector<Known> Lower;
  for (const Proposal &Row : Proposals_)
    if (Row.Status_ == ProposeStatus::Committed &&
        Positions_.contains(Row.Command_))
      Lower.push_back({*Row.Completed_, Positions_[Row.Command_] + 1});
  for (const Read &Row : Reads_)
    Lower.push_back({Row.Completed_, Row.Seen_});
  std::ranges::sort(Lower, {}, &Known::At_);
  std::ranges::sort(Reads_, {}, &Read::Invoked_);
  std::size_t Least = 0;
  auto Next = Lower.begin();
  for (const Read &Row : Reads_) {
    for (; Next != Lower.end() && Next->At_ < Row.Invoked_; ++Next)
      Least = std::max(Least, Next->Count_);
    if (Row.Seen_ < Least)
      violated(Promise::LinearizableReads, "saw " + std::to_string(Row.Seen_) +
                                               " of " + std::to_string(Least));
  }
}

} // namespace dragonfly::faults
