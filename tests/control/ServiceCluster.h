/// Control replicas in one thread, on fake disks and a network that tests cut,
/// with time that only `run()` moves.
#ifndef DRAGONFLY_TESTS_CONTROL_SERVICECLUSTER_H
#define DRAGONFLY_TESTS_CONTROL_SERVICECLUSTER_H

#include "control/MachineFixture.h"
#include "dragonfly/base/Log.h"
#include "dragonfly/control/ControlService.h"
#include "support/MemoryDisk.h"

#include <algorithm>
#include <deque>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::control {

class ServiceCluster {
public:
  static constexpr Duration Term = std::chrono::seconds(3);
  static constexpr Duration Margin = std::chrono::milliseconds(300);
  static constexpr Duration Step = std::chrono::milliseconds(2);

  explicit ServiceCluster(std::size_t Replicas = 3) : Nodes_(Replicas) {
    // Placements pause in proportion to the time that they took.
    Clock::pause(Now_);
    configureLog({.Sink_ = [](std::string_view) {}});
    for (std::size_t I = 0; I < Replicas; ++I)
      loseDisk(I);
  }

  ~ServiceCluster() { Clock::resume(); }
  ServiceCluster(const ServiceCluster &) = delete;
  ServiceCluster &operator=(const ServiceCluster &) = delete;

  ControlService &node(std::size_t I) { return *Nodes_[I].Service_; }
  bool exists(std::size_t I) const { return Nodes_[I].Service_ != nullptr; }
  TimePoint now() const { return Now_; }

  /// Restarts every replica with another check of the lists.
  void setValidator(ListValidator Validator) {
    Validator_ = std::move(Validator);
    for (std::size_t I = 0; I < Nodes_.size(); ++I)
      loseDisk(I);
  }

  /// From now on leaders change the group's members themselves, and replicas
  /// announce themselves to them.
  void repairGroup() {
    RepairsGroup_ = true;
    for (std::size_t I = 0; I < Nodes_.size(); ++I) {
      kill(I);
      start(I);
    }
  }

  void start(std::size_t I) {
    Nodes_[I].Service_ = std::make_unique<ControlService>(
        optionsOf(I), bench::openMemoryStorage(Nodes_[I].Disk_), Now_);
  }

  void kill(std::size_t I) {
    Nodes_[I].Service_.reset();
    Nodes_[I].Disk_->crash(false);
  }

  /// Starts a replica on an empty disk.
  void loseDisk(std::size_t I) {
    Nodes_[I].Service_.reset();
    Nodes_[I].Disk_ = std::make_shared<bench::MemoryDisk>(StoreId{++Stores_});
    start(I);
  }

  /// Loses what \p From sends to \p To.
  void cut(std::size_t From, std::size_t To) { Cut_.insert({From, To}); }
  void isolate(std::size_t I) {
    for (std::size_t Other = 0; Other < Nodes_.size(); ++Other) {
      cut(I, Other);
      cut(Other, I);
    }
  }
  void heal() { Cut_.clear(); }

  void run(Duration By) {
    for (const TimePoint End = Now_ + By; Now_ < End;) {
      Now_ += Step;
      Clock::advance(Step);
      deliver();
      if (RepairsGroup_ && Now_ >= AnnounceAt_)
        announceReplicas();
      for (Node &Each : Nodes_)
        if (Each.Service_)
          Each.Service_->tick(Now_);
    }
  }

  /// Returns the replica that serves and can prove that it leads.
  std::size_t leader() {
    for (int Round = 0; Round < 5000; ++Round) {
      for (std::size_t I = 0; I < Nodes_.size(); ++I)
        if (Nodes_[I].Service_ && node(I).serving() &&
            node(I).log().holdsLeaderLease(Now_))
          return I;
      run(Step);
    }
    throw std::runtime_error("no leader");
  }

  /// Returns the answer of one replica, if it gives one within a second.
  std::optional<wire::Message> ask(std::size_t I, wire::Message Request) {
    const auto Answer = std::make_shared<std::optional<wire::Message>>();
    node(I).handle(Now_, std::move(Request),
                   [Answer](wire::Message Value) { *Answer = Value; });
    run(std::chrono::seconds(1));
    return *Answer;
  }

  template <typename T> T askLeader(wire::Message Request) {
    return std::get<T>(ask(leader(), std::move(Request)).value());
  }

  std::optional<PutOutcome> put(std::size_t I, PutList Change) {
    const auto Answer = std::make_shared<std::optional<PutOutcome>>();
    node(I).putList(std::move(Change), [Answer](consensus::ProposeStatus Status,
                                                PutOutcome Value) {
      if (Status == consensus::ProposeStatus::Committed)
        *Answer = Value;
    });
    run(std::chrono::seconds(1));
    return *Answer;
  }

  /// Sends an agent's heartbeat to every replica; returns true where the
  /// leader renewed its lease.
  bool beat(const std::string &Name, std::uint64_t Process,
            const std::string &Address = "127.0.3.1:7100") {
    wire::Heartbeat Beat;
    Beat.Name_ = Name;
    Beat.Incarnation_ = {Process};
    Beat.Sequence_ = ++Beats_;
    Beat.SentAt_ = Now_.time_since_epoch();
    Beat.Address_ = Address;
    Beat.LedgerReady_ = true;
    Beat.Vm_.Capacity_ = {4000, 4096, 0};
    Beat.Vm_.Slots_ = 8;
    bool Renewed = false;
    for (Node &Each : Nodes_)
      if (Each.Service_)
        if (const auto Ack = Each.Service_->heartbeat(Now_, Beat))
          Renewed |= Ack->IsLeader_;
    return Renewed;
  }

private:
  struct Node {
    std::shared_ptr<bench::MemoryDisk> Disk_;
    std::unique_ptr<ControlService> Service_;
  };
  struct RoutedBytes {
    std::size_t From_;
    std::size_t To_;
    std::string Bytes_;
  };

  ControlServiceOptions optionsOf(std::size_t I) {
    ControlServiceOptions Options;
    Options.Log_.Self_ = {I + 1};
    Options.Log_.Seed_ = I + 1;
    Options.Log_.Send_ = [this, I](ReplicaId To, std::string Bytes) {
      // A member may have been added that is no replica of this cluster.
      if (To.Value_ - 1 < Nodes_.size())
        UnderWay_.push_back({I, To.Value_ - 1, std::move(Bytes)});
    };
    for (std::size_t Each = 0; Each < Nodes_.size(); ++Each) {
      const std::string Address = "127.0.2." + std::to_string(Each + 1);
      Options.Log_.FirstMembers_.push_back(
          {.Id_ = {Each + 1}, .Address_ = Address + ":7000"});
      Options.Replicas_.push_back({.Id_ = {Each + 1},
                                   .Address_ = Address + ":7000",
                                   .OperatorAddress_ = Address + ":7001"});
    }
    Options.Machine_.Validator_ = Validator_;
    Options.RepairsGroup_ = RepairsGroup_;
    Options.LeaseTerm_ = Term;
    Options.DriftMargin_ = Margin;
    return Options;
  }

  void announceReplicas() {
    AnnounceAt_ = Now_ + AnnouncePeriod;
    for (std::size_t To = 0; To < Nodes_.size(); ++To)
      for (std::size_t From = 0; From < Nodes_.size(); ++From)
        if (Nodes_[To].Service_ && Nodes_[From].Service_ && To != From &&
            !Cut_.contains({From, To}))
          node(To).handle(Now_,
                          wire::JoinGroup{.Id_ = {From + 1},
                                          .Store_ = node(From).log().store(),
                                          .Address_ = "127.0.2." +
                                                      std::to_string(From + 1) +
                                                      ":7000"},
                          [](const wire::Message &) {});
  }

  void deliver() {
    for (const RoutedBytes &Each : std::exchange(UnderWay_, {}))
      if (!Cut_.contains({Each.From_, Each.To_}) && Nodes_[Each.To_].Service_)
        node(Each.To_).receivePeer(Now_, {Each.From_ + 1}, Each.Bytes_);
  }

  TimePoint Now_{std::chrono::seconds(1000)};
  ListValidator Validator_ = validateWords;
  std::vector<Node> Nodes_;
  std::vector<RoutedBytes> UnderWay_;
  std::set<std::pair<std::size_t, std::size_t>> Cut_;
  static constexpr Duration AnnouncePeriod = std::chrono::milliseconds(500);
  bool RepairsGroup_ = false;
  TimePoint AnnounceAt_;
  std::uint64_t Stores_ = 0;
  std::uint64_t Beats_ = 0;
};

} // namespace dragonfly::control

#endif // DRAGONFLY_TESTS_CONTROL_SERVICECLUSTER_H
