/// What is known of the images that jobs run: how much runs on spare processors
/// take from runs that serve beside them. Replicated, so that the next leader
/// need not learn it again at the cost of missed targets.
#ifndef DRAGONFLY_JOBS_IMAGELOSSES_H
#define DRAGONFLY_JOBS_IMAGELOSSES_H

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <iterator>
#include <map>
#include <ranges>
#include <string>
#include <utility>
#include <vector>

namespace dragonfly::jobs {

struct ImageLoss {
  std::string Serving_;
  std::string Image_;
  /// Headroom that `Image_` takes from `Serving_`, per whole worker's
  /// processors, in thousandths.
  std::uint32_t PermillePerWorker_ = 0;
  /// How many readings that rests on.
  std::uint32_t Readings_ = 0;

  bool operator==(const ImageLoss &) const = default;

  template <typename Archive> void serialize(Archive &Ar) {
    Ar(Serving_, Image_, PermillePerWorker_, Readings_);
  }
};

class ImageLosses {
public:
  /// Pairs that are kept; more are not taken.
  static constexpr std::size_t MaxPairs = 4096;

  /// Replaces what is known of the pair; returns false where there is no room.
  bool note(const ImageLoss &Row) {
    const std::pair Name(Row.Serving_, Row.Image_);
    if (Rows_.size() >= MaxPairs && !Rows_.contains(Name))
      return false;
    Rows_[Name] = Row;
    return true;
  }

  std::vector<ImageLoss> rows() const {
    std::vector<ImageLoss> All;
    All.reserve(Rows_.size());
    std::ranges::copy(std::views::values(Rows_), std::back_inserter(All));
    return All;
  }

  template <typename Archive> void serialize(Archive &Ar) { Ar(Rows_); }

private:
  std::map<std::pair<std::string, std::string>, ImageLoss> Rows_;
};

} // namespace dragonfly::jobs

#endif // DRAGONFLY_JOBS_IMAGELOSSES_H
