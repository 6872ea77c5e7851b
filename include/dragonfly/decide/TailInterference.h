/// Learns how much runs on spare processors raise the tail latency of runs that
/// serve on the same worker, for each pair of images.
#ifndef DRAGONFLY_DECIDE_TAILINTERFERENCE_H
#define DRAGONFLY_DECIDE_TAILINTERFERENCE_H

#include <memory>
#include <span>
#include <string>
#include <string_view>

namespace dragonfly::decide {

/// What runs of one image on spare processors use on a worker.
struct ImageLoad {
  std::string_view Image_;
  /// Share of the worker's processors.
  double Share_ = 0;
};

struct TailInterferenceOptions {
  /// How many standard deviations a pair's effect is raised by while little is
  /// known of it.
  double Caution_ = 4;
  /// Tail latency as a share of its target, of an image that was never seen
  /// undisturbed.
  double QuietRatio_ = 0.4;
  /// Weight of the newest reading in the quiet ratio.
  double QuietWeight_ = 0.05;
  /// Loads below this share disturb nobody.
  double LeastShare_ = 0.005;
  /// Readings above this count as this: single ones are far off.
  double MostRatio_ = 2.5;
};

/// All ratios are tail latency over its target.
class TailInterference {
public:
  explicit TailInterference(TailInterferenceOptions Options = {});
  ~TailInterference();

  /// Takes the ratio that runs of \p Image had beside \p Loads.
  void observe(std::string_view Image, double Ratio,
               std::span<const ImageLoad> Loads);

  /// How much \p Load raises the ratio of \p Image, cautiously.
  double rise(std::string_view Image, const ImageLoad &Load) const;
  /// How much \p Loads are expected to raise it.
  double expectedRise(std::string_view Image,
                      std::span<const ImageLoad> Loads) const;
  double quietRatio(std::string_view Image) const;

private:
  struct Impl;
  std::unique_ptr<Impl> Impl_;
};

} // namespace dragonfly::decide

#endif // DRAGONFLY_DECIDE_TAILINTERFERENCE_H
