#include "entry/GatewayImpl.h"

#include <algorithm>
#include <utility>

namespace dragonfly::entry {
namespace {

/// Attempts that one request may take.
constexpr std::uint32_t MaxTries = 4;
/// Wait after the first refusal by all agents; doubles up to MaxDoublings
/// times.
constexpr Duration FirstPause = std::chrono::milliseconds(10);
constexpr std::uint32_t MaxDoublings = 4;
constexpr std::uint32_t MaxPauses = 20;
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

wire::Execute makeExecute(const Request &Row, TimePoint Now) {
  const settings::KindSettings &Kind = Row.Kind_->Settings_;
  return {.Key_ = Row.Key_,
          .Kind_ = Kind.Name_,
          .Target_ = Row.Next_.Target_,
          .TimeLeft_ = Row.Deadline_ - Now,
          .NonIdempotent_ = Kind.NonIdempotent_,
          .Streamed_ = Row.streamed(),
          .Body_ = Row.Body_};
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
  if (!pick(Now, *Row)) {
    endWith(Now, Row, Outcome::RefusedNotRun, Reason::NoUpstream);
    return;
  }
  if (Row->Kind_->Settings_.NonIdempotent_)
    claim(Now, Row);
  else
    execute(Now, Row);
}

/// Chooses the upstream of the next attempt; false where there is none.
bool Gateway::Impl::pick(TimePoint Now, Request &Row) {
  const auto Picked = Router_.pick(Now, Row.Excluded_);
  if (!Picked)
    return false;
  const decide::UpstreamRow &Chosen = Router_.upstream(*Picked);
  Row.Next_ = {.Index_ = *Picked,
               .Worker_ = Chosen.Name_,
               .Target_ = Chosen.Incarnation_};
  return true;
}

void Gateway::Impl::claim(TimePoint Now, const RequestPtr &Row) {
  Row->Phase_ = Phase::Claiming;
  wire::Claim Asked{.Key_ = Row->Key_,
                    .Kind_ = Row->Kind_->Settings_.Name_,
                    .Worker_ = Row->Next_.Worker_,
                    .Target_ = Row->Next_.Target_,
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
  Row->Next_.Try_ = Try;
  Row->Next_.StartedAt_ = Now;
  Row->Active_.push_back(Row->Next_);
  Router_.recordStart(Now, Row->Next_.Index_);
  if (Row->hedged() && Row->Active_.size() == 1)
    if (const auto Delay = Router_.hedgeDelay(Row->Kind_->Routed_))
      Hedges_.push({Now + *Delay, Try, Row});
  AgentCall Call{
      .Worker_ = Row->Next_.Worker_,
      .Request_ = makeExecute(*Row, Now),
      .Timeout_ = Row->Deadline_ - Now + AnswerGrace,
      .OnEnd_ = [Weak = weak_from_this(), Row, Try](net::CallResult Result) {
        if (const auto Self = Weak.lock())
          Self->attemptEnded(Clock::now(), Row, Try, std::move(Result));
      }};
  if (Row->streamed())
    Call.OnPart_ = [Weak = weak_from_this(), Row,
                    Try](const wire::Message &Part) {
      if (const auto Self = Weak.lock())
        Self->takePart(Clock::now(), Row, Try, Part);
    };
  Options_.Hooks_.CallAgent_(std::move(Call));
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
  const auto Found = std::ranges::find(Row->Active_, Try, &Attempt::Try_);
  if (Found == Row->Active_.end())
    return;
  const Attempt Ended = std::move(*Found);
  Row->Active_.erase(Found);
  const AttemptJudgement Judged = judgeAttempt(Result, Row->repeatable());
  releaseUpstream(Now, *Row, Ended, forRouter(Judged, Result));
  if (Judged.Outcome_ == Outcome::Completed) {
    cancelActive(Now, Row);
    finish(Now, Row,
           toAnswer(std::get<wire::ExecuteResult>(std::move(Result.Answer_))));
    return;
  }
  if (Judged.Outcome_ == Outcome::Unknown)
    Row->MayHaveRun_ = true;
  if (!Row->Active_.empty())
    return;
  if (Judged.MayTryElsewhere_ &&
      (tryElsewhere(Now, Row, Ended, Judged) || waitAgain(Now, Row, Judged)))
    return;
  endWith(Now, Row, Judged.Outcome_, Judged.Reason_);
}

/// Tells the agents of attempts that are of no use any longer.
void Gateway::Impl::cancelActive(TimePoint Now, const RequestPtr &Row) {
  for (const Attempt &Each : std::exchange(Row->Active_, {})) {
    Options_.Hooks_.TellAgent_(Each.Worker_, wire::CancelExecute{Row->Key_});
    releaseUpstream(Now, *Row, Each, decide::AttemptResult::Answered);
  }
}

void Gateway::Impl::releaseUpstream(TimePoint Now, const Request &Row,
                                    const Attempt &Ended,
                                    decide::AttemptResult Result) {
  Router_.recordResult(Now, Ended.Index_, Result, Now - Ended.StartedAt_,
                       Row.Kind_->Routed_);
}

bool Gateway::Impl::tryElsewhere(TimePoint Now, const RequestPtr &Row,
                                 const Attempt &Ended,
                                 const AttemptJudgement &Judged) {
  if (Row->PartsPassed_ || Row->CancelAsked_ || Now >= Row->Deadline_ ||
      Row->Tries_ - Row->TriesBeforePause_ >= MaxTries)
    return false;
  Row->Excluded_.push_back(Ended.Index_);
  if (!Router_.pick(Now, Row->Excluded_) || !Router_.tryConsumeRetry())
    return false;
  if (Row->Kind_->Settings_.NonIdempotent_ &&
      Judged.Outcome_ == Outcome::RefusedNotRun)
    ++Row->ClaimAttempt_;
  beginAttempt(Now, Row);
  return true;
}

/// Lets a request wait that certainly did not run and that no agent has room
/// for now: in the admission table, which refuses it once its deadline cannot
/// be met, or, for heavy work, for a growing pause, since its deadline is far.
bool Gateway::Impl::waitAgain(TimePoint Now, const RequestPtr &Row,
                              const AttemptJudgement &Judged) {
  const bool Heavy =
      Row->Kind_->Settings_.Urgency_ == settings::Urgency::Deadline;
  const bool NoRoom = Heavy || Judged.Reason_ == Reason::NoFreeSlot;
  const Duration Delay =
      FirstPause * (1 << std::min(Row->Pauses_, MaxDoublings));
  if (!NoRoom || Judged.Outcome_ != Outcome::RefusedNotRun ||
      Row->MayHaveRun_ || Row->PartsPassed_ || Row->CancelAsked_ ||
      Row->Pauses_ >= MaxPauses || Now + Delay >= Row->Deadline_)
    return false;
  ++Row->Pauses_;
  Row->TriesBeforePause_ = Row->Tries_;
  Row->Excluded_.clear();
  if (Row->Kind_->Settings_.NonIdempotent_)
    ++Row->ClaimAttempt_;
  if (Heavy) {
    Row->Phase_ = Phase::Pausing;
    Polls_.emplace(Now + Delay, Row);
    return true;
  }
  Row->Phase_ = Phase::Waiting;
  Row->Admitted_ = false;
  Waiting_.emplace(Row->Handle_, Row);
  Admission_.requeue(Now, Row->Handle_);
  return true;
}

/// Takes the retry budget into account, so that pauses cause no storm.
void Gateway::Impl::resume(TimePoint Now, const RequestPtr &Row) {
  if (Row->CancelAsked_ || Router_.tryConsumeRetry()) {
    beginAttempt(Now, Row);
    return;
  }
  if (Now + FirstPause < Row->Deadline_)
    Polls_.emplace(Now + FirstPause, Row);
  else
    endWith(Now, Row, Outcome::RefusedNotRun, Reason::NoFreeSlot);
}

void Gateway::Impl::sendDueHedges(TimePoint Now) {
  while (!Hedges_.empty() && Hedges_.top().At_ <= Now) {
    const Hedge Due = Hedges_.top();
    Hedges_.pop();
    const std::vector<Attempt> &Active = Due.Row_->Active_;
    if (Active.size() == 1 && Active.front().Try_ == Due.Try_)
      hedge(Now, Due.Row_);
  }
}

/// Sends a request to a second upstream while the first attempt goes on.
void Gateway::Impl::hedge(TimePoint Now, const RequestPtr &Row) {
  if (Row->CancelAsked_ || Now >= Row->Deadline_ || Row->Tries_ >= MaxTries)
    return;
  Row->Excluded_.push_back(Row->Active_.front().Index_);
  if (pick(Now, *Row) && HedgeBudget_.tryConsume() && Router_.tryConsumeRetry())
    execute(Now, Row);
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
