#include "dragonfly/entry/AttemptRules.h"

#include <algorithm>
#include <array>
#include <variant>

namespace dragonfly::entry {
namespace {

constexpr std::array TemporaryReasons{
    Reason::NoFreeSlot,     Reason::Draining,   Reason::StaleConfiguration,
    Reason::LedgerNotReady, Reason::NoUpstream, Reason::WrongIncarnation,
    Reason::UpstreamFailed,
};

AttemptJudgement judgeResult(const wire::ExecuteResult &Result,
                             Repeatable Request) {
  switch (Result.Outcome_) {
  case Outcome::Completed:
    return {Outcome::Completed, Reason::None, false};
  case Outcome::RefusedNotRun:
    return {Outcome::RefusedNotRun, Result.Reason_,
            refusedForNow(Result.Reason_)};
  case Outcome::Unknown:
    break;
  }
  const bool Again = Request == Repeatable::Yes &&
                     Result.Reason_ != Reason::Timeout &&
                     Result.Reason_ != Reason::Cancelled;
  return {Outcome::Unknown, Result.Reason_, Again};
}

AttemptJudgement judgeAnswer(const wire::Message &Answer, Repeatable Request) {
  if (const auto *Result = std::get_if<wire::ExecuteResult>(&Answer))
    return judgeResult(*Result, Request);
  if (const auto *Refused = std::get_if<wire::Refusal>(&Answer))
    return {Outcome::RefusedNotRun, Refused->Reason_,
            refusedForNow(Refused->Reason_)};
  return {Outcome::Unknown, Reason::UpstreamFailed, Request == Repeatable::Yes};
}

} // namespace

bool refusedForNow(Reason Value) {
  return std::ranges::find(TemporaryReasons, Value) != TemporaryReasons.end();
}

AttemptJudgement judgeAttempt(const net::CallResult &Result,
                              Repeatable Request) {
  switch (Result.Status_) {
  case net::CallStatus::Answered:
    return judgeAnswer(Result.Answer_, Request);
  case net::CallStatus::NeverSent:
    return {Outcome::RefusedNotRun, Reason::NoUpstream, true};
  case net::CallStatus::Lost:
    return {Outcome::Unknown, Reason::ConnectionLost,
            Request == Repeatable::Yes};
  case net::CallStatus::TimedOut:
    break;
  }
  return {Outcome::Unknown, Reason::Timeout, false};
}

} // namespace dragonfly::entry
