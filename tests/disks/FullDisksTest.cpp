/// The disks of a group are full one after another, round after round, while
/// changes go on: on real files, with small segments and frequent snapshots.
#include "consensus/FileStorage.h"
#include "control/GroupKeeper.h"
#include "dragonfly/base/Log.h"
#include "dragonfly/base/Random.h"
#include "dragonfly/consensus/ReplicatedLog.h"

#include <catch2/catch.hpp>

#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <filesystem>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace dragonfly::faults {
namespace {

using consensus::ProposeResult;
using consensus::ProposeStatus;
using consensus::ReplicatedLog;
using consensus::StorageError;
using consensus::StorageFault;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration Step = milliseconds(2);
constexpr Duration SightingPeriod = milliseconds(500);
/// As control tries a data folder that has no room again.
constexpr Duration StartRetryPeriod = milliseconds(500);
constexpr Duration ChangePeriod = milliseconds(20);

/// Replicas on data folders of their own whose disks can be full, of which the
/// leader repairs the group as control does.
class FullDiskGroup {
public:
  FullDiskGroup(std::size_t Replicas, std::size_t Voters, std::uint64_t Seed)
      : Random_(Seed), Nodes_(Replicas), Voters_(Voters) {
    configureLog({.Sink_ = [](std::string_view) {}});
    for (std::size_t I = 0; I < Replicas; ++I) {
      Nodes_[I].Folder_ = std::filesystem::temp_directory_path() /
                          ("full-disks-" + std::to_string(::getpid()) + "-" +
                           std::to_string(I));
      std::filesystem::remove_all(Nodes_[I].Folder_);
      start(I);
    }
  }
  ~FullDiskGroup() {
    for (Node &Each : Nodes_) {
      Each.Keeper_.reset();
      Each.Log_.reset();
      std::filesystem::remove_all(Each.Folder_);
    }
  }

  std::size_t size() const { return Nodes_.size(); }
  std::size_t pick(std::size_t Count) { return Random_() % Count; }
  void setFull(std::size_t I, bool Full) { Nodes_[I].Full_ = Full; }
  void kill(std::size_t I) {
    Nodes_[I].Keeper_.reset();
    Nodes_[I].Log_.reset();
    Nodes_[I].Leads_ = false;
    Nodes_[I].StartAt_ = Now_ + milliseconds(300);
  }
  std::optional<std::size_t> leader() const {
    const auto It = std::ranges::find_if(Nodes_, [this](const Node &Each) {
      return Each.Log_ && Each.Log_->holdsLeaderLease(Now_);
    });
    if (It == Nodes_.end())
      return std::nullopt;
    return static_cast<std::size_t>(It - Nodes_.begin());
  }

  void run(Duration By) {
    for (const TimePoint End = Now_ + By; Now_ < End;) {
      Now_ += Step;
      for (const Bytes &Each : std::exchange(UnderWay_, {}))
        guard(Each.To_, [&](ReplicatedLog &Log) {
          Log.receive(Now_, {Each.From_ + 1}, Each.Bytes_);
        });
      for (std::size_t I = 0; I < Nodes_.size(); ++I)
        tick(I);
      change();
    }
  }

  /// Returns how long it takes until a change that is made from now on has been
  /// accepted, or nothing where it takes longer than \p Limit.
  std::optional<Duration> acceptsWithin(Duration Limit) {
    const TimePoint Began = Now_;
    const std::uint64_t First = LastChange_ + 1;
    while (Now_ - Began < Limit) {
      run(Step);
      if (!Accepted_.empty() && *Accepted_.rbegin() >= First)
        return Now_ - Began;
    }
    return std::nullopt;
  }

  const std::set<std::uint64_t> &accepted() const { return Accepted_; }
  const std::vector<std::string> &faults() const { return Faults_; }
  /// Changes that the replica has applied, in order.
  const std::vector<std::uint64_t> &applied(std::size_t I) const {
    return Nodes_[I].Applied_;
  }

private:
  struct Node {
    std::filesystem::path Folder_;
    bool Full_ = false;
    std::unique_ptr<ReplicatedLog> Log_;
    std::unique_ptr<control::GroupKeeper> Keeper_;
    bool Leads_ = false;
    TimePoint StartAt_;
    TimePoint SightingAt_;
    std::vector<std::uint64_t> Applied_;
  };
  struct Bytes {
    std::size_t From_;
    std::size_t To_;
    std::string Bytes_;
  };

  /// A full disk takes half of a write and then nothing.
  consensus::FileHooks hooksOf(std::size_t I) {
    return {.Write_ = [this, I](int Fd, const void *Data,
                                std::size_t Count) -> ssize_t {
              if (!Nodes_[I].Full_)
                return ::write(Fd, Data, Count);
              if (Count > 1)
                return ::write(Fd, Data, Count / 2);
              errno = ENOSPC;
              return -1;
            },
            .Sync_ = [](int) { return 0; }};
  }

  consensus::ReplicatedLogOptions optionsOf(std::size_t I) {
    consensus::ReplicatedLogOptions Options;
    Options.Self_ = {I + 1};
    Options.Seed_ = Random_();
    Options.SnapshotEveryRecords_ = 60;
    for (std::size_t Each = 0; I < Voters_ && Each < Voters_; ++Each)
      Options.FirstMembers_.push_back({.Id_ = {Each + 1}});
    Options.Machine_ = {
        .Apply_ =
            [this, I](LogIndex, std::string_view Command) {
              Nodes_[I].Applied_.push_back(std::stoull(std::string(Command)));
              return std::string();
            },
        .Snapshot_ =
            [this, I] {
              std::string State;
              for (const std::uint64_t Each : Nodes_[I].Applied_)
                State += std::to_string(Each) + " ";
              return State;
            },
        .Restore_ =
            [this, I](std::string_view State) {
              Nodes_[I].Applied_.clear();
              while (!State.empty()) {
                const std::size_t End = State.find(' ');
                Nodes_[I].Applied_.push_back(
                    std::stoull(std::string(State.substr(0, End))));
                State.remove_prefix(End + 1);
              }
            }};
    Options.Send_ = [this, I](ReplicaId To, std::string Data) {
      UnderWay_.push_back({I, To.Value_ - 1, std::move(Data)});
    };
    Options.OnLeadership_ = [this, I](bool Leads) {
      Nodes_[I].Leads_ = Leads;
      if (Leads)
        Nodes_[I].Keeper_->lead(Now_);
      else
        Nodes_[I].Keeper_->stop();
    };
    return Options;
  }

  void start(std::size_t I) {
    Node &Each = Nodes_[I];
    Each.Applied_.clear();
    try {
      Each.Log_ = std::make_unique<ReplicatedLog>(
          optionsOf(I),
          consensus::openFileStorage(
              consensus::FileStorageOptions{.Folder_ = Each.Folder_.string(),
                                            .Hooks_ = hooksOf(I),
                                            .MaxSegmentBytes_ = 700}),
          Now_);
      Each.Keeper_ = std::make_unique<control::GroupKeeper>(*Each.Log_);
    } catch (const StorageError &Fault) {
      if (Fault.code() != StorageFault::DiskFull)
        throw;
      Each.StartAt_ = Now_ + StartRetryPeriod;
    }
  }

  template <typename Work> void guard(std::size_t I, Work Do) {
    if (!Nodes_[I].Log_)
      return;
    try {
      Do(*Nodes_[I].Log_);
    } catch (const Error &Fault) {
      Faults_.push_back("replica " + std::to_string(I + 1) + " ended: " +
                        std::string(Fault.type()) + ", " + Fault.what());
      kill(I);
    }
  }

  void tick(std::size_t I) {
    Node &Each = Nodes_[I];
    if (!Each.Log_ && Now_ >= Each.StartAt_)
      start(I);
    guard(I, [&](ReplicatedLog &Log) {
      Log.tick(Now_);
      if (Each.Leads_ && Each.Log_)
        Each.Keeper_->tick(Now_, {.Self_ = {I + 1}, .Voters_ = Voters_});
    });
    if (!Each.Log_ || Now_ < Each.SightingAt_)
      return;
    Each.SightingAt_ = Now_ + SightingPeriod;
    for (Node &Leader : Nodes_)
      if (Leader.Log_ && Leader.Leads_)
        Leader.Keeper_->sighted(
            Now_,
            {.Id_ = {I + 1}, .Store_ = Each.Log_->store(), .Address_ = "a"});
  }

  void change() {
    if (Now_ < ChangeAt_)
      return;
    ChangeAt_ = Now_ + ChangePeriod;
    for (Node &Each : Nodes_)
      if (Each.Log_ && Each.Leads_) {
        const std::uint64_t Change = ++LastChange_;
        Each.Log_->propose(std::to_string(Change),
                           [this, Change](const ProposeResult &Result) {
                             if (Result.Status_ == ProposeStatus::Committed)
                               Accepted_.insert(Change);
                           });
        return;
      }
  }

  RandomEngine Random_;
  TimePoint Now_{seconds(1000)};
  std::vector<Node> Nodes_;
  std::size_t Voters_;
  std::vector<Bytes> UnderWay_;
  TimePoint ChangeAt_;
  std::uint64_t LastChange_ = 0;
  std::set<std::uint64_t> Accepted_;
  std::vector<std::string> Faults_;
};

/// Set by hand to run other seeds.
std::uint64_t firstSeed() {
  const char *Text = std::getenv("DRAGONFLY_SEED");
  return Text == nullptr ? 0 : std::stoull(Text);
}

struct Variant {
  const char *Name_;
  std::size_t Replicas_;
  std::size_t Voters_;
  int Rounds_;
  milliseconds MostFull_;
  bool KillsLeaders_;
  bool KillsFull_;
};

} // namespace

// Guards against changes that are refused or unanswered to the end of the day
// after the disks of the group were full in turn (Acks, CONFIG).
TEST_CASE("a group takes changes again after its disks were full in turn",
          "[group][storage][full]") {
  const Variant Each =
      GENERATE(Variant{"two rounds", 3, 3, 2, milliseconds(3000), false, false},
               Variant{"two rounds, with a learner", 4, 3, 2,
                       milliseconds(3000), false, false},
               Variant{"leaders are killed in between", 4, 3, 3,
                       milliseconds(3000), true, false},
               Variant{"the process on the full disk is killed", 4, 3, 3,
                       milliseconds(3000), true, true},
               Variant{"room only after many seconds", 5, 5, 2,
                       milliseconds(12000), true, true});
  const std::uint64_t Seed = firstSeed() + GENERATE(range(1, 9));
  INFO(Each.Name_ << ", seed " << Seed);
  FullDiskGroup Group(Each.Replicas_, Each.Voters_, Seed);
  REQUIRE(Group.acceptsWithin(seconds(3)));
  for (int Round = 0; Round < Each.Rounds_; ++Round)
    for (std::size_t I = 0; I < Group.size(); ++I) {
      Group.setFull(I, true);
      const auto Length = milliseconds(
          200 + Group.pick(static_cast<std::size_t>(Each.MostFull_.count())));
      Group.run(Length / 2);
      if (Each.KillsFull_ && Group.pick(2) == 0)
        Group.kill(I);
      Group.run(Length / 2);
      // One full disk of the group is borne.
      INFO("round " << Round << ", disk " << I + 1);
      CHECK((Length < seconds(2) || Each.KillsLeaders_ ||
             Group.acceptsWithin(seconds(2))));
      Group.setFull(I, false);
      if (Each.KillsLeaders_ && Group.pick(2) == 0)
        if (const auto Leader = Group.leader())
          Group.kill(*Leader);
      Group.run(milliseconds(Group.pick(700)));
    }
  const auto Took = Group.acceptsWithin(seconds(4));
  REQUIRE(Took);
  Group.run(seconds(6));
  CHECK(Group.faults() == std::vector<std::string>());
  for (std::size_t I = 0; I < Group.size(); ++I) {
    const std::vector<std::uint64_t> &Applied = Group.applied(I);
    const std::set<std::uint64_t> Known(Applied.begin(), Applied.end());
    CHECK(Known.size() == Applied.size());
    CHECK(std::ranges::all_of(Group.accepted(), [&](std::uint64_t Change) {
      return Known.contains(Change) || Change + 20 > *Group.accepted().rbegin();
    }));
  }
}

} // namespace dragonfly::faults
