/// A machine with a worker and the agent beside it, as it ships.
#ifndef DRAGONFLY_TESTS_CHAIN_CHAINMACHINE_H
#define DRAGONFLY_TESTS_CHAIN_CHAINMACHINE_H

#include "chain/ChainControl.h"
#include "chain/ChainWorker.h"
#include "dragonfly/agent/WorkerAgent.h"
#include "dragonfly/link/LeaderClient.h"

#include <memory>
#include <string>
#include <utility>

namespace dragonfly::chain {

class ChainMachine {
public:
  ChainMachine(net::EventLoop &Loop, const ChainControl &Control,
               ChainJudge &Judge, const ChainClock &Calm, std::size_t Index,
               std::uint64_t Seed)
      : Loop_(Loop), Control_(Control), Index_(Index),
        Worker_(Loop, Judge, Calm, Index, Seed) {
    startAgent();
  }

  ChainWorker &worker() { return Worker_; }
  bool hasAgent() const { return Agent_ != nullptr; }

  void startAgent() {
    Link_ = std::make_unique<link::LeaderClient>(
        Loop_, link::LeaderClientOptions{.Self_ = {100 + Index_},
                                         .Seeds_ = Control_.addresses(Index_)});
    Agent_ = std::make_unique<agent::WorkerAgent>(
        Loop_, *Link_,
        agent::WorkerAgentOptions{.Calls_ = Worker_.calls(),
                                  .Vm_ = "vm-" + std::to_string(Index_)});
  }
  void killAgent() {
    Agent_.reset();
    Link_.reset();
  }

  /// The worker announces itself.
  void beat() {
    if (!Agent_ || !Worker_.isUp())
      return;
    Agent_->announced(Worker_.announce());
    Worker_.announcementTaken();
  }
  /// Another writer announces the worker of \p Other, or one that is nowhere,
  /// to this agent.
  void hearForeign(const ChainWorker *Other) {
    if (!Agent_)
      return;
    agent::WorkerAnnouncement Value{
        .Worker_ = Other != nullptr ? Other->name() : "nowhere",
        .Born_ = Other != nullptr ? Other->born() : 7,
        .Sequence_ = 1000000,
        .Service_ = "sorting",
        .AvailabilityZone_ = "zone-a",
        .Capacity_ = {.MilliProcessors_ = 4000, .MemoryMib_ = 4096}};
    Agent_->announced(Value);
  }
  void leave() {
    if (Agent_)
      Agent_->departed(Worker_.name());
    Worker_.end();
  }
  /// The next life begins, under the same id or another one.
  void beginWorker(bool SameId) {
    if (SameId)
      Worker_.begin(std::string(Worker_.name()));
    else
      Worker_.begin("w" + std::to_string(Index_) + "-" +
                    std::to_string(++Lives_));
    beat();
  }

private:
  net::EventLoop &Loop_;
  const ChainControl &Control_;
  std::size_t Index_;
  int Lives_ = 0;
  ChainWorker Worker_;
  std::unique_ptr<link::LeaderClient> Link_;
  std::unique_ptr<agent::WorkerAgent> Agent_;
};

} // namespace dragonfly::chain

#endif // DRAGONFLY_TESTS_CHAIN_CHAINMACHINE_H
