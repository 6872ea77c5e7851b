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

/// Latency ratios are clamped to this range; values outside of it carry no
/// further information about the headroom.
constexpr double MinLatencyRatio = 0.1;
constexpr double MaxLatencyRatio = 10;

double headroomOf(double LatencyRatio) {
  return 1 / std::clamp(LatencyRatio, MinLatencyRatio, MaxLatencyRatio);
}

double medianOf(std::vector<double> Values) {
  const auto Middle =
      Values.begin() + static_cast<std::ptrdiff_t>(Values.size() / 2);
  std::ranges::nth_element(Values, Middle);
  return *Middle;
}

} // namespace

struct TailInterference::Impl {
  /// A job's headroom on one worker, corrected by the expected loss there.
  struct BaselineReading {
    double Headroom_ = 0;
    TimePoint ReadAt_;
  };
  /// By worker.
  using BaselineReadings = std::map<std::string, BaselineReading, std::less<>>;

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

  /// Returns the index of \p Image. All images without an index share one that
  /// has no readings.
  KindIndex find(std::string_view Image) const {
    constexpr KindIndex Unknown = 1U << 20U;
    const auto It = Indexes_.find(Image);
    return It == Indexes_.end() ? Unknown : It->second;
  }

  std::vector<KindLoad> toKinds(std::span<const ImageLoad> Loads) const {
    std::vector<KindLoad> Result;
    for (const ImageLoad &Load : Loads)
      if (Load.ProcessorShare_ >= Options_.MinShare_)
        Result.push_back(
            {.Kind_ = find(Load.Image_), .Load_ = Load.ProcessorShare_});
    return Result;
  }

  /// Returns the median baseline headroom of \p Job over its recent readings on
  /// workers other than \p ExcludedWorker, or nothing where there are none.
  std::optional<double> medianBaseline(TimePoint Now, std::string_view Job,
                                       std::string_view ExcludedWorker) const {
    const auto Row = Jobs_.find(Job);
    if (Row == Jobs_.end())
      return std::nullopt;
    std::vector<double> Values;
    for (const auto &[Worker, Reading] : Row->second)
      if (Worker != ExcludedWorker &&
          Now - Reading.ReadAt_ <= Options_.MaxReadingAge_)
        Values.push_back(Reading.Headroom_);
    if (Values.empty())
      return std::nullopt;
    return medianOf(std::move(Values));
  }

  double imageBaseline(std::string_view Image) const {
    const auto It = ImageBaselines_.find(Image);
    return It == ImageBaselines_.end() ? Options_.DefaultHeadroom_ : It->second;
  }

  TailInterferenceOptions Options_;
  /// Estimates of the pairs, fitted to headroom losses instead of slowdowns.
  Interference Pairs_;
  std::map<std::string, KindIndex, std::less<>> Indexes_;
  std::map<std::string, BaselineReadings, std::less<>> Jobs_;
  using PairName = std::pair<std::string, std::string>;
  /// Pairs with readings since `consumeChangedLosses` was last called.
  std::set<PairName> Observed_;
  /// The last estimate of each pair that was reported or restored.
  std::map<PairName, Interference::PairEstimate> Reported_;
  /// Moving average of the headroom in readings without batch load, by image.
  std::map<std::string, double, std::less<>> ImageBaselines_;
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
  const std::vector<KindLoad> KindLoads = Impl_->toKinds(Loads);
  const std::optional<double> BaselineElsewhere =
      Impl_->medianBaseline(Now, Reading.Job_, Reading.Worker_);
  if (KindLoads.empty()) {
    double &ImageBaseline =
        Impl_->ImageBaselines_
            .try_emplace(std::string(Reading.Image_), Options.DefaultHeadroom_)
            .first->second;
    ImageBaseline += Options.BaselineWeight_ * (Headroom - ImageBaseline);
  } else {
    const double Baseline =
        BaselineElsewhere.value_or(Impl_->imageBaseline(Reading.Image_));
    Impl_->Pairs_.observe(Image, KindLoads, Baseline - Headroom,
                          Options.ReadingNoise_ * Baseline);
    for (const ImageLoad &Load : Loads)
      if (Load.ProcessorShare_ >= Options.MinShare_)
        Impl_->Observed_.emplace(Reading.Image_, Load.Image_);
  }
  Impl_->Jobs_[std::string(Reading.Job_)][std::string(Reading.Worker_)] = {
      .Headroom_ = Headroom + Impl_->Pairs_.expectedSlowdown(Image, KindLoads),
      .ReadAt_ = Now};
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
  return Impl_->medianBaseline(Now, Job, {})
      .value_or(Impl_->imageBaseline(Image));
}

std::vector<HeadroomLoss> TailInterference::consumeChangedLosses() {
  std::vector<HeadroomLoss> Changed;
  for (const auto &Name : std::exchange(Impl_->Observed_, {})) {
    const auto &[Serving, Image] = Name;
    const Interference::PairEstimate Current =
        Impl_->Pairs_.estimateOf(Impl_->find(Serving), Impl_->find(Image));
    Interference::PairEstimate &Reported = Impl_->Reported_[Name];
    if (std::abs(Current.Mean_ - Reported.Mean_) <
            Impl_->Options_.ReportThreshold_ &&
        Current.ReadingWeight_ < 1 + 2 * Reported.ReadingWeight_)
      continue;
    Reported = Current;
    Changed.push_back({.ServingImage_ = Serving,
                       .BatchImage_ = Image,
                       .LossPerWorker_ = Current.Mean_,
                       .ReadingCount_ = Current.ReadingWeight_});
  }
  return Changed;
}

void TailInterference::restore(const HeadroomLoss &Row) {
  const Interference::PairEstimate Estimate{
      .Mean_ = Row.LossPerWorker_, .ReadingWeight_ = Row.ReadingCount_};
  Impl_->Pairs_.restore(Impl_->indexOf(Row.ServingImage_),
                        Impl_->indexOf(Row.BatchImage_), Estimate);
  Impl_->Reported_[{Row.ServingImage_, Row.BatchImage_}] = Estimate;
}

void TailInterference::removeExpiredReadings(TimePoint Now) {
  for (auto &[Job, Workers] : Impl_->Jobs_)
    std::erase_if(Workers, [this, Now](const auto &Row) {
      return Now - Row.second.ReadAt_ > Impl_->Options_.MaxReadingAge_;
    });
  std::erase_if(Impl_->Jobs_,
                [](const auto &Row) { return Row.second.empty(); });
}

} // namespace dragonfly::decide
