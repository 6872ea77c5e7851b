#include "dragonfly/decide/SilenceCheck.h"

#include <algorithm>

namespace dragonfly::decide {

void SilenceCheck::recordSent(TimePoint Now) {
  LastSentAt_ = Now;
  if (!UnansweredSince_)
    UnansweredSince_ = Now;
}

void SilenceCheck::recordAnswer(TimePoint SentAt) {
  ProvenAt_ = std::max(ProvenAt_, SentAt);
  if (LastSentAt_ <= ProvenAt_)
    UnansweredSince_.reset();
  else if (UnansweredSince_)
    UnansweredSince_ = std::max(*UnansweredSince_, ProvenAt_);
  if (SentAt >= BeganAt_)
    Step_ = Step::None;
}

void SilenceCheck::suspect(TimePoint Now) {
  if (!inProgress())
    UnansweredSince_ = Now - Options_.AnswerTime_;
}

SilenceAction SilenceCheck::recordSecondAnswer(TimePoint Now) {
  if (Step_ != Step::Opening)
    return SilenceAction::None;
  Step_ = Step::Confirming;
  StepEndsAt_ = Now + Options_.AnswerTime_;
  return SilenceAction::Probe;
}

void SilenceCheck::recordSecondLost(TimePoint Now) {
  if (Step_ != Step::Confirming)
    return;
  Step_ = Step::Opening;
  StepEndsAt_ = Now + Options_.AnswerTime_;
}

SilenceAction SilenceCheck::advance(TimePoint Now, bool Awaits) {
  if (Now < due(Awaits))
    return SilenceAction::None;
  switch (Step_) {
  case Step::None:
    Step_ = Step::Probing;
    BeganAt_ = Now;
    StepEndsAt_ = Now + Options_.AnswerTime_;
    return SilenceAction::Probe;
  case Step::Probing:
  case Step::Opening:
    Step_ = Step::Opening;
    StepEndsAt_ = Now + Options_.SecondPeriod_;
    return SilenceAction::OpenSecond;
  case Step::Confirming:
    return confirm(Now);
  }
  return SilenceAction::None;
}

SilenceAction SilenceCheck::confirm(TimePoint Now) {
  // A call this late means that this process has been paused: the answer may
  // have arrived and not been read. Bytes that the peer has just taken mean
  // that the probe may still be queued behind others.
  const bool Paused = Now - StepEndsAt_ > Options_.AnswerTime_ / 2;
  const bool Progressing = Now - ProgressAt_ < Options_.AnswerTime_;
  if (Paused || Progressing) {
    StepEndsAt_ = Now + Options_.AnswerTime_;
    return SilenceAction::None;
  }
  return SilenceAction::Replace;
}

TimePoint SilenceCheck::due(bool Awaits) const {
  if (inProgress())
    return StepEndsAt_;
  if (UnansweredSince_)
    return *UnansweredSince_ + Options_.AnswerTime_;
  return Awaits ? ProvenAt_ + Options_.RecheckPeriod_ : TimePoint::max();
}

} // namespace dragonfly::decide
