#include "dragonfly/consensus/FoundingRecord.h"

#include "consensus/DataFolder.h"
#include "dragonfly/consensus/Storage.h"

#include <catch2/catch.hpp>

#include <filesystem>
#include <vector>

namespace dragonfly::consensus {
namespace {

const std::vector<Member> Chosen{{.Id_ = {1}, .Store_ = {}, .Address_ = "a"},
                                 {.Id_ = {2}, .Store_ = {}, .Address_ = "b"}};

} // namespace

// Guards against a group that is never founded: the process that chooses the
// members forgot with its end that it was to choose.
TEST_CASE("a choice of members that is under way survives its process",
          "[consensus][founding]") {
  const DataFolder Folder;
  FoundingRecord Record(Folder.path());
  CHECK_FALSE(Record.load());
  Record.save({});
  REQUIRE(FoundingRecord(Folder.path()).load());
  CHECK(FoundingRecord(Folder.path()).load()->empty());
  Record.save(Chosen);
  CHECK(FoundingRecord(Folder.path()).load() == Chosen);
  // The replica that serves afterwards takes the folder as its own.
  CHECK_FALSE(openFileStorage(Folder.path())->recover().NewFolder_);
}

// Guards against two groups: members that were chosen long ago and have been
// replaced meanwhile.
TEST_CASE("a choice of members ends with the first record of the log",
          "[consensus][founding]") {
  const DataFolder Folder;
  FoundingRecord Record(Folder.path());
  Record.save(Chosen);
  const bool HasSnapshot = GENERATE(false, true);
  {
    const auto Disk = openFileStorage(Folder.path());
    Disk->recover();
    Disk->saveHardState({.Term_ = {3}, .VotedFor_ = {1}});
    CHECK(std::filesystem::exists(Folder.path() + "/founding"));
    if (HasSnapshot)
      Disk->saveSnapshot({.Index_ = {7}, .Term_ = {3}});
    else
      Disk->append({{1}, {3}, RecordKind::Empty, ""});
    Disk->sync();
  }
  CHECK_FALSE(Record.load());
  CHECK_FALSE(std::filesystem::exists(Folder.path() + "/founding"));
}

TEST_CASE("a vote alone does not end a choice of members",
          "[consensus][founding]") {
  const DataFolder Folder;
  FoundingRecord Record(Folder.path());
  Record.save(Chosen);
  {
    const auto Disk = openFileStorage(Folder.path());
    Disk->recover();
    Disk->saveHardState({.Term_ = {3}, .VotedFor_ = {1}});
  }
  CHECK(Record.load() == Chosen);
}

} // namespace dragonfly::consensus
