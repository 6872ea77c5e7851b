#include "dragonfly/net/GracefulStop.h"

#include "dragonfly/base/Log.h"

#include <utility>

namespace dragonfly::net {

using decide::StopPhase;

namespace {

constexpr Duration CheckPeriod = std::chrono::milliseconds(5);

void callEach(const std::vector<StopPart> &Parts,
              std::function<void()> StopPart::*Hook) {
  for (const StopPart &Part : Parts)
    if (Part.*Hook)
      (Part.*Hook)();
}

std::size_t unfinishedOf(const StopPart &Part) {
  return Part.Unfinished_ ? Part.Unfinished_() : 0;
}

} // namespace

GracefulStop::GracefulStop(EventLoop &Loop, decide::StopBounds Bounds)
    : Loop_(Loop), Schedule_(Bounds) {}

void GracefulStop::add(StopPart Part) { Parts_.push_back(std::move(Part)); }

bool GracefulStop::hasBegun() const {
  return Schedule_.phase() != StopPhase::Running;
}

void GracefulStop::begin(EndHandler OnEnded) {
  if (hasBegun())
    return;
  OnEnded_ = std::move(OnEnded);
  logEvent(Event::ProcessStopping, {{"in_progress", unfinished()}});
  Schedule_.begin(Clock::now());
  callEach(Parts_, &StopPart::OnServing_);
  Check_ = Loop_.every(CheckPeriod, [this] { advance(); });
  advance();
}

void GracefulStop::advance() {
  const StopPhase Before = Schedule_.phase();
  const std::size_t Unfinished = unfinished();
  if (Schedule_.advance(Clock::now(), Unfinished) == Before)
    return;
  logEvent(Event::StopPhaseEntered, {{"phase", enumName(Schedule_.phase())},
                                     {"unfinished", Unfinished},
                                     {"parts", describeUnfinished()}});
  enter(Schedule_.phase());
}

void GracefulStop::enter(StopPhase Phase) {
  switch (Phase) {
  case StopPhase::Running:
  case StopPhase::Serving:
    break;
  case StopPhase::Refusing:
    callEach(Parts_, &StopPart::OnRefusing_);
    break;
  case StopPhase::Closing:
    if (Schedule_.isCutOff())
      cutOff();
    callEach(Parts_, &StopPart::OnClosing_);
    break;
  case StopPhase::Ended:
    Check_.cancel();
    // Called later, because the handler may destroy this object.
    End_ = Loop_.after(Duration::zero(),
                       [Handler = std::exchange(OnEnded_, nullptr),
                        Result = Schedule_.isCutOff() ? StopResult::BoundReached
                                                      : StopResult::Finished] {
                         Handler(Result);
                       });
  }
}

void GracefulStop::cutOff() {
  logEvent(Event::StopBoundReached, {{"parts", describeUnfinished()}});
  callEach(Parts_, &StopPart::OnCutOff_);
}

std::size_t GracefulStop::unfinished() const {
  std::size_t Sum = 0;
  for (const StopPart &Part : Parts_)
    Sum += unfinishedOf(Part);
  return Sum;
}

std::string GracefulStop::describeUnfinished() const {
  std::string Text;
  for (const StopPart &Part : Parts_)
    if (const std::size_t Count = unfinishedOf(Part); Count > 0)
      Text +=
          (Text.empty() ? "" : ",") + Part.Name_ + ":" + std::to_string(Count);
  return Text;
}

} // namespace dragonfly::net
