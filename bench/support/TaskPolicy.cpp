#include "support/TaskPolicy.h"

#include <algorithm>
#include <deque>
#include <map>
#include <memory>
#include <utility>

namespace dragonfly::bench {

using namespace decide;

namespace {

class FirstFit {
public:
  void setWorker(const WorkerRow &Row) {
    Workers_[Row.Name_].Row_ = Row;
    Workers_[Row.Name_].Reported_ = true;
  }

  void removeWorker(const std::string &Name) {
    const std::vector<TaskId> Lost = Workers_[Name].Tasks_;
    std::ranges::for_each(Lost, [this](TaskId Task) { wait(Task); });
    Workers_.erase(Name);
  }

  Reason addTask(const TaskRow &Row) {
    Tasks_[Row.Task_] = {Row, ""};
    Waiting_.push_back(Row.Task_);
    return Reason::None;
  }

  void recordTaskEnd(TaskId Task, PlacementOutcome Result) {
    if (Result == PlacementOutcome::Finished)
      leave(Task);
    else
      wait(Task);
  }

  std::vector<PlacementCommand> tick() {
    std::vector<PlacementCommand> Commands;
    // One eviction for each report, which comes late.
    for (auto &[Name, Host] : Workers_)
      if (std::exchange(Host.Reported_, false) && full(Host)) {
        PlacementCommand Command;
        Command.Action_ = PlacementAction::Checkpoint;
        Command.Task_ = Host.Tasks_.back();
        Command.Worker_ = Name;
        Commands.push_back(std::move(Command));
      }
    std::deque<TaskId> Left;
    for (TaskId Task : Waiting_)
      if (!start(Task, Commands))
        Left.push_back(Task);
    Waiting_ = std::move(Left);
    return Commands;
  }

private:
  struct Host {
    WorkerRow Row_;
    Resources Declared_;
    std::vector<TaskId> Tasks_;
    bool Reported_ = false;
  };
  struct Task {
    TaskRow Row_;
    std::string Worker_;
  };

  static bool full(const Host &Place) {
    const Resources &Usage = Place.Row_.Usage_;
    const Resources &Capacity = Place.Row_.Capacity_;
    return !Place.Tasks_.empty() &&
           (Usage.MilliProcessors_ >= Capacity.MilliProcessors_ ||
            Usage.MemoryMib_ > Capacity.MemoryMib_);
  }

  bool start(TaskId Id, std::vector<PlacementCommand> &Commands) {
    Task &Own = Tasks_.at(Id);
    for (auto &[Name, Place] : Workers_) {
      if (!(Place.Declared_ + Own.Row_.Need_).fitsIn(Place.Row_.Capacity_))
        continue;
      Own.Worker_ = Name;
      Place.Declared_ += Own.Row_.Need_;
      Place.Tasks_.push_back(Id);
      PlacementCommand Command;
      Command.Task_ = Id;
      Command.Worker_ = Name;
      Command.Reservation_ = Own.Row_.Need_;
      Commands.push_back(std::move(Command));
      return true;
    }
    return false;
  }

  void leave(TaskId Id) {
    Task &Own = Tasks_.at(Id);
    Host &Place = Workers_[Own.Worker_];
    Place.Declared_ -= Own.Row_.Need_;
    std::erase(Place.Tasks_, Id);
    Own.Worker_.clear();
  }

  void wait(TaskId Id) {
    leave(Id);
    Waiting_.push_back(Id);
  }

  std::map<std::string, Host> Workers_;
  std::map<TaskId, Task> Tasks_;
  std::deque<TaskId> Waiting_;
};

} // namespace

TaskPolicy shippedPlacement(const PlacementOptions &Options) {
  const auto Own = std::make_shared<Placement>(Options);
  return {
      .SetWorker_ = [Own](TimePoint Now,
                          const WorkerRow &Row) { Own->setWorker(Now, Row); },
      .RemoveWorker_ =
          [Own](TimePoint Now, const std::string &Name) {
            Own->removeWorker(Now, Name);
          },
      .AddTask_ = [Own](TimePoint Now,
                        const TaskRow &Row) { return Own->addTask(Now, Row); },
      .ReportUsage_ =
          [Own](TimePoint Now, TaskId Task, const Resources &Usage) {
            Own->reportUsage(Now, Task, Usage);
          },
      .Ended_ =
          [Own](TimePoint Now, TaskId Task, PlacementOutcome Result) {
            Own->recordTaskEnd(Now, Task, Result);
          },
      .Tick_ = [Own](TimePoint Now) { return Own->tick(Now); }};
}

TaskPolicy firstFit(const PlacementOptions &Options) {
  static_cast<void>(Options);
  const auto Own = std::make_shared<FirstFit>();
  return {.SetWorker_ = [Own](TimePoint,
                              const WorkerRow &Row) { Own->setWorker(Row); },
          .RemoveWorker_ =
              [Own](TimePoint, const std::string &Name) {
                Own->removeWorker(Name);
              },
          .AddTask_ = [Own](TimePoint,
                            const TaskRow &Row) { return Own->addTask(Row); },
          .ReportUsage_ = [](TimePoint, TaskId, const Resources &) {},
          .Ended_ =
              [Own](TimePoint, TaskId Task, PlacementOutcome Result) {
                Own->recordTaskEnd(Task, Result);
              },
          .Tick_ = [Own](TimePoint) { return Own->tick(); }};
}

} // namespace dragonfly::bench
