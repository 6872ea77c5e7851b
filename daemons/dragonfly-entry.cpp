#include "dragonfly/base/Signals.h"
#include "dragonfly/entry/Entry.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/settings/Program.h"

using namespace dragonfly;

/// Serves callers until SIGTERM or SIGINT, then stops gracefully.
int main(int Argc, char **Argv) {
  holdSignals();
  return settings::runEntryProgram(
      Argc, Argv, [](const settings::EntrySettings &Settings) {
        net::EventLoop Loop;
        if (const auto Bytes = settings::requestMemoryBytes(Settings.Process_))
          Loop.memory().setLimit(*Bytes);
        Loop.connectionLimits().setDescriptorLimit(
            Settings.Process_.DescriptorLimit_);
        entry::Entry Server(Loop, Settings);
        auto Code = settings::ExitCode::Ok;
        Loop.onTerminate([&] {
          Server.stop([&](entry::StopResult Result) {
            if (Result == entry::StopResult::BoundReached)
              Code = settings::ExitCode::StopBoundReached;
            Loop.stop();
          });
        });
        Loop.run();
        return Code;
      });
}
