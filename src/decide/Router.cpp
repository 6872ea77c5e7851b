#include "dragonfly/decide/Router.h"

#include "decide/KindLatency.h"
#include "decide/UpstreamState.h"
#include "dragonfly/base/Random.h"
#include "dragonfly/decide/RetryBudget.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <deque>

namespace dragonfly::decide {
namespace {

constexpr std::uint32_t Permille = 1000;
/// How much better an upstream elsewhere must score than one in the same zone.
constexpr double ZonePreference = 1.3;
constexpr double LatencyGain = 0.05;
constexpr double FailureGain = 0.1;
/// Share of failures that ejects, and attempts before it is trusted.
constexpr double FailureShareToEject = 0.35;
constexpr std::uint32_t LeastSamples = 20;
/// Answers between two looks for slow upstreams.
constexpr std::uint32_t AnswersPerSlowCheck = 64;
/// Upstreams looked at for room where those drawn are full.
constexpr std::size_t LookedAtForRoom = 64;

bool holds(std::span<const UpstreamIndex> List, UpstreamIndex Value) {
  return std::ranges::find(List, Value) != List.end();
}

} // namespace

struct Router::Impl {
  explicit Impl(RouterOptions Options)
      : Options_(std::move(Options)), Random_(Options_.Seed_),
        Budget_(Options_.RetryPermille_) {}

  RouterOptions Options_;
  RandomEngine Random_;
  RetryBudget Budget_;
  std::deque<UpstreamState> Table_;
  /// Those that may take work, in the entry's zone and elsewhere.
  std::vector<UpstreamIndex> Near_;
  std::vector<UpstreamIndex> Far_;
  std::vector<UpstreamIndex> Ejected_;
  std::vector<double> Latencies_;
  TimePoint NextProbe_ = TimePoint::max();
  std::array<KindLatency, MaxRoutedKinds> Kinds_;
  std::uint32_t Answers_ = 0;
  std::uint32_t Slots_ = 0;

  std::optional<UpstreamIndex> place(const UpstreamRow &Row);
  void rebuild();
  std::optional<UpstreamIndex> dueProbe(TimePoint Now,
                                        std::span<const UpstreamIndex> Exclude);
  std::optional<UpstreamIndex> choose(TimePoint Now,
                                      const std::vector<UpstreamIndex> &From,
                                      std::span<const UpstreamIndex> Exclude);
  std::optional<UpstreamIndex> draw(const std::vector<UpstreamIndex> &From,
                                    std::span<const UpstreamIndex> Exclude);
  std::optional<UpstreamIndex> withRoom(const std::vector<UpstreamIndex> &From,
                                        std::span<const UpstreamIndex> Exclude);
  void answered(TimePoint Now, UpstreamIndex Index, double Relative);
  void failed(TimePoint Now, UpstreamIndex Index);
  void eject(TimePoint Now, UpstreamIndex Index);
  void ejectSlow(TimePoint Now);
  bool mayEject() const;
};

/// Returns where \p Row belongs: its own place, a free one, or a new one.
std::optional<UpstreamIndex> Router::Impl::place(const UpstreamRow &Row) {
  std::optional<UpstreamIndex> Free;
  for (UpstreamIndex Index = 0; Index < Table_.size(); ++Index) {
    const UpstreamState &State = Table_[Index];
    if (State.Row_.Name_ == Row.Name_ &&
        State.Row_.Incarnation_ == Row.Incarnation_)
      return Index;
    if (!State.Listed_ && State.InProgress_ == 0 && !Free)
      Free = Index;
  }
  return Free;
}

void Router::Impl::rebuild() {
  Near_.clear();
  Far_.clear();
  Ejected_.clear();
  NextProbe_ = TimePoint::max();
  Slots_ = 0;
  for (UpstreamIndex Index = 0; Index < Table_.size(); ++Index) {
    const UpstreamState &State = Table_[Index];
    if (!State.Listed_ || State.Gone_ || State.Row_.Draining_)
      continue;
    if (State.Ejected_) {
      Ejected_.push_back(Index);
      if (!State.Probing_)
        NextProbe_ = std::min(NextProbe_, State.ProbeAt_);
    } else {
      Slots_ += State.slots();
      const bool Near =
          State.Row_.AvailabilityZone_ == Options_.AvailabilityZone_;
      (Near ? Near_ : Far_).push_back(Index);
    }
  }
}

std::optional<UpstreamIndex>
Router::Impl::dueProbe(TimePoint Now, std::span<const UpstreamIndex> Exclude) {
  if (Now < NextProbe_)
    return std::nullopt;
  const auto Due = std::ranges::find_if(Ejected_, [&](UpstreamIndex Index) {
    const UpstreamState &State = Table_[Index];
    return !State.Probing_ && State.ProbeAt_ <= Now && !holds(Exclude, Index);
  });
  return Due == Ejected_.end() ? std::nullopt : std::optional(*Due);
}

/// Draws one upstream at random, passing over the excluded ones.
std::optional<UpstreamIndex>
Router::Impl::draw(const std::vector<UpstreamIndex> &From,
                   std::span<const UpstreamIndex> Exclude) {
  if (From.empty())
    return std::nullopt;
  const std::size_t First = Random_() % From.size();
  for (std::size_t Step = 0; Step < From.size(); ++Step) {
    const UpstreamIndex Index = From[(First + Step) % From.size()];
    if (!holds(Exclude, Index))
      return Index;
  }
  return std::nullopt;
}

std::optional<UpstreamIndex>
Router::Impl::choose(TimePoint Now, const std::vector<UpstreamIndex> &From,
                     std::span<const UpstreamIndex> Exclude) {
  const auto First = draw(From, Exclude);
  const auto Second = draw(From, Exclude);
  if (!First || !Second)
    return First;
  return Table_[*Second].score(Now) < Table_[*First].score(Now) ? Second
                                                                : First;
}

/// Returns an upstream with a free slot, looked for from a random one on.
std::optional<UpstreamIndex>
Router::Impl::withRoom(const std::vector<UpstreamIndex> &From,
                       std::span<const UpstreamIndex> Exclude) {
  if (From.empty())
    return std::nullopt;
  const std::size_t First = Random_() % From.size();
  const std::size_t Count = std::min(From.size(), LookedAtForRoom);
  for (std::size_t Step = 0; Step < Count; ++Step) {
    const UpstreamIndex Index = From[(First + Step) % From.size()];
    if (Table_[Index].hasRoom() && !holds(Exclude, Index))
      return Index;
  }
  return std::nullopt;
}

bool Router::Impl::mayEject() const {
  const std::size_t Listed = Near_.size() + Far_.size() + Ejected_.size();
  return (Ejected_.size() + 1) * Permille <=
         Listed * Options_.MaxEjectedPermille_;
}

void Router::Impl::eject(TimePoint Now, UpstreamIndex Index) {
  UpstreamState &State = Table_[Index];
  if (!State.Listed_ || (!State.Ejected_ && !mayEject()))
    return;
  Duration Length = Options_.BaseEjectionTime_;
  for (std::uint32_t Step = 0;
       Step < State.Ejections_ && Length < Options_.MaxEjectionTime_; ++Step)
    Length *= 2;
  ++State.Ejections_;
  State.Ejected_ = true;
  State.Probing_ = false;
  State.ProbeAt_ = Now + std::min(Length, Options_.MaxEjectionTime_);
  rebuild();
}

void Router::Impl::answered(TimePoint Now, UpstreamIndex Index,
                            double Relative) {
  UpstreamState &State = Table_[Index];
  State.FailuresInRow_ = 0;
  State.FailureShare_ -= FailureGain * State.FailureShare_;
  State.RelativeLatency_ += LatencyGain * (Relative - State.RelativeLatency_);
  State.AnsweredAt_ = Now;
  ++State.Samples_;
  if (State.Ejected_ && State.Probing_) {
    State.Ejected_ = State.Probing_ = false;
    State.FailureShare_ = 0;
    State.RelativeLatency_ = Relative;
    State.Samples_ = 0;
    rebuild();
  } else if (State.Samples_ == LeastSamples) {
    State.Ejections_ = 0;
  }
  if (++Answers_ % AnswersPerSlowCheck == 0)
    ejectSlow(Now);
}

void Router::Impl::failed(TimePoint Now, UpstreamIndex Index) {
  UpstreamState &State = Table_[Index];
  ++State.FailuresInRow_;
  ++State.Samples_;
  State.FailureShare_ += FailureGain * (1 - State.FailureShare_);
  const bool Often = State.Samples_ >= LeastSamples &&
                     State.FailureShare_ > FailureShareToEject;
  if (State.Probing_ ||
      (!State.Ejected_ &&
       (State.FailuresInRow_ >= Options_.ConsecutiveFailuresToEject_ || Often)))
    eject(Now, Index);
}

void Router::Impl::ejectSlow(TimePoint Now) {
  Latencies_.clear();
  std::optional<UpstreamIndex> Slowest;
  for (const auto *List : {&Near_, &Far_})
    for (UpstreamIndex Index : *List) {
      const UpstreamState &State = Table_[Index];
      Latencies_.push_back(State.RelativeLatency_);
      if (State.Samples_ >= LeastSamples &&
          (!Slowest ||
           State.RelativeLatency_ > Table_[*Slowest].RelativeLatency_))
        Slowest = Index;
    }
  if (!Slowest)
    return;
  const auto Middle =
      Latencies_.begin() + static_cast<std::ptrdiff_t>(Latencies_.size() / 2);
  std::ranges::nth_element(Latencies_, Middle);
  const double Limit = *Middle * Options_.SlowLatencyPermille_ / Permille;
  if (Table_[*Slowest].RelativeLatency_ > Limit)
    eject(Now, *Slowest);
}

Router::Router(RouterOptions Options)
    : Impl_(std::make_unique<Impl>(std::move(Options))) {}

Router::Router(Router &&) noexcept = default;

Router &Router::operator=(Router &&) noexcept = default;

Router::~Router() = default;

void Router::setUpstreams(std::span<const UpstreamRow> Rows) {
  for (UpstreamState &State : Impl_->Table_)
    State.Listed_ = false;
  for (const UpstreamRow &Row : Rows) {
    auto Index = Impl_->place(Row);
    if (!Index) {
      Index = static_cast<UpstreamIndex>(Impl_->Table_.size());
      Impl_->Table_.emplace_back();
    }
    UpstreamState &State = Impl_->Table_[*Index];
    if (State.Row_.Name_ != Row.Name_ ||
        State.Row_.Incarnation_ != Row.Incarnation_)
      State = UpstreamState();
    State.Row_ = Row;
    State.Listed_ = true;
    State.InProgressAtRow_ = State.InProgress_;
  }
  for (auto *List : {&Impl_->Near_, &Impl_->Far_, &Impl_->Ejected_})
    List->reserve(Impl_->Table_.size());
  Impl_->Latencies_.reserve(Impl_->Table_.size());
  Impl_->rebuild();
}

const UpstreamRow &Router::upstream(UpstreamIndex Upstream) const {
  return Impl_->Table_.at(Upstream).Row_;
}

std::size_t Router::size() const { return Impl_->Table_.size(); }

std::optional<UpstreamIndex>
Router::pick(TimePoint Now, std::span<const UpstreamIndex> Exclude) {
  if (const auto Probe = Impl_->dueProbe(Now, Exclude))
    return Probe;
  const auto Near = Impl_->choose(Now, Impl_->Near_, Exclude);
  const auto Far = Impl_->choose(Now, Impl_->Far_, Exclude);
  if (!Near || !Far)
    return Near ? Near : Far;
  const double NearScore = Impl_->Table_[*Near].score(Now);
  const double FarScore = Impl_->Table_[*Far].score(Now);
  const auto Best = FarScore * ZonePreference < NearScore ? Far : Near;
  if (Impl_->Table_[*Best].hasRoom())
    return Best;
  if (const auto Room = Impl_->withRoom(Impl_->Near_, Exclude))
    return Room;
  const auto Room = Impl_->withRoom(Impl_->Far_, Exclude);
  return Room ? Room : Best;
}

void Router::recordStart(TimePoint Now, UpstreamIndex Upstream) {
  UpstreamState &State = Impl_->Table_.at(Upstream);
  ++State.InProgress_;
  if (State.Ejected_ && !State.Probing_ && State.ProbeAt_ <= Now) {
    State.Probing_ = true;
    Impl_->rebuild();
  }
}

void Router::recordResult(TimePoint Now, UpstreamIndex Upstream,
                          AttemptResult Result, Duration Latency,
                          RoutedKind Kind) {
  UpstreamState &State = Impl_->Table_.at(Upstream);
  if (State.InProgress_ > 0)
    --State.InProgress_;
  switch (Result) {
  case AttemptResult::Answered:
    Impl_->answered(Now, Upstream,
                    Impl_->Kinds_.at(Kind % MaxRoutedKinds).record(Latency));
    break;
  case AttemptResult::Refused:
    if (State.Probing_) {
      State.Probing_ = false;
      State.ProbeAt_ = Now + Impl_->Options_.BaseEjectionTime_;
      Impl_->rebuild();
    }
    break;
  case AttemptResult::Gone:
    State.Gone_ = true;
    Impl_->rebuild();
    break;
  case AttemptResult::Failed:
    Impl_->failed(Now, Upstream);
    break;
  }
}

void Router::countRequest() { Impl_->Budget_.countRequest(); }

bool Router::tryConsumeRetry() { return Impl_->Budget_.tryConsume(); }

std::optional<Duration> Router::hedgeDelay(RoutedKind Kind) const {
  return Impl_->Kinds_.at(Kind % MaxRoutedKinds).hedgeDelay();
}

std::uint32_t Router::usableSlots() const { return Impl_->Slots_; }

bool Router::isEjected(TimePoint Now, UpstreamIndex Upstream) const {
  static_cast<void>(Now);
  return Impl_->Table_.at(Upstream).Ejected_;
}

} // namespace dragonfly::decide
