#include "entry/Responses.h"

#include "dragonfly/base/EnumTable.h"
#include "dragonfly/entry/CallerInterface.h"

#include <boost/json/serialize.hpp>
#include <boost/json/value.hpp>

#include <algorithm>
#include <chrono>

namespace dragonfly::entry {
namespace {

/// How a reason is told over HTTP.
struct ReasonRow {
  Reason Reason_;
  std::uint16_t Status_;
  bool RetryAfter_;
};

constexpr std::array Rows{
    ReasonRow{Reason::NoFreeSlot, 503, true},
    ReasonRow{Reason::OverFloor, 429, true},
    ReasonRow{Reason::OverPlan, 429, true},
    ReasonRow{Reason::QueueFull, 429, true},
    ReasonRow{Reason::DeadlineUnreachable, 503, true},
    ReasonRow{Reason::DeadlinePassed, 504, false},
    ReasonRow{Reason::UnknownCustomer, 403, false},
    ReasonRow{Reason::UnknownKind, 400, false},
    ReasonRow{Reason::MissingRequestId, 400, false},
    ReasonRow{Reason::RequestIdReused, 422, false},
    ReasonRow{Reason::Draining, 503, true},
    ReasonRow{Reason::StaleConfiguration, 503, true},
    ReasonRow{Reason::WrongIncarnation, 503, true},
    ReasonRow{Reason::LedgerNotReady, 503, true},
    ReasonRow{Reason::NoUpstream, 503, true},
    ReasonRow{Reason::NoQuorum, 503, true},
    ReasonRow{Reason::ClaimOutsideWindow, 409, false},
    ReasonRow{Reason::ConnectionLost, 502, false},
    ReasonRow{Reason::Timeout, 504, false},
    ReasonRow{Reason::UpstreamFailed, 502, false},
    ReasonRow{Reason::Cancelled, 409, false},
    ReasonRow{Reason::NeverFits, 422, false},
    ReasonRow{Reason::RepeatedFailure, 422, false},
};

constexpr std::uint16_t FallbackStatus = 502;

std::string retryAfterSeconds(Duration After) {
  const auto Seconds = std::chrono::ceil<std::chrono::seconds>(After).count();
  return std::to_string(std::max<std::int64_t>(1, Seconds));
}

} // namespace

net::HttpResponse problem(std::uint16_t Status, std::string_view Type,
                          Outcome Value) {
  const boost::json::value Body{
      {"type", Type}, {"status", Status}, {"outcome", enumName(Value)}};
  return {.Status_ = Status,
          .ContentType_ = "application/problem+json",
          .Headers_ = {{"Dragonfly-Outcome", std::string(enumName(Value))}},
          .Body_ = boost::json::serialize(Body)};
}

net::HttpResponse toResponse(const Answer &End) {
  if (End.Outcome_ == Outcome::Completed)
    return {.Status_ = End.Status_ == 0 ? std::uint16_t{200} : End.Status_,
            .Headers_ = {{"Dragonfly-Outcome", "completed"}},
            .Body_ = End.Body_};
  const auto *Row = std::ranges::find(Rows, End.Reason_, &ReasonRow::Reason_);
  const bool Found = Row != Rows.end();
  net::HttpResponse Result = problem(Found ? Row->Status_ : FallbackStatus,
                                     enumName(End.Reason_), End.Outcome_);
  if (Found && Row->RetryAfter_)
    Result.Headers_.push_back(
        {"Retry-After", retryAfterSeconds(End.RetryAfter_)});
  return Result;
}

} // namespace dragonfly::entry
