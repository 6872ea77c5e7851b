/// A worker agent between a fake worker and a fake leader of control, on real
/// connections to the leader and with the clock paused.
#ifndef DRAGONFLY_TESTS_AGENT_AGENTFIXTURE_H
#define DRAGONFLY_TESTS_AGENT_AGENTFIXTURE_H

#include "agent/FakeLeader.h"
#include "agent/FakeWorker.h"
#include "dragonfly/agent/WorkerAgent.h"
#include "dragonfly/base/Log.h"
#include "dragonfly/base/Metrics.h"
#include "dragonfly/link/LeaderClient.h"
#include "dragonfly/net/EventLoop.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::agent {

struct AgentFixture {
  AgentFixture() {
    configureLog({.Sink_ = [](std::string_view) {}});
    Clock::pause(TimePoint(seconds(100)));
    Loop_ = std::make_unique<net::EventLoop>();
    Worker_ = std::make_unique<FakeWorker>(*Loop_, "w1", 10);
    Leader_ = std::make_unique<FakeLeader>(*Loop_);
    startAgent();
  }
  ~AgentFixture() {
    Agent_.reset();
    Link_.reset();
    Leader_.reset();
    Worker_.reset();
    Loop_.reset();
    Clock::resume();
  }

  void startAgent() {
    Link_ = std::make_unique<link::LeaderClient>(
        *Loop_, link::LeaderClientOptions{.Self_ = {1},
                                          .Seeds_ = {Leader_->address()}});
    Agent_ = std::make_unique<WorkerAgent>(
        *Loop_, *Link_,
        WorkerAgentOptions{
            .Calls_ = Worker_->calls(), .Vm_ = "vm-1", .Metrics_ = Metrics_});
  }
  /// Kills the agent's process and starts another one.
  void restartAgent() {
    Agent_.reset();
    Link_.reset();
    Leader_->endSession();
    startAgent();
  }

  void run(Duration By) {
    constexpr int Polls = 12;
    for (const TimePoint End = Clock::now() + By; Clock::now() < End;) {
      for (int I = 0; I < Polls; ++I)
        Loop_->poll();
      Clock::advance(milliseconds(5));
    }
  }
  /// Runs until \p Done, and returns how long that took.
  template <typename Condition>
  std::optional<Duration> runUntil(Condition Done, Duration Limit) {
    const TimePoint Began = Clock::now();
    while (Clock::now() - Began < Limit) {
      if (Done())
        return Clock::now() - Began;
      run(milliseconds(5));
    }
    return std::nullopt;
  }

  /// The worker has a session, and \p Count runs go on there.
  void startRuns(std::uint32_t Count) {
    announce(Worker_->announce());
    runUntil([&] { return Leader_->isReconciled("w1"); }, seconds(5));
    run(milliseconds(500));
    wire::WorkerOrders Orders;
    for (std::uint32_t I = 0; I < Count; ++I)
      Orders.Starts_.push_back({.Run_ = makeRun(I)});
    Leader_->order(std::move(Orders));
    run(milliseconds(1000));
  }
  void announce(const WorkerAnnouncement &Value) { Agent_->announced(Value); }
  /// The worker announces itself with \p MilliProcessors, and \p Wait passes.
  void announceCapacity(std::int64_t MilliProcessors, Duration Wait) {
    Worker_->setCapacity(MilliProcessors);
    announce(Worker_->announce());
    run(Wait);
  }
  /// The worker announces that it leaves.
  void announceDraining() {
    WorkerAnnouncement Draining = Worker_->announce();
    Draining.Draining_ = true;
    announce(Draining);
  }
  /// Another life of the worker begins and announces itself.
  void restartWorker(std::string Name, std::uint64_t Born) {
    Worker_->restart(std::move(Name), Born);
    announce(Worker_->announce());
  }

  /// Orders the start of \p Run while the worker is silent.
  void orderUnansweredStart(const jobs::RunName &Run) {
    Worker_->setSilent(true);
    Leader_->order({.Starts_ = {{.Run_ = Run}}});
    run(milliseconds(1000));
  }
  bool isStartedWithin(const jobs::RunName &Run, Duration Limit) {
    return runUntil([&] { return Worker_->isRunning(Run); }, Limit).has_value();
  }
  /// Requires that \p Run is the one run whose end the leader was told.
  void requireOnlyEnd(const jobs::RunName &Run, jobs::RunEnd How) const {
    REQUIRE(Leader_->Ends_.size() == 1);
    CHECK(Leader_->Ends_.front().Run_ == Run);
    CHECK(Leader_->Ends_.front().How_ == How);
  }

  /// Returns the processors that the leader was told last.
  std::int64_t toldMilliProcessors() const {
    return Leader_->Hellos_.back().Capacity_.MilliProcessors_;
  }

  std::shared_ptr<Metrics> Metrics_ = std::make_shared<Metrics>();
  std::unique_ptr<net::EventLoop> Loop_;
  std::unique_ptr<FakeWorker> Worker_;
  std::unique_ptr<FakeLeader> Leader_;
  std::unique_ptr<link::LeaderClient> Link_;
  std::unique_ptr<WorkerAgent> Agent_;
};

} // namespace dragonfly::agent

#endif // DRAGONFLY_TESTS_AGENT_AGENTFIXTURE_H
