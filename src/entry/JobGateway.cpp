#include "dragonfly/entry/JobGateway.h"

#include "dragonfly/base/Log.h"

#include <algorithm>
#include <utility>

namespace dragonfly::entry {

using net::CallStatus;
using wire::JobStatus;

namespace {

JobAnswer answerOf(JobStatus Status) {
  switch (Status) {
  case JobStatus::Accepted:
    return JobAnswer::Accepted;
  case JobStatus::Known:
    return JobAnswer::Known;
  case JobStatus::UnknownJob:
    return JobAnswer::UnknownJob;
  case JobStatus::NoQueue:
  // To a caller that asks anew, the queue is gone.
  case JobStatus::AcceptedBefore:
    return JobAnswer::UnknownQueue;
  case JobStatus::Rejected:
  case JobStatus::NoConfiguration:
    return JobAnswer::RefusedNotRun;
  }
  return JobAnswer::Unknown;
}

} // namespace

void JobGateway::submit(wire::SubmitJob Request, Duration TimeLeft,
                        Handler OnEnd) {
  const std::string Job = Request.Job_;
  call("submit", Job, std::move(Request), TimeLeft, std::move(OnEnd));
}

void JobGateway::request(const wire::JobRequest &Request, Duration TimeLeft,
                         Handler OnEnd) {
  call(Request.Action_ == wire::JobAction::Query ? "query" : "cancel",
       Request.Job_, Request, TimeLeft, std::move(OnEnd));
}

void JobGateway::queueDepth(const wire::QueueDepthRequest &Request,
                            Duration TimeLeft, Handler OnEnd) {
  call("depth", {}, Request, TimeLeft, std::move(OnEnd));
}

bool JobGateway::ready() const {
  return Clock::now() - Leader_.lastAnswer() < Options_.ReadyTime_;
}

void JobGateway::call(std::string_view Action, const std::string &Job,
                      wire::Message Request, Duration TimeLeft, Handler OnEnd) {
  const Duration Whole =
      TimeLeft > Duration::zero() ? TimeLeft : Options_.DefaultTimeout_;
  ++InProgress_;
  Leader_.call(
      std::move(Request),
      {.Timeout_ = std::min(Whole * Options_.TimeSharePermille_ / 1000,
                            Options_.MaxTimeout_),
       .LeaderWait_ = Options_.LeaderWait_},
      [this, Action, Job, Began = Clock::now(),
       OnEnd = std::move(OnEnd)](const link::LeaderResult &Result) {
        --InProgress_;
        const JobResult Told = resultOf(Result);
        const Duration Took = Clock::now() - Began;
        Counts_.count("answers", enumName(Told.Answer_));
        Counts_.record("answer_time", Action, Took);
        logEvent(Told.Answer_ == JobAnswer::Unknown ? Event::JobUnanswered
                                                    : Event::JobAnswered,
                 {{"job", Job},
                  {"outcome", enumName(Told.Answer_)},
                  {"action", Action},
                  {"retried", Result.Retried_ ? "yes" : "no"},
                  {"ms", static_cast<std::uint64_t>(toMilliseconds(Took))}});
        OnEnd(Told);
      });
}

JobResult JobGateway::resultOf(const link::LeaderResult &Result) const {
  JobResult Told{.RetryAfter_ = Options_.RetryAfter_};
  if (Result.Status_ == CallStatus::NeverSent) {
    Told.Answer_ = JobAnswer::RefusedNotRun;
    return Told;
  }
  if (const auto *Reply = std::get_if<wire::JobReply>(&Result.Answer_)) {
    Told.Answer_ = answerOf(Reply->Status_);
    Told.State_ = Reply->State_;
    if (Reply->RetryAfter_ > Duration::zero())
      Told.RetryAfter_ = Reply->RetryAfter_;
  } else if (const auto *Depth =
                 std::get_if<wire::QueueDepth>(&Result.Answer_)) {
    Told.Answer_ = answerOf(Depth->Status_);
    Told.Queued_ = Depth->Queued_;
  }
  if (!Result.Retried_)
    return Told;
  // An earlier try may have been accepted, or be on its way to it.
  const auto *Reply = std::get_if<wire::JobReply>(&Result.Answer_);
  if (Reply != nullptr && Reply->Status_ == JobStatus::AcceptedBefore)
    Told.Answer_ = JobAnswer::Accepted;
  else if (Told.Answer_ == JobAnswer::RefusedNotRun ||
           Told.Answer_ == JobAnswer::UnknownQueue)
    Told.Answer_ = JobAnswer::Unknown;
  return Told;
}

} // namespace dragonfly::entry
