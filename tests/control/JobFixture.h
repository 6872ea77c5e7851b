/// Jobs on replicas without a network, with workers that the tests play.
#ifndef DRAGONFLY_TESTS_CONTROL_JOBFIXTURE_H
#define DRAGONFLY_TESTS_CONTROL_JOBFIXTURE_H

#include "control/ServiceCluster.h"

#include <catch2/catch.hpp>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::control {

using jobs::JobState;
using jobs::RunEnd;
using jobs::RunName;
using std::chrono::milliseconds;
using std::chrono::seconds;
using wire::JobStatus;

inline const std::string JobId = "5c0e7a21d94b36f8";
inline const std::string Path = "/checks/" + JobId;

inline jobs::Configuration configuration(std::uint64_t Version) {
  return {.Version_ = Version,
          .Queues_ = {{.Name_ = "checks",
                       .Host_ = "a.example",
                       .PathPrefix_ = "/checks/",
                       .Service_ = "sorting",
                       .MaxAttempts_ = 3}},
          .Services_ = {{.Name_ = "sorting"}},
          .Document_ = "version " + std::to_string(Version)};
}

/// The agent of one worker, as far as control sees it.
class TestAgent {
public:
  TestAgent(ServiceCluster &Cluster, std::string Worker)
      : Cluster_(Cluster), Worker_(std::move(Worker)) {}

  void attach(std::uint64_t Born = 10, std::uint64_t Process = 1,
              const std::string &Vm = {}) {
    const auto Mine = std::make_shared<Stream>();
    Stream_ = Mine;
    Cluster_.node(Cluster_.leader())
        .attachWorker(
            Cluster_.now(),
            {.Worker_ = Worker_,
             .Born_ = Born,
             .Agent_ = {Process},
             .Vm_ = Vm,
             .Service_ = "sorting",
             .Capacity_ = {.MilliProcessors_ = 4000, .MemoryMib_ = 4096}},
            {.SendPart_ =
                 [Mine](const wire::Message &Part) {
                   Mine->take(std::get<wire::WorkerOrders>(Part));
                 },
             .SendEnd_ = [Mine](const wire::Message &) { Mine->Ended_ = true; },
             .IsConnected_ = [Mine] { return Mine->Connected_; }});
    Cluster_.run(milliseconds(200));
  }

  /// Reports \p Runs as running, and \p Ends.
  std::optional<wire::WorkerReportAck>
  report(bool Complete, std::vector<RunName> Runs = {},
         std::vector<wire::EndReport> Ends = {}) {
    wire::WorkerReport Report{.Worker_ = Worker_,
                              .Session_ = Stream_->Session_,
                              .Draining_ = Draining_,
                              .Complete_ = Complete,
                              .Ends_ = std::move(Ends)};
    for (const RunName &Run : Runs)
      Report.Runs_.push_back(
          {.Run_ = Run,
           .Phase_ = wire::RunPhase::Running,
           .ProgressPercent_ = Progress_[Run],
           .Load_ = Loads_[Run],
           .SpeedPercent_ = Speeds_.contains(Run) ? Speeds_[Run] : FullSpeed});
    const auto Answer =
        std::make_shared<std::optional<wire::WorkerReportAck>>();
    Cluster_.node(Cluster_.leader())
        .handle(Cluster_.now(), Report, [Answer](const wire::Message &Value) {
          if (const auto *Ack = std::get_if<wire::WorkerReportAck>(&Value))
            *Answer = *Ack;
        });
    Cluster_.run(milliseconds(200));
    return *Answer;
  }

  /// Sends the greeting of a process on a connection that is closed already.
  void greetAndVanish(std::uint64_t Born, std::uint64_t Process) {
    Cluster_.node(Cluster_.leader())
        .attachWorker(Cluster_.now(),
                      {.Worker_ = Worker_,
                       .Born_ = Born,
                       .Agent_ = {Process},
                       .Service_ = "sorting"},
                      {.SendPart_ = [](const wire::Message &) {},
                       .SendEnd_ = [](const wire::Message &) {},
                       .IsConnected_ = [] { return false; }});
    Cluster_.run(milliseconds(200));
  }

  /// Attaches and tells that nothing runs.
  void join() {
    attach();
    REQUIRE(report(true));
  }

  std::vector<RunName> takeStarts() {
    return std::exchange(Stream_->Starts_, {});
  }
  const std::vector<RunName> &stops() const { return Stream_->Stops_; }
  std::uint64_t session() const { return Stream_->Session_; }
  std::uint64_t fence() const { return Stream_->Fence_; }
  bool ended() const { return Stream_->Ended_; }
  void disconnect() { Stream_->Connected_ = false; }
  void drain() { Draining_ = true; }
  /// What later reports tell as the load of \p Run.
  void setLoad(const RunName &Run, std::uint64_t Load) { Loads_[Run] = Load; }
  /// What later reports tell as the speed of \p Run, in percent, and as its
  /// progress.
  void setSpeed(const RunName &Run, std::uint32_t Percent,
                std::uint32_t Progress) {
    Speeds_[Run] = Percent;
    Progress_[Run] = Progress;
  }
  /// Of the newest orders that told any.
  const std::vector<wire::Disturbance> &disturbances() const {
    return Stream_->Disturbances_;
  }

private:
  struct Stream {
    void take(const wire::WorkerOrders &Orders) {
      Session_ = Orders.Session_;
      Fence_ = Orders.Fence_;
      for (const wire::StartOrder &Row : Orders.Starts_)
        Starts_.push_back(Row.Run_);
      Stops_.insert(Stops_.end(), Orders.Stops_.begin(), Orders.Stops_.end());
      if (!Orders.Disturbances_.empty())
        Disturbances_ = Orders.Disturbances_;
    }
    std::uint64_t Session_ = 0;
    std::uint64_t Fence_ = 0;
    std::vector<RunName> Starts_;
    std::vector<RunName> Stops_;
    std::vector<wire::Disturbance> Disturbances_;
    bool Ended_ = false;
    bool Connected_ = true;
  };

  ServiceCluster &Cluster_;
  std::string Worker_;
  std::shared_ptr<Stream> Stream_ = std::make_shared<Stream>();
  bool Draining_ = false;
  static constexpr std::uint32_t FullSpeed = 100;
  std::map<RunName, std::uint64_t> Loads_;
  std::map<RunName, std::uint32_t> Speeds_;
  std::map<RunName, std::uint32_t> Progress_;
};

struct JobCluster : ServiceCluster {
  JobCluster() {
    askLeader<wire::PutConfigurationAck>(
        wire::PutConfiguration{configuration(7)});
  }

  JobStatus submit(std::vector<jobs::StepSpec> Steps) {
    return askLeader<wire::JobReply>(
               wire::SubmitJob{.Job_ = JobId,
                               .Host_ = "a.example",
                               .Path_ = Path,
                               .Spec_ = {.Steps_ = Steps}})
        .Status_;
  }

  wire::JobReply ask(wire::JobAction Action) {
    return askLeader<wire::JobReply>(wire::JobRequest{
        .Action_ = Action, .Job_ = JobId, .Host_ = "a.example", .Path_ = Path});
  }
  JobState state() { return ask(wire::JobAction::Query).State_; }
  using ServiceCluster::ask;
};

inline jobs::StepSpec step(std::uint32_t Count = 1) {
  return {.Count_ = Count,
          .Need_ = {.MilliProcessors_ = 1000, .MemoryMib_ = 100}};
}

inline RunName run(std::uint32_t Run = 1, std::uint32_t Index = 0) {
  return {.Task_ = {.Job_ = JobId, .Step_ = 0, .Index_ = Index}, .Run_ = Run};
}

inline wire::EndReport end(const RunName &Run, RunEnd How = RunEnd::Finished) {
  return {.Run_ = Run, .How_ = How};
}

} // namespace dragonfly::control

#endif // DRAGONFLY_TESTS_CONTROL_JOBFIXTURE_H
