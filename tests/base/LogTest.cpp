#include "dragonfly/base/Log.h"

#include <boost/json/parse.hpp>
#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace dragonfly;

namespace {

std::vector<std::string> linesOf(LogFormat Format, Severity Least) {
  std::vector<std::string> Lines;
  configureLog(
      {.Format_ = Format,
       .Least_ = Least,
       .Process_ = "entry-1",
       .Sink_ = [&Lines](std::string_view Line) { Lines.emplace_back(Line); }});
  logEvent(Event::ConnectionOpened);
  logEvent(Event::ListAccepted, {{"list", "pl\"ans"}, {"version", 7U}});
  logEvent(Event::SettingsRejected, {{"count", 2U}});
  configureLog({});
  return Lines;
}

} // namespace

TEST_CASE("JSON lines carry number, name and fields", "[base][log]") {
  const auto Lines = linesOf(LogFormat::Json, Severity::Info);
  REQUIRE(Lines.size() == 2);
  const auto Line = boost::json::parse(Lines[0]).as_object();
  CHECK(Line.at("event") == 3001);
  CHECK(Line.at("name") == "list-accepted");
  CHECK(Line.at("process") == "entry-1");
  CHECK(Line.at("list") == "pl\"ans");
}

TEST_CASE("text lines carry number, name and fields", "[base][log]") {
  const auto Lines = linesOf(LogFormat::Text, Severity::Failure);
  REQUIRE(Lines.size() == 1);
  CHECK(Lines[0] == "entry-1 1005 settings-rejected count=2");
}

TEST_CASE("a line is short whatever its fields hold", "[base][log]") {
  std::string Line;
  configureLog({.Sink_ = [&Line](std::string_view Text) { Line = Text; }});
  const std::string Text = std::string(999, 'x') + std::string(3000, '\1');
  logEvent(Event::ListRejected, {{"list", Text}});
  CHECK(Line.size() < 4096);
  CHECK(boost::json::parse(Line).at("list").as_string().starts_with("xxx"));
  logEvent(Event::ListRejected,
           {{"list", std::string(1023, 'x') + "\u00e4\u00e4"}});
  CHECK(boost::json::parse(Line).at("list").as_string() ==
        std::string(1023, 'x') + "...");
  logEvent(Event::ListRejected,
           {{"list", Text}, {"name", Text}, {"fault", Text}, {"why", Text}});
  CHECK(Line.size() < 4096);
  CHECK(boost::json::parse(Line).at("why").as_string().ends_with("..."));
  configureLog({});
}
