/// How soon replicas whose connections went silent elect a leader.
#include "control/MachineFixture.h"
#include "control/PeerLinks.h"
#include "dragonfly/base/Log.h"
#include "dragonfly/control/ControlService.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/FrameServer.h"
#include "net/PausedLoop.h"
#include "net/SilentRelay.h"
#include "support/MemoryDisk.h"

#include <catch2/catch.hpp>

#include <array>
#include <memory>
#include <optional>
#include <utility>

namespace dragonfly::control {
namespace {

using namespace std::chrono_literals;
using net::NewConnections;

constexpr std::size_t Replicas = 3;

/// Control replicas on fake disks, whose messages go over real connections. A
/// relay of its own carries each direction between two of them.
class LinkedCluster {
public:
  LinkedCluster() {
    configureLog({.Sink_ = [](std::string_view) {}});
    for (std::size_t I = 0; I < Replicas; ++I)
      loseDisk(I);
    for (std::size_t From = 0; From < Replicas; ++From)
      for (std::size_t To = 0; To < Replicas; ++To)
        Relays_.at(From).at(To) =
            std::make_unique<net::SilentRelay>(Loop_, Nodes_.at(To).At_);
  }

  /// Starts a replica on the disk that it has, as a new process.
  void start(std::size_t I) {
    Node &Each = Nodes_.at(I);
    const Incarnation Process{++Processes_};
    Each.Links_ = std::make_unique<PeerLinks>(
        Loop_, ReplicaId{I + 1}, Process, [this, I](ReplicaId To) {
          return Relays_.at(I).at(To.Value_ - 1)->endpoint().text();
        });
    Each.Service_ = std::make_unique<ControlService>(
        optionsOf(I), bench::openMemoryStorage(Each.Disk_), Clock::now());
    Each.Server_ = std::make_unique<net::FrameServer>(
        Loop_, net::FrameServerOptions{
                   .Listen_ = Each.At_,
                   .Self_ = Process,
                   .OnMessage_ = [this, I](const wire::Message &Value, auto) {
                     take(I, Value);
                   }});
    Each.At_ = Each.Server_->endpoint();
  }

  void loseDisk(std::size_t I) {
    Nodes_.at(I).Disk_ =
        std::make_shared<bench::MemoryDisk>(StoreId{++Stores_});
    start(I);
  }

  /// The open connections of a replica go silent; \p New becomes of others.
  void cutOff(std::size_t I, NewConnections New) {
    for (std::size_t Other = 0; Other < Replicas; ++Other)
      for (auto *Relay :
           {Relays_.at(I).at(Other).get(), Relays_.at(Other).at(I).get()}) {
        Relay->silence();
        Relay->admit(New);
      }
  }

  /// Makes each link between two replicas carry \p BytesPerMs.
  void limitLinks(std::size_t BytesPerMs) {
    for (auto &Row : Relays_)
      for (auto &Relay : Row)
        Relay->limitRate(BytesPerMs);
  }

  const consensus::ReplicatedLog &log(std::size_t I) {
    return Nodes_.at(I).Service_->log();
  }

  /// Between two replicas new connections work again; open ones stay silent.
  void join(std::size_t I, std::size_t Other) {
    Relays_.at(I).at(Other)->admit(NewConnections::Forwarded);
    Relays_.at(Other).at(I)->admit(NewConnections::Forwarded);
  }

  void losePower(std::size_t I, NewConnections New) {
    cutOff(I, New);
    Node &Each = Nodes_.at(I);
    Each.Server_.reset();
    Each.Service_.reset();
    Each.Links_.reset();
    Each.Disk_->crash(false);
  }

  void run(Duration By) {
    constexpr Duration Step = 5ms;
    for (const TimePoint End = Clock::now() + By; Clock::now() < End;) {
      net::pollSome(Loop_);
      for (Node &Each : Nodes_)
        if (Each.Service_) {
          Each.Links_->tick(Clock::now());
          Each.Service_->tick(Clock::now());
        }
      Clock::advance(Step);
    }
  }

  std::optional<std::size_t> leader() {
    for (std::size_t I = 0; I < Replicas; ++I)
      if (const auto &Service = Nodes_.at(I).Service_;
          Service && Service->serving() &&
          Service->log().holdsLeaderLease(Clock::now()))
        return I;
    return std::nullopt;
  }

  /// Returns the time until a replica leads, or \p Limit.
  Duration timeUntilLed(Duration Limit) {
    const TimePoint Began = Clock::now();
    while (!leader() && Clock::now() - Began < Limit)
      run(5ms);
    return Clock::now() - Began;
  }

  /// Lets another replica lead than \p I, and returns it.
  std::optional<std::size_t> transferLeadership(std::size_t I) {
    Nodes_.at(I).Service_->transferLeadership();
    const TimePoint Began = Clock::now();
    while ((!leader() || leader() == I) && Clock::now() - Began < 10s)
      run(5ms);
    return leader();
  }

  /// Returns whether \p Change is committed within \p Limit.
  bool put(std::size_t I, PutList Change, Duration Limit = 500ms) {
    const auto Done = std::make_shared<bool>(false);
    Nodes_.at(I).Service_->putList(
        std::move(Change), [Done](consensus::ProposeStatus Status, PutOutcome) {
          *Done = Status == consensus::ProposeStatus::Committed;
        });
    run(Limit);
    return *Done;
  }

private:
  struct Node {
    net::Endpoint At_{.Address_ = "127.0.0.1", .Port_ = 0};
    std::shared_ptr<bench::MemoryDisk> Disk_;
    std::unique_ptr<PeerLinks> Links_;
    std::unique_ptr<ControlService> Service_;
    std::unique_ptr<net::FrameServer> Server_;
  };

  ControlServiceOptions optionsOf(std::size_t I) {
    ControlServiceOptions Options;
    Options.Log_.Self_ = {I + 1};
    Options.Log_.Seed_ = I + 1;
    Options.Log_.Send_ = [this, I](ReplicaId To, std::string Bytes) {
      Nodes_.at(I).Links_->sendTraffic(To, std::move(Bytes));
    };
    Options.Log_.IsSending_ = [this, I](ReplicaId To) {
      return Nodes_.at(I).Links_->isSending(To);
    };
    for (std::size_t Each = 0; Each < Replicas; ++Each)
      Options.Log_.FirstMembers_.push_back({.Id_ = {Each + 1}});
    Options.Machine_.Validator_ = validateWords;
    return Options;
  }

  static void takeTraffic(Node &Each, ReplicaId From, std::string_view Bytes) {
    Each.Links_->heardFrom(From);
    Each.Service_->receivePeer(Clock::now(), From, Bytes);
    Each.Service_->tick(Clock::now());
  }

  void take(std::size_t I, const wire::Message &Value) {
    Node &Each = Nodes_.at(I);
    if (const auto *Traffic = std::get_if<wire::ReplicaTraffic>(&Value)) {
      takeTraffic(Each, Traffic->From_, Traffic->Bytes_);
    } else if (const auto *Part = std::get_if<wire::ReplicaPart>(&Value)) {
      Each.Links_->heardFrom(Part->From_);
      if (const auto Whole = Each.Links_->takePart(*Part))
        takeTraffic(Each, Part->From_, *Whole);
    } else if (const auto *Doubt = std::get_if<wire::ReplicaUnheard>(&Value)) {
      Each.Links_->unheardBy(Doubt->From_);
    }
  }

  net::PausedClock Paused_;
  net::EventLoop Loop_;
  std::array<Node, Replicas> Nodes_;
  std::array<std::array<std::unique_ptr<net::SilentRelay>, Replicas>, Replicas>
      Relays_;
  std::uint64_t Stores_ = 0;
  std::uint64_t Processes_ = 0;
};

PutList change(std::uint64_t Expected, std::string Id) {
  return {settings::ListName::Plans, {Expected}, std::move(Id), "gold"};
}

} // namespace

// Guards against LOST: one replica is cut off and misses a change, another one
// loses its disk, and the third, which alone can lead, is dark until later than
// the cut. Its messages arrive, but the answers of the one that was cut off go
// to the connection of its former life.
TEST_CASE("a replica that is back after a loss of power is elected by one that "
          "was cut off",
          "[control][links]") {
  const auto New = GENERATE(NewConnections::Closed, NewConnections::Swallowed);
  const Duration Dark =
      GENERATE(500ms, 1s, 1500ms, 2s, 2500ms, 3s, 3500ms, 4s, 4500ms, 6s, 15s);
  LinkedCluster Cluster;
  REQUIRE(Cluster.timeUntilLed(10s) < 10s);
  // So that every link to it is open.
  const std::size_t Back = *Cluster.leader();
  const auto Next = Cluster.transferLeadership(Back);
  REQUIRE(Next);
  REQUIRE(Next != Back);
  const std::size_t Wiped = *Next;
  const std::size_t Behind = Replicas - Wiped - Back;
  Cluster.run(2s);
  Cluster.cutOff(Behind, NewConnections::Closed);
  REQUIRE(Cluster.put(Wiped, change(1, "a")));
  Cluster.losePower(Back, New);
  Cluster.losePower(Wiped, NewConnections::Closed);
  Cluster.loseDisk(Wiped);
  Cluster.join(Wiped, Behind);
  Cluster.run(Dark);
  REQUIRE_FALSE(Cluster.leader());
  Cluster.start(Back);
  Cluster.join(Back, Behind);
  Cluster.join(Back, Wiped);
  const Duration Took = Cluster.timeUntilLed(60s);
  const auto Millis = [](Duration Value) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(Value).count();
  };
  INFO("dark for " << Millis(Dark) << " ms; led after " << Millis(Took)
                   << " ms");
  // Replicas that have reached each other for so long are in touch (ContactMs).
  CHECK(Took <= 3s);
  CHECK(Cluster.leader() == Back);
}

// Guards against a group that a large record keeps without a leader: heartbeats
// waited behind its bytes for longer than an election timeout, and it was sent
// again from the start before it had left.
TEST_CASE("a leader keeps its place while a large record leaves",
          "[control][links]") {
  constexpr std::size_t BytesPerMs = 3'125; // 25 Mbit/s
  constexpr std::size_t LargeBytes = 4'000'000;
  LinkedCluster Cluster;
  REQUIRE(Cluster.timeUntilLed(10s) < 10s);
  const std::size_t Leader = *Cluster.leader();
  Cluster.run(1s);
  const Term Before = Cluster.log(Leader).term();
  Cluster.limitLinks(BytesPerMs);
  const PutList Large{
      settings::ListName::Plans, {1}, "large", std::string(LargeBytes, 'x')};
  // Its bytes take 1.3 s.
  CHECK(Cluster.put(Leader, Large, 3s));
  CHECK(Cluster.leader() == Leader);
  CHECK(Cluster.log(Leader).term() == Before);
}

} // namespace dragonfly::control
