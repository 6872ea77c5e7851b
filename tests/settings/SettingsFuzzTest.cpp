#include "dragonfly/base/Random.h"
#include "dragonfly/settings/Lists.h"
#include "dragonfly/settings/ReadSettings.h"

#include <catch2/catch.hpp>

#include <array>
#include <fstream>
#include <iterator>

using namespace dragonfly;
using namespace dragonfly::settings;

namespace {

constexpr std::uint64_t Seed = 20261204;
constexpr int Inputs = 3000;
constexpr std::array<std::string_view, 12> Tokens{
    "{",    "}",  "[",     "]",  ":",        ",",
    "null", "-1", "1e999", "\"", "\"name\"", "99999999999999999999"};

std::string readExample(const std::string &Name) {
  std::ifstream In(DRAGONFLY_SOURCE_DIR "/examples/notbandet/" + Name);
  return {std::istreambuf_iterator<char>(In), {}};
}

/// Replaces, removes and adds bytes and tokens.
std::string damage(RandomEngine &Random, std::string Text) {
  const std::size_t Changes = 1 + Random() % 5;
  for (std::size_t Change = 0; Change < Changes && !Text.empty(); ++Change) {
    const std::size_t At = Random() % Text.size();
    if (Random() % 3 == 0)
      Text[At] = static_cast<char>(Random());
    else if (Random() % 2 == 0)
      Text.erase(At, 1 + Random() % 8);
    else
      Text.insert(At, Tokens[Random() % Tokens.size()]);
  }
  return Text;
}

/// Reads damaged copies of \p Good; any end but a value or a SettingsError with
/// faults fails the test by its exception.
template <typename Read> void fuzz(const std::string &Good, Read ReadText) {
  REQUIRE_FALSE(Good.empty());
  RandomEngine Random(Seed);
  int Refused = 0;
  for (int Input = 0; Input < Inputs; ++Input) {
    try {
      ReadText(damage(Random, Good));
    } catch (const SettingsError &Fault) {
      REQUIRE_FALSE(Fault.faults().empty());
      ++Refused;
    }
  }
  CHECK(Refused > Inputs / 2);
}

} // namespace

TEST_CASE("damaged settings and lists end as typed faults",
          "[settings][fuzz]") {
  const std::string Folder = DRAGONFLY_SOURCE_DIR "/examples/notbandet";
  SECTION("entry") {
    fuzz(readExample("entry-1.json"),
         [&](const std::string &Text) { readEntrySettings(Text, Folder); });
  }
  SECTION("agent") {
    fuzz(readExample("agent-1.json"),
         [&](const std::string &Text) { readAgentSettings(Text, Folder); });
  }
  SECTION("plans") {
    fuzz(readExample("plans.json"),
         [](const std::string &Text) { parsePlans(Text); });
  }
  SECTION("purchases") {
    fuzz(readExample("purchases.json"),
         [](const std::string &Text) { parsePurchases(Text); });
  }
}
