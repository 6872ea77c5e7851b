/// Command lines of all programs.
#ifndef DRAGONFLY_SETTINGS_COMMANDLINE_H
#define DRAGONFLY_SETTINGS_COMMANDLINE_H

#include <string>
#include <vector>

namespace dragonfly::settings {

/// Parses the Abseil flags that the program declares and returns the other
/// arguments, without the program's name. Dashes inside a flag's name stand for
/// underscores. Prints help and ends the process where asked to, or where a
/// flag is unknown (exit code 1).
std::vector<std::string> parseCommandLine(int Argc, char **Argv,
                                          const std::string &Usage);

} // namespace dragonfly::settings

#endif // DRAGONFLY_SETTINGS_COMMANDLINE_H
