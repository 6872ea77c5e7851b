#include "platform/RealProcess.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace dragonfly::platform;

namespace {

constexpr std::size_t Controls = 3;
constexpr std::uint16_t OperatorPort = 8166;
/// Each try takes as long as the process takes to answer.
constexpr int MaxTries = 2000;

std::string ip(std::size_t Number) {
  return "127.201.10." + std::to_string(Number);
}

std::string settings(std::size_t Number, bool IsFirstStart) {
  return "Node=n" + std::to_string(Number) + "\nIp=" + ip(Number) +
         "\nZone=z\nInternalPorts=7720,7735\nSeeds=" + ip(1) + ":8166," +
         ip(2) + ":8166," + ip(3) +
         ":8166\nBootstrap=" + (IsFirstStart ? "true" : "false") +
         "\nFaultTolerance.Machines=1\nBounds.GraceS=6\nBind.Control=" +
         ip(Number) + ":8166\nDataDir={folder}/disk\n";
}

std::string configurationRequest() {
  const std::string Body =
      R"({"Version":1,"Routes":[],"Services":[],"Limits":{}})";
  return "PUT /v1/config HTTP/1.1\r\nHost: a.example\r\nContent-Length: " +
         std::to_string(Body.size()) + "\r\n\r\n" + Body;
}

bool waitForLog(const RealProcess &Program, const std::string &Event) {
  constexpr int MaxReads = 2000000;
  for (int Read = 0; Read < MaxReads; ++Read) {
    if (Program.log().find(Event) != std::string::npos)
      return true;
    std::this_thread::yield();
  }
  return false;
}

/// Sends the configuration to each process in turn; returns whether one of them
/// has acknowledged it.
bool isConfigured() {
  for (int Try = 0; Try < MaxTries; ++Try) {
    const Peer Operator(ip(static_cast<std::size_t>(Try) % Controls + 1),
                        OperatorPort);
    Operator.send(configurationRequest());
    if (Operator.readAnswer().starts_with("HTTP/1.1 200"))
      return true;
  }
  return false;
}

} // namespace

// Guards against a system that never starts: the control process that chooses
// the first members is killed before the others are up, and its next life is
// told that this is no first start.
TEST_CASE("a group is founded although the process that chooses is killed",
          "[platform][founding]") {
  RealProcess First("control", settings(1, true));
  REQUIRE(waitForLog(First, "founding-begun"));
  First.signal(SIGKILL);
  First.wait();
  std::vector<std::unique_ptr<RealProcess>> Others;
  for (std::size_t Number = 2; Number <= Controls; ++Number)
    Others.push_back(
        std::make_unique<RealProcess>("control", settings(Number, true)));
  First.restart(settings(1, false));
  const bool IsServed = isConfigured();
  INFO(First.log());
  CHECK(IsServed);
}
