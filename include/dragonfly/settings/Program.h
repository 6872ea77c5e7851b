/// The shared part of the daemons' main functions.
#ifndef DRAGONFLY_SETTINGS_PROGRAM_H
#define DRAGONFLY_SETTINGS_PROGRAM_H

#include "dragonfly/settings/Settings.h"

#include <cstdint>
#include <functional>

namespace dragonfly::settings {

/// Exit codes of the daemons.
enum class ExitCode : std::uint8_t {
  Ok = 0,
  BadUsage = 2,
  BadSettings = 3,
  CannotStart = 4,
  StorageFailed = 5,
  StopBoundReached = 6
};

/// Parses --settings and --check-settings, reads the file, sets up the log and
/// calls \p Run. Failures are printed with their type and become exit codes.
int runEntryProgram(int Argc, char **Argv,
                    const std::function<ExitCode(const EntrySettings &)> &Run);
int runControlProgram(
    int Argc, char **Argv,
    const std::function<ExitCode(const ControlSettings &)> &Run);
int runAgentProgram(int Argc, char **Argv,
                    const std::function<ExitCode(const AgentSettings &)> &Run);

} // namespace dragonfly::settings

#endif // DRAGONFLY_SETTINGS_PROGRAM_H
