/// Speeds beside runs that serve, each with its pattern of load.
#include "dragonfly/decide/SpeedControl.h"

#include <catch2/catch.hpp>

#include <string>

namespace dragonfly::decide {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr TimePoint Start{seconds(100)};

/// One worker with a job that serves beside two images, "noisy" and "calm".
struct Worker {
  Worker() {
    Speeds_.setLoss("watch", "noisy", 14);
    Speeds_.setLoss("watch", "calm", 0.2);
  }

  /// Runs that use their full share, whatever their speed.
  void read(double Ratio) {
    Speeds_.addRun("noisy", 0.1, 0.1);
    Speeds_.addRun("calm", 0.1, 0.1);
    update(Ratio);
  }

  /// Runs that obey their speed, beside a job with \p Quiet headroom.
  void play(double Quiet) {
    const double Noisy = 0.1 * Speeds_.speedPercent("noisy") / 100;
    const double Calm = 0.1 * Speeds_.speedPercent("calm") / 100;
    Speeds_.addRun("noisy", Noisy, 0.1);
    Speeds_.addRun("calm", Calm, 0.1);
    Headroom_ = Quiet - 14 * Noisy - 0.2 * Calm;
    update(1 / Headroom_);
  }

  void update(double Ratio) {
    Speeds_.addServingRun("watch", Ratio);
    Speeds_.update(Now_);
    Now_ += milliseconds(400);
  }

  SpeedControl Speeds_;
  TimePoint Now_ = Start;
  double Headroom_ = 0;
};

} // namespace

TEST_CASE("a missed target slows down who disturbs, and only then the others",
          "[decide][jobs]") {
  Worker Vm;
  Vm.read(0.6);
  CHECK(Vm.Speeds_.speedPercent("noisy") == 100);
  Vm.read(1.1);
  CHECK(Vm.Speeds_.speedPercent("noisy") == 50);
  CHECK(Vm.Speeds_.speedPercent("calm") == 100);
  for (int I = 0; I < 4; ++I)
    Vm.read(1.1);
  CHECK(Vm.Speeds_.speedPercent("noisy") == 0);
  CHECK(Vm.Speeds_.speedPercent("calm") < 100);
  for (int I = 0; I < 12; ++I)
    Vm.read(0.4);
  CHECK(Vm.Speeds_.speedPercent("noisy") == 100);
}

TEST_CASE("without anything that serves, runs have full speed",
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

// Pattern: the load of a watch rises while batch work runs beside it.
TEST_CASE("speeds settle where the target holds, and stay there",
          "[decide][jobs]") {
  Worker Vm;
  Vm.play(1.9);
  CHECK(Vm.Headroom_ < 1);
  Vm.play(1.9);
  CHECK(Vm.Headroom_ > 1);
  const std::uint32_t Settled = Vm.Speeds_.speedPercent("noisy");
  CHECK(Settled > 25);
  for (int I = 0; I < 10; ++I) {
    Vm.play(1.9);
    CHECK(Vm.Headroom_ > 1);
  }
  CHECK(Vm.Speeds_.speedPercent("noisy") == Settled);
  CHECK(Vm.Speeds_.speedPercent("calm") == 100);
  for (int I = 0; I < 4; ++I)
    Vm.play(4);
  CHECK(Vm.Speeds_.speedPercent("noisy") == 100);
}

} // namespace dragonfly::decide
