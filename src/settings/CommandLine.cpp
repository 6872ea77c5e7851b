#include "dragonfly/settings/CommandLine.h"

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <algorithm>
#include <iterator>
#include <mutex>

namespace dragonfly::settings {
namespace {

std::string normaliseFlagName(std::string Argument) {
  if (!Argument.starts_with("--"))
    return Argument;
  const auto End = std::ranges::find(Argument, '=');
  std::replace(Argument.begin() + 2, End, '-', '_');
  return Argument;
}

} // namespace

std::vector<std::string> parseCommandLine(int Argc, char **Argv,
                                          const std::string &Usage) {
  static std::once_flag UsageSet;
  std::call_once(UsageSet, [&Usage] { absl::SetProgramUsageMessage(Usage); });
  std::vector<std::string> Arguments(Argv, Argv + Argc);
  std::ranges::transform(Arguments, Arguments.begin(), normaliseFlagName);
  std::vector<char *> Pointers;
  std::ranges::transform(Arguments, std::back_inserter(Pointers),
                         [](std::string &Argument) { return Argument.data(); });
  const std::vector<char *> Rest = absl::ParseCommandLine(
      static_cast<int>(Pointers.size()), Pointers.data());
  return {Rest.begin() + 1, Rest.end()};
}

} // namespace dragonfly::settings
