#include "entry/GatewayImpl.h"

#include <algorithm>
#include <utility>

namespace dragonfly::entry {
namespace {

/// Attempts that one request may take.
constexpr std::uint32_t MaxTries = 4;
/// Added to an attempt's timeout, so that the agent's own refusal arrives.
constexpr Duration AnswerGrace = std::chrono::milliseconds(50);
/// From this status on an answer tells of a failing upstream.
constexpr std::uint16_t FirstFailureStatus = 500;

Answer toAnswer(wire::ExecuteResult Result) {
  return {.Outcome_ = Result.Outcome_,
          .Reason_ = Result.Reason_,
          .Status_ = Result.Status_,
          .Body_ = std::move(Result.Body_)};
}

bool failingStatus(const net::CallResult &Result) {
  const auto *Answered = std::get_if<wire::ExecuteResult>(&Result.Answer_);
  return Answered != nullptr && Answered->Status_ >= FirstFailureStatus;
}

decide::AttemptResult forRouter(const AttemptJudgement &Judged,
                                const net::CallResult &Result) {
  if (Judged.Outcome_ == Outcome::Completed)
    return failingStatus(Result) ? decide::AttemptResult::Failed
                                 : decide::AttemptResult::Answered;
  const bool Refused = Judged.Outcome_ == Outcome::RefusedNotRun &&
                       Judged.Reason_ != Reason::UpstreamFailed &&
                       Result.Status_ == net::CallStatus::Answered;
  if (Refused && (Judged.Reason_ == Reason::WrongIncarnation ||
                  Judged.Reason_ == Reason::Draining))
    return decide::AttemptResult::Gone;
  return Refused ? decide::AttemptResult::Refused
                 : decide::AttemptResult::Failed;
}

} // namespace

void Gateway::Impl::beginAttempt(TimePoint Now, const RequestPtr &Row) {
  if (Row->CancelAsked_) {
    endWith(Now, Row, Outcome::RefusedNotRun, Reason::Cancelled);
    return;
  }
  const auto Picked = Router_.pick(Now, Row->Excluded_);
  if (!Picked) {
    endWith(Now, Row, Outcome::RefusedNotRun, Reason::NoUpstream);
    return;
  }
  const decide::UpstreamRow &Chosen = Router_.row(*Picked);
  Row->Attempt_ = {.Index_ = *Picked,
                   .Worker_ = Chosen.Name_,
                   .Target_ = Chosen.Incarnation_,
                   .StartedAt_ = Now};
  if (Row->Kind_->Settings_.NonIdempotent_)
    claim(Now, Row);
  else
    execute(Now, Row);
}

void Gateway::Impl::claim(TimePoint Now, const RequestPtr &Row) {
  Row->Phase_ = Phase::Claiming;
  wire::Claim Asked{.Key_ = Row->Key_,
                    .Kind_ = Row->Kind_->Settings_.Name_,
                    .Worker_ = Row->Attempt_.Worker_,
                    .Target_ = Row->Attempt_.Target_,
                    .Claimant_ = Row->Claimant_,
                    .Attempt_ = Row->ClaimAttempt_,
                    .BodyHash_ = Row->BodyHash_};
  Options_.Hooks_.CallControl_(
      std::move(Asked), Row->Deadline_ - Now,
      [Weak = weak_from_this(), Row](net::CallResult Result) {
        if (const auto Self = Weak.lock())
          Self->claimEnded(Clock::now(), Row, std::move(Result));
      });
}

/// Without an answer the request has not been passed on here. Whether an
/// earlier send of the same id has run is only known where the claim was never
/// sent, or is held by this entry.
void Gateway::Impl::claimEnded(TimePoint Now, const RequestPtr &Row,
                               net::CallResult Result) {
  if (Row->Phase_ != Phase::Claiming)
    return;
  if (auto *Reply = std::get_if<wire::ClaimReply>(&Result.Answer_);
      Reply != nullptr && Result.Status_ == net::CallStatus::Answered) {
    claimAnswered(Now, Row, std::move(*Reply));
    return;
  }
  const bool NotRun =
      Row->ClaimHeld_ || Result.Status_ == net::CallStatus::NeverSent;
  endWith(Now, Row, NotRun ? Outcome::RefusedNotRun : Outcome::Unknown,
          Reason::NoQuorum);
}

void Gateway::Impl::claimAnswered(TimePoint Now, const RequestPtr &Row,
                                  wire::ClaimReply Reply) {
  switch (Reply.Status_) {
  case wire::ClaimStatus::Granted:
    Row->ClaimHeld_ = true;
    if (Row->CancelAsked_)
      endWith(Now, Row, Outcome::RefusedNotRun, Reason::Cancelled);
    else if (Now >= Row->Deadline_)
      endWith(Now, Row, Outcome::RefusedNotRun, Reason::DeadlinePassed);
    else
      execute(Now, Row);
    return;
  case wire::ClaimStatus::Settled:
    finish(Now, Row, toAnswer(std::move(Reply.First_)));
    return;
  case wire::ClaimStatus::Pending:
    if (Now >= Row->Deadline_)
      endWith(Now, Row, Outcome::Unknown, Reason::Timeout);
    else
      pollLater(Now, Row);
    return;
  case wire::ClaimStatus::Mismatch:
    endWith(Now, Row, Outcome::RefusedNotRun, Reason::RequestIdReused);
    return;
  case wire::ClaimStatus::OutsideWindow:
    break;
  }
  endWith(Now, Row, Outcome::Unknown, Reason::ClaimOutsideWindow);
}

void Gateway::Impl::execute(TimePoint Now, const RequestPtr &Row) {
  Row->Phase_ = Phase::Executing;
  const std::uint32_t Try = ++Row->Tries_;
  Row->Attempt_.StartedAt_ = Now;
  Router_.started(Now, Row->Attempt_.Index_);
  const Duration TimeLeft = Row->Deadline_ - Now;
  Options_.Hooks_.CallAgent_(
      {.Worker_ = Row->Attempt_.Worker_,
       .Request_ =
           wire::Execute{.Key_ = Row->Key_,
                         .Kind_ = Row->Kind_->Settings_.Name_,
                         .Target_ = Row->Attempt_.Target_,
                         .TimeLeft_ = TimeLeft,
                         .NonIdempotent_ = Row->Kind_->Settings_.NonIdempotent_,
                         .Streamed_ = Row->streamed(),
                         .Body_ = Row->Body_},
       .Timeout_ = TimeLeft + AnswerGrace,
       .OnEnd_ =
           [Weak = weak_from_this(), Row, Try](net::CallResult Result) {
             if (const auto Self = Weak.lock())
               Self->attemptEnded(Clock::now(), Row, Try, std::move(Result));
           },
       .OnPart_ =
           [Weak = weak_from_this(), Row, Try](const wire::Message &Part) {
             if (const auto Self = Weak.lock())
               Self->takePart(Clock::now(), Row, Try, Part);
           }});
}

void Gateway::Impl::takePart(TimePoint Now, const RequestPtr &Row,
                             std::uint32_t Try, const wire::Message &Part) {
  const auto *Piece = std::get_if<wire::ExecutePart>(&Part);
  if (Piece == nullptr || Row->Phase_ != Phase::Executing || Row->Tries_ != Try)
    return;
  Row->PartsPassed_ = true;
  const bool KeepsUp =
      std::ranges::all_of(Row->Waiters_, [Piece](const Waiter &Each) {
        return !Each.Hooks_.OnPart_ || Each.Hooks_.OnPart_(Piece->Body_);
      });
  if (!KeepsUp)
    abandon(Now, Row);
}

void Gateway::Impl::attemptEnded(TimePoint Now, const RequestPtr &Row,
                                 std::uint32_t Try, net::CallResult Result) {
  if (Row->Phase_ != Phase::Executing || Row->Tries_ != Try)
    return;
  const AttemptJudgement Judged = judgeAttempt(Result, Row->repeatable());
  releaseUpstream(Now, *Row, forRouter(Judged, Result));
  if (Judged.Outcome_ == Outcome::Completed) {
    finish(Now, Row,
           toAnswer(std::get<wire::ExecuteResult>(std::move(Result.Answer_))));
    return;
  }
  if (Judged.Outcome_ == Outcome::Unknown)
    Row->MayHaveRun_ = true;
  if (!Judged.MayTryElsewhere_ || !tryElsewhere(Now, Row, Judged))
    endWith(Now, Row, Judged.Outcome_, Judged.Reason_);
}

void Gateway::Impl::releaseUpstream(TimePoint Now, const Request &Row,
                                    decide::AttemptResult Result) {
  Router_.finished(Now, Row.Attempt_.Index_, Result,
                   Now - Row.Attempt_.StartedAt_, Row.Kind_->Routed_);
}

bool Gateway::Impl::tryElsewhere(TimePoint Now, const RequestPtr &Row,
                                 const AttemptJudgement &Judged) {
  if (Row->PartsPassed_ || Row->CancelAsked_ || Now >= Row->Deadline_ ||
      Row->Tries_ >= MaxTries)
    return false;
  Row->Excluded_.push_back(Row->Attempt_.Index_);
  if (!Router_.pick(Now, Row->Excluded_) || !Router_.takeRetry())
    return false;
  if (Row->Kind_->Settings_.NonIdempotent_ &&
      Judged.Outcome_ == Outcome::RefusedNotRun)
    ++Row->ClaimAttempt_;
  beginAttempt(Now, Row);
  return true;
}

/// Ends a request without an answer; one that may have run is never said to be
/// refused.
void Gateway::Impl::endWith(TimePoint Now, const RequestPtr &Row, Outcome End,
                            Reason Why) {
  const bool Uncertain = Row->MayHaveRun_ && End == Outcome::RefusedNotRun;
  finish(Now, Row,
         {.Outcome_ = Uncertain ? Outcome::Unknown : End, .Reason_ = Why});
}

} // namespace dragonfly::entry
