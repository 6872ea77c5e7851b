#include "dragonfly/agent/Agent.h"
#include "dragonfly/base/Signals.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/settings/Program.h"

namespace {

using namespace dragonfly;

settings::ExitCode run(const settings::AgentSettings &Settings) {
  net::EventLoop Loop;
  if (const auto Bytes = settings::requestMemoryBytes(Settings.Process_))
    Loop.memory().setLimit(*Bytes);
  Loop.connectionLimits().setDescriptorLimit(
      Settings.Process_.DescriptorLimit_);
  agent::Agent Agent(Loop, Settings);
  settings::ExitCode Code = settings::ExitCode::Ok;
  Loop.onTerminate([&] {
    Agent.stop([&](bool Clean) {
      if (!Clean)
        Code = settings::ExitCode::StopBoundReached;
      Loop.stop();
    });
  });
  Loop.run();
  return Code;
}

} // namespace

int main(int Argc, char **Argv) {
  holdSignals();
  return settings::runAgentProgram(Argc, Argv, run);
}
