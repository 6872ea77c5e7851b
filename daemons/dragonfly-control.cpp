#include "dragonfly/base/Signals.h"
#include "dragonfly/control/Control.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/settings/Program.h"

using namespace dragonfly;

/// Serves as one replica until SIGTERM or SIGINT, then stops gracefully.
int main(int Argc, char **Argv) {
  holdSignals();
  return settings::runControlProgram(
      Argc, Argv, [](const settings::ControlSettings &Settings) {
        net::EventLoop Loop;
        if (const auto Bytes = settings::requestMemoryBytes(Settings.Process_))
          Loop.memory().setLimit(*Bytes);
        Loop.connectionLimits().setDescriptorLimit(
            Settings.Process_.DescriptorLimit_);
        control::Control Replica(Loop, Settings);
        auto Code = settings::ExitCode::Ok;
        Loop.onTerminate([&] {
          Replica.stop([&](bool Clean) {
            if (!Clean)
              Code = settings::ExitCode::StopBoundReached;
            Loop.stop();
          });
        });
        Loop.run();
        return Code;
      });
}
