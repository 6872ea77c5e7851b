/// Three control replicas behind real connections, one listener for each client
/// and replica, so that each path can be cut or lossy on its own.
#ifndef DRAGONFLY_TESTS_CHAIN_CHAINCONTROL_H
#define DRAGONFLY_TESTS_CHAIN_CHAINCONTROL_H

#include "control/JobFixture.h"
#include "dragonfly/base/Random.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/FrameServer.h"

#include <unistd.h>

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::chain {

class ChainControl {
public:
  static constexpr std::size_t Replicas = 3;

  ChainControl(net::EventLoop &Loop, control::JobCluster &Cluster,
               std::size_t Clients, std::uint64_t Seed)
      : Loop_(Loop), Cluster_(Cluster), Random_(Seed) {
    for (std::size_t Client = 0; Client < Clients; ++Client)
      for (std::size_t Replica = 0; Replica < Replicas; ++Replica)
        Paths_.push_back(makePath(Client, Replica));
  }

  /// Addresses of the replicas as \p Client reaches them.
  std::vector<std::string> addresses(std::size_t Client) const {
    std::vector<std::string> All;
    All.reserve(Replicas);
    for (std::size_t Replica = 0; Replica < Replicas; ++Replica)
      All.push_back(path(Client, Replica).Listen_.text());
    return All;
  }

  bool isAlive(std::size_t Replica) const { return Alive_[Replica]; }
  void kill(std::size_t Replica) {
    Alive_[Replica] = false;
    for (std::size_t I = Replica; I < Paths_.size(); I += Replicas)
      close(*Paths_[I]);
    Cluster_.kill(Replica);
  }
  void restart(std::size_t Replica) {
    Cluster_.start(Replica);
    Alive_[Replica] = true;
    for (std::size_t I = Replica; I < Paths_.size(); I += Replicas)
      listen(*Paths_[I]);
  }
  void loseDisk(std::size_t Replica) {
    for (std::size_t I = Replica; I < Paths_.size(); I += Replicas)
      reset(*Paths_[I]);
    Cluster_.loseDisk(Replica);
  }
  /// The replica that leads, if one does.
  std::optional<std::size_t> leader() {
    for (std::size_t I = 0; I < Replicas; ++I)
      if (Alive_[I] && Cluster_.node(I).serving() &&
          Cluster_.node(I).log().holdsLeaderLease(Cluster_.now()))
        return I;
    return std::nullopt;
  }

  /// While cut, what is sent on a path waits, as under TCP.
  void cut(std::size_t Client, std::size_t Replica) {
    path(Client, Replica).Cut_ = true;
  }
  /// Delivers what has waited, or loses it with the connections.
  void heal(std::size_t Client, bool WithReset) {
    for (std::size_t Replica = 0; Replica < Replicas; ++Replica) {
      Path &Each = path(Client, Replica);
      if (!std::exchange(Each.Cut_, false))
        continue;
      if (WithReset)
        reset(Each);
      for (const auto &Work : std::exchange(Each.Waiting_, {}))
        Work();
    }
  }
  void resetAll(std::size_t Client) {
    for (std::size_t Replica = 0; Replica < Replicas; ++Replica)
      reset(path(Client, Replica));
  }
  /// Sets the share of requests and of answers of \p Client that are lost.
  void setLoss(std::size_t Client, int Percent) {
    for (std::size_t Replica = 0; Replica < Replicas; ++Replica)
      path(Client, Replica).LossPercent_ = Percent;
  }

private:
  static constexpr std::size_t FirstPort = 7100;

  struct Path {
    std::size_t Client_ = 0;
    std::size_t Replica_ = 0;
    bool Cut_ = false;
    int LossPercent_ = 0;
    std::vector<std::function<void()>> Waiting_;
    net::Endpoint Listen_;
    std::unique_ptr<net::FrameServer> Server_;
  };

  std::unique_ptr<Path> makePath(std::size_t Client, std::size_t Replica) {
    auto Made = std::make_unique<Path>();
    Made->Client_ = Client;
    Made->Replica_ = Replica;
    // Clients try addresses in their order, which must be that of every run.
    Made->Listen_ = {.Address_ = ownAddress(),
                     .Port_ = static_cast<std::uint16_t>(
                         FirstPort + Client * Replicas + Replica)};
    listen(*Made);
    return Made;
  }
  Path &path(std::size_t Client, std::size_t Replica) const {
    return *Paths_[Client * Replicas + Replica];
  }

  /// An address that no other process on this machine listens on, so that a
  /// restarted replica finds its ports free.
  static std::string ownAddress() {
    const auto Process = static_cast<std::uint32_t>(::getpid());
    return "127." + std::to_string(100 + Process / 62500 % 100) + "." +
           std::to_string(1 + Process / 250 % 250) + "." +
           std::to_string(1 + Process % 250);
  }
  void listen(Path &On) {
    On.Server_ = std::make_unique<net::FrameServer>(
        Loop_, net::FrameServerOptions{
                   .Listen_ = On.Listen_,
                   .Self_ = {On.Replica_ + 1},
                   .OnMessage_ = [this, &On](wire::Message Request,
                                             net::FrameReplier To) {
                     request(On, std::move(Request), std::move(To));
                   }});
  }
  static void close(Path &On) {
    On.Waiting_.clear();
    On.Server_.reset();
  }
  /// Resets all connections on a path.
  void reset(Path &On) {
    if (!On.Server_)
      return;
    close(On);
    listen(On);
  }
  bool isLost(const Path &On) {
    return std::uniform_int_distribution<int>(0, 99)(Random_) < On.LossPercent_;
  }
  static void pass(Path &On, std::function<void()> Work) {
    if (On.Cut_)
      On.Waiting_.push_back(std::move(Work));
    else
      Work();
  }

  void request(Path &On, wire::Message Request, net::FrameReplier To) {
    if (!isLost(On))
      pass(On, [this, &On, Request = std::move(Request), To]() mutable {
        handle(On, std::move(Request), To);
      });
  }

  void handle(Path &On, wire::Message Request, const net::FrameReplier &To) {
    if (!Alive_[On.Replica_])
      return;
    const auto Answer = [this, &On, To](const wire::Message &Value) {
      if (!isLost(On))
        pass(On, [To, Told = translate(On, Value)] { To.answer(Told); });
    };
    control::ControlService &Node = Cluster_.node(On.Replica_);
    if (auto *Hello = std::get_if<wire::WorkerHello>(&Request))
      Node.attachWorker(Clock::now(), std::move(*Hello),
                        {.SendPart_ =
                             [&On, To](const wire::Message &Part) {
                               pass(On, [To, Part] { To.part(Part); });
                             },
                         .SendEnd_ = Answer,
                         .IsConnected_ = [To] { return To.connected(); }});
    else
      Node.handle(Clock::now(), std::move(Request), Answer);
  }

  /// Names the replicas by the addresses at which the client reaches them.
  wire::Message translate(const Path &On, wire::Message Value) const {
    if (auto *Group = std::get_if<wire::Group>(&Value)) {
      for (wire::GroupRow &Row : Group->Rows_)
        Row.Address_ = translate(On, Row.Address_);
      Group->Leader_ = translate(On, Group->Leader_);
    } else if (auto *Refused = std::get_if<wire::Refusal>(&Value)) {
      Refused->Leader_ = translate(On, Refused->Leader_);
    }
    return Value;
  }
  std::string translate(const Path &On, const std::string &Address) const {
    for (std::size_t I = 0; I < Replicas; ++I)
      if (Address == "127.0.2." + std::to_string(I + 1) + ":7000")
        return path(On.Client_, I).Listen_.text();
    return Address;
  }

  net::EventLoop &Loop_;
  control::JobCluster &Cluster_;
  RandomEngine Random_;
  std::vector<std::unique_ptr<Path>> Paths_;
  std::vector<bool> Alive_ = std::vector<bool>(Replicas, true);
};

} // namespace dragonfly::chain

#endif // DRAGONFLY_TESTS_CHAIN_CHAINCONTROL_H
