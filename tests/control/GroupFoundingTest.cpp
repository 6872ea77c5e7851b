#include "dragonfly/control/GroupFounding.h"

#include "consensus/DataFolder.h"
#include "dragonfly/base/Log.h"
#include "dragonfly/net/EventLoop.h"
#include "net/PausedLoop.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string_view>
#include <vector>

namespace dragonfly::control {
namespace {

using namespace std::chrono_literals;

/// Runs the founding of a group of one until its members are known, and returns
/// them.
std::vector<wire::GroupRow> found(const std::string &Folder, bool Resumes,
                                  const std::string &Seed) {
  configureLog({.Sink_ = [](std::string_view) {}});
  const net::PausedClock Paused;
  net::EventLoop Loop;
  std::vector<wire::GroupRow> Members;
  GroupFounding Founding(
      Loop,
      {.Self_ = {.Id_ = {7}, .Address_ = "127.0.0.1:0"},
       .DataFolder_ = Folder,
       .Seeds_ = {Seed},
       .ResumesChoice_ = Resumes,
       .Choice_ = {.Wanted_ = 1},
       .OnFounded_ = [&](const std::vector<wire::GroupRow> &Known) {
         Members = Known;
         // Whoever learns of the members does so after this.
         const auto Saved = unfinishedChoice(Folder);
         REQUIRE(Saved);
         CHECK(std::ranges::equal(*Saved, Members, {}, &wire::GroupRow::Id_,
                                  &wire::GroupRow::Id_));
       }});
  for (int Step = 0; Step < 100 && Members.empty(); ++Step) {
    net::pollSome(Loop);
    Clock::advance(50ms);
  }
  return Members;
}

} // namespace

// Guards against two groups: a choice that is told and then made again.
TEST_CASE("the first members are durable before they are told",
          "[control][founding]") {
  const consensus::DataFolder Folder;
  CHECK_FALSE(unfinishedChoice(Folder.path()));
  CHECK(found(Folder.path(), false, "127.0.0.1:0").size() == 1);
}

// Guards against a group that is never founded: a process started with other
// seeds than those it was to choose by left the choice to nobody.
TEST_CASE("a resumed choice does not depend on the seeds",
          "[control][founding]") {
  const consensus::DataFolder Folder;
  CHECK(found(Folder.path(), true, "127.0.0.9:1").size() == 1);
  CHECK(unfinishedChoice(Folder.path()));
}

TEST_CASE("a process that does not choose keeps no choice",
          "[control][founding]") {
  const consensus::DataFolder Folder;
  CHECK(found(Folder.path(), false, "127.0.0.9:1").empty());
  CHECK_FALSE(unfinishedChoice(Folder.path()));
}

} // namespace dragonfly::control
