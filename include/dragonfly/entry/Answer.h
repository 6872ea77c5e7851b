/// What callers ask of an entry and what they are told.
#ifndef DRAGONFLY_ENTRY_ANSWER_H
#define DRAGONFLY_ENTRY_ANSWER_H

#include "dragonfly/base/Clock.h"
#include "dragonfly/base/Outcome.h"
#include "dragonfly/wire/Messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

namespace dragonfly::entry {

/// One request as a caller sent it.
struct CallerRequest {
  wire::RequestKey Key_;
  std::string Kind_;
  std::string Body_;
  /// Time that the caller grants; the kind's deadline where it names none.
  std::optional<Duration> TimeLeft_;
  /// True where nobody waits: the outcome is asked for later.
  bool Detached_ = false;
};

/// The end of a request.
struct Answer {
  Outcome Outcome_ = Outcome::Unknown;
  Reason Reason_ = Reason::None;
  /// The upstream's HTTP status, where it answered.
  std::uint16_t Status_ = 0;
  std::string Body_;
  /// When a refused caller may try again.
  Duration RetryAfter_{};
};

using AnswerPtr = std::shared_ptr<const Answer>;

/// Receives what becomes of a request. `OnAnswer_` is called exactly once,
/// unless the caller has gone.
struct AnswerHooks {
  std::function<void(const AnswerPtr &)> OnAnswer_;
  /// Takes one in-order part of a streamed answer; false where the caller does
  /// not keep up and the stream is to be given up.
  std::function<bool(std::string_view)> OnPart_;
  /// Called for a detached request once it is accepted: a task, when control
  /// has it durably.
  std::function<void()> OnAccepted_;
};

/// How far a request has come, for callers that poll.
struct RequestStatus {
  bool Known_ = false;
  /// Empty while the request is in progress.
  AnswerPtr Answer_;
};

/// Returns a stable 64-bit hash of a request's kind and body, equal in every
/// process, by which a reused request id is noticed.
std::uint64_t hashBody(std::string_view Kind, std::string_view Body);

} // namespace dragonfly::entry

#endif // DRAGONFLY_ENTRY_ANSWER_H
