/// Load: whole requests without end from callers and peers that read no answer.
/// Guards against answers that pile up in a process.
#include "untrusted/Crowd.h"

#include "dragonfly/wire/Frame.h"

#include <catch2/catch.hpp>

#include <cstddef>
#include <string>

using namespace dragonfly::untrusted;

namespace {

constexpr std::size_t Peers = 2;
/// Requests that are sent at once.
constexpr std::size_t Batch = 256;
/// No server waits for another process before it answers this one.
constexpr const char *ImmediateRequest = "PATCH / HTTP/1.1\r\n"
                                         "Host: a.example\r\n\r\n";
constexpr std::size_t LeastAnswerBytes = 64;

/// Sends \p Count requests on one connection, or fewer where the process stops
/// to take them.
void sendAll(Crowd &On, const std::string &Request, std::size_t Count) {
  std::string Requests;
  for (std::size_t I = 0; I < Batch; ++I)
    Requests += Request;
  const auto &Caller = On.connect();
  for (std::size_t Sent = 0; Sent < Count; Sent += Batch)
    if (!Caller.sendWhileTaken(Requests))
      return;
}

} // namespace

TEST_CASE("callers that read no answer keep no ordinary one out",
          "[untrusted][unread]") {
  const Machine Limits;
  const std::size_t Count = Limits.MemoryMb_ * BytesPerMb / LeastAnswerBytes;
  for (const Target &Server : httpServers()) {
    Crowd On(Server, Limits);
    for (std::size_t I = 0; I < Peers; ++I)
      sendAll(On, ImmediateRequest, Count);
    On.check();
  }
}

TEST_CASE("peers that read no answer do not use up a process's memory",
          "[untrusted][unread]") {
  const Machine Limits;
  const std::string Probe =
      dragonfly::wire::encodeFrame({.Kind_ = dragonfly::wire::FrameKind::Probe,
                                    .Sender_ = {1},
                                    .Sequence_ = 1,
                                    .Message_ = {}});
  const std::size_t Count = 2 * Limits.MemoryMb_ * BytesPerMb / Probe.size();
  for (const Target &Server : frameServers()) {
    Crowd On(Server, Limits, probe);
    for (std::size_t I = 0; I < Peers; ++I)
      sendAll(On, Probe, Count);
    On.check();
  }
}
