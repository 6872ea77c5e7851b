#include "dragonfly/agent/RequestRunner.h"

#include "dragonfly/agent/Ledger.h"

#include <algorithm>
#include <utility>

namespace dragonfly::agent {
namespace {

constexpr std::uint16_t FirstServerError = 500;

wire::ExecuteResult toResult(RunResult Ended) {
  switch (Ended.Status_) {
  case net::CallStatus::Answered:
    break;
  case net::CallStatus::NeverSent:
    return {.Outcome_ = Outcome::RefusedNotRun,
            .Reason_ = Reason::UpstreamFailed};
  case net::CallStatus::Lost:
    return {.Outcome_ = Outcome::Unknown, .Reason_ = Reason::ConnectionLost};
  case net::CallStatus::TimedOut:
    return {.Outcome_ = Outcome::Unknown, .Reason_ = Reason::Timeout};
  }
  if (Ended.HttpStatus_ >= FirstServerError)
    return {.Outcome_ = Outcome::Unknown,
            .Reason_ = Reason::UpstreamFailed,
            .Status_ = Ended.HttpStatus_};
  return {.Outcome_ = Outcome::Completed,
          .Status_ = Ended.HttpStatus_,
          .Body_ = std::move(Ended.Body_)};
}

} // namespace

RequestRunner::RequestRunner(RequestRunnerOptions Options)
    : Options_(std::move(Options)) {}

Reason RequestRunner::admit(const wire::Execute &Request) {
  if (Request.Target_ != Options_.Self_)
    return Reason::WrongIncarnation;
  if (Request.TimeLeft_ <= Duration::zero())
    return Reason::DeadlinePassed;
  const Reason Why = Options_.MayAccept_();
  return Why == Reason::None ? Options_.Ledger_->takeSlot(Request.Streamed_)
                             : Why;
}

void RequestRunner::refuse(const ExecuteHooks &Hooks, Reason Why) const {
  Hooks.OnEnd_({.Outcome_ = Outcome::RefusedNotRun,
                .Reason_ = Why,
                .FreeSlots_ = Options_.Ledger_->freeSlots()});
}

void RequestRunner::execute(wire::Execute Request, ExecuteHooks Hooks) {
  if (const Reason Why = admit(Request); Why != Reason::None) {
    refuse(Hooks, Why);
    return;
  }
  const std::uint64_t Number = ++LastNumber_;
  Rows_.emplace(Number, Row{.Key_ = Request.Key_,
                            .Kind_ = Request.Kind_,
                            .NonIdempotent_ = Request.NonIdempotent_,
                            .Streamed_ = Request.Streamed_,
                            .StartedAt_ = Clock::now(),
                            .Hooks_ = std::move(Hooks)});
  std::function<void(std::string)> OnPart;
  if (Request.Streamed_)
    OnPart = [this, Number](std::string Body) {
      takePart(Number, std::move(Body));
    };
  const std::uint64_t Call = Options_.Upstream_.Run_(
      Request, Request.TimeLeft_,
      [this, Number](RunResult Result) { ended(Number, std::move(Result)); },
      std::move(OnPart));
  if (const auto It = Rows_.find(Number); It != Rows_.end())
    It->second.UpstreamCall_ = Call;
}

void RequestRunner::takePart(std::uint64_t Number, std::string Body) {
  const auto It = Rows_.find(Number);
  if (It == Rows_.end())
    return;
  It->second.Hooks_.OnPart_(
      {.Number_ = It->second.Parts_++, .Body_ = std::move(Body)});
}

void RequestRunner::ended(std::uint64_t Number, RunResult Result) {
  if (Rows_.contains(Number))
    finish(Number, toResult(std::move(Result)));
}

void RequestRunner::finish(std::uint64_t Number, wire::ExecuteResult Result) {
  const Row Ended = std::move(Rows_.extract(Number).mapped());
  Options_.Ledger_->releaseSlot(Ended.Streamed_);
  Result.ServiceTime_ = Clock::now() - Ended.StartedAt_;
  Result.FreeSlots_ = Options_.Ledger_->freeSlots();
  // An unknown end needs no receipt: it settles nothing.
  if (Result.Outcome_ == Outcome::Completed)
    Options_.OnReceipt_({.Key_ = Ended.Key_,
                         .Kind_ = Ended.Kind_,
                         .Outcome_ = Result.Outcome_,
                         .Reason_ = Result.Reason_,
                         .NonIdempotent_ = Ended.NonIdempotent_,
                         .Status_ = Result.Status_,
                         .Body_ = Ended.NonIdempotent_ ? Result.Body_ : ""});
  Ended.Hooks_.OnEnd_(std::move(Result));
  if (Rows_.empty() && OnIdle_)
    std::exchange(OnIdle_, nullptr)();
}

void RequestRunner::cancel(const wire::RequestKey &Key) {
  const auto It = std::ranges::find_if(
      Rows_, [&Key](const auto &Entry) { return Entry.second.Key_ == Key; });
  if (It == Rows_.end() || It->second.NonIdempotent_)
    return;
  Options_.Upstream_.Cancel_(It->second.UpstreamCall_);
  finish(It->first,
         {.Outcome_ = Outcome::Unknown, .Reason_ = Reason::Cancelled});
}

void RequestRunner::whenIdle(std::function<void()> Handler) {
  if (Rows_.empty())
    Handler();
  else
    OnIdle_ = std::move(Handler);
}

} // namespace dragonfly::agent
