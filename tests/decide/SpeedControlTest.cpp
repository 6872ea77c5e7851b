/// Tests of throttling batch runs beside latency-critical runs.
#include "dragonfly/decide/SpeedControl.h"

#include <catch2/catch.hpp>

#include <string>

namespace dragonfly::decide {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{seconds(100)};

/// A worker with a latency-critical job beside two batch images, "noisy" and
/// "calm".
struct Worker {
  Worker() {
    Speeds_.setLoss("watch", "noisy", 14);
    Speeds_.setLoss("watch", "calm", 0.2);
  }

  /// Updates with batch runs that use their full share at any speed.
  void updateWithFullLoad(double LatencyRatio) {
    Speeds_.addRun("noisy", 0.1, 0.1);
    Speeds_.addRun("calm", 0.1, 0.1);
    update(LatencyRatio);
  }

  /// Updates with batch runs that follow their speed, beside a job that has
  /// \p BaselineHeadroom without them.
  void updateWithThrottledLoad(double BaselineHeadroom) {
    const double Noisy = 0.1 * Speeds_.speedPercent("noisy") / 100;
    const double Calm = 0.1 * Speeds_.speedPercent("calm") / 100;
    Speeds_.addRun("noisy", Noisy, 0.1);
    Speeds_.addRun("calm", Calm, 0.1);
    Headroom_ = BaselineHeadroom - 14 * Noisy - 0.2 * Calm;
    update(1 / Headroom_);
  }

  void update(double LatencyRatio) {
    Speeds_.addServingRun("watch", LatencyRatio);
    Speeds_.update(Now_);
    Now_ += milliseconds(400);
  }

  SpeedControl Speeds_;
  TimePoint Now_ = Start;
  double Headroom_ = 0;
};

} // namespace

TEST_CASE("a missed target throttles the image that interferes, and the others "
          "only if that does not help",
          "[decide][jobs]") {
  Worker Vm;
  Vm.updateWithFullLoad(0.6);
  CHECK(Vm.Speeds_.speedPercent("noisy") == 100);
  Vm.updateWithFullLoad(1.1);
  CHECK(Vm.Speeds_.speedPercent("noisy") == 50);
  CHECK(Vm.Speeds_.speedPercent("calm") == 100);
  for (int I = 0; I < 4; ++I)
    Vm.updateWithFullLoad(1.1);
  CHECK(Vm.Speeds_.speedPercent("noisy") == 0);
  CHECK(Vm.Speeds_.speedPercent("calm") < 100);
  for (int I = 0; I < 12; ++I)
    Vm.updateWithFullLoad(0.4);
  CHECK(Vm.Speeds_.speedPercent("noisy") == 100);
}

TEST_CASE("runs return to full speed once no latency-critical run is left",
          "[decide][jobs]") {
  SpeedControl Speeds;
  Speeds.addRun("noisy", 0.1, 0.1);
  Speeds.addServingRun("watch", 2.0);
  Speeds.update(Start);
  CHECK(Speeds.speedPercent("noisy") == 50);
  for (int I = 1; I < 4; ++I) {
    Speeds.addRun("noisy", 0.1, 0.1);
    Speeds.update(Start + seconds(I));
  }
  CHECK(Speeds.speedPercent("noisy") == 100);
}

// The load of a latency-critical job rises while batch runs interfere with it.
// The speeds must not oscillate around the target.
TEST_CASE("speeds settle where the target is met, and do not change further",
          "[decide][jobs]") {
  Worker Vm;
  Vm.updateWithThrottledLoad(1.9);
  CHECK(Vm.Headroom_ < 1);
  Vm.updateWithThrottledLoad(1.9);
  CHECK(Vm.Headroom_ > 1);
  const std::uint32_t Settled = Vm.Speeds_.speedPercent("noisy");
  CHECK(Settled > 25);
  for (int I = 0; I < 10; ++I) {
    Vm.updateWithThrottledLoad(1.9);
    CHECK(Vm.Headroom_ > 1);
  }
  CHECK(Vm.Speeds_.speedPercent("noisy") == Settled);
  CHECK(Vm.Speeds_.speedPercent("calm") == 100);
  for (int I = 0; I < 4; ++I)
    Vm.updateWithThrottledLoad(4);
  CHECK(Vm.Speeds_.speedPercent("noisy") == 100);
}

} // namespace dragonfly::decide
