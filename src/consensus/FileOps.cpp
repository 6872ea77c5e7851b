#include "consensus/FileOps.h"

#include <boost/crc.hpp>

#include <fcntl.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cerrno>
#include <cstdio>
#include <system_error>

namespace dragonfly::consensus {
namespace {

constexpr std::uint32_t FileMagic = 0x44464C59;
constexpr std::uint32_t FileFormatVersion = 1;
constexpr std::size_t FileHeaderBytes = 12;
constexpr int FileMode = 0644;

bool isOutOfSpace() { return errno == ENOSPC || errno == EDQUOT; }

[[noreturn]] void fail(StorageFault Fault, const std::string &Path) {
  throw StorageError(Fault,
                     Path + ": " + std::generic_category().message(errno));
}

} // namespace

FileHooks systemFileHooks() { return {.Write_ = ::write, .Sync_ = ::fsync}; }

File::File(const FileHooks &Hooks, std::string Path, int Flags)
    : Hooks_(Hooks), Path_(std::move(Path)),
      Fd_(::open(Path_.c_str(), Flags | O_CLOEXEC, FileMode)) {
  if (Fd_ < 0)
    fail(isOutOfSpace() ? StorageFault::DiskFull : StorageFault::CannotOpen,
         Path_);
}

File::~File() { ::close(Fd_); }

void File::write(std::string_view Bytes) {
  while (!Bytes.empty()) {
    const ssize_t Written = Hooks_.Write_(Fd_, Bytes.data(), Bytes.size());
    if (Written < 0 && errno == EINTR)
      continue;
    if (Written <= 0)
      fail(isOutOfSpace() ? StorageFault::DiskFull : StorageFault::CannotWrite,
           Path_);
    Bytes.remove_prefix(static_cast<std::size_t>(Written));
  }
}

void File::sync() {
  if (Hooks_.Sync_(Fd_) != 0)
    fail(StorageFault::CannotSync, Path_);
}

void File::truncate(std::uint64_t Bytes) {
  if (::ftruncate(Fd_, static_cast<off_t>(Bytes)) != 0)
    fail(StorageFault::CannotWrite, Path_);
}

std::optional<std::string> readWhole(const std::string &Path) {
  const int Fd = ::open(Path.c_str(), O_RDONLY | O_CLOEXEC);
  if (Fd < 0) {
    if (errno == ENOENT)
      return std::nullopt;
    fail(StorageFault::CannotOpen, Path);
  }
  std::string Bytes;
  constexpr std::size_t ReadBytes = 1U << 20U;
  ssize_t Count = 0;
  do {
    const std::size_t Held = Bytes.size();
    Bytes.resize(Held + ReadBytes);
    Count = ::read(Fd, Bytes.data() + Held, ReadBytes);
    Bytes.resize(Held + static_cast<std::size_t>(std::max<ssize_t>(Count, 0)));
  } while (Count > 0);
  ::close(Fd);
  if (Count < 0)
    fail(StorageFault::CannotOpen, Path);
  return Bytes;
}

void syncFolder(const FileHooks &Hooks, const std::string &Folder) {
  File(Hooks, Folder, O_RDONLY | O_DIRECTORY).sync();
}

std::string temporaryOf(const std::string &Path) { return Path + ".new"; }

void replaceFile(const FileHooks &Hooks, const std::string &Folder,
                 const std::string &Name, std::string_view Payload) {
  const std::string Path = Folder + "/" + Name;
  const std::string Temporary = temporaryOf(Path);
  try {
    std::string Bytes;
    putInteger(Bytes, FileMagic);
    putInteger(Bytes, FileFormatVersion);
    putInteger(Bytes, checksum(Payload));
    Bytes += Payload;
    File Out(Hooks, Temporary, O_WRONLY | O_CREAT | O_TRUNC);
    Out.write(Bytes);
    Out.sync();
  } catch (const StorageError &) {
    // What was written of it would take up room that others need.
    ::unlink(Temporary.c_str());
    throw;
  }
  if (::rename(Temporary.c_str(), Path.c_str()) != 0)
    fail(StorageFault::CannotWrite, Path);
  syncFolder(Hooks, Folder);
}

std::optional<std::string> readChecked(const std::string &Path,
                                       StorageFault OnDamage) {
  const std::optional<std::string> Bytes = readWhole(Path);
  if (!Bytes)
    return std::nullopt;
  if (Bytes->size() < FileHeaderBytes)
    throw StorageError(OnDamage, Path + ": too short");
  if (getInteger<std::uint32_t>(*Bytes, 0) != FileMagic ||
      getInteger<std::uint32_t>(*Bytes, 4) != FileFormatVersion)
    throw StorageError(StorageFault::WrongFormat, Path);
  std::string Payload = Bytes->substr(FileHeaderBytes);
  if (getInteger<std::uint32_t>(*Bytes, 8) != checksum(Payload))
    throw StorageError(OnDamage, Path + ": wrong checksum");
  return Payload;
}

std::uint32_t checksum(std::string_view Bytes) {
  boost::crc_32_type Crc;
  Crc.process_bytes(Bytes.data(), Bytes.size());
  return Crc.checksum();
}

} // namespace dragonfly::consensus
