#include "dragonfly/decide/TailInterference.h"

#include "decide/Interference.h"

#include <algorithm>
#include <map>
#include <vector>

namespace dragonfly::decide {

struct TailInterference::Impl {
  explicit Impl(TailInterferenceOptions Options)
      : Options_(Options), Pairs_(Options.Caution_) {}

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

  TailInterferenceOptions Options_;
  Interference Pairs_;
  std::map<std::string, KindIndex, std::less<>> Indexes_;
  std::map<std::string, double, std::less<>> Quiet_;
};

TailInterference::TailInterference(TailInterferenceOptions Options)
    : Impl_(std::make_unique<Impl>(Options)) {}

TailInterference::~TailInterference() = default;

void TailInterference::observe(std::string_view Image, double Ratio,
                               std::span<const ImageLoad> Loads) {
  const TailInterferenceOptions &Options = Impl_->Options_;
  const double Bounded = std::min(Ratio, Options.MostRatio_);
  std::vector<KindLoad> Known;
  for (const ImageLoad &Load : Loads)
    if (Load.Share_ >= Options.LeastShare_)
      Known.push_back(
          {.Kind_ = Impl_->indexOf(Load.Image_), .Load_ = Load.Share_});
  if (Known.empty()) {
    // Beside nobody, a missed target has another cause.
    double &Quiet =
        Impl_->Quiet_.try_emplace(std::string(Image), Options.QuietRatio_)
            .first->second;
    Quiet += Options.QuietWeight_ * (std::min(Bounded, 1.0) - Quiet);
    return;
  }
  Impl_->Pairs_.observe(Impl_->indexOf(Image), Known,
                        std::max(0.0, Bounded - quietRatio(Image)));
}

double TailInterference::rise(std::string_view Image,
                              const ImageLoad &Load) const {
  return Load.Share_ *
         Impl_->Pairs_.estimate(Impl_->find(Image), Impl_->find(Load.Image_));
}

double TailInterference::expectedRise(std::string_view Image,
                                      std::span<const ImageLoad> Loads) const {
  std::vector<KindLoad> Known;
  std::ranges::transform(Loads, std::back_inserter(Known),
                         [this](const ImageLoad &Load) {
                           return KindLoad{.Kind_ = Impl_->find(Load.Image_),
                                           .Load_ = Load.Share_};
                         });
  return Impl_->Pairs_.expected(Impl_->find(Image), Known);
}

double TailInterference::quietRatio(std::string_view Image) const {
  const auto It = Impl_->Quiet_.find(Image);
  return It == Impl_->Quiet_.end() ? Impl_->Options_.QuietRatio_ : It->second;
}

} // namespace dragonfly::decide
