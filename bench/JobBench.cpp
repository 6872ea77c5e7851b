/// Measures what the leader spends on jobs in a second of a heavy day, at
/// several numbers of workers: watches on every worker, a flood of batch jobs
/// of which a part always waits, and short urgent jobs. One replica on a disk
/// in memory, without a network; the time is played. Usage: JobBench
/// [WORKERS...]

#include "dragonfly/base/Log.h"
#include "dragonfly/base/Random.h"
#include "dragonfly/control/ControlService.h"
#include "support/MemoryDisk.h"

#include <ctime>

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace {

using namespace dragonfly;
using namespace dragonfly::control;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration TickPeriod = milliseconds(2);
constexpr Duration ReportPeriod = milliseconds(400);
constexpr Duration Played = seconds(8);
/// The shape of the users' large deployment, by worker.
constexpr std::int64_t WorkerProcessors = 64000;
constexpr std::int64_t WorkerMemory = 256000;
constexpr std::size_t WorkersPerWatchJob = 5;
constexpr std::uint32_t TasksPerWatchJob = 20;
constexpr double BatchJobsPerSecond = 3.0 / 160;
constexpr double ShortJobsPerSecond = 16.0 / 160;
constexpr std::uint64_t WatchImages = 16;
constexpr std::uint64_t BatchImages = 30;

double processorSeconds() {
  timespec Spent{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &Spent);
  return static_cast<double>(Spent.tv_sec) +
         static_cast<double>(Spent.tv_nsec) / 1e9;
}

/// What runs on one worker, as its agent reports it.
struct Worker {
  std::string Name_;
  std::uint64_t Session_ = 0;
  std::map<jobs::RunName, TimePoint> Runs_;
  std::map<jobs::RunName, jobs::StepSpec> Steps_;
  bool Complete_ = false;
};

class HeavyDay {
public:
  explicit HeavyDay(std::size_t Workers)
      : Workers_(Workers), Service_(options(), disk(), Now_) {
    while (!Service_.serving())
      tick();
    Service_.handle(Now_, wire::PutConfiguration{configuration()}, ignore());
    for (std::size_t I = 0; I < Workers; ++I)
      attach(I);
    run(milliseconds(100));
    for (std::size_t I = 0; I * WorkersPerWatchJob < Workers; ++I)
      submit("watch", {watch(I)});
    run(seconds(3));
  }

  /// Returns processor seconds spent in a second of the day.
  double measure() {
    const double Before = processorSeconds();
    run(Played);
    return (processorSeconds() - Before) /
           std::chrono::duration<double>(Played).count();
  }

  std::size_t starts() const { return Starts_; }

private:
  static std::unique_ptr<consensus::Storage> disk() {
    return bench::openMemoryStorage(
        std::make_shared<bench::MemoryDisk>(StoreId{1}));
  }

  static ControlServiceOptions options() {
    ControlServiceOptions Options;
    Options.Log_.Self_ = {1};
    Options.Log_.FirstMembers_ = {{.Id_ = {1}}};
    Options.Log_.Send_ = [](ReplicaId, const std::string &) {};
    return Options;
  }

  static ControlService::Reply ignore() {
    return [](const wire::Message &) {};
  }

  static jobs::Configuration configuration() {
    jobs::Configuration Value{.Version_ = 1, .Services_ = {{.Name_ = "s"}}};
    for (const auto &[Name, Priority] : std::map<std::string, std::uint32_t>{
             {"watch", 0}, {"short", 0}, {"batch", 2}})
      Value.Queues_.push_back({.Name_ = Name,
                               .Host_ = "a.example",
                               .PathPrefix_ = "/" + Name + "/",
                               .Service_ = "s",
                               .Priority_ = Priority,
                               .MaxAttempts_ = 3});
    return Value;
  }

  static jobs::StepSpec watch(std::size_t Number) {
    return {.Count_ = TasksPerWatchJob,
            .Need_ = {.MilliProcessors_ = 13000, .MemoryMib_ = 26000},
            .LongRunning_ = true,
            .Image_ = "w" + std::to_string(Number % WatchImages),
            .TailTarget_ = milliseconds(150)};
  }

  static jobs::StepSpec shortStep() {
    return {.Count_ = 9,
            .Need_ = {.MilliProcessors_ = 3800, .MemoryMib_ = 7600},
            .Estimate_ = milliseconds(640)};
  }

  jobs::StepSpec batchStep() {
    return {.Count_ = 39,
            .Need_ = {.MilliProcessors_ = 7000, .MemoryMib_ = 13000},
            .Estimate_ = milliseconds(2700),
            .Checkpointing_ = true,
            .UsesSpareProcessors_ = true,
            .Image_ = "b" + std::to_string(Random_() % BatchImages)};
  }

  void attach(std::size_t Index) {
    Worker &Row = Workers_[Index];
    Row.Name_ = "i-" + std::to_string(Index);
    Service_.attachWorker(Now_,
                          {.Worker_ = Row.Name_,
                           .Born_ = 1,
                           .Agent_ = {Index + 1},
                           .Vm_ = "vm-" + std::to_string(Index),
                           .Service_ = "s",
                           .Capacity_ = {.MilliProcessors_ = WorkerProcessors,
                                         .MemoryMib_ = WorkerMemory}},
                          {.SendPart_ =
                               [this, &Row](const wire::Message &Part) {
                                 take(Row, std::get<wire::WorkerOrders>(Part));
                               },
                           .SendEnd_ = [](const wire::Message &) {},
                           .IsConnected_ = [] { return true; }});
  }

  void take(Worker &Row, const wire::WorkerOrders &Orders) {
    Row.Session_ = Orders.Session_;
    for (const wire::StartOrder &Order : Orders.Starts_) {
      ++Starts_;
      const bool Serves = Order.TailTarget_ > Duration::zero();
      const Duration Length = Order.UsesSpareProcessors_
                                  ? Duration(milliseconds(2700))
                                  : Duration(milliseconds(640));
      Row.Runs_[Order.Run_] = Serves ? TimePoint::max() : Now_ + Length;
      Row.Steps_[Order.Run_] = {
          .Need_ = {.MilliProcessors_ = Order.MilliProcessors_},
          .UsesSpareProcessors_ = Order.UsesSpareProcessors_,
          .TailTarget_ = Order.TailTarget_};
    }
    for (const jobs::RunName &Run : Orders.Stops_)
      Row.Runs_[Run] = Now_;
  }

  void report(Worker &Row) {
    if (Row.Session_ == 0)
      return;
    wire::WorkerReport Report{.Worker_ = Row.Name_,
                              .Session_ = Row.Session_,
                              .Complete_ = !std::exchange(Row.Complete_, true)};
    for (const auto &[Run, EndsAt] : Row.Runs_) {
      const jobs::StepSpec &Step = Row.Steps_[Run];
      if (EndsAt <= Now_)
        Report.Ends_.push_back({.Run_ = Run});
      else
        Report.Runs_.push_back(
            {.Run_ = Run,
             .Phase_ = wire::RunPhase::Running,
             .ProgressPercent_ = 30,
             .Load_ =
                 Step.TailTarget_ > Duration::zero()
                     ? 50 + Random_() % 20
                     : static_cast<std::uint64_t>(Step.Need_.MilliProcessors_),
             .SpeedPercent_ = Random_() % 8 == 0 ? 25U : 100U});
    }
    for (const wire::EndReport &End : Report.Ends_) {
      Row.Runs_.erase(End.Run_);
      Row.Steps_.erase(End.Run_);
    }
    Service_.handle(Now_, std::move(Report), ignore());
  }

  void submit(const std::string &Queue, std::vector<jobs::StepSpec> Steps) {
    const std::string Job = std::to_string(100000 + ++Jobs_);
    Service_.handle(Now_,
                    wire::SubmitJob{.Job_ = Job,
                                    .Host_ = "a.example",
                                    .Path_ = "/" + Queue + "/" + Job,
                                    .Spec_ = {.Steps_ = std::move(Steps)}},
                    ignore());
  }

  /// One tick, with the reports and jobs that are due.
  void tick() {
    Now_ += TickPeriod;
    ++Ticks_;
    const std::size_t Periods = ReportPeriod / TickPeriod;
    for (std::size_t I = Ticks_ % Periods; I < Workers_.size(); I += Periods)
      report(Workers_[I]);
    Service_.tick(Now_);
  }

  void run(Duration By) {
    for (const TimePoint End = Now_ + By; Now_ < End;) {
      const double Step = std::chrono::duration<double>(TickPeriod).count() *
                          static_cast<double>(Workers_.size());
      if (Jobs_ > 0) {
        DueBatch_ += BatchJobsPerSecond * Step;
        DueShort_ += ShortJobsPerSecond * Step;
      }
      for (; DueBatch_ >= 1; --DueBatch_)
        submit("batch", {batchStep()});
      for (; DueShort_ >= 1; --DueShort_)
        submit("short", {shortStep()});
      tick();
    }
  }

  TimePoint Now_{seconds(1000)};
  std::vector<Worker> Workers_;
  RandomEngine Random_{7};
  ControlService Service_;
  std::size_t Starts_ = 0;
  std::size_t Ticks_ = 0;
  std::uint64_t Jobs_ = 0;
  double DueBatch_ = 0;
  double DueShort_ = 0;
};

} // namespace

int main(int Argc, char **Argv) {
  configureLog({.Sink_ = [](std::string_view) {}});
  std::vector<std::size_t> Sizes{160, 300, 1000};
  if (Argc > 1) {
    Sizes.clear();
    for (int I = 1; I < Argc; ++I)
      Sizes.push_back(std::strtoull(Argv[I], nullptr, 10));
  }
  std::printf("workers  processor seconds a second  starts a second\n");
  for (const std::size_t Size : Sizes) {
    HeavyDay Day(Size);
    const std::size_t Before = Day.starts();
    const double Spent = Day.measure();
    std::printf("%7zu  %27.3f  %15.0f\n", Size, Spent,
                static_cast<double>(Day.starts() - Before) /
                    std::chrono::duration<double>(Played).count());
  }
  return 0;
}
