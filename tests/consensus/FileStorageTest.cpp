#include "consensus/FileStorage.h"

#include "consensus/DataFolder.h"
#include "consensus/Segment.h"

#include <catch2/catch.hpp>

#include <cerrno>
#include <filesystem>
#include <fstream>

using namespace dragonfly;
using namespace dragonfly::consensus;

namespace fs = std::filesystem;

namespace {

Record makeRecord(std::uint64_t Index, std::uint64_t InTerm = 1) {
  return {{Index}, {InTerm}, RecordKind::Command, std::to_string(Index)};
}

/// Writes records 1 to \p Count, each with its own sync.
void writeRecords(const std::string &Path, std::uint64_t Count) {
  const auto Disk = openFileStorage(Path);
  Disk->recover();
  for (std::uint64_t I = 1; I <= Count; ++I) {
    Disk->append(makeRecord(I));
    Disk->sync();
  }
}

void overwrite(const std::string &Path, std::uint64_t Offset, char Value) {
  std::fstream Out(Path, std::ios::in | std::ios::out | std::ios::binary);
  Out.seekp(static_cast<std::streamoff>(Offset));
  Out.put(Value);
}

StorageFault faultOf(const std::function<void()> &Work) {
  try {
    Work();
  } catch (const StorageError &Failure) {
    return Failure.code();
  }
  FAIL("no StorageError");
  return {};
}

} // namespace

TEST_CASE("what was synced is recovered", "[consensus][storage]") {
  const DataFolder Folder;
  StoreId Store;
  {
    const auto Disk = openFileStorage(Folder.path());
    const Recovered Found = Disk->recover();
    REQUIRE(Found.NewFolder_);
    Store = Found.Store_;
    Disk->saveHardState({{4}, {2}});
    for (std::uint64_t I = 1; I <= 5; ++I)
      Disk->append(makeRecord(I));
    Disk->truncateFrom({4});
    Disk->append(makeRecord(4, 2));
    Disk->sync();
    Disk->append(makeRecord(5, 2));
  }
  const Recovered Found = openFileStorage(Folder.path())->recover();
  REQUIRE_FALSE(Found.NewFolder_);
  REQUIRE(Found.Store_ == Store);
  REQUIRE(Found.Hard_.Term_ == Term{4});
  REQUIRE(Found.Hard_.VotedFor_ == ReplicaId{2});
  REQUIRE(Found.Records_.size() == 4);
  REQUIRE(Found.Records_[3].Term_ == Term{2});
}

TEST_CASE("records run over several segments and are dropped by a snapshot",
          "[consensus][storage]") {
  const DataFolder Folder;
  const FileStorageOptions Options{.Folder_ = Folder.path(),
                                   .MaxSegmentBytes_ = 200};
  {
    const auto Disk = openFileStorage(Options);
    Disk->recover();
    for (std::uint64_t I = 1; I <= 50; ++I)
      Disk->append(makeRecord(I));
    Disk->sync();
    Disk->saveSnapshot({{30}, {1}, "members", "state"});
    Disk->truncateFrom({48});
    Disk->append(makeRecord(48, 2));
    Disk->sync();
  }
  const Recovered Found = openFileStorage(Options)->recover();
  REQUIRE(Found.Snapshot_.State_ == "state");
  REQUIRE(Found.Records_.size() == 18);
  REQUIRE(Found.Records_.front().Index_ == LogIndex{31});
  REQUIRE(Found.Records_.back().Term_ == Term{2});
}

TEST_CASE("an installed snapshot replaces a log that differs",
          "[consensus][storage]") {
  const DataFolder Folder;
  {
    const auto Disk = openFileStorage(Folder.path());
    Disk->recover();
    for (std::uint64_t I = 1; I <= 9; ++I)
      Disk->append(makeRecord(I));
    Disk->sync();
    Disk->saveSnapshot({{5}, {3}, "members", "state"});
    Disk->append(makeRecord(6, 3));
    Disk->sync();
  }
  const Recovered Found = openFileStorage(Folder.path())->recover();
  REQUIRE(Found.Records_.size() == 1);
  REQUIRE(Found.Records_.front().Term_ == Term{3});
}

TEST_CASE("a tail torn at any byte is cut to whole records",
          "[consensus][storage]") {
  const DataFolder Folder;
  writeRecords(Folder.path(), 3);
  const std::string Path = Folder.lastSegment();
  const std::uint64_t Whole = fs::file_size(Path);
  {
    const auto Disk = openFileStorage(Folder.path());
    Disk->recover();
    Disk->append(makeRecord(4));
    Disk->sync();
  }
  for (std::uint64_t Size = fs::file_size(Path) - 1; Size >= Whole; --Size) {
    fs::resize_file(Path, Size);
    REQUIRE(openFileStorage(Folder.path())->recover().Records_.size() == 3);
    REQUIRE(fs::file_size(Path) == Whole);
  }
}

TEST_CASE("damage before acknowledged records is refused at every byte",
          "[consensus][storage]") {
  const DataFolder Folder;
  writeRecords(Folder.path(), 3);
  const std::string Path = Folder.lastSegment();
  const std::string Bytes = readWhole(Path).value();
  constexpr std::uint64_t HeaderBytes = 16;
  const std::uint64_t RecordBytes = (Bytes.size() - HeaderBytes) / 3;
  for (std::uint64_t At = HeaderBytes; At < HeaderBytes + 2 * RecordBytes;
       ++At) {
    overwrite(Path, At, static_cast<char>(~Bytes[At]));
    INFO("byte " << At);
    REQUIRE(faultOf([&] { openFileStorage(Folder.path())->recover(); }) ==
            StorageFault::CorruptRecord);
    overwrite(Path, At, Bytes[At]);
  }
  REQUIRE(openFileStorage(Folder.path())->recover().Records_.size() == 3);
}

TEST_CASE("damaged or foreign files are refused by type",
          "[consensus][storage]") {
  struct Case {
    std::string File_;
    std::uint64_t Offset_;
    StorageFault Fault_;
  };
  const std::vector<Case> Cases{
      {"identity", 12, StorageFault::CorruptRecord},
      {"hard-state", 12, StorageFault::CorruptRecord},
      {"snapshot", 12, StorageFault::CorruptSnapshot},
      {"snapshot", 4, StorageFault::WrongFormat},
      {Segment::fileName({1}), 4, StorageFault::WrongFormat},
  };
  for (const Case &Row : Cases) {
    const DataFolder Folder;
    writeRecords(Folder.path(), 2);
    {
      const auto Disk = openFileStorage(Folder.path());
      Disk->recover();
      Disk->saveHardState({{1}, {1}});
      Disk->saveSnapshot({{1}, {1}, "members", "state"});
    }
    overwrite(Folder.path() + "/" + Row.File_, Row.Offset_, '\x7f');
    INFO(Row.File_ << " at " << Row.Offset_);
    REQUIRE(faultOf([&] { openFileStorage(Folder.path())->recover(); }) ==
            Row.Fault_);
  }
}

TEST_CASE("a folder that lost its identity is not taken for a new one",
          "[consensus][storage]") {
  const DataFolder Folder;
  writeRecords(Folder.path(), 1);
  fs::remove(Folder.path() + "/identity");
  REQUIRE(faultOf([&] { openFileStorage(Folder.path())->recover(); }) ==
          StorageFault::WrongFormat);
}

TEST_CASE("two processes cannot use one folder", "[consensus][storage]") {
  const DataFolder Folder;
  const auto Disk = openFileStorage(Folder.path());
  REQUIRE(faultOf([&] { openFileStorage(Folder.path()); }) ==
          StorageFault::FolderInUse);
}

TEST_CASE("a full disk leaves everything as it was, and goes on with room",
          "[consensus][storage]") {
  const DataFolder Folder;
  bool Full = false;
  FileHooks Hooks = systemFileHooks();
  const FileHooks Real = Hooks;
  // Half of what is written fits.
  Hooks.Write_ = [&](int Fd, const void *Bytes, std::size_t Count) -> ssize_t {
    if (!Full)
      return Real.Write_(Fd, Bytes, Count);
    if (Count > 1)
      return Real.Write_(Fd, Bytes, Count / 2);
    errno = ENOSPC;
    return -1;
  };
  constexpr std::uint64_t SmallSegment = 200;
  const FileStorageOptions Options{.Folder_ = Folder.path(),
                                   .Hooks_ = Hooks,
                                   .MaxSegmentBytes_ = SmallSegment};
  {
    const auto Disk = openFileStorage(Options);
    Disk->recover();
    Disk->append(makeRecord(1));
    Disk->saveHardState({.Term_ = {1}, .VotedFor_ = {}});
    Disk->sync();
    std::uint64_t Next = 2;
    // One round ends inside a segment, the others where one is full.
    for (int Round = 0; Round < 6; ++Round) {
      Disk->append(makeRecord(Next++));
      Full = true;
      CHECK(faultOf([&] { Disk->sync(); }) == StorageFault::DiskFull);
      CHECK(faultOf([&] { Disk->saveHardState({.Term_ = {9}}); }) ==
            StorageFault::DiskFull);
      Full = false;
      Disk->sync();
    }
    Full = true;
    const StorageFault WhenNew = faultOf([&] {
      for (;; ++Next)
        Disk->append(makeRecord(Next));
    });
    CHECK(WhenNew == StorageFault::DiskFull);
    Full = false;
    Disk->append(makeRecord(Next));
    Disk->sync();
  }
  const Recovered Found = openFileStorage(Folder.path())->recover();
  CHECK(Found.Hard_.Term_ == Term{1});
  REQUIRE_FALSE(Found.Records_.empty());
  for (std::size_t I = 0; I < Found.Records_.size(); ++I)
    CHECK(Found.Records_[I].Index_ == LogIndex{I + 1});
}

// Guards against a disk that stays full: a process was killed as it wrote a
// snapshot, and what it left took the room for the next term and vote.
TEST_CASE("a snapshot that was interrupted gives its room back",
          "[consensus][storage]") {
  const DataFolder Folder;
  writeRecords(Folder.path(), 3);
  for (const char *Name : {"/snapshot.new", "/hard-state.new"})
    std::ofstream(Folder.path() + Name) << std::string(1000, 'x');
  CHECK(openFileStorage(Folder.path())->recover().Records_.size() == 3);
  CHECK_FALSE(fs::exists(Folder.path() + "/snapshot.new"));
  CHECK_FALSE(fs::exists(Folder.path() + "/hard-state.new"));
}

TEST_CASE("failed system calls are typed", "[consensus][storage]") {
  struct Case {
    int Errno_;
    bool InWrite_;
    StorageFault Fault_;
  };
  const std::vector<Case> Cases{{ENOSPC, true, StorageFault::DiskFull},
                                {EIO, true, StorageFault::CannotWrite},
                                {EIO, false, StorageFault::CannotSync}};
  for (const Case &Row : Cases) {
    const DataFolder Folder;
    bool Failing = false;
    FileHooks Hooks = systemFileHooks();
    const FileHooks Real = Hooks;
    Hooks.Write_ = [&](int Fd, const void *Bytes, std::size_t Count) {
      if (!Failing || !Row.InWrite_)
        return Real.Write_(Fd, Bytes, Count);
      errno = Row.Errno_;
      return static_cast<ssize_t>(-1);
    };
    Hooks.Sync_ = [&](int Fd) {
      if (!Failing || Row.InWrite_)
        return Real.Sync_(Fd);
      errno = Row.Errno_;
      return -1;
    };
    const auto Disk =
        openFileStorage({.Folder_ = Folder.path(), .Hooks_ = Hooks});
    Disk->recover();
    Disk->append(makeRecord(1));
    Disk->sync();
    Failing = true;
    Disk->append(makeRecord(2));
    REQUIRE(faultOf([&] { Disk->sync(); }) == Row.Fault_);
    REQUIRE(faultOf([&] { Disk->saveHardState({}); }) == Row.Fault_);
  }
}

TEST_CASE("a replaced file is synced before its name and the folder after it",
          "[consensus][storage]") {
  const DataFolder Folder;
  const std::string Path = Folder.path() + "/hard-state";
  struct Synced {
    bool IsFolder_;
    bool NameExists_;
  };
  std::vector<Synced> Syncs;
  FileHooks Hooks = systemFileHooks();
  Hooks.Sync_ = [&](int Fd) {
    const fs::path Target =
        fs::read_symlink("/proc/self/fd/" + std::to_string(Fd));
    Syncs.push_back({fs::is_directory(Target), fs::exists(Path)});
    return 0;
  };
  const auto Disk =
      openFileStorage({.Folder_ = Folder.path(), .Hooks_ = Hooks});
  Disk->recover();
  Syncs.clear();
  Disk->saveHardState({{1}, {1}});
  REQUIRE(Syncs.size() == 2);
  REQUIRE_FALSE(Syncs[0].IsFolder_);
  REQUIRE_FALSE(Syncs[0].NameExists_);
  REQUIRE(Syncs[1].IsFolder_);
  REQUIRE(Syncs[1].NameExists_);
}
