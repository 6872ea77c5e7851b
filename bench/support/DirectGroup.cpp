#include "support/DirectGroup.h"

#include "dragonfly/consensus/Storage.h"

#include <algorithm>

namespace dragonfly::bench {

using namespace consensus;
using namespace std::chrono_literals;

DirectGroup::DirectGroup(DirectGroupOptions Options)
    : Options_(std::move(Options)), Logs_(Options_.Replicas_),
      Reachable_(Options_.Replicas_, true) {
  for (std::size_t I = 0; I < Logs_.size(); ++I)
    open(I);
  while (std::ranges::none_of(
      Logs_, [](const auto &Log) { return Log->role() == RaftRole::Leader; }))
    advance(10ms);
}

void DirectGroup::open(std::size_t Position) {
  ReplicatedLogOptions Result;
  Result.Self_ = {Position + 1};
  for (std::size_t I = 0; I < Logs_.size(); ++I)
    Result.FirstMembers_.push_back(
        {.Id_ = {I + 1}, .Store_ = {}, .Voter_ = true, .Address_ = {}});
  Result.Seed_ = Position + 1;
  Result.SnapshotEveryRecords_ = Options_.SnapshotEveryRecords_;
  Result.Machine_ = {
      .Apply_ = [](LogIndex, std::string_view) { return std::string(); },
      .Snapshot_ = [this] { return std::string(Options_.SnapshotBytes_, 's'); },
      .Restore_ = [](std::string_view) {}};
  Result.Send_ = [this, Position](ReplicaId To, std::string Bytes) {
    SentBytes_ += Bytes.size();
    ++SentMessages_;
    UnderWay_.push_back({Position, To.Value_ - 1, std::move(Bytes)});
  };
  Logs_[Position] = std::make_unique<ReplicatedLog>(
      std::move(Result),
      openFileStorage(Options_.Folder_ + "/" + std::to_string(Position)), Now_);
}

void DirectGroup::advance(Duration By) {
  Now_ += By;
  settle();
}

void DirectGroup::settle() {
  do {
    while (!UnderWay_.empty()) {
      const RoutedBytes Value = std::move(UnderWay_.front());
      UnderWay_.pop_front();
      if (Reachable_[Value.From_] && Reachable_[Value.To_])
        Logs_[Value.To_]->receive(Now_, {Value.From_ + 1}, Value.Bytes_);
    }
    for (const auto &Log : Logs_)
      Log->tick(Now_);
  } while (!UnderWay_.empty());
}

ReplicatedLog &DirectGroup::leader() {
  return **std::ranges::find_if(
      Logs_, [](const auto &Log) { return Log->role() == RaftRole::Leader; });
}

void DirectGroup::commit(std::size_t Count, std::size_t Bytes) {
  std::size_t Left = Count;
  for (std::size_t I = 0; I < Count; ++I)
    leader().propose(std::string(Bytes, 'c'),
                     [&Left](const ProposeResult &) { --Left; });
  while (Left > 0)
    advance(1ms);
}

void DirectGroup::setReachable(std::size_t Position, bool Reachable) {
  Reachable_[Position] = Reachable;
}

} // namespace dragonfly::bench
