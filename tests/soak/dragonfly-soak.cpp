/// Runs the real programs under load while processes and connections fail, and
/// checks what callers and workers see.

#include "dragonfly/settings/CommandLine.h"
#include "soak/Soak.h"

#include <absl/flags/flag.h>

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <iostream>
#include <string>

ABSL_FLAG(std::string, program, "build/dragonfly-platform", "what is run");
ABSL_FLAG(std::string, full_disk_library, "build/libfull_disk.so",
          "makes disks full; none are where it is empty");
ABSL_FLAG(std::string, silent_connections_library, "",
          "makes connections silent; none are where it is empty");
ABSL_FLAG(bool, only_silence, false, "no other faults than silent connections");
ABSL_FLAG(bool, only_stops, false, "no other faults than signals and restarts");
ABSL_FLAG(std::string, folder, "", "for logs and disks; a temporary one");
ABSL_FLAG(std::string, network, "127.77", "start of the loopback addresses");
ABSL_FLAG(std::uint64_t, seed, 1, "seed of load and faults");
ABSL_FLAG(double, seconds, 15, "length of the load with faults");
ABSL_FLAG(double, settle, 30, "time for what was accepted to complete");
ABSL_FLAG(double, rate, 8, "jobs a second");
ABSL_FLAG(std::uint32_t, controls, 3, "control replicas");
ABSL_FLAG(std::uint32_t, entries, 2, "entries");
ABSL_FLAG(std::uint32_t, agents, 4, "agents, each with a worker");

namespace dragonfly::soak {
namespace {

Duration seconds(double Value) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(Value));
}

int runSeed(std::uint64_t Seed, const std::string &Folder) {
  Soak Run({.Program_ = absl::GetFlag(FLAGS_program),
            .Folder_ = Folder,
            .Network_ = absl::GetFlag(FLAGS_network),
            .FullDiskLibrary_ = absl::GetFlag(FLAGS_full_disk_library),
            .SilentConnectionsLibrary_ =
                absl::GetFlag(FLAGS_silent_connections_library),
            .Controls_ = absl::GetFlag(FLAGS_controls),
            .Entries_ = absl::GetFlag(FLAGS_entries),
            .Agents_ = absl::GetFlag(FLAGS_agents)},
           Seed);
  const std::size_t Broken =
      Run.run({.Length_ = seconds(absl::GetFlag(FLAGS_seconds)),
               .Settle_ = seconds(absl::GetFlag(FLAGS_settle)),
               .JobsPerSecond_ = absl::GetFlag(FLAGS_rate),
               .OnlySilence_ = absl::GetFlag(FLAGS_only_silence),
               .OnlyStops_ = absl::GetFlag(FLAGS_only_stops)});
  std::cout << "seed " << Seed << ": " << (Broken == 0 ? "passed" : "FAILED")
            << ", logs in " << Folder << "\n";
  return Broken == 0 ? 0 : 1;
}

} // namespace
} // namespace dragonfly::soak

int main(int Argc, char **Argv) {
  using namespace dragonfly;
  settings::parseCommandLine(Argc, Argv, "soaks the programs in faults");
  const std::uint64_t Seed = absl::GetFlag(FLAGS_seed);
  const std::filesystem::path Temporary =
      std::filesystem::temp_directory_path() /
      ("dragonfly-soak-" + std::to_string(Seed));
  const std::string Folder = absl::GetFlag(FLAGS_folder).empty()
                                 ? Temporary.string()
                                 : absl::GetFlag(FLAGS_folder);
  std::filesystem::remove_all(Folder);
  try {
    return soak::runSeed(Seed, Folder);
  } catch (const std::exception &Fault) {
    // Unwinding has ended the processes.
    std::cout << "seed " << Seed << ": FAILED, " << Fault.what() << "\n";
    return 1;
  }
}
