#include "soak/Soak.h"

#include <algorithm>
#include <utility>

namespace dragonfly::soak {
namespace {

using std::chrono::milliseconds;

/// From one job that is cancelled to the next.
constexpr Duration Period = milliseconds(150);
/// Once faults are over, such jobs are handed in for so long.
constexpr Duration TimeAfterFaults = milliseconds(4500);
constexpr std::int64_t MemoryMb = 64;
/// One job in so many goes to the queue that comes and goes.
constexpr std::size_t JobsPerOther = 5;

} // namespace

Duration Soak::drawCancelTime(std::size_t LeastMs, std::size_t MostMs) {
  return milliseconds(LeastMs + drawCancel(MostMs - LeastMs + 1));
}

void Soak::nextCancelled() {
  if (!Faulting_ && Clock::now() > HealedAt_ + TimeAfterFaults)
    return;
  constexpr auto Moments = static_cast<std::size_t>(CancelMoment::Never) + 1;
  const std::string Job = jobId(CancelRandom_);
  const auto Moment = static_cast<CancelMoment>(drawCancel(Moments));
  PlannedJob Plan = drawCancelledPlan(Job, Moment);
  // A cancel may be the first that is sent of a job.
  Prefixes_[Job] = drawCancel(JobsPerOther) == 0 ? "/other/" : "/checks/";
  planCancel(Job, Moment);
  const Duration Wait = Moment == CancelMoment::BeforeSubmission
                            ? drawCancelTime(0, 3000)
                            : Duration::zero();
  later(Wait, [this, Job, Plan = std::move(Plan)] {
    submitPlanned(Job, Plan, MemoryMb);
  });
  later(Period, [this] { nextCancelled(); });
}

PlannedJob Soak::drawCancelledPlan(const std::string &Job,
                                   CancelMoment Moment) {
  const bool HasSteps = Moment == CancelMoment::BetweenSteps;
  PlannedJob Plan{.Spec_ = "spec of " + Job,
                  .Counts_ = std::vector<std::uint32_t>(
                      HasSteps ? 2 + drawCancel(2) : 1 + drawCancel(3)),
                  .MilliProcessors_ = 100,
                  .TaskTime_ = drawCancelTime(100, 1500),
                  .Checkpointing_ = drawCancel(2) == 0};
  if (Plan.Checkpointing_)
    Plan.TaskTime_ = drawCancelTime(600, 3000);
  // The others would complete, so that only these run on for long.
  if (!HasSteps && Moment != CancelMoment::Never) {
    Plan.TaskTime_ = drawCancelTime(100, 8000);
    Plan.Lasts_ = drawCancel(2) == 0;
    Plan.MayFail_ = !Plan.Lasts_;
  }
  if (Plan.Lasts_)
    Plan.Counts_.resize(1);
  for (std::uint32_t &Count : Plan.Counts_)
    Count = static_cast<std::uint32_t>(1 + drawCancel(4));
  return Plan;
}

void Soak::planCancel(const std::string &Job, CancelMoment Moment) {
  switch (Moment) {
  case CancelMoment::AtAnswer:
    OnAccepted_[Job] = [this, Job] { cancel(Job); };
    break;
  case CancelMoment::AfterAnswer:
    // Most of them soon.
    OnAccepted_[Job] = [this, Job] {
      later(drawCancel(4) == 0 ? drawCancelTime(3000, 5000)
                               : drawCancelTime(20, 3000),
            [this, Job] { cancel(Job); });
    };
    break;
  case CancelMoment::BeforeSubmission:
    cancel(Job);
    break;
  case CancelMoment::DuringSubmission:
    later(drawCancelTime(0, 300), [this, Job] { cancel(Job); });
    break;
  case CancelMoment::BetweenSteps:
    OnAccepted_[Job] = [this, Job] { UntilStepEnds_.insert(Job); };
    break;
  case CancelMoment::Never:
    break;
  }
}

void Soak::cancel(const std::string &Job) {
  Seen_.cancelSent(Job);
  sendCancel(Job);
}

void Soak::sendCancel(const std::string &Job) {
  Callers_[drawCancel(Callers_.size())]->request(
      request("DELETE", targetOf(Job)), CallTimeout,
      [this, Job](const net::HttpResult &Result) {
        const std::uint16_t Status = Result.Response_.Status_;
        if (Result.Status_ == net::CallStatus::Answered &&
            (Status / 100 == 2 || Status == 410)) {
          Seen_.cancelAnswered(Job);
          repeatAfterCancel(Job);
        } else {
          later(RetryDelay, [this, Job] { sendCancel(Job); });
        }
      });
}

void Soak::repeatAfterCancel(const std::string &Job) {
  switch (drawCancel(3)) {
  case 0:
    later(drawCancelTime(0, 3000), [this, Job] { sendCancel(Job); });
    break;
  case 1:
    later(drawCancelTime(20, 3000), [this, Job] {
      if (!Seen_.isAccepted(Job))
        return;
      ++OpenSubmits_;
      submit(Job, Bodies_.at(Job), 1, false);
    });
    break;
  default:
    break;
  }
}

void Soak::cancelBetweenSteps() {
  std::erase_if(UntilStepEnds_, [this](const std::string &Job) {
    const bool IsTime = Seen_.isPending(Job) && Seen_.isBetweenSteps(Job);
    if (IsTime)
      cancel(Job);
    return IsTime;
  });
}

} // namespace dragonfly::soak
