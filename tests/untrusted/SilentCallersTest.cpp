/// Load: connections on which nothing whole ever comes. Guards against callers
/// who keep all slots of a server, or all descriptors of a process.
#include "untrusted/Crowd.h"

#include "dragonfly/wire/Frame.h"

#include <catch2/catch.hpp>

#include <cstddef>
#include <string>

using namespace dragonfly::untrusted;

namespace {

std::string halfProbe() {
  const std::string Frame =
      dragonfly::wire::encodeFrame({.Kind_ = dragonfly::wire::FrameKind::Probe,
                                    .Sender_ = {1},
                                    .Sequence_ = 1,
                                    .Message_ = {}});
  return Frame.substr(0, Frame.size() / 2);
}

/// Opens as many connections as the process may have descriptors.
void fill(Crowd &On, const Machine &Limits, const std::string &Start) {
  for (std::size_t I = ReservedFds; I < Limits.MaxFds_; ++I)
    On.connect().send(Start);
}

} // namespace

TEST_CASE("callers that send nothing whole keep no ordinary one out",
          "[untrusted][silent]") {
  const Machine Limits{.MaxFds_ = 2600};
  std::string Start;
  SECTION("nothing") {}
  SECTION("half a head") {
    Start = ordinaryRequest().substr(0, ordinaryRequest().size() / 2);
  }
  SECTION("half a body") { Start = chunkedHead() + chunk(10); }
  for (const Target &Server : httpServers()) {
    Crowd On(Server, Limits);
    fill(On, Limits, Start);
    On.check();
  }
}

TEST_CASE("peers that send nothing whole keep no ordinary one out",
          "[untrusted][silent]") {
  const Machine Limits{.MaxFds_ = 2600};
  std::string Start;
  SECTION("nothing") {}
  SECTION("half a frame") { Start = halfProbe(); }
  for (const Target &Server : frameServers()) {
    Crowd On(Server, Limits, probe);
    fill(On, Limits, Start);
    On.check();
  }
}

// Guards against bounds on connections that together exceed what the process
// may open.
TEST_CASE("a process keeps to its descriptors on a small machine",
          "[untrusted][silent]") {
  const Machine Limits{.MaxFds_ = 600};
  for (const Target &Server : httpServers()) {
    Crowd On(Server, Limits);
    fill(On, Limits, {});
    On.check();
  }
  for (const Target &Server : frameServers()) {
    Crowd On(Server, Limits, probe);
    fill(On, Limits, {});
    On.check();
  }
}
