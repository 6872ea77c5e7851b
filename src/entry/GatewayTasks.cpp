#include "entry/GatewayImpl.h"

#include <algorithm>
#include <utility>

namespace dragonfly::entry {
namespace {

constexpr Duration MinPollDelay = std::chrono::milliseconds(20);
constexpr Duration MaxPollDelay = std::chrono::seconds(1);
/// Part of the time since arrival that passes until the next poll, which bounds
/// what polling adds to a request.
constexpr int PollPart = 8;

bool ended(wire::TaskState State) {
  switch (State) {
  case wire::TaskState::Finished:
  case wire::TaskState::Failed:
  case wire::TaskState::Cancelled:
  case wire::TaskState::Parked:
    return true;
  default:
    return false;
  }
}

Answer toAnswer(wire::TaskReply Reply) {
  return {.Outcome_ = Reply.Outcome_,
          .Reason_ = Reply.Reason_,
          .Status_ = Reply.Status_,
          .Body_ = std::move(Reply.Body_)};
}

} // namespace

void Gateway::Impl::submitTask(TimePoint Now, const RequestPtr &Row) {
  Row->Phase_ = Phase::Following;
  const Duration TimeLeft = Row->Deadline_ - Now;
  wire::SubmitTask Task{.Key_ = Row->Key_,
                        .Kind_ = Row->Kind_->Settings_.Name_,
                        .Need_ = Row->Kind_->Settings_.Need_,
                        .TimeLeft_ = TimeLeft,
                        .ExpectedRunTime_ =
                            Row->Kind_->Settings_.ExpectedRunTime_,
                        .NonIdempotent_ = Row->Kind_->Settings_.NonIdempotent_,
                        .Body_ = Row->Body_};
  Options_.Hooks_.CallControl_(
      std::move(Task), TimeLeft,
      [Weak = weak_from_this(), Row](net::CallResult Result) {
        if (const auto Self = Weak.lock())
          Self->taskSubmitted(Clock::now(), Row, std::move(Result));
      });
}

void Gateway::Impl::taskSubmitted(TimePoint Now, const RequestPtr &Row,
                                  net::CallResult Result) {
  if (Row->Phase_ != Phase::Following)
    return;
  auto *Reply = std::get_if<wire::TaskReply>(&Result.Answer_);
  if (Result.Status_ == net::CallStatus::Answered && Reply != nullptr) {
    taskAnswered(Now, Row, std::move(*Reply));
    return;
  }
  const auto *Refused = std::get_if<wire::Refusal>(&Result.Answer_);
  if (Result.Status_ == net::CallStatus::Answered && Refused != nullptr)
    endWith(Now, Row, Outcome::RefusedNotRun, Refused->Reason_);
  else if (Result.Status_ == net::CallStatus::NeverSent)
    endWith(Now, Row, Outcome::RefusedNotRun, Reason::NoQuorum);
  else
    endWith(Now, Row, Outcome::Unknown, Reason::NoQuorum);
}

void Gateway::Impl::follow(TimePoint Now, const RequestPtr &Row) {
  if (Now >= Row->Deadline_) {
    endWith(Now, Row, Outcome::Unknown, Reason::Timeout);
    return;
  }
  Options_.Hooks_.CallControl_(
      wire::QueryTask{Row->Key_}, Row->Deadline_ - Now,
      [Weak = weak_from_this(), Row](net::CallResult Result) {
        const auto Self = Weak.lock();
        if (!Self || Row->Phase_ != Phase::Following)
          return;
        auto *Reply = std::get_if<wire::TaskReply>(&Result.Answer_);
        if (Result.Status_ == net::CallStatus::Answered && Reply != nullptr)
          Self->taskAnswered(Clock::now(), Row, std::move(*Reply));
        else
          Self->pollLater(Clock::now(), Row);
      });
}

/// A task that control has accepted is control's: with nobody waiting, it is
/// not followed here.
void Gateway::Impl::taskAnswered(TimePoint Now, const RequestPtr &Row,
                                 wire::TaskReply Reply) {
  if (!Reply.Known_ || ended(Reply.State_)) {
    finish(Now, Row, toAnswer(std::move(Reply)));
    return;
  }
  tellAccepted(*Row);
  if (Row->Waiters_.empty() || Row->Detached_)
    drop(Row);
  else
    pollLater(Now, Row);
}

void Gateway::Impl::pollLater(TimePoint Now, const RequestPtr &Row) {
  const Duration Delay = std::clamp((Now - Row->ArrivedAt_) / PollPart,
                                    MinPollDelay, MaxPollDelay);
  Polls_.emplace(std::min(Now + Delay, Row->Deadline_), Row);
}

} // namespace dragonfly::entry
