/// A worker of a cluster that keeps its runs across sessions, and what tests of
/// its lease have in common.
#ifndef DRAGONFLY_TESTS_CONTROL_LEASEHOST_H
#define DRAGONFLY_TESTS_CONTROL_LEASEHOST_H

#include "control/JobFixture.h"

#include <catch2/catch.hpp>

#include <string>
#include <utility>
#include <vector>

namespace dragonfly::control {

/// The time after which a leader takes a lease of 4 s for expired.
inline constexpr milliseconds MaxLease{4420};

/// A worker that keeps its runs while its agent attaches to new leaders.
struct LeaseHost {
  LeaseHost(JobCluster &Cluster, const std::string &Worker, std::string Vm = {})
      : Agent_(Cluster, Worker), Vm_(std::move(Vm)) {}

  void attach() {
    advance();
    Agent_.attach(10, 1, Vm_);
    REQUIRE(Agent_.report(true, Runs_));
  }
  /// Reports once, on a new session if the last one has ended.
  void report() {
    takeStarts();
    advance();
    const auto Ack = Agent_.report(false, Runs_);
    if (!Ack || Ack->SessionEnded_)
      attach();
    takeStarts();
  }
  void takeStarts() {
    for (RunName &Run : Agent_.consumeStarts())
      Runs_.push_back(std::move(Run));
  }

  /// Runs without progress would be stopped.
  void advance() {
    ++Progress_;
    for (const RunName &Run : Runs_)
      Agent_.setSpeed(Run, SpeedPercent_, Progress_);
  }

  TestAgent Agent_;
  std::string Vm_;
  std::vector<RunName> Runs_;
  std::uint32_t SpeedPercent_ = 100;
  std::uint32_t Progress_ = 0;
};

/// Waits until a replica other than \p Old serves, and returns when that was.
inline TimePoint awaitOtherLeader(JobCluster &Cluster, std::size_t Old) {
  for (int I = 0; I < 5000; ++I) {
    for (std::size_t Each = 0; Each < 3; ++Each)
      if (Each != Old && Cluster.node(Each).serving())
        return Cluster.now();
    Cluster.run(ServiceCluster::Step);
  }
  FAIL("no other leader");
  return {};
}

inline void restartAll(JobCluster &Cluster) {
  for (std::size_t I = 0; I < 3; ++I)
    Cluster.kill(I);
  for (std::size_t I = 0; I < 3; ++I)
    Cluster.start(I);
}

/// Loses what the leader's followers send, so that nothing is committed.
inline void cutAcknowledgements(JobCluster &Cluster, std::size_t Leader) {
  for (std::size_t Each = 0; Each < 3; ++Each)
    if (Each != Leader)
      Cluster.cut(Each, Leader);
}

/// Requires that \p Other starts run 2 after \p Since plus a lease, and soon
/// after that.
inline void requireStartAfterLease(JobCluster &Cluster, LeaseHost &Other,
                                   TimePoint Since) {
  while (Cluster.now() < Since + MaxLease - milliseconds(400)) {
    Other.report();
    REQUIRE(Other.Runs_.empty());
  }
  while (Other.Runs_.empty() && Cluster.now() < Since + seconds(8)) {
    Cluster.run(ServiceCluster::Step);
    Other.takeStarts();
  }
  CHECK(Cluster.now() - Since >= MaxLease);
  CHECK(Other.Runs_ == std::vector{makeRun(2)});
}

inline void requireNoStart(JobCluster &Cluster, LeaseHost &Other,
                           Duration For) {
  for (const TimePoint End = Cluster.now() + For; Cluster.now() < End;) {
    Other.report();
    REQUIRE(Other.Runs_.empty());
  }
}

inline const jobs::TaskRow &task(JobCluster &Cluster) {
  return Cluster.node(Cluster.leader())
      .state()
      .jobs()
      .find(JobId)
      ->Steps_[0]
      .Tasks_[0];
}

/// Hands a report to one replica, whose answer is lost.
inline void sendReport(JobCluster &Cluster, std::size_t Replica,
                       const TestAgent &Agent, bool Complete,
                       std::vector<wire::EndReport> Ends) {
  Cluster.node(Replica).handle(Cluster.now(),
                               wire::WorkerReport{.Worker_ = "w1",
                                                  .Session_ = Agent.session(),
                                                  .Complete_ = Complete,
                                                  .Ends_ = std::move(Ends)},
                               [](const wire::Message &) {});
}

} // namespace dragonfly::control

#endif // DRAGONFLY_TESTS_CONTROL_LEASEHOST_H
