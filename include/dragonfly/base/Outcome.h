/// What became of a request, and why one was refused.
#ifndef DRAGONFLY_BASE_OUTCOME_H
#define DRAGONFLY_BASE_OUTCOME_H

#include "dragonfly/base/EnumTable.h"

#include <array>
#include <cstdint>

namespace dragonfly {

/// The three outcomes that a caller can be told.
enum class Outcome : std::uint8_t {
  Completed,     ///< The upstream answered; the answer is whole.
  RefusedNotRun, ///< It certainly never reached the upstream.
  Unknown,       ///< It may have run; only a query by request id can tell.
};

template <> struct EnumTable<Outcome> {
  static constexpr std::array<EnumName<Outcome>, 3> Rows{{
      {Outcome::Completed, "completed"},
      {Outcome::RefusedNotRun, "refused-not-run"},
      {Outcome::Unknown, "unknown"},
  }};
};

/// Why a request was refused or its outcome is unknown.
enum class Reason : std::uint8_t {
  None,
  NoFreeSlot,
  OverFloor,
  OverPlan,
  QueueFull,
  DeadlineUnreachable,
  DeadlinePassed,
  UnknownCustomer,
  UnknownKind,
  MissingRequestId,
  RequestIdReused,
  Draining,
  StaleConfiguration,
  WrongIncarnation,
  LedgerNotReady,
  NoUpstream,
  NoQuorum,
  ClaimOutsideWindow,
  ConnectionLost,
  Timeout,
  UpstreamFailed,
  Cancelled,
  NeverFits,
  RepeatedFailure,
};

template <> struct EnumTable<Reason> {
  static constexpr std::array<EnumName<Reason>, 24> Rows{{
      {Reason::None, "none"},
      {Reason::NoFreeSlot, "no-free-slot"},
      {Reason::OverFloor, "over-floor"},
      {Reason::OverPlan, "over-plan"},
      {Reason::QueueFull, "queue-full"},
      {Reason::DeadlineUnreachable, "deadline-unreachable"},
      {Reason::DeadlinePassed, "deadline-passed"},
      {Reason::UnknownCustomer, "unknown-customer"},
      {Reason::UnknownKind, "unknown-kind"},
      {Reason::MissingRequestId, "missing-request-id"},
      {Reason::RequestIdReused, "request-id-reused"},
      {Reason::Draining, "draining"},
      {Reason::StaleConfiguration, "stale-configuration"},
      {Reason::WrongIncarnation, "wrong-incarnation"},
      {Reason::LedgerNotReady, "ledger-not-ready"},
      {Reason::NoUpstream, "no-upstream"},
      {Reason::NoQuorum, "no-quorum"},
      {Reason::ClaimOutsideWindow, "claim-outside-window"},
      {Reason::ConnectionLost, "connection-lost"},
      {Reason::Timeout, "timeout"},
      {Reason::UpstreamFailed, "upstream-failed"},
      {Reason::Cancelled, "cancelled"},
      {Reason::NeverFits, "never-fits"},
      {Reason::RepeatedFailure, "repeated-failure"},
  }};
};

} // namespace dragonfly

#endif // DRAGONFLY_BASE_OUTCOME_H
