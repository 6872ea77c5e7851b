#include "dragonfly/base/Event.h"

#include <array>
#include <iostream>
#include <string_view>

/// Prints docs/EVENTS.md from the catalogue.
int main() {
  using namespace dragonfly;
  constexpr std::array<std::string_view, 4> Names{"debug", "info", "warning",
                                                  "failure"};
  std::cout << "# Events\n\nEvery line of the log is one of these. Numbers are "
               "stable. The page is printed by `print-events`.\n\n"
               "| number | name | severity | meaning |\n| --- | --- | --- | "
               "--- |\n";
  for (const EventRow &Row : eventCatalogue())
    std::cout << "| " << static_cast<unsigned>(Row.Event_) << " | " << Row.Name_
              << " | " << Names[static_cast<std::size_t>(Row.Severity_)]
              << " | " << Row.Meaning_ << " |\n";
  return 0;
}
