#include "dragonfly/settings/Lists.h"
#include "dragonfly/settings/ReadSettings.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <iterator>
#include <string>

using namespace dragonfly::settings;

namespace {

std::string readFile(const std::string &Name) {
  std::ifstream In(Name);
  return {std::istreambuf_iterator<char>(In), {}};
}

} // namespace

TEST_CASE("the examples are valid", "[settings][examples]") {
  const std::string Folder = std::string(DRAGONFLY_SOURCE_DIR) + "/examples/" +
                             GENERATE("notbandet", "siam-spoke");
  const auto Entry =
      readEntrySettings(readFile(Folder + "/entry-1.json"), Folder);
  CHECK(Entry.Process_.Deployment_.Kinds_.size() == 3);
  CHECK(Entry.Process_.Control_.size() == 3);
  CHECK_NOTHROW(
      readControlSettings(readFile(Folder + "/control-1.json"), Folder));
  CHECK_NOTHROW(readAgentSettings(readFile(Folder + "/agent-1.json"), Folder));
  CHECK_NOTHROW(
      checkPurchases(parsePurchases(readFile(Folder + "/purchases.json")),
                     parsePlans(readFile(Folder + "/plans.json"))));
}
