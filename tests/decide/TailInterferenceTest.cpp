/// What the users' days do to runs that serve, each with its pattern.
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

/// Jobs whose load swings around the half of what they can take, every 20 s.
/// Neighbours add to the utilization of the worker.
struct SwingingLoad {
  TimePoint Now_ = Start;

  double utilization() const {
    const double Phase = toMilliseconds(Now_ - Start) / 20000;
    return 0.48 * (1 + 0.5 * std::sin(2 * std::numbers::pi * Phase));
  }

  /// Tail latency over target, beside neighbours that add \p Added.
  double ratio(double Added = 0) const {
    return 0.175 / std::max(0.02, 1 - utilization() - Added);
  }
};

double lossAlone(const TailInterference &Tails, std::string_view Image) {
  const std::vector<ImageLoad> Load{{.Image_ = Image, .ProcessorShare_ = 0.1}};
  return Tails.expectedLoss("watch", Load);
}

} // namespace

// Pattern: the load of a job swings on all its workers at once, one batch image
// of two adds to it.
TEST_CASE("a swing of the load is not blamed on neighbours", "[decide][jobs]") {
  TailInterference Tails;
  SwingingLoad Load;
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
    Read("w1", Load.ratio(), {});
    Read("w2", Load.ratio(), {});
    Read("w3", Load.ratio(), Calm);
    Read("w4", Load.ratio(0.2), Mixed);
  }
  CHECK(lossAlone(Tails, "noisy") == Approx(0.2 / 0.175).margin(0.35));
  CHECK(lossAlone(Tails, "calm") < 0.1);
  CHECK(Tails.conservativeLoss(
            "watch", {.Image_ = "calm", .ProcessorShare_ = 0.1}) < 0.25);
  CHECK(Tails.baselineHeadroom(Load.Now_, "j1", "watch") ==
        Approx(1 / Load.ratio()).margin(0.3));
}

// Pattern: all workers of a job have neighbours, on each another one.
TEST_CASE("a job's headroom is told from disturbed workers too",
          "[decide][jobs]") {
  TailInterference Tails;
  SwingingLoad Load;
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
           .LatencyRatio_ = Load.ratio(Image == "noisy" ? 0.16 : 0.0)},
          Beside);
    }
  CHECK(lossAlone(Tails, "noisy") > 0.7);
  CHECK(lossAlone(Tails, "c") < 0.2);
  CHECK(Tails.baselineHeadroom(Load.Now_, "j1", "watch") ==
        Approx(1 / Load.ratio()).margin(0.4));
}

TEST_CASE("a job on one worker is compared with its image's quiet headroom",
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
  CHECK(lossAlone(Tails, "noisy") > 0.8);
  CHECK(lossAlone(Tails, "calm") < 0.3);
  Tails.removeExpiredReadings(Now + seconds(10));
  CHECK(Tails.baselineHeadroom(Now + seconds(10), "j1", "watch") ==
        Approx(2.5).margin(0.3));
}

TEST_CASE("an unknown pair is expected to disturb", "[decide][jobs]") {
  const TailInterference Tails;
  const double Loss = Tails.conservativeLoss(
      "watch", {.Image_ = "new", .ProcessorShare_ = 0.1});
  CHECK(Loss > 0.3);
  CHECK(Loss < 1.5);
}

} // namespace dragonfly::decide
