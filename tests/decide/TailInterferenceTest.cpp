/// Tests of learning the interference between images from tail latencies.
#include "dragonfly/decide/TailInterference.h"

#include <catch2/catch.hpp>

#include <cmath>
#include <numbers>
#include <string>
#include <vector>

namespace dragonfly::decide {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{seconds(100)};

/// A job whose utilization varies around one half with a period of 20 s. Batch
/// tasks add to the utilization of the worker.
struct VaryingLoad {
  TimePoint Now_ = Start;

  double utilization() const {
    const double Phase = toMilliseconds(Now_ - Start) / 20000;
    return 0.48 * (1 + 0.5 * std::sin(2 * std::numbers::pi * Phase));
  }

  /// Returns the tail latency divided by its target, beside batch tasks that
  /// add \p BatchUtilization.
  double latencyRatio(double BatchUtilization = 0) const {
    return 0.175 / std::max(0.02, 1 - utilization() - BatchUtilization);
  }
};

/// Returns the headroom that "watch" is expected to lose to a tenth of a
/// worker's processors used by \p Image.
double expectedLossTo(const TailInterference &Tails, std::string_view Image) {
  const std::vector<ImageLoad> Load{{.Image_ = Image, .ProcessorShare_ = 0.1}};
  return Tails.expectedLoss("watch", Load);
}

} // namespace

// A job's load varies on all of its workers at once while only one of the two
// batch images beside it interferes. The variation must not be attributed to
// the batch images.
TEST_CASE("a load change on all workers is not attributed to batch images",
          "[decide][jobs]") {
  TailInterference Tails;
  VaryingLoad Load;
  const std::vector<ImageLoad> Calm{{.Image_ = "calm", .ProcessorShare_ = 0.1}};
  const std::vector<ImageLoad> Mixed{
      {.Image_ = "calm", .ProcessorShare_ = 0.1},
      {.Image_ = "noisy", .ProcessorShare_ = 0.1}};
  const auto Read = [&](std::string_view Worker, double Ratio,
                        std::span<const ImageLoad> Loads) {
    Tails.observe(Load.Now_,
                  {.Worker_ = Worker,
                   .Job_ = "j1",
                   .Image_ = "watch",
                   .LatencyRatio_ = Ratio},
                  Loads);
  };
  for (int I = 0; I < 100; ++I, Load.Now_ += milliseconds(400)) {
    Read("w1", Load.latencyRatio(), {});
    Read("w2", Load.latencyRatio(), {});
    Read("w3", Load.latencyRatio(), Calm);
    Read("w4", Load.latencyRatio(0.2), Mixed);
  }
  CHECK(expectedLossTo(Tails, "noisy") == Approx(0.2 / 0.175).margin(0.35));
  CHECK(expectedLossTo(Tails, "calm") < 0.1);
  CHECK(Tails.conservativeLoss(
            "watch", {.Image_ = "calm", .ProcessorShare_ = 0.1}) < 0.25);
  CHECK(Tails.baselineHeadroom(Load.Now_, "j1", "watch") ==
        Approx(1 / Load.latencyRatio()).margin(0.3));
}

// Each worker of a job has a different batch image beside it, so no reading is
// taken without batch load. The baseline must be estimated from those readings.
TEST_CASE("the baseline headroom is estimated from workers with batch load",
          "[decide][jobs]") {
  TailInterference Tails;
  VaryingLoad Load;
  const std::vector<std::string> Images{"a", "b", "noisy", "c", "d"};
  for (int I = 0; I < 100; ++I, Load.Now_ += milliseconds(400))
    for (const std::string &Image : Images) {
      const std::vector<ImageLoad> Beside{
          {.Image_ = Image, .ProcessorShare_ = 0.08}};
      Tails.observe(
          Load.Now_,
          {.Worker_ = Image,
           .Job_ = "j1",
           .Image_ = "watch",
           .LatencyRatio_ = Load.latencyRatio(Image == "noisy" ? 0.16 : 0.0)},
          Beside);
    }
  CHECK(expectedLossTo(Tails, "noisy") > 0.7);
  CHECK(expectedLossTo(Tails, "c") < 0.2);
  CHECK(Tails.baselineHeadroom(Load.Now_, "j1", "watch") ==
        Approx(1 / Load.latencyRatio()).margin(0.4));
}

TEST_CASE("a job on one worker is compared with its image's baseline headroom",
          "[decide][jobs]") {
  TailInterference Tails;
  TimePoint Now = Start;
  const std::vector<ImageLoad> Mixed{
      {.Image_ = "calm", .ProcessorShare_ = 0.1},
      {.Image_ = "noisy", .ProcessorShare_ = 0.1}};
  const std::vector<ImageLoad> Calm{{.Image_ = "calm", .ProcessorShare_ = 0.1}};
  const auto Read = [&](double Ratio, std::span<const ImageLoad> Loads) {
    Tails.observe(Now,
                  {.Worker_ = "w1",
                   .Job_ = "j1",
                   .Image_ = "watch",
                   .LatencyRatio_ = Ratio},
                  Loads);
    Now += milliseconds(400);
  };
  for (int I = 0; I < 60; ++I) {
    Read(0.4, {});
    Read(0.4, Calm);
    Read(1.2, Mixed);
  }
  CHECK(expectedLossTo(Tails, "noisy") > 0.8);
  CHECK(expectedLossTo(Tails, "calm") < 0.3);
  Tails.removeExpiredReadings(Now + seconds(10));
  CHECK(Tails.baselineHeadroom(Now + seconds(10), "j1", "watch") ==
        Approx(2.5).margin(0.3));
}

TEST_CASE("the conservative loss of a pair without readings is positive",
          "[decide][jobs]") {
  const TailInterference Tails;
  const double Loss = Tails.conservativeLoss(
      "watch", {.Image_ = "new", .ProcessorShare_ = 0.1});
  CHECK(Loss > 0.3);
  CHECK(Loss < 1.5);
}

} // namespace dragonfly::decide
