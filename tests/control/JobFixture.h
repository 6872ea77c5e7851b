/// Jobs on a cluster of control replicas without a network, with simulated
/// agents of workers.
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

/// Simulates the agent of one worker.
class TestAgent {
public:
  TestAgent(ServiceCluster &Cluster, std::string Worker)
      : Cluster_(Cluster), Worker_(std::move(Worker)) {}

  void attach(std::uint64_t Born = 10, std::uint64_t Process = 1,
              const std::string &Vm = {}) {
    const auto NewStream = std::make_shared<Stream>();
    Stream_ = NewStream;
    Cluster_.node(Cluster_.leader())
        .attachWorker(
            Cluster_.now(),
            {.Worker_ = Worker_,
             .Born_ = Born,
             .Agent_ = {Process},
             .Vm_ = Vm,
             .Service_ = "sorting",
             .AvailabilityZone_ = AvailabilityZone_,
             .Capacity_ = Capacity_},
            {.SendPart_ =
                 [NewStream](const wire::Message &Part) {
                   NewStream->append(std::get<wire::WorkerOrders>(Part));
                 },
             .SendEnd_ =
                 [NewStream](const wire::Message &) {
                   NewStream->Ended_ = true;
                 },
             .IsConnected_ = [NewStream] { return NewStream->Connected_; }});
    Cluster_.run(milliseconds(200));
  }

  /// Reports \p Runs as running, and \p Ends. Returns the answer, if there is
  /// one within 200 ms.
  std::optional<wire::WorkerReportAck>
  report(bool Complete, std::vector<RunName> Runs = {},
         std::vector<wire::EndReport> Ends = {}) {
    wire::WorkerReport Report{.Worker_ = Worker_,
                              .Session_ = Stream_->Session_,
                              .Draining_ = Draining_,
                              .Complete_ = Complete,
                              .Ends_ = std::move(Ends)};
    for (const RunName &Run : Runs)
      Report.Runs_.push_back({.Run_ = Run,
                              .Phase_ = Phase_,
                              .ProgressPercent_ = ProgressPercents_[Run],
                              .Load_ = Loads_[Run],
                              .SpeedPercent_ = SpeedPercents_.contains(Run)
                                                   ? SpeedPercents_[Run]
                                                   : FullSpeed});
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

  /// Sends a WorkerHello on a connection that is closed already.
  void attachOnClosedConnection(std::uint64_t Born, std::uint64_t Process,
                                const std::string &Vm = {}) {
    Cluster_.node(Cluster_.leader())
        .attachWorker(Cluster_.now(),
                      {.Worker_ = Worker_,
                       .Born_ = Born,
                       .Agent_ = {Process},
                       .Vm_ = Vm,
                       .Service_ = "sorting"},
                      {.SendPart_ = [](const wire::Message &) {},
                       .SendEnd_ = [](const wire::Message &) {},
                       .IsConnected_ = [] { return false; }});
    Cluster_.run(milliseconds(200));
  }

  /// Attaches and reports that no runs are on the worker.
  void attachAndReportNoRuns(const std::string &Vm = {}) {
    attach(10, 1, Vm);
    REQUIRE(report(true));
  }

  std::vector<RunName> consumeStarts() {
    return std::exchange(Stream_->Starts_, {});
  }
  const std::vector<RunName> &stops() const { return Stream_->Stops_; }
  std::uint64_t session() const { return Stream_->Session_; }
  std::uint64_t fencingToken() const { return Stream_->FencingToken_; }
  bool streamEnded() const { return Stream_->Ended_; }
  void disconnect() { Stream_->Connected_ = false; }
  /// Sets the capacity that later sessions begin with.
  void setCapacity(const Resources &Capacity) { Capacity_ = Capacity; }
  void setAvailabilityZone(const std::string &Zone) {
    AvailabilityZone_ = Zone;
  }
  void startDraining() { Draining_ = true; }
  /// Sets the phase of all runs in later reports.
  void setPhase(wire::RunPhase Phase) { Phase_ = Phase; }
  /// Sets the load of \p Run in later reports.
  void setLoad(const RunName &Run, std::uint64_t Load) { Loads_[Run] = Load; }
  /// Sets the speed and the progress of \p Run in later reports, in percent.
  void setSpeed(const RunName &Run, std::uint32_t Percent,
                std::uint32_t Progress) {
    SpeedPercents_[Run] = Percent;
    ProgressPercents_[Run] = Progress;
  }
  /// Returns the image losses of the newest orders that carried any.
  const std::vector<wire::Disturbance> &imageLosses() const {
    return Stream_->Disturbances_;
  }

private:
  struct Stream {
    void append(const wire::WorkerOrders &Orders) {
      Session_ = Orders.Session_;
      FencingToken_ = Orders.Fence_;
      for (const wire::StartOrder &Row : Orders.Starts_)
        Starts_.push_back(Row.Run_);
      Stops_.insert(Stops_.end(), Orders.Stops_.begin(), Orders.Stops_.end());
      if (!Orders.Disturbances_.empty())
        Disturbances_ = Orders.Disturbances_;
    }
    std::uint64_t Session_ = 0;
    std::uint64_t FencingToken_ = 0;
    std::vector<RunName> Starts_;
    std::vector<RunName> Stops_;
    std::vector<wire::Disturbance> Disturbances_;
    bool Ended_ = false;
    bool Connected_ = true;
  };

  ServiceCluster &Cluster_;
  std::string Worker_;
  std::shared_ptr<Stream> Stream_ = std::make_shared<Stream>();
  Resources Capacity_ = {.MilliProcessors_ = 4000, .MemoryMib_ = 4096};
  std::string AvailabilityZone_;
  bool Draining_ = false;
  wire::RunPhase Phase_ = wire::RunPhase::Running;
  static constexpr std::uint32_t FullSpeed = 100;
  std::map<RunName, std::uint64_t> Loads_;
  std::map<RunName, std::uint32_t> SpeedPercents_;
  std::map<RunName, std::uint32_t> ProgressPercents_;
};

inline wire::SubmitJob makeSubmission(std::vector<jobs::StepSpec> Steps,
                                      const std::string &Job = JobId) {
  return {.Job_ = Job,
          .Host_ = "a.example",
          .Path_ = "/checks/" + Job,
          .Spec_ = {.Steps_ = std::move(Steps)}};
}

struct JobCluster : ServiceCluster {
  JobCluster() {
    askLeader<wire::PutConfigurationAck>(
        wire::PutConfiguration{configuration(7)});
  }

  JobStatus submit(std::vector<jobs::StepSpec> Steps,
                   const std::string &Job = JobId) {
    return askLeader<wire::JobReply>(makeSubmission(std::move(Steps), Job))
        .Status_;
  }

  wire::JobReply requestJob(wire::JobAction Action) {
    return askLeader<wire::JobReply>(wire::JobRequest{
        .Action_ = Action, .Job_ = JobId, .Host_ = "a.example", .Path_ = Path});
  }
  JobState jobState() { return requestJob(wire::JobAction::Query).State_; }
};

inline jobs::StepSpec makeStep(std::uint32_t Count = 1) {
  return {.Count_ = Count,
          .Need_ = {.MilliProcessors_ = 1000, .MemoryMib_ = 100}};
}

/// Submits a job and requires that \p Agent is told to start all of its tasks.
inline void submitAndStart(JobCluster &Cluster, TestAgent &Agent,
                           std::uint32_t Count = 1) {
  Cluster.submit({makeStep(Count)});
  REQUIRE(Agent.consumeStarts().size() == Count);
}

inline RunName makeRun(std::uint32_t Run = 1, std::uint32_t Index = 0) {
  return {.Task_ = {.Job_ = JobId, .Step_ = 0, .Index_ = Index}, .Run_ = Run};
}

inline wire::EndReport makeEnd(const RunName &Run,
                               RunEnd How = RunEnd::Finished) {
  return {.Run_ = Run, .How_ = How};
}

} // namespace dragonfly::control

#endif // DRAGONFLY_TESTS_CONTROL_JOBFIXTURE_H
