/// Runs batch tasks on fake workers beside the requests of a RequestRun:
/// hidden interference, wrong sizes, late usage, lost racks.
#ifndef DRAGONFLY_BENCH_SUPPORT_TASKRUN_H
#define DRAGONFLY_BENCH_SUPPORT_TASKRUN_H

#include "support/RequestRun.h"
#include "support/TaskPolicy.h"

#include <deque>

namespace dragonfly::bench {

struct TaskRunOptions {
  Deployment Site_;
  TaskPolicyMaker Policy_ = shippedPlacement;
  std::uint64_t Seed_ = 1;
  Duration Length_ = std::chrono::seconds(300);
  /// Work that arrives, as a share of what requests leave of the processors.
  double Load_ = 0.95;
  std::size_t ImpossibleTasks_ = 0;
  /// A rack fails at this time, where set, for 40 s.
  std::optional<Duration> RackLossAt_;
};

enum class FakeTaskState : std::uint8_t { Due, Waiting, Running, Done, Parked };

/// A task as it really is.
struct FakeTask {
  decide::TaskRow Row_;
  Duration ArrivesAt_{};
  std::size_t Kind_ = 0;
  Resources Usage_;
  double RunSeconds_ = 0;
  double DoneSeconds_ = 0;
  bool Impossible_ = false;
  FakeTaskState State_ = FakeTaskState::Due;
  std::size_t Worker_ = 0;
  Duration StartedAt_{};
  Resources Reserve_;
  double Throttle_ = 1;
  std::uint32_t Starts_ = 0;
  bool Missed_ = false;
};

struct TaskTotals {
  double WorkDone_ = 0; ///< Processor seconds of finished tasks.
  std::size_t Finished_ = 0;
  std::size_t Missed_ = 0;
  std::size_t Evictions_ = 0;
  std::size_t Parked_ = 0;
  std::size_t OverCommitted_ = 0;
  std::uint32_t MostStartsOfImpossible_ = 0;
};

class TaskRun {
public:
  explicit TaskRun(TaskRunOptions Options);

  /// One step of simulated time; sets the slowdown of \p Requests' workers.
  void step(RequestRun &Requests, Duration At);

  TaskTotals totals() const;

private:
  /// What a worker's state comes to in one step.
  struct HostState {
    std::vector<std::size_t> Tasks_;
    std::vector<double> Shares_;
    Resources Reserved_;
    double Contention_ = 1;
    double Slowdown_ = 1;
    Resources Usage_;
    bool Alive_ = true;
    bool Listed_ = false;
    Duration NextKillAt_{};
  };
  /// A report that is still on its way.
  struct LateReport {
    Duration DueAt_{};
    std::size_t Host_ = 0;
    decide::WorkerRow Row_;
    std::vector<std::pair<TaskId, Resources>> Usage_;
  };

  void makeTasks();
  FakeTask makeTask(std::uint64_t Id);
  void submitDue(Duration At);
  void loseRack(Duration At);
  void measure(Duration At, std::size_t Host);
  void advance(Duration At, std::size_t Host, double Seconds);
  void finishOrFail(Duration At, std::size_t Index);
  void killForMemory(Duration At, std::size_t Host);
  void leave(Duration At, std::size_t Index, decide::PlacementOutcome Result);
  void report(Duration At, std::size_t Host);
  void deliver(Duration At);
  void obey(Duration At, const decide::PlacementCommand &Command);
  std::string hostName(std::size_t Host) const;
  TimePoint timeOf(Duration At) const { return TimePoint(Epoch + At); }

  static constexpr Duration Epoch = std::chrono::seconds(1000);

  TaskRunOptions Options_;
  RandomEngine Random_;
  TaskPolicy Policy_;
  std::vector<FakeTask> Tasks_;
  std::size_t NextDue_ = 0;
  std::vector<HostState> Hosts_;
  std::deque<LateReport> Reports_;
  std::vector<double> SizeBias_;
  std::vector<double> TimeBias_;
  TaskTotals Totals_;
  Duration LastStep_{};
};

} // namespace dragonfly::bench

#endif // DRAGONFLY_BENCH_SUPPORT_TASKRUN_H
