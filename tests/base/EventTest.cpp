#include "dragonfly/base/Event.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <fstream>
#include <sstream>
#include <string>

using namespace dragonfly;

namespace {

std::string readPage(const std::string &Name) {
  std::ifstream In(std::string(DRAGONFLY_SOURCE_DIR) + "/docs/" + Name);
  std::ostringstream Text;
  Text << In.rdbuf();
  return Text.str();
}

} // namespace

TEST_CASE("the catalogue is in ascending order", "[base][events]") {
  REQUIRE(std::ranges::is_sorted(eventCatalogue(), std::ranges::less(),
                                 &EventRow::Event_));
}

TEST_CASE("docs/EVENTS.md lists each event", "[base][events]") {
  const std::string Page = readPage("EVENTS.md");
  for (const EventRow &Row : eventCatalogue()) {
    const std::string Line =
        "| " + std::to_string(static_cast<std::uint16_t>(Row.Event_)) + " | " +
        std::string(Row.Name_) + " | ";
    INFO(Line);
    REQUIRE(Page.find(Line) != std::string::npos);
    REQUIRE(Page.find(Row.Meaning_) != std::string::npos);
  }
}

TEST_CASE("docs/EVENTS.md lists no event that does not exist",
          "[base][events]") {
  std::istringstream Page(readPage("EVENTS.md"));
  std::size_t Rows = 0;
  for (std::string Line; std::getline(Page, Line);)
    Rows += Line.size() > 2 && Line[0] == '|' && std::isdigit(Line[2]) ? 1 : 0;
  REQUIRE(Rows == eventCatalogue().size());
}
