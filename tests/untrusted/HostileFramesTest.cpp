/// Load: whole frames, with a right checksum, whose message holds far more than
/// its bytes. Guards against a control process that outgrows its machine while
/// it reads one.
#include "untrusted/Crowd.h"

#include "dragonfly/wire/Frame.h"

#include <catch2/catch.hpp>

#include <cstddef>
#include <string>
#include <vector>

using namespace dragonfly::untrusted;
namespace wire = dragonfly::wire;

TEST_CASE("frames of empty rows do not use up a process's memory",
          "[untrusted][frames]") {
  constexpr std::size_t Peers = 4;
  const Machine Limits{.MemoryMb_ = 96};
  const std::size_t Labels =
      2 * Limits.MemoryMb_ * BytesPerMb / sizeof(std::string);
  const std::string Frame = wire::encodeFrame(
      {.Kind_ = wire::FrameKind::Request,
       .Sender_ = {1},
       .Sequence_ = 1,
       .Message_ = wire::WorkerHello{
           .Worker_ = "w", .Labels_ = std::vector<std::string>(Labels)}});
  for (const Target &Server : frameServers()) {
    Crowd On(Server, Limits, probe);
    for (std::size_t I = 0; I < Peers; ++I)
      On.connect().send(Frame);
    On.awaitRead();
    On.check();
  }
}
