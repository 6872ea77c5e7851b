#include "dragonfly/settings/Program.h"

#include "dragonfly/base/Log.h"
#include "dragonfly/settings/CommandLine.h"
#include "dragonfly/settings/ReadSettings.h"

#include <absl/flags/flag.h>

#include <algorithm>
#include <array>
#include <exception>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <iterator>

ABSL_FLAG(std::string, settings, "", "file of settings, as JSON");
ABSL_FLAG(bool, check_settings, false, "print the effective settings and exit");

namespace dragonfly::settings {
namespace {

/// Types of failures of the data folder.
constexpr std::array<std::string_view, 8> StorageFaults{
    "cannot-open",    "cannot-write",     "cannot-sync",  "disk-full",
    "corrupt-record", "corrupt-snapshot", "wrong-format", "folder-in-use"};

ExitCode toExitCode(const Error &Failure) {
  return std::ranges::find(StorageFaults, Failure.type()) != StorageFaults.end()
             ? ExitCode::StorageFailed
             : ExitCode::CannotStart;
}

template <typename Settings>
ExitCode runLogged(const Settings &Value,
                   const std::function<ExitCode(const Settings &)> &Run) {
  const ProcessSettings &Process = Value.Process_;
  configureLog({.Format_ = Process.LogFormat_,
                .Least_ = Process.LogLevel_,
                .Process_ = Process.Name_,
                .Sink_ = {}});
  logEvent(Event::ProcessStarted,
           {{"availability_zone", Process.AvailabilityZone_},
            {"deployment", Process.Deployment_.Name_}});
  try {
    const ExitCode Code = Run(Value);
    logEvent(Event::ProcessStopped,
             {{"exit_code", static_cast<std::uint64_t>(Code)}});
    return Code;
  } catch (const Error &Failure) {
    logEvent(Event::ProcessFailed,
             {{"type", Failure.type()}, {"detail", Failure.what()}});
    return toExitCode(Failure);
  } catch (const std::exception &Failure) {
    logEvent(Event::ProcessFailed,
             {{"type", "unexpected"}, {"detail", Failure.what()}});
    return ExitCode::CannotStart;
  }
}

/// Reads the whole file into \p Text; false where it cannot be read.
bool readFile(const std::string &Name, std::string &Text) {
  std::ifstream In(Name);
  Text.assign(std::istreambuf_iterator<char>(In), {});
  return In.is_open() && !In.bad();
}

std::string folderOf(const std::string &Name) {
  const std::string Folder = std::filesystem::path(Name).parent_path();
  return Folder.empty() ? "." : Folder;
}

template <typename Settings, typename Read>
ExitCode runProgram(int Argc, char **Argv, Read ReadSettings,
                    const std::function<ExitCode(const Settings &)> &Run) {
  const auto Rest =
      parseCommandLine(Argc, Argv, "--settings=FILE [--check-settings]");
  const std::string Name = absl::GetFlag(FLAGS_settings);
  if (!Rest.empty() || Name.empty()) {
    std::cerr << "usage: --settings=FILE [--check-settings]\n";
    return ExitCode::BadUsage;
  }
  std::string Text;
  if (!readFile(Name, Text)) {
    std::cerr << "cannot-read: " << Name << "\n";
    return ExitCode::BadUsage;
  }
  Settings Value;
  try {
    Value = ReadSettings(Text, folderOf(Name));
  } catch (const SettingsError &Failure) {
    std::cerr << Failure.type() << ": " << Name << "\n"
              << Failure.what() << "\n";
    return ExitCode::BadSettings;
  }
  if (absl::GetFlag(FLAGS_check_settings)) {
    std::cout << printSettings(Value);
    return ExitCode::Ok;
  }
  return runLogged(Value, Run);
}

} // namespace

int runEntryProgram(int Argc, char **Argv,
                    const std::function<ExitCode(const EntrySettings &)> &Run) {
  return static_cast<int>(
      runProgram<EntrySettings>(Argc, Argv, readEntrySettings, Run));
}

int runControlProgram(
    int Argc, char **Argv,
    const std::function<ExitCode(const ControlSettings &)> &Run) {
  return static_cast<int>(
      runProgram<ControlSettings>(Argc, Argv, readControlSettings, Run));
}

int runAgentProgram(int Argc, char **Argv,
                    const std::function<ExitCode(const AgentSettings &)> &Run) {
  return static_cast<int>(
      runProgram<AgentSettings>(Argc, Argv, readAgentSettings, Run));
}

} // namespace dragonfly::settings
