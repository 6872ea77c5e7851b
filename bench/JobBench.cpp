/// Measures the processor time that the leader spends on jobs per second of
/// heavy load, at several numbers of workers: latency-critical tasks (watches)
/// on every worker, more batch jobs than there is room for, and short urgent
/// jobs. Runs one replica on a disk in memory, without a network, on a
/// simulated clock. Usage: JobBench [WORKERS...]

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
constexpr Duration MeasuredTime = seconds(8);
/// The load of the users' large deployment, scaled to one worker.
constexpr std::int64_t WorkerProcessors = 64000;
constexpr std::int64_t WorkerMemory = 256000;
constexpr std::size_t WorkersPerWatchJob = 5;
constexpr std::uint32_t TasksPerWatchJob = 20;
constexpr double BatchJobsPerSecond = 3.0 / 160;
constexpr double ShortJobsPerSecond = 16.0 / 160;
constexpr std::uint64_t WatchImages = 16;
constexpr std::uint64_t BatchImages = 30;

double processorSeconds() {
  timespec ProcessorTime{};
  clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &ProcessorTime);
  return static_cast<double>(ProcessorTime.tv_sec) +
         static_cast<double>(ProcessorTime.tv_nsec) / 1e9;
}

/// The runs on one worker, as its agent reports them.
struct Worker {
  std::string Name_;
  std::uint64_t Session_ = 0;
  std::map<jobs::RunName, TimePoint> Runs_;
  std::map<jobs::RunName, jobs::StepSpec> Steps_;
  bool HasReported_ = false;
};

class HeavyLoad {
public:
  explicit HeavyLoad(std::size_t Workers)
      : Workers_(Workers), Service_(options(), disk(), Now_) {
    while (!Service_.serving())
      tick();
    Service_.handle(Now_, wire::PutConfiguration{configuration()}, ignore());
    for (std::size_t I = 0; I < Workers; ++I)
      attach(I);
    run(milliseconds(100));
    for (std::size_t I = 0; I * WorkersPerWatchJob < Workers; ++I)
      submit("watch", {watchStep(I)});
    run(seconds(3));
  }

  /// Returns the processor seconds spent per simulated second.
  double measure() {
    const double SecondsBefore = processorSeconds();
    run(MeasuredTime);
    return (processorSeconds() - SecondsBefore) /
           std::chrono::duration<double>(MeasuredTime).count();
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

  static jobs::StepSpec watchStep(std::size_t Number) {
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
    Worker &Target = Workers_[Index];
    Target.Name_ = "i-" + std::to_string(Index);
    Service_.attachWorker(
        Now_,
        {.Worker_ = Target.Name_,
         .Born_ = 1,
         .Agent_ = {Index + 1},
         .Vm_ = "vm-" + std::to_string(Index),
         .Service_ = "s",
         .Capacity_ = {.MilliProcessors_ = WorkerProcessors,
                       .MemoryMib_ = WorkerMemory}},
        {.SendPart_ =
             [this, &Target](const wire::Message &Part) {
               applyOrders(Target, std::get<wire::WorkerOrders>(Part));
             },
         .SendEnd_ = [](const wire::Message &) {},
         .IsConnected_ = [] { return true; }});
  }

  void applyOrders(Worker &Target, const wire::WorkerOrders &Orders) {
    Target.Session_ = Orders.Session_;
    for (const wire::StartOrder &Order : Orders.Starts_) {
      ++Starts_;
      const bool IsServing = Order.TailTarget_ > Duration::zero();
      const Duration Length = Order.UsesSpareProcessors_
                                  ? Duration(milliseconds(2700))
                                  : Duration(milliseconds(640));
      Target.Runs_[Order.Run_] = IsServing ? TimePoint::max() : Now_ + Length;
      Target.Steps_[Order.Run_] = {
          .Need_ = {.MilliProcessors_ = Order.MilliProcessors_},
          .UsesSpareProcessors_ = Order.UsesSpareProcessors_,
          .TailTarget_ = Order.TailTarget_};
    }
    for (const jobs::RunName &Run : Orders.Stops_)
      Target.Runs_[Run] = Now_;
  }

  void report(Worker &Target) {
    if (Target.Session_ == 0)
      return;
    wire::WorkerReport Report{.Worker_ = Target.Name_,
                              .Session_ = Target.Session_,
                              .Complete_ =
                                  !std::exchange(Target.HasReported_, true)};
    for (const auto &[Run, EndsAt] : Target.Runs_) {
      const jobs::StepSpec &Step = Target.Steps_[Run];
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
      Target.Runs_.erase(End.Run_);
      Target.Steps_.erase(End.Run_);
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

  /// Advances the clock by one tick and sends the reports that are due.
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
        DueBatchJobs_ += BatchJobsPerSecond * Step;
        DueShortJobs_ += ShortJobsPerSecond * Step;
      }
      for (; DueBatchJobs_ >= 1; --DueBatchJobs_)
        submit("batch", {batchStep()});
      for (; DueShortJobs_ >= 1; --DueShortJobs_)
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
  double DueBatchJobs_ = 0;
  double DueShortJobs_ = 0;
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
    HeavyLoad Load(Size);
    const std::size_t StartsBefore = Load.starts();
    const double ProcessorSeconds = Load.measure();
    std::printf("%7zu  %27.3f  %15.0f\n", Size, ProcessorSeconds,
                static_cast<double>(Load.starts() - StartsBefore) /
                    std::chrono::duration<double>(MeasuredTime).count());
  }
  return 0;
}
