#include "support/LogCluster.h"

#include <algorithm>
#include <cstring>

namespace dragonfly::bench {

using namespace consensus;

namespace {

/// How far each step moves the time.
constexpr Duration Step = std::chrono::milliseconds(1);

/// The applied commands and the state of the machine behind them.
struct WholeState {
  std::vector<std::string> Applied_;
  std::string Machine_;
};

void putString(std::string &Out, std::string_view Value) {
  const std::uint64_t Size = Value.size();
  Out.append(reinterpret_cast<const char *>(&Size), sizeof Size);
  Out.append(Value);
}

std::string takeString(std::string_view &In) {
  std::uint64_t Size = 0;
  std::memcpy(&Size, In.data(), sizeof Size);
  std::string Result(In.substr(sizeof Size, Size));
  In.remove_prefix(sizeof Size + Size);
  return Result;
}

std::string encodeState(const WholeState &Value) {
  std::string Result;
  putString(Result, Value.Machine_);
  for (const std::string &Command : Value.Applied_)
    putString(Result, Command);
  return Result;
}

WholeState decodeState(std::string_view Bytes) {
  WholeState Result;
  Result.Machine_ = takeString(Bytes);
  while (!Bytes.empty())
    Result.Applied_.push_back(takeString(Bytes));
  return Result;
}

} // namespace

LogCluster::LogCluster(LogClusterOptions Options)
    : Options_(std::move(Options)), Replicas_(Options_.Replicas_) {
  for (std::size_t I = 0; I < Replicas_.size(); ++I) {
    Replicas_[I].Id_ = {I + 1};
    Replicas_[I].Disk_ = std::make_shared<MemoryDisk>(StoreId{NextStore_++});
  }
  for (const Replica &Row : Replicas_)
    start(Row.Id_);
}

StateMachineHooks LogCluster::machine(Replica &Target) {
  const ReplicaId Id = Target.Id_;
  const StateMachineHooks Inner =
      Options_.Machine_ ? Options_.Machine_(Id) : StateMachineHooks{};
  return {
      .Apply_ =
          [this, Id, Inner](LogIndex Index, std::string_view Command) {
            if (OnApply_)
              OnApply_(Id, Command, false);
            replica(Id).Applied_.emplace_back(Command);
            std::string Output =
                Inner.Apply_ ? Inner.Apply_(Index, Command) : std::string();
            if (OnApply_)
              OnApply_(Id, Command, true);
            return Output;
          },
      .Snapshot_ =
          [this, Id, Inner] {
            return encodeState({replica(Id).Applied_,
                                Inner.Snapshot_ ? Inner.Snapshot_() : ""});
          },
      .Restore_ =
          [this, Id, Inner](std::string_view State) {
            const bool Running = replica(Id).Log_ != nullptr;
            if (OnRestore_ && Running)
              OnRestore_(Id, false);
            WholeState Whole = decodeState(State);
            replica(Id).Applied_ = std::move(Whole.Applied_);
            if (Inner.Restore_)
              Inner.Restore_(Whole.Machine_);
            if (OnRestore_ && Running)
              OnRestore_(Id, true);
          },
  };
}

ReplicatedLogOptions LogCluster::logOptions(Replica &Target) {
  ReplicatedLogOptions Result;
  Result.Self_ = Target.Id_;
  for (const Replica &Row : Replicas_)
    Result.FirstMembers_.push_back(
        {.Id_ = Row.Id_, .Store_ = {}, .Voter_ = true, .Address_ = {}});
  Result.SnapshotEveryRecords_ = Options_.SnapshotEveryRecords_;
  Result.MaxLogBytes_ = Options_.MaxLogBytes_;
  Result.MaxBatchBytes_ = Options_.MaxBatchBytes_;
  constexpr std::uint64_t SeedStride = 1000;
  Result.Seed_ = (Options_.Seed_ * SeedStride + Target.Starts_) * SeedStride +
                 Target.Id_.Value_;
  Result.Machine_ = machine(Target);
  Result.Send_ = [this, From = Target.Id_](ReplicaId To, std::string Bytes) {
    send({From, To, std::move(Bytes)});
  };
  return Result;
}

void LogCluster::start(ReplicaId Id) {
  Replica &Target = replica(Id);
  Target.RestartAt_.reset();
  ++Target.Starts_;
  Target.Applied_.clear();
  Target.Disk_->OnStep_ = [this, Id](DiskStep Step, bool After) {
    if (OnDisk_)
      OnDisk_(Id, Step, After);
  };
  Target.Log_ = std::make_unique<ReplicatedLog>(
      logOptions(Target), openMemoryStorage(Target.Disk_), localNow(Target));
}

void LogCluster::kill(ReplicaId Id, bool Torn) {
  Replica &Target = replica(Id);
  Target.Log_.reset();
  Target.Frozen_ = false;
  Target.Disk_->crash(Torn);
  Target.RestartAt_ = Now_ + Options_.RestartDelay_;
}

void LogCluster::loseDisk(ReplicaId Id) {
  kill(Id, false);
  replica(Id).Disk_ =
      std::make_shared<MemoryDisk>(StoreId{Replicas_.size() + NextStore_++});
}

void LogCluster::isolate(ReplicaId Id) {
  for (const Replica &Row : Replicas_) {
    cut(Id, Row.Id_);
    cut(Row.Id_, Id);
  }
}

TimePoint LogCluster::localNow(const Replica &Target) const {
  constexpr std::int64_t Thousand = 1000;
  return TimePoint(Now_.time_since_epoch() * Target.ClockPermille_ / Thousand);
}

Replica *LogCluster::leader() {
  Replica *Best = nullptr;
  for (Replica &Row : Replicas_)
    if (Row.Log_ && !Row.Frozen_ && Row.Log_->role() == RaftRole::Leader &&
        (!Best || Row.Log_->term() > Best->Log_->term()))
      Best = &Row;
  return Best;
}

void LogCluster::send(RoutedBytes Value) {
  if (Cut_.contains({Value.From_, Value.To_}))
    return;
  const std::vector<Duration> Delays =
      Route_ ? Route_(Value) : std::vector<Duration>{Options_.Latency_};
  for (const Duration Delay : Delays)
    UnderWay_.emplace(Now_ + Delay, Value);
}

void LogCluster::within(Replica &Target, const std::function<void()> &Work) {
  try {
    Work();
  } catch (const ProcessKilled &Reason) {
    kill(Target.Id_, Reason.Torn_);
  } catch (const StorageError &) {
    kill(Target.Id_, false);
  }
}

void LogCluster::step() {
  while (!UnderWay_.empty() && UnderWay_.begin()->first <= Now_) {
    const auto First = UnderWay_.begin();
    const RoutedBytes Value = std::move(First->second);
    UnderWay_.erase(First);
    Replica &Target = replica(Value.To_);
    if (Target.Frozen_) {
      UnderWay_.emplace(Now_ + Step, Value);
      continue;
    }
    if (!Target.Log_)
      continue;
    within(Target, [&] {
      if (OnReceive_)
        OnReceive_(Value, false);
      Target.Log_->receive(localNow(Target), Value.From_, Value.Bytes_);
      if (OnReceive_)
        OnReceive_(Value, true);
    });
  }
  for (Replica &Row : Replicas_) {
    if (Row.RestartAt_ && *Row.RestartAt_ <= Now_)
      start(Row.Id_);
    if (Row.Log_ && !Row.Frozen_)
      within(Row, [&] { Row.Log_->tick(localNow(Row)); });
  }
  if (OnTime_)
    OnTime_();
}

void LogCluster::run(Duration By) {
  const TimePoint End = Now_ + By;
  while (Now_ < End) {
    Now_ += Step;
    step();
  }
}

bool LogCluster::runUntil(const std::function<bool()> &Done, Duration Limit) {
  for (Duration Spent{}; Spent < Limit; Spent += Step) {
    if (Done())
      return true;
    run(Step);
  }
  return Done();
}

} // namespace dragonfly::bench
