/// Decides when a connection has gone silent while its peer is running.
#ifndef DRAGONFLY_DECIDE_SILENCECHECK_H
#define DRAGONFLY_DECIDE_SILENCECHECK_H

#include "dragonfly/base/Clock.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace dragonfly::decide {

struct SilenceCheckOptions {
  /// Time after which an answer is overdue. Three of them pass until a silent
  /// connection is replaced.
  Duration AnswerTime_ = std::chrono::milliseconds(200);
  /// How often a connection is probed that only waits for late answers.
  Duration RecheckPeriod_ = std::chrono::seconds(2);
  /// How long a second connection may stay without an answer before another one
  /// takes its place.
  Duration SecondPeriod_ = std::chrono::seconds(1);
};

/// What the owner of the connection has to do.
enum class SilenceAction : std::uint8_t {
  None,
  Probe,      ///< Send a probe on the connection.
  OpenSecond, ///< Open a second connection, in place of any other, and probe
              ///< it.
  Replace     ///< Go on with the second connection; the first one is silent.
};

/// A peer that is frozen or slow answers on no connection; one whose connection
/// is silent answers on a second one. So a connection counts as silent only if
/// a probe on it has no answer although a second one, made later, has answered
/// before. A probe covers both directions.
class SilenceCheck {
public:
  /// The connection has opened at \p Now.
  explicit SilenceCheck(TimePoint Now, SilenceCheckOptions Options = {})
      : Options_(Options), ProvenAt_(Now) {}

  /// Called as a frame that wants an answer leaves.
  void recordSent(TimePoint Now);
  /// Called with the answer to a frame that left at \p SentAt.
  void recordAnswer(TimePoint SentAt);
  /// Makes a check due, unless one is in progress.
  void suspect(TimePoint Now);
  /// Called with the answer to the probe on the second connection. Returns what
  /// to do at once.
  SilenceAction recordSecondAnswer(TimePoint Now);
  /// Called as the second connection closes: it proves nothing any more.
  void recordSecondLost(TimePoint Now);
  /// Called as the peer takes queued bytes from the connection, or a part of a
  /// frame comes from it: an answer may be queued behind them.
  void recordProgress(TimePoint Now) { ProgressAt_ = Now; }

  /// Returns what is due. \p Awaits tells whether any answer is outstanding.
  SilenceAction advance(TimePoint Now, bool Awaits);
  /// When `advance()` will have something to do, or TimePoint::max().
  TimePoint due(bool Awaits) const;
  /// Whether a check has begun and not ended.
  bool inProgress() const { return Step_ != Step::None; }

private:
  enum class Step : std::uint8_t { None, Probing, Opening, Confirming };

  SilenceAction confirm(TimePoint Now);

  SilenceCheckOptions Options_;
  Step Step_ = Step::None;
  TimePoint BeganAt_;
  TimePoint StepEndsAt_;
  /// When the newest frame left that has been answered.
  TimePoint ProvenAt_;
  TimePoint LastSentAt_;
  TimePoint ProgressAt_;
  /// No later than the first frame that left after `ProvenAt_`.
  std::optional<TimePoint> UnansweredSince_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_SILENCECHECK_H
