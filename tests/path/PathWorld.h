/// All processes of a small deployment in one thread: three replicas of
/// control, two entries and three agents with their workers. The processes'
/// code is what ships; the network, the disks and the workers are fakes.
#ifndef DRAGONFLY_TESTS_PATH_PATHWORLD_H
#define DRAGONFLY_TESTS_PATH_PATHWORLD_H

#include "dragonfly/agent/AgentCore.h"
#include "dragonfly/control/ControlService.h"
#include "dragonfly/entry/EntryCore.h"
#include "dragonfly/net/EventLoop.h"
#include "path/PathNetwork.h"
#include "path/PathWorker.h"
#include "support/MemoryDisk.h"

#include <memory>
#include <string>
#include <vector>

namespace dragonfly::faults {

class PathWorld {
public:
  static constexpr std::size_t Replicas = 3;
  static constexpr std::size_t Entries = 2;
  static constexpr std::size_t Agents = 3;

  explicit PathWorld(std::uint64_t Seed);
  ~PathWorld();

  PathNetwork &network() { return Network_; }
  PathEvidence &evidence() { return Evidence_; }

  void start(const Place &Where);
  /// Ends the process; what it has on disk and its worker survive.
  void kill(const Place &Where);
  /// Begins the graceful stop of an agent or entry.
  void drain(const Place &Where);
  /// Gives a dead replica an empty disk.
  void loseDisk(std::size_t Replica);
  void freeze(const Place &Where, Duration For);

  /// Moves time by one step; every process gets its turn.
  void step();
  void run(Duration For);

  /// Null where the process is dead.
  control::ControlService *control(std::size_t Number);
  entry::EntryCore *entry(std::size_t Number);
  agent::AgentCore *agent(std::size_t Number);
  PathWorker &worker(std::size_t Number) { return *Workers_.at(Number); }
  /// The replica that serves, or null.
  control::ControlService *leader();
  bool stopped(const Place &Where) const { return Stopped_.contains(Where); }

  static std::string agentName(std::size_t Number);

private:
  struct AgentProcess {
    net::EventLoop Loop_;
    Incarnation Self_;
    std::unique_ptr<agent::AgentCore> Core_;
  };
  struct EntryProcess {
    net::EventLoop Loop_;
    std::unique_ptr<entry::EntryCore> Core_;
  };

  void takeApart(const Place &Where);
  void startControl(std::size_t Number);
  void startAgent(std::size_t Number);
  void startEntry(std::size_t Number);
  link::ControlTransport transport(const Place &Where);
  settings::ProcessSettings process(const std::string &Name,
                                    std::size_t Zone) const;
  void callAgent(const Place &From, entry::AgentCall Call);
  void arrived(const RoutedMessage &Value, const Replier &Reply,
               const Replier &OnPart);
  void arrivedAtControl(const RoutedMessage &Value, const Replier &Reply);
  void arrivedAtAgent(const RoutedMessage &Value, const Replier &Reply,
                      const Replier &OnPart);
  void acknowledged(const RoutedMessage &Value);
  Incarnation freshIncarnation() { return {++LastIncarnation_}; }

  std::uint64_t Seed_;
  PathNetwork Network_;
  PathEvidence Evidence_;
  std::uint64_t LastIncarnation_ = 100;
  std::uint64_t LastStore_ = 10;
  std::vector<std::shared_ptr<bench::MemoryDisk>> Disks_;
  std::vector<std::unique_ptr<control::ControlService>> Controls_;
  std::vector<std::unique_ptr<PathWorker>> Workers_;
  std::vector<std::unique_ptr<AgentProcess>> Agents_;
  std::vector<std::unique_ptr<EntryProcess>> Entries_;
  std::set<Place> Stopped_;
  std::uint64_t Steps_ = 0;
};

/// The settings that all processes of the world share.
settings::DeploymentSettings pathDeployment();

} // namespace dragonfly::faults

#endif // DRAGONFLY_TESTS_PATH_PATHWORLD_H
