/// Preloaded into control's processes of the soak: while the file that
/// DRAGONFLY_FULL_DISK names exists, files take no more bytes.

#include <cerrno>
#include <cstdlib>
#include <dlfcn.h>
#include <sys/stat.h>
#include <unistd.h>

extern "C" ssize_t write(int Fd, const void *Bytes, std::size_t Count) {
  using Write = ssize_t (*)(int, const void *, std::size_t);
  static const auto Real = reinterpret_cast<Write>(dlsym(RTLD_NEXT, "write"));
  static const char *const Marker = std::getenv("DRAGONFLY_FULL_DISK");
  struct stat Status{};
  // The log goes to standard output, which is a file too.
  if (Marker != nullptr && Fd > STDERR_FILENO && access(Marker, F_OK) == 0 &&
      fstat(Fd, &Status) == 0 && S_ISREG(Status.st_mode)) {
    errno = ENOSPC;
    return -1;
  }
  return Real(Fd, Bytes, Count);
}
