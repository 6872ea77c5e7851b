#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/NetError.h"
#include "dragonfly/settings/CommandLine.h"
#include "support/StandIn.h"

#include <absl/flags/flag.h>

#include <iostream>
#include <string>
#include <vector>

ABSL_FLAG(std::string, listen, "127.0.0.1:9000", "address:port to serve on");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the service times");
ABSL_FLAG(std::uint32_t, service_ms, 5, "mean service time in milliseconds");
ABSL_FLAG(std::uint32_t, spread_permille, 200,
          "spread of the service time, in thousandths of the mean");
ABSL_FLAG(std::vector<std::string>, watch_kinds,
          std::vector<std::string>({"line-watch", "truing-watch"}),
          "kinds that are answered in parts");
ABSL_FLAG(std::uint32_t, watch_parts, 4, "parts of a watch's answer");
ABSL_FLAG(std::uint32_t, task_ms, 2000, "run time of a task in milliseconds");

/// Runs one stand-in upstream until SIGTERM; exits with 0 after a drain.
int main(int Argc, char **Argv) {
  using namespace dragonfly;
  settings::parseCommandLine(Argc, Argv, "stands in for an upstream");
  try {
    net::EventLoop Loop;
    standin::StandIn Upstream(
        Loop,
        {.Listen_ = net::Endpoint::make(absl::GetFlag(FLAGS_listen)),
         .Seed_ = absl::GetFlag(FLAGS_seed),
         .Behaviour_ = {.ServiceTime_ = std::chrono::milliseconds(
                            absl::GetFlag(FLAGS_service_ms)),
                        .SpreadPermille_ =
                            absl::GetFlag(FLAGS_spread_permille)},
         .WatchKinds_ = absl::GetFlag(FLAGS_watch_kinds),
         .WatchParts_ = absl::GetFlag(FLAGS_watch_parts),
         .TaskTime_ = std::chrono::milliseconds(absl::GetFlag(FLAGS_task_ms))});
    Loop.onTerminate(
        [&Upstream, &Loop] { Upstream.drain([&Loop] { Loop.stop(); }); });
    Loop.run();
    return 0;
  } catch (const Error &Failure) {
    std::cerr << Failure.type() << ": " << Failure.what() << "\n";
    return 1;
  }
}
