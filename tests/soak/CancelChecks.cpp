#include "soak/CancelChecks.h"

#include <algorithm>
#include <iterator>

namespace dragonfly::soak {
namespace {

using std::chrono::milliseconds;

/// Bounds of rule UNASKED: cancel_ms, StopTimeoutMs, AckTimeoutMs, ContactMs.
constexpr Duration CancelTime = milliseconds(3000);
constexpr Duration StopTime = milliseconds(900);
constexpr Duration AnswerTime = milliseconds(4000);
constexpr Duration ContactTime = milliseconds(3000);

} // namespace

void CancelChecks::sent(const std::string &Job) {
  Rows_.try_emplace(Job, Row{.SentAt_ = Clock::now(), .CountsFrom_ = {}});
}

void CancelChecks::answered(const std::string &Job, bool HasEnded) {
  Row &Cancel = Rows_.at(Job);
  if (std::exchange(Cancel.IsAnswered_, true))
    return;
  Cancel.HasEnded_ = HasEnded;
  if (!Cancel.CountsFrom_)
    Cancel.CountsFrom_ = Clock::now();
}

std::vector<std::string> CancelChecks::jobs() const {
  std::vector<std::string> Jobs;
  for (const auto &[Job, Cancel] : Rows_)
    if (Cancel.IsAnswered_)
      Jobs.push_back(Job);
  return Jobs;
}

void CancelChecks::shown(const std::string &Job, const std::string &State,
                         TimePoint AskedAt) {
  const auto It = Rows_.find(Job);
  if (It == Rows_.end()) {
    if (State == "cancelled")
      Break_("a job is cancelled only by callers", Job);
    return;
  }
  Row &Cancel = It->second;
  const bool MayBeOther = !Cancel.IsAnswered_ ||
                          *Cancel.CountsFrom_ >= AskedAt ||
                          (Cancel.HasEnded_ && State == "completed");
  if (State != "cancelled" && !MayBeOther &&
      !std::exchange(Cancel.IsShownOtherwise_, true))
    Break_("a cancelled job is shown as such",
           Job + " " + State + ", asked " + after(Cancel));
}

const CancelChecks::Row *CancelChecks::find(const std::string &Job) const {
  const auto It = Rows_.find(Job);
  return It != Rows_.end() && It->second.CountsFrom_ ? &It->second : nullptr;
}

std::string CancelChecks::after(const Row &Cancel) const {
  const double Time = toMilliseconds(Clock::now() - *Cancel.CountsFrom_);
  return std::to_string(static_cast<std::int64_t>(Time)) +
         " ms after the answer to its cancel" +
         (Cancel.IsAnswered_ ? "" : " was due");
}

void CancelChecks::starts(const TaskId &Task, std::size_t Place, bool IsLate) {
  const TimePoint Now = Clock::now();
  Runs_[{Task, Place}] = {.StartedAt_ = Now, .IsLate_ = IsLate};
  const Row *Cancel = find(Task.Job_);
  if (Cancel == nullptr)
    return;
  ++StartsAfter_;
  const bool IsInTouch = Now - Quiet_.sinceNear(Place) > ContactTime;
  if (!IsLate && IsInTouch && Now - *Cancel->CountsFrom_ > CancelTime)
    Break_("no task is started once its job is cancelled",
           Task.text() + " on worker " + std::to_string(Place + 1) + ", " +
               after(*Cancel));
}

void CancelChecks::ends(const TaskId &Task, std::size_t Place) {
  Runs_.erase({Task, Place});
}

void CancelChecks::observe(TimePoint Now) {
  for (auto &[Job, Cancel] : Rows_)
    if (!Cancel.CountsFrom_ &&
        Now - std::max(Cancel.SentAt_, Quiet_.since()) > AnswerTime) {
      Cancel.CountsFrom_ = Now;
      Break_("a cancel is answered", Job);
    }
  for (auto &[Key, Each] : Runs_) {
    const auto &[Task, Place] = Key;
    const Row *Cancel = find(Task.Job_);
    if (Cancel == nullptr || Each.IsReported_)
      continue;
    const TimePoint From =
        std::max(*Cancel->CountsFrom_, Quiet_.sinceNear(Place));
    const bool IsOverdue =
        Now - From > CancelTime + StopTime &&
        (!Each.IsLate_ || Now - Each.StartedAt_ > ContactTime + StopTime);
    if (!IsOverdue)
      continue;
    Each.IsReported_ = true;
    Break_("no task runs on once its job is cancelled",
           Task.text() + " on worker " + std::to_string(Place + 1) + ", " +
               after(*Cancel) + (Each.IsLate_ ? ", started late" : ""));
  }
}

bool CancelChecks::isOpen() const {
  return std::ranges::any_of(
             Rows_,
             [](const auto &Each) { return !Each.second.IsAnswered_; }) ||
         std::ranges::any_of(Runs_, [this](const auto &Each) {
           return find(Each.first.first.Job_) != nullptr;
         });
}

std::pair<std::size_t, std::size_t> CancelChecks::counts() const {
  return {jobs().size(), StartsAfter_};
}

} // namespace dragonfly::soak
