/// Load: connections that are reset as soon as they have sent a part of a
/// request, and datagrams without end. Guards against what a process keeps for
/// a peer that is gone.
#include "untrusted/Crowd.h"

#include "dragonfly/wire/Frame.h"

#include <catch2/catch.hpp>

#include <arpa/inet.h>
#include <cstddef>
#include <netinet/in.h>
#include <string>
#include <sys/socket.h>
#include <unistd.h>
#include <vector>

using namespace dragonfly::untrusted;
namespace wire = dragonfly::wire;

namespace {

/// Connections that fit the system's queue of those to be accepted.
constexpr std::size_t MaxQueued = 100;

void connectAndReset(const Crowd &On, const std::string &Start,
                     std::size_t Count) {
  for (std::size_t I = 0; I < Count; ++I) {
    const dragonfly::platform::Peer Caller(On.ip(), On.server().Port_);
    Caller.send(Start);
    Caller.resetOnClose();
  }
}

/// Connects and resets as often as the process may have descriptors, and half
/// as often again; at the end the process has accepted none of the last ones.
void resetAll(const Crowd &On, const Machine &Limits,
              const std::string &Start) {
  connectAndReset(On, Start, Limits.MaxFds_ + Limits.MaxFds_ / 2);
  On.awaitClosed();
  On.setHalted(true);
  connectAndReset(On, Start, MaxQueued);
  On.setHalted(false);
  On.awaitClosed();
}

/// Sends \p Count datagrams, which the system may drop.
void sendDatagrams(const Crowd &On, const std::string &Bytes,
                   std::size_t Count) {
  const int Socket = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  sockaddr_in To{};
  To.sin_family = AF_INET;
  To.sin_port = htons(On.server().Port_);
  inet_pton(AF_INET, On.ip().c_str(), &To.sin_addr);
  for (std::size_t I = 0; I < Count; ++I)
    sendto(Socket, Bytes.data(), Bytes.size(), 0,
           reinterpret_cast<const sockaddr *>(&To), sizeof To);
  close(Socket);
}

} // namespace

TEST_CASE("connections that are reset leave nothing behind",
          "[untrusted][flood]") {
  const Machine Limits{.MaxFds_ = 2600};
  SECTION("callers") {
    const std::string Start =
        ordinaryRequest().substr(0, ordinaryRequest().size() / 2);
    for (const Target &Server : httpServers()) {
      Crowd On(Server, Limits);
      resetAll(On, Limits, Start);
      On.check();
    }
  }
  SECTION("peers") {
    const std::string Start(20, 'x');
    for (const Target &Server : frameServers()) {
      Crowd On(Server, Limits, probe);
      resetAll(On, Limits, Start);
      On.check();
    }
  }
}

TEST_CASE("datagrams without end do not use up a process's memory",
          "[untrusted][flood]") {
  constexpr std::size_t MaxDatagramBytes = 60'000;
  const Machine Limits;
  const std::size_t Count =
      2 * Limits.MemoryMb_ * BytesPerMb / MaxDatagramBytes;
  std::string Bytes;
  SECTION("no frames") { Bytes.assign(MaxDatagramBytes, 'x'); }
  SECTION("frames of empty rows") {
    Bytes = wire::encodeFrame(
        {.Kind_ = wire::FrameKind::OneWay,
         .Sender_ = {1},
         .Message_ = wire::WorkerHello{
             .Worker_ = "w",
             .Labels_ = std::vector<std::string>(MaxDatagramBytes / 2)}});
    REQUIRE(Bytes.size() <= MaxDatagramBytes);
  }
  for (const Target &Server : frameServers()) {
    Crowd On(Server, Limits, probe);
    sendDatagrams(On, Bytes, Count);
    On.check();
  }
}
