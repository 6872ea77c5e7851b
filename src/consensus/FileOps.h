/// Files of the data folder: writing, syncing, replacing, with typed failures
/// and hooks through which tests make the disk fail.
#ifndef DRAGONFLY_SRC_CONSENSUS_FILEOPS_H
#define DRAGONFLY_SRC_CONSENSUS_FILEOPS_H

#include "dragonfly/consensus/Storage.h"

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>

namespace dragonfly::consensus {

/// The system calls that can fail; they report through errno.
struct FileHooks {
  std::function<ssize_t(int Fd, const void *Bytes, std::size_t Count)> Write_;
  std::function<int(int Fd)> Sync_;
};

/// Returns hooks that make the plain system calls.
FileHooks systemFileHooks();

/// An open file.
class File {
public:
  /// Throws StorageError(CannotOpen, DiskFull).
  File(const FileHooks &Hooks, std::string Path, int Flags);
  File(const File &) = delete;
  File &operator=(const File &) = delete;
  ~File();

  int fd() const { return Fd_; }
  const std::string &path() const { return Path_; }
  /// Throws StorageError(CannotWrite, DiskFull).
  void write(std::string_view Bytes);
  /// Throws StorageError(CannotSync).
  void sync();
  /// Throws StorageError(CannotWrite).
  void truncate(std::uint64_t Bytes);

private:
  const FileHooks &Hooks_;
  std::string Path_;
  int Fd_ = -1;
};

/// Returns the contents of \p Path, or nothing where there is no such file.
/// Throws StorageError(CannotOpen).
std::optional<std::string> readWhole(const std::string &Path);

/// Makes renames and removals in \p Folder durable.
void syncFolder(const FileHooks &Hooks, const std::string &Folder);

/// Returns the name under which `replaceFile` writes before it renames.
std::string temporaryOf(const std::string &Path);

/// Replaces \p Folder / \p Name by a checksummed file that holds \p Payload:
/// afterwards, and after a crash at any point, it is whole, old or new.
void replaceFile(const FileHooks &Hooks, const std::string &Folder,
                 const std::string &Name, std::string_view Payload);

/// Returns the payload of a file that `replaceFile` wrote. Throws
/// StorageError(WrongFormat), or \p OnDamage where the checksum is wrong.
std::optional<std::string> readChecked(const std::string &Path,
                                       StorageFault OnDamage);

std::uint32_t checksum(std::string_view Bytes);

/// Appends \p Value in little-endian order.
template <typename T> void putInteger(std::string &Out, T Value) {
  for (std::size_t I = 0; I < sizeof(T); ++I)
    Out.push_back(static_cast<char>((Value >> (8 * I)) & 0xFFU));
}

/// Reads a little-endian integer at \p Offset, which lies within \p In.
template <typename T> T getInteger(std::string_view In, std::size_t Offset) {
  T Value = 0;
  for (std::size_t I = 0; I < sizeof(T); ++I)
    Value |= static_cast<T>(static_cast<unsigned char>(In[Offset + I]))
             << (8 * I);
  return Value;
}

} // namespace dragonfly::consensus

#endif // DRAGONFLY_SRC_CONSENSUS_FILEOPS_H
