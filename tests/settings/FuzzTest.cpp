#include "dragonfly/base/Random.h"
#include "dragonfly/settings/Lists.h"
#include "dragonfly/settings/ReadSettings.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>
#include <random>
#include <string>

using namespace dragonfly;
using namespace dragonfly::settings;

namespace {

constexpr int Inputs = 3000;
constexpr std::uint64_t Seed = 11;

const std::string Folder =
    std::string(DRAGONFLY_SOURCE_DIR) + "/examples/notbandet";

std::string readFile(const std::string &Name) {
  std::ifstream In(Folder + "/" + Name);
  return {std::istreambuf_iterator<char>(In), {}};
}

/// Replaces, removes or doubles a few pieces of \p Text.
std::string mutate(std::string Text, RandomEngine &Engine) {
  constexpr std::string_view Alphabet =
      "{}[]\",:0123456789-.eEtrufalsn\\/ \x01\xff";
  const auto Draw = [&Engine](std::size_t Below) {
    return std::uniform_int_distribution<std::size_t>(0, Below - 1)(Engine);
  };
  for (std::size_t Step = Draw(4) + 1; Step > 0 && !Text.empty(); --Step) {
    const std::size_t At = Draw(Text.size());
    switch (Draw(3)) {
    case 0:
      Text[At] = Alphabet[Draw(Alphabet.size())];
      break;
    case 1:
      Text.erase(At, Draw(20));
      break;
    default:
      Text.insert(At, Text.substr(Draw(Text.size()), Draw(40)));
    }
  }
  return Text;
}

/// Reads \p Text; faults are fine, anything else escapes.
template <typename Read> void readAny(Read Do, const std::string &Text) {
  try {
    Do(Text);
  } catch (const SettingsError &Failure) {
    REQUIRE_FALSE(Failure.faults().empty());
  }
}

} // namespace

TEST_CASE("mutated settings are read or refused with faults",
          "[settings][fuzz]") {
  RandomEngine Engine(Seed);
  const std::string Agent = readFile("agent-1.json");
  std::string Whole = Agent;
  const std::string Reference = "\"deployment.json\"";
  Whole.replace(Whole.find(Reference), Reference.size(),
                readFile("deployment.json"));
  for (int Input = 0; Input < Inputs; ++Input)
    readAny([](const std::string &Text) { readAgentSettings(Text, Folder); },
            mutate(Whole, Engine));
}

TEST_CASE("mutated lists are read or refused with faults", "[settings][fuzz]") {
  RandomEngine Engine(Seed);
  const std::string Plans = readFile("plans.json");
  const std::string Purchases = readFile("purchases.json");
  for (int Input = 0; Input < Inputs; ++Input) {
    readAny(parsePlans, mutate(Plans, Engine));
    readAny(parsePurchases, mutate(Purchases, Engine));
  }
}
