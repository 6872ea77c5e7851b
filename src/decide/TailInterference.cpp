#include "dragonfly/decide/TailInterference.h"

#include "decide/Interference.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace dragonfly::decide {
namespace {

/// Readings outside of these tell no more than these.
constexpr double LeastRatio = 0.1;
constexpr double MostRatio = 10;

double headroomOf(double Ratio) {
  return 1 / std::clamp(Ratio, LeastRatio, MostRatio);
}

double medianOf(std::vector<double> Values) {
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::ranges::nth_element(Values, Middle);
  return *Middle;
}

} // namespace

struct TailInterference::Impl {
  /// A job's headroom on one worker, with what neighbours take added.
  struct Witness {
    double Headroom_ = 0;
    TimePoint At_;
  };
  using Witnesses = std::map<std::string, Witness, std::less<>>;

  explicit Impl(TailInterferenceOptions Options)
      : Options_(Options),
        Pairs_({.CautionDeviations_ = Options.CautionDeviations_,
                .PriorMean_ = Options.PriorLoss_,
                .PriorDeviation_ = Options.PriorDeviation_}) {}

  KindIndex indexOf(std::string_view Image) {
    const auto [It, IsNew] = Indexes_.try_emplace(
        std::string(Image), static_cast<KindIndex>(Indexes_.size()));
    return It->second;
  }

  /// Unknown images share one index that is never observed.
  KindIndex find(std::string_view Image) const {
    constexpr KindIndex Unknown = 1U << 20U;
    const auto It = Indexes_.find(Image);
    return It == Indexes_.end() ? Unknown : It->second;
  }

  std::vector<KindLoad> toKinds(std::span<const ImageLoad> Loads) const {
    std::vector<KindLoad> Known;
    for (const ImageLoad &Load : Loads)
      if (Load.ProcessorShare_ >= Options_.MinShare_)
        Known.push_back(
            {.Kind_ = find(Load.Image_), .Load_ = Load.ProcessorShare_});
    return Known;
  }

  /// What the readings on workers other than \p Without tell.
  std::optional<double> headroomOf(TimePoint Now, std::string_view Job,
                                   std::string_view Without) const {
    const auto Row = Jobs_.find(Job);
    if (Row == Jobs_.end())
      return std::nullopt;
    std::vector<double> Values;
    for (const auto &[Worker, Seen] : Row->second)
      if (Worker != Without && Now - Seen.At_ <= Options_.MaxReadingAge_)
        Values.push_back(Seen.Headroom_);
    if (Values.empty())
      return std::nullopt;
    return medianOf(std::move(Values));
  }

  double baselineHeadroom(std::string_view Image) const {
    const auto It = Quiet_.find(Image);
    return It == Quiet_.end() ? Options_.DefaultHeadroom_ : It->second;
  }

  TailInterferenceOptions Options_;
  Interference Pairs_;
  std::map<std::string, KindIndex, std::less<>> Indexes_;
  std::map<std::string, Witnesses, std::less<>> Jobs_;
  using PairName = std::pair<std::string, std::string>;
  /// Pairs that were observed since they were last looked through.
  std::set<PairName> Observed_;
  /// What others have been told of each pair.
  std::map<PairName, Interference::PairEstimate> Told_;
  /// Mean headroom of undisturbed readings, by image.
  std::map<std::string, double, std::less<>> Quiet_;
};

TailInterference::TailInterference(TailInterferenceOptions Options)
    : Impl_(std::make_unique<Impl>(Options)) {}

TailInterference::~TailInterference() = default;

void TailInterference::observe(TimePoint Now, const TailLatencyReading &Reading,
                               std::span<const ImageLoad> Loads) {
  const TailInterferenceOptions &Options = Impl_->Options_;
  const double Headroom = headroomOf(Reading.LatencyRatio_);
  const KindIndex Image = Impl_->indexOf(Reading.Image_);
  for (const ImageLoad &Load : Loads)
    Impl_->indexOf(Load.Image_);
  const std::vector<KindLoad> Known = Impl_->toKinds(Loads);
  const std::optional<double> Elsewhere =
      Impl_->headroomOf(Now, Reading.Job_, Reading.Worker_);
  if (Known.empty()) {
    double &Quiet =
        Impl_->Quiet_
            .try_emplace(std::string(Reading.Image_), Options.DefaultHeadroom_)
            .first->second;
    Quiet += Options.BaselineWeight_ * (Headroom - Quiet);
  } else {
    const double Undisturbed =
        Elsewhere.value_or(Impl_->baselineHeadroom(Reading.Image_));
    Impl_->Pairs_.observe(Image, Known, Undisturbed - Headroom,
                          Options.ReadingNoise_ * Undisturbed);
    for (const ImageLoad &Load : Loads)
      if (Load.ProcessorShare_ >= Options.MinShare_)
        Impl_->Observed_.emplace(Reading.Image_, Load.Image_);
  }
  Impl_->Jobs_[std::string(Reading.Job_)][std::string(Reading.Worker_)] = {
      .Headroom_ = Headroom + Impl_->Pairs_.expectedSlowdown(Image, Known),
      .At_ = Now};
}

double TailInterference::conservativeLoss(std::string_view Image,
                                          const ImageLoad &Load) const {
  return Load.ProcessorShare_ *
         Impl_->Pairs_.conservativeSlowdown(Impl_->find(Image),
                                            Impl_->find(Load.Image_));
}

double TailInterference::expectedLoss(std::string_view Image,
                                      std::span<const ImageLoad> Loads) const {
  return Impl_->Pairs_.expectedSlowdown(Impl_->find(Image),
                                        Impl_->toKinds(Loads));
}

double TailInterference::baselineHeadroom(TimePoint Now, std::string_view Job,
                                          std::string_view Image) const {
  return Impl_->headroomOf(Now, Job, {})
      .value_or(Impl_->baselineHeadroom(Image));
}

std::vector<HeadroomLoss> TailInterference::consumeChangedLosses() {
  std::vector<HeadroomLoss> Changed;
  for (const auto &Name : std::exchange(Impl_->Observed_, {})) {
    const auto &[Serving, Image] = Name;
    const Interference::PairEstimate Now =
        Impl_->Pairs_.estimateOf(Impl_->find(Serving), Impl_->find(Image));
    Interference::PairEstimate &Told = Impl_->Told_[Name];
    if (std::abs(Now.Mean_ - Told.Mean_) < Impl_->Options_.ReportThreshold_ &&
        Now.ReadingWeight_ < 1 + 2 * Told.ReadingWeight_)
      continue;
    Told = Now;
    Changed.push_back({.ServingImage_ = Serving,
                       .BatchImage_ = Image,
                       .LossPerWorker_ = Now.Mean_,
                       .ReadingCount_ = Now.ReadingWeight_});
  }
  return Changed;
}

void TailInterference::restore(const HeadroomLoss &Row) {
  const Interference::PairEstimate Learnt{.Mean_ = Row.LossPerWorker_,
                                          .ReadingWeight_ = Row.ReadingCount_};
  Impl_->Pairs_.restore(Impl_->indexOf(Row.ServingImage_),
                        Impl_->indexOf(Row.BatchImage_), Learnt);
  Impl_->Told_[{Row.ServingImage_, Row.BatchImage_}] = Learnt;
}

void TailInterference::removeExpiredReadings(TimePoint Now) {
  for (auto &[Job, Workers] : Impl_->Jobs_)
    std::erase_if(Workers, [this, Now](const auto &Each) {
      return Now - Each.second.At_ > Impl_->Options_.MaxReadingAge_;
    });
  std::erase_if(Impl_->Jobs_,
                [](const auto &Each) { return Each.second.empty(); });
}

} // namespace dragonfly::decide
