#include "dragonfly/base/Random.h"
#include "dragonfly/net/EventLoop.h"
#include "dragonfly/net/NetError.h"
#include "dragonfly/settings/CommandLine.h"
#include "dragonfly/settings/ReadSettings.h"
#include "support/LoadGenerator.h"

#include <absl/flags/flag.h>

#include <fstream>
#include <iostream>
#include <iterator>
#include <string>
#include <vector>

ABSL_FLAG(std::vector<std::string>, entries,
          std::vector<std::string>({"127.0.1.1:8080"}),
          "entries, address:port, asked in turn");
ABSL_FLAG(std::string, load, "",
          "file of load, as JSON; replaces the row below");
ABSL_FLAG(std::string, customer, "customer", "customer of the one row");
ABSL_FLAG(std::string, kind, "belt-check", "kind of the one row");
ABSL_FLAG(double, rate, 100, "requests per second of the one row");
ABSL_FLAG(double, seconds, 10, "length of the load");
ABSL_FLAG(std::uint64_t, max_requests, 10'000'000, "requests at most");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of the intervals");
ABSL_FLAG(std::string, run, "", "start of the request ids; random if empty");
ABSL_FLAG(bool, direct, false, "send to upstreams, with nothing between");
ABSL_FLAG(bool, json, false, "print JSON in place of the table");
ABSL_FLAG(std::string, report, "", "file to write the JSON to as well");

namespace {

using namespace dragonfly;

enum class LoadExit : std::uint8_t { Ok = 0, Lost = 1, BadUsage = 2 };

load::LoadPlan makePlan() {
  load::LoadPlan Plan;
  for (const std::string &Text : absl::GetFlag(FLAGS_entries))
    Plan.Targets_.push_back(net::Endpoint::make(Text));
  if (absl::GetFlag(FLAGS_direct))
    Plan.Target_ = load::LoadTarget::Upstream;
  Plan.Length_ = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(absl::GetFlag(FLAGS_seconds)));
  Plan.MaxRequests_ = absl::GetFlag(FLAGS_max_requests);
  Plan.Seed_ = absl::GetFlag(FLAGS_seed);
  const std::string Run = absl::GetFlag(FLAGS_run);
  Plan.RunName_ = Run.empty() ? std::to_string(freshRandom()) : Run;
  const std::string File = absl::GetFlag(FLAGS_load);
  if (File.empty()) {
    Plan.Rows_ = {{.Customer_ = absl::GetFlag(FLAGS_customer),
                   .Kind_ = absl::GetFlag(FLAGS_kind),
                   .RatePerSecond_ = absl::GetFlag(FLAGS_rate)}};
    return Plan;
  }
  std::ifstream In(File);
  if (!In)
    throw settings::SettingsError({{"--load", "a readable file", File}});
  const std::string Text(std::istreambuf_iterator<char>(In), {});
  load::readLoad(Text, Plan);
  return Plan;
}

LoadExit run() {
  net::EventLoop Loop;
  std::vector<load::LoadResult> Results;
  load::LoadGenerator Load(Loop, makePlan(),
                           [&](std::vector<load::LoadResult> Rows) {
                             Results = std::move(Rows);
                             Loop.stop();
                           });
  Loop.onTerminate([&Load] { Load.stop(); });
  Loop.run();
  const std::string Json = load::printLoadJson(Results);
  std::cout << (absl::GetFlag(FLAGS_json) ? Json + "\n"
                                          : load::printLoadTable(Results));
  if (const std::string File = absl::GetFlag(FLAGS_report); !File.empty())
    std::ofstream(File) << Json << "\n";
  return load::nothingLost(Results) ? LoadExit::Ok : LoadExit::Lost;
}

} // namespace

/// Sends load and prints what became of it; exits with 1 where an answer was
/// lost or belonged to another request.
int main(int Argc, char **Argv) {
  settings::parseCommandLine(Argc, Argv, "sends load to entries");
  try {
    return static_cast<int>(run());
  } catch (const settings::SettingsError &Failure) {
    for (const settings::JsonFault &Fault : Failure.faults())
      std::cerr << Fault.Path_ << ": expected " << Fault.Expected_ << ", found "
                << Fault.Found_ << "\n";
  } catch (const Error &Failure) {
    std::cerr << Failure.what() << "\n";
  }
  return static_cast<int>(LoadExit::BadUsage);
}
