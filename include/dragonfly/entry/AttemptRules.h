/// What follows from the end of one attempt of a request: pure rules, from
/// which the promises about outcomes can be read and tested.
#ifndef DRAGONFLY_ENTRY_ATTEMPTRULES_H
#define DRAGONFLY_ENTRY_ATTEMPTRULES_H

#include "dragonfly/base/Outcome.h"
#include "dragonfly/net/FrameClient.h"
#include "dragonfly/wire/Messages.h"

#include <cstdint>

namespace dragonfly::entry {

/// Whether a request may run more than once.
enum class Repeatable : std::uint8_t { No, Yes };

/// What the requester learns from one attempt.
struct AttemptJudgement {
  Outcome Outcome_ = Outcome::Unknown;
  Reason Reason_ = Reason::None;
  /// True where another attempt may follow, if budget and deadline allow.
  bool MayTryElsewhere_ = false;
};

/// Judges how a call to an agent ended. An attempt counts as not run only
/// where no byte of it left this process or where the agent says so.
AttemptJudgement judgeAttempt(const net::CallResult &Result,
                              Repeatable Request);

/// True where another agent may accept what one has refused for \p Value.
bool refusedForNow(Reason Value);

} // namespace dragonfly::entry

#endif // DRAGONFLY_ENTRY_ATTEMPTRULES_H
