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
/// Factor by which an upstream in another zone must score better than one in
/// the entry's own zone.
constexpr double ZonePreference = 1.3;
constexpr double LatencySmoothingFactor = 0.05;
constexpr double FailureSmoothingFactor = 0.1;
/// Failure rate above which an upstream is ejected.
constexpr double FailureRateToEject = 0.35;
/// Attempts before an upstream's failure rate and latency are used, and before
/// a recovered upstream's ejection backoff is reset.
constexpr std::uint32_t MinSamples = 20;
/// Answers from all upstreams between two checks for latency outliers.
constexpr std::uint32_t AnswersPerLatencyCheck = 64;
/// Most upstreams searched for a free slot if the randomly drawn ones are full.
constexpr std::size_t MaxRoomProbes = 64;

bool contains(std::span<const UpstreamIndex> List, UpstreamIndex Value) {
  return std::ranges::find(List, Value) != List.end();
}

} // namespace

struct Router::Impl {
  explicit Impl(RouterOptions Options)
      : Options_(std::move(Options)), Random_(Options_.Seed_),
        RetryBudget_(Options_.RetryPermille_) {}

  RouterOptions Options_;
  RandomEngine Random_;
  RetryBudget RetryBudget_;
  std::deque<UpstreamState> Upstreams_;
  /// Upstreams that accept work, by whether they are in the entry's zone.
  std::vector<UpstreamIndex> SameZone_;
  std::vector<UpstreamIndex> OtherZones_;
  std::vector<UpstreamIndex> Ejected_;
  /// Reused by `ejectSlowest()`, so that it doesn't allocate.
  std::vector<double> LatencyScratch_;
  TimePoint NextProbeAt_ = TimePoint::max();
  std::array<KindLatency, MaxRoutedKinds> KindLatencies_;
  std::uint32_t AnswerCount_ = 0;
  std::uint32_t UsableSlots_ = 0;

  std::optional<UpstreamIndex> findIndex(const UpstreamRow &Row);
  void rebuildLists();
  std::optional<UpstreamIndex>
  findDueProbe(TimePoint Now, std::span<const UpstreamIndex> Exclude);
  std::optional<UpstreamIndex>
  pickBetterOfTwo(TimePoint Now, const std::vector<UpstreamIndex> &From,
                  std::span<const UpstreamIndex> Exclude);
  std::optional<UpstreamIndex>
  drawRandom(const std::vector<UpstreamIndex> &From,
             std::span<const UpstreamIndex> Exclude);
  std::optional<UpstreamIndex>
  findWithRoom(const std::vector<UpstreamIndex> &From,
               std::span<const UpstreamIndex> Exclude);
  void recordAnswer(TimePoint Now, UpstreamIndex Index, double RelativeLatency);
  void recordFailure(TimePoint Now, UpstreamIndex Index);
  void eject(TimePoint Now, UpstreamIndex Index);
  void ejectSlowest(TimePoint Now);
  bool mayEject() const;
};

/// Returns the index of \p Row if it is known by name and incarnation, else the
/// index of an unused table entry, or nothing if the table must grow.
std::optional<UpstreamIndex> Router::Impl::findIndex(const UpstreamRow &Row) {
  std::optional<UpstreamIndex> Free;
  for (UpstreamIndex Index = 0; Index < Upstreams_.size(); ++Index) {
    const UpstreamState &State = Upstreams_[Index];
    if (State.Row_.Name_ == Row.Name_ &&
        State.Row_.Incarnation_ == Row.Incarnation_)
      return Index;
    if (!State.Listed_ && State.InProgress_ == 0 && !Free)
      Free = Index;
  }
  return Free;
}

void Router::Impl::rebuildLists() {
  SameZone_.clear();
  OtherZones_.clear();
  Ejected_.clear();
  NextProbeAt_ = TimePoint::max();
  UsableSlots_ = 0;
  for (UpstreamIndex Index = 0; Index < Upstreams_.size(); ++Index) {
    const UpstreamState &State = Upstreams_[Index];
    if (!State.Listed_ || State.Departed_ || State.Row_.Draining_)
      continue;
    if (State.Ejected_) {
      Ejected_.push_back(Index);
      if (!State.Probing_)
        NextProbeAt_ = std::min(NextProbeAt_, State.ProbeAt_);
    } else {
      UsableSlots_ += State.usableSlots();
      const bool InSameZone =
          State.Row_.AvailabilityZone_ == Options_.AvailabilityZone_;
      (InSameZone ? SameZone_ : OtherZones_).push_back(Index);
    }
  }
}

/// Returns an ejected upstream whose time for a probe has come.
std::optional<UpstreamIndex>
Router::Impl::findDueProbe(TimePoint Now,
                           std::span<const UpstreamIndex> Exclude) {
  if (Now < NextProbeAt_)
    return std::nullopt;
  const auto Due = std::ranges::find_if(Ejected_, [&](UpstreamIndex Index) {
    const UpstreamState &State = Upstreams_[Index];
    return !State.Probing_ && State.ProbeAt_ <= Now &&
           !contains(Exclude, Index);
  });
  return Due == Ejected_.end() ? std::nullopt : std::optional(*Due);
}

/// Returns a random upstream that isn't excluded.
std::optional<UpstreamIndex>
Router::Impl::drawRandom(const std::vector<UpstreamIndex> &From,
                         std::span<const UpstreamIndex> Exclude) {
  if (From.empty())
    return std::nullopt;
  const std::size_t First = Random_() % From.size();
  for (std::size_t Step = 0; Step < From.size(); ++Step) {
    const UpstreamIndex Index = From[(First + Step) % From.size()];
    if (!contains(Exclude, Index))
      return Index;
  }
  return std::nullopt;
}

/// Draws two upstreams at random and returns the one with the better score.
std::optional<UpstreamIndex>
Router::Impl::pickBetterOfTwo(TimePoint Now,
                              const std::vector<UpstreamIndex> &From,
                              std::span<const UpstreamIndex> Exclude) {
  const auto First = drawRandom(From, Exclude);
  const auto Second = drawRandom(From, Exclude);
  if (!First || !Second)
    return First;
  return Upstreams_[*Second].score(Now) < Upstreams_[*First].score(Now) ? Second
                                                                        : First;
}

/// Returns an upstream with a free slot, searched for from a random start.
std::optional<UpstreamIndex>
Router::Impl::findWithRoom(const std::vector<UpstreamIndex> &From,
                           std::span<const UpstreamIndex> Exclude) {
  if (From.empty())
    return std::nullopt;
  const std::size_t First = Random_() % From.size();
  const std::size_t Count = std::min(From.size(), MaxRoomProbes);
  for (std::size_t Step = 0; Step < Count; ++Step) {
    const UpstreamIndex Index = From[(First + Step) % From.size()];
    if (Upstreams_[Index].hasRoom() && !contains(Exclude, Index))
      return Index;
  }
  return std::nullopt;
}

bool Router::Impl::mayEject() const {
  const std::size_t Listed =
      SameZone_.size() + OtherZones_.size() + Ejected_.size();
  return (Ejected_.size() + 1) * Permille <=
         Listed * Options_.MaxEjectedPermille_;
}

void Router::Impl::eject(TimePoint Now, UpstreamIndex Index) {
  UpstreamState &State = Upstreams_[Index];
  if (!State.Listed_ || (!State.Ejected_ && !mayEject()))
    return;
  Duration EjectionTime = Options_.BaseEjectionTime_;
  for (std::uint32_t Step = 0; Step < State.ConsecutiveEjections_ &&
                               EjectionTime < Options_.MaxEjectionTime_;
       ++Step)
    EjectionTime *= 2;
  ++State.ConsecutiveEjections_;
  State.Ejected_ = true;
  State.Probing_ = false;
  State.ProbeAt_ = Now + std::min(EjectionTime, Options_.MaxEjectionTime_);
  rebuildLists();
}

void Router::Impl::recordAnswer(TimePoint Now, UpstreamIndex Index,
                                double RelativeLatency) {
  UpstreamState &State = Upstreams_[Index];
  State.ConsecutiveFailures_ = 0;
  State.FailureRate_ -= FailureSmoothingFactor * State.FailureRate_;
  State.RelativeLatency_ +=
      LatencySmoothingFactor * (RelativeLatency - State.RelativeLatency_);
  State.LastAnswerAt_ = Now;
  ++State.SampleCount_;
  if (State.Ejected_ && State.Probing_) {
    State.Ejected_ = State.Probing_ = false;
    State.FailureRate_ = 0;
    State.RelativeLatency_ = RelativeLatency;
    State.SampleCount_ = 0;
    rebuildLists();
  } else if (State.SampleCount_ == MinSamples) {
    State.ConsecutiveEjections_ = 0;
  }
  if (++AnswerCount_ % AnswersPerLatencyCheck == 0)
    ejectSlowest(Now);
}

void Router::Impl::recordFailure(TimePoint Now, UpstreamIndex Index) {
  UpstreamState &State = Upstreams_[Index];
  ++State.ConsecutiveFailures_;
  ++State.SampleCount_;
  State.FailureRate_ += FailureSmoothingFactor * (1 - State.FailureRate_);
  const bool FailsOften = State.SampleCount_ >= MinSamples &&
                          State.FailureRate_ > FailureRateToEject;
  if (State.Probing_ ||
      (!State.Ejected_ &&
       (State.ConsecutiveFailures_ >= Options_.ConsecutiveFailuresToEject_ ||
        FailsOften)))
    eject(Now, Index);
}

/// Ejects the upstream with the highest latency if it exceeds the limit
/// relative to the median.
void Router::Impl::ejectSlowest(TimePoint Now) {
  LatencyScratch_.clear();
  std::optional<UpstreamIndex> Slowest;
  for (const auto *List : {&SameZone_, &OtherZones_})
    for (UpstreamIndex Index : *List) {
      const UpstreamState &State = Upstreams_[Index];
      LatencyScratch_.push_back(State.RelativeLatency_);
      if (State.SampleCount_ >= MinSamples &&
          (!Slowest ||
           State.RelativeLatency_ > Upstreams_[*Slowest].RelativeLatency_))
        Slowest = Index;
    }
  if (!Slowest)
    return;
  const auto Median = LatencyScratch_.begin() +
                      static_cast<std::ptrdiff_t>(LatencyScratch_.size() / 2);
  std::ranges::nth_element(LatencyScratch_, Median);
  const double LatencyLimit =
      *Median * Options_.SlowLatencyPermille_ / Permille;
  if (Upstreams_[*Slowest].RelativeLatency_ > LatencyLimit)
    eject(Now, *Slowest);
}

Router::Router(RouterOptions Options)
    : Impl_(std::make_unique<Impl>(std::move(Options))) {}

Router::Router(Router &&) noexcept = default;

Router &Router::operator=(Router &&) noexcept = default;

Router::~Router() = default;

void Router::setUpstreams(std::span<const UpstreamRow> Rows) {
  for (UpstreamState &State : Impl_->Upstreams_)
    State.Listed_ = false;
  for (const UpstreamRow &Row : Rows) {
    auto Index = Impl_->findIndex(Row);
    if (!Index) {
      Index = static_cast<UpstreamIndex>(Impl_->Upstreams_.size());
      Impl_->Upstreams_.emplace_back();
    }
    UpstreamState &State = Impl_->Upstreams_[*Index];
    if (State.Row_.Name_ != Row.Name_ ||
        State.Row_.Incarnation_ != Row.Incarnation_)
      State = UpstreamState();
    State.Row_ = Row;
    State.Listed_ = true;
    State.InProgressWhenAnnounced_ = State.InProgress_;
  }
  for (auto *List : {&Impl_->SameZone_, &Impl_->OtherZones_, &Impl_->Ejected_})
    List->reserve(Impl_->Upstreams_.size());
  Impl_->LatencyScratch_.reserve(Impl_->Upstreams_.size());
  Impl_->rebuildLists();
}

const UpstreamRow &Router::upstream(UpstreamIndex Upstream) const {
  return Impl_->Upstreams_.at(Upstream).Row_;
}

std::size_t Router::size() const { return Impl_->Upstreams_.size(); }

std::optional<UpstreamIndex>
Router::pick(TimePoint Now, std::span<const UpstreamIndex> Exclude) {
  if (const auto Probe = Impl_->findDueProbe(Now, Exclude))
    return Probe;
  const auto SameZone = Impl_->pickBetterOfTwo(Now, Impl_->SameZone_, Exclude);
  const auto OtherZone =
      Impl_->pickBetterOfTwo(Now, Impl_->OtherZones_, Exclude);
  if (!SameZone || !OtherZone)
    return SameZone ? SameZone : OtherZone;
  const double SameZoneScore = Impl_->Upstreams_[*SameZone].score(Now);
  const double OtherZoneScore = Impl_->Upstreams_[*OtherZone].score(Now);
  const auto Best =
      OtherZoneScore * ZonePreference < SameZoneScore ? OtherZone : SameZone;
  if (Impl_->Upstreams_[*Best].hasRoom())
    return Best;
  if (const auto Room = Impl_->findWithRoom(Impl_->SameZone_, Exclude))
    return Room;
  const auto Room = Impl_->findWithRoom(Impl_->OtherZones_, Exclude);
  return Room ? Room : Best;
}

void Router::recordStart(TimePoint Now, UpstreamIndex Upstream) {
  UpstreamState &State = Impl_->Upstreams_.at(Upstream);
  ++State.InProgress_;
  if (State.Ejected_ && !State.Probing_ && State.ProbeAt_ <= Now) {
    State.Probing_ = true;
    Impl_->rebuildLists();
  }
}

void Router::recordResult(TimePoint Now, UpstreamIndex Upstream,
                          AttemptResult Result, Duration Latency,
                          RoutedKind Kind) {
  UpstreamState &State = Impl_->Upstreams_.at(Upstream);
  if (State.InProgress_ > 0)
    --State.InProgress_;
  switch (Result) {
  case AttemptResult::Answered:
    Impl_->recordAnswer(
        Now, Upstream,
        Impl_->KindLatencies_.at(Kind % MaxRoutedKinds).record(Latency));
    break;
  case AttemptResult::Refused:
    if (State.Probing_) {
      State.Probing_ = false;
      State.ProbeAt_ = Now + Impl_->Options_.BaseEjectionTime_;
      Impl_->rebuildLists();
    }
    break;
  case AttemptResult::Gone:
    State.Departed_ = true;
    Impl_->rebuildLists();
    break;
  case AttemptResult::Failed:
    Impl_->recordFailure(Now, Upstream);
    break;
  }
}

void Router::countRequest() { Impl_->RetryBudget_.countRequest(); }

bool Router::tryConsumeRetry() { return Impl_->RetryBudget_.tryConsume(); }

std::optional<Duration> Router::hedgeDelay(RoutedKind Kind) const {
  return Impl_->KindLatencies_.at(Kind % MaxRoutedKinds).hedgeDelay();
}

std::uint32_t Router::usableSlots() const { return Impl_->UsableSlots_; }

bool Router::isEjected(TimePoint Now, UpstreamIndex Upstream) const {
  static_cast<void>(Now);
  return Impl_->Upstreams_.at(Upstream).Ejected_;
}

} // namespace dragonfly::decide
