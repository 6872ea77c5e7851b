/// Preloaded into the programs of the soak: each time the file that
/// DRAGONFLY_SILENT_CONNECTIONS names is written anew, a share of the open TCP
/// connections takes no more packets, for good and without a reset. The file
/// holds a number that differs each time, and the share in percent.

#include <cstdint>
#include <cstdlib>
#include <dlfcn.h>
#include <fstream>
#include <linux/filter.h>
#include <netinet/in.h>
#include <random>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <unistd.h>

namespace {

/// Connections beyond this file descriptor stay as they are.
constexpr int MaxDescriptor = 1024;

bool isConnected(int Fd) {
  int Type = 0;
  socklen_t Size = sizeof Type;
  sockaddr_in Peer{};
  socklen_t PeerSize = sizeof Peer;
  return getsockopt(Fd, SOL_SOCKET, SO_TYPE, &Type, &Size) == 0 &&
         Type == SOCK_STREAM &&
         getpeername(Fd, reinterpret_cast<sockaddr *>(&Peer), &PeerSize) == 0 &&
         Peer.sin_family == AF_INET;
}

/// The kernel drops what comes for the socket, acknowledgements as well.
void silence(int Fd) {
  sock_filter DropAll[]{BPF_STMT(BPF_RET | BPF_K, 0)};
  const sock_fprog Program{.len = 1, .filter = DropAll};
  setsockopt(Fd, SOL_SOCKET, SO_ATTACH_FILTER, &Program, sizeof Program);
}

void silenceIfTold() {
  static const char *const Marker = std::getenv("DRAGONFLY_SILENT_CONNECTIONS");
  static timespec Last{};
  struct stat Status{};
  if (Marker == nullptr || stat(Marker, &Status) != 0 ||
      (Status.st_mtim.tv_sec == Last.tv_sec &&
       Status.st_mtim.tv_nsec == Last.tv_nsec))
    return;
  std::uint32_t Number = 0;
  std::uint32_t Percent = 0;
  if (!(std::ifstream(Marker) >> Number >> Percent))
    return;
  Last = Status.st_mtim;
  std::minstd_rand Random(Number + 1);
  constexpr std::uint32_t Whole = 100;
  for (int Fd = STDERR_FILENO + 1; Fd < MaxDescriptor; ++Fd)
    if (isConnected(Fd) && Random() % Whole < Percent)
      silence(Fd);
}

} // namespace

extern "C" int epoll_wait(int Epoll, epoll_event *Events, int MaxEvents,
                          int Timeout) {
  using Wait = int (*)(int, epoll_event *, int, int);
  static const auto Real =
      reinterpret_cast<Wait>(dlsym(RTLD_NEXT, "epoll_wait"));
  silenceIfTold();
  return Real(Epoll, Events, MaxEvents, Timeout);
}
