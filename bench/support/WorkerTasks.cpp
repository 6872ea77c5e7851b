#include "support/WorkerTasks.h"

#include <algorithm>
#include <charconv>

namespace dragonfly::standin {
namespace {

constexpr std::int64_t Permille = 1000;

std::string nameCheckpoint(const WorkerTask &Row) {
  const auto Left =
      std::chrono::duration_cast<std::chrono::milliseconds>(Row.Left_);
  return std::to_string(Row.Task_.Value_) + "-" + std::to_string(Left.count());
}

Duration timeLeft(const std::string &Checkpoint, Duration Whole) {
  const auto Dash = Checkpoint.rfind('-');
  if (Dash == std::string::npos)
    return Whole;
  std::int64_t Milliseconds = 0;
  std::from_chars(Checkpoint.data() + Dash + 1,
                  Checkpoint.data() + Checkpoint.size(), Milliseconds);
  return std::min<Duration>(Whole, std::chrono::milliseconds(Milliseconds));
}

} // namespace

bool WorkerTasks::start(TimePoint Now, const TaskStart &Start) {
  if (Now >= LeaseUntil_)
    return false;
  const auto Row = Rows_.find(Start.Task_);
  if (Row != Rows_.end() && (Start.Epoch_ < Row->second.Epoch_ ||
                             Row->second.State_ == WorkerTaskState::Running))
    return false;
  Rows_[Start.Task_] = {.Task_ = Start.Task_,
                        .Epoch_ = Start.Epoch_,
                        .State_ = WorkerTaskState::Running,
                        .Kind_ = Start.Kind_,
                        .Need_ = Start.Need_,
                        .Permille_ = Permille,
                        .Left_ = timeLeft(Start.Checkpoint_, TaskTime_),
                        .Checkpoint_ = Start.Checkpoint_,
                        .Body_ = Start.Body_};
  return true;
}

WorkerTask *WorkerTasks::findRunning(TaskId Task, Epoch At) {
  const auto Row = Rows_.find(Task);
  if (Row == Rows_.end() || At < Row->second.Epoch_ ||
      Row->second.State_ != WorkerTaskState::Running)
    return nullptr;
  Row->second.Epoch_ = At;
  return &Row->second;
}

bool WorkerTasks::throttle(TaskId Task, Epoch At, std::uint32_t Share) {
  WorkerTask *Row = findRunning(Task, At);
  if (Row != nullptr)
    Row->Permille_ = Share;
  return Row != nullptr;
}

std::optional<std::string> WorkerTasks::checkpoint(TaskId Task, Epoch At) {
  WorkerTask *Row = findRunning(Task, At);
  if (Row == nullptr)
    return std::nullopt;
  Row->State_ = WorkerTaskState::Checkpointed;
  Row->Checkpoint_ = nameCheckpoint(*Row);
  return Row->Checkpoint_;
}

bool WorkerTasks::stop(TaskId Task, Epoch At) {
  WorkerTask *Row = findRunning(Task, At);
  if (Row != nullptr)
    Row->State_ = WorkerTaskState::Stopped;
  return Row != nullptr;
}

std::vector<WorkerTask> WorkerTasks::tick(TimePoint Now) {
  std::vector<WorkerTask> Ended;
  const Duration Passed = Last_ == TimePoint{} ? Duration{} : Now - Last_;
  Last_ = Now;
  for (auto &[Task, Row] : Rows_) {
    if (Row.State_ != WorkerTaskState::Running)
      continue;
    Row.Left_ -= Passed * Row.Permille_ / Permille;
    if (Row.Left_ <= Duration{}) {
      Row.State_ = WorkerTaskState::Finished;
      Ended.push_back(Row);
    } else if (Now >= LeaseUntil_) {
      Row.State_ = WorkerTaskState::Stopped;
    }
  }
  return Ended;
}

std::vector<WorkerTask> WorkerTasks::rows() const {
  std::vector<WorkerTask> Result;
  for (const auto &[Task, Row] : Rows_)
    if (Row.State_ != WorkerTaskState::Stopped)
      Result.push_back(Row);
  return Result;
}

Resources WorkerTasks::usage() const {
  Resources Sum;
  for (const auto &[Task, Row] : Rows_)
    if (Row.State_ == WorkerTaskState::Running)
      Sum += Row.Need_;
  return Sum;
}

} // namespace dragonfly::standin
