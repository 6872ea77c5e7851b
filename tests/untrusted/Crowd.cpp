#include "untrusted/Crowd.h"

#include "dragonfly/wire/Frame.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <utility>

namespace dragonfly::untrusted {

using platform::Peer;
using platform::RealProcess;

namespace {

constexpr std::size_t KibPerMb = 1024;
/// Descriptors of a process besides those of its callers.
constexpr std::size_t OwnDescriptors = 64;
/// A sanitizer keeps freed memory and shadows all of it, so that the resident
/// memory says nothing about the process.
#if defined(__SANITIZE_ADDRESS__)
constexpr bool MemoryIsMeasured = false;
#else
constexpr bool MemoryIsMeasured = true;
#endif

std::string nextIp() {
  static int Number = 0;
  return "127.201.9." + std::to_string(++Number);
}

/// Returns the settings of one of the project's own programs.
std::string ownSettingsOf(const Target &Server, const std::string &Ip,
                          const Machine &Limits) {
  const auto Replica = [](int Id, const std::string &Address) {
    return R"({"id":)" + std::to_string(Id) + R"(,"address":")" + Address +
           R"(:7000","operator_address":")" + Address + R"(:7001"})";
  };
  std::string Own;
  if (Server.Role_ == "dragonfly-entry")
    Own = R"("listen":")" + Ip + R"(:8080")";
  else if (Server.Role_ == "dragonfly-control")
    Own = R"("replica":1,"data_folder":"{folder}/disk")";
  else
    Own = R"("listen":")" + Ip + R"(:7100","status_listen":")" + Ip +
          R"(:7101","upstream":"127.201.8.2:9000",)"
          R"("capacity":{"processors":8,"memory_mib":1024})";
  return R"({"name":"n","availability_zone":"z","memory_limit_mib":)" +
         std::to_string(Limits.MemoryMb_) + R"(,"descriptor_limit":)" +
         std::to_string(Limits.MaxFds_ - ReservedFds) + "," + Own +
         R"(,"deployment":{"name":"d","kinds":[{"name":"checks",)"
         R"("urgency":"latency-critical","carrier":"request",)"
         R"("deadline_ms":500}],"control":[)" +
         Replica(1, Ip) + "," + Replica(2, "127.201.8.1") + "," +
         Replica(3, "127.201.8.4") + "]}}";
}

std::string settingsOf(const Target &Server, const std::string &Ip,
                       const Machine &Limits) {
  if (Server.Role_.starts_with(platform::OwnProgramPrefix))
    return ownSettingsOf(Server, Ip, Limits);
  std::string Lines =
      sharedSettings(Ip, "127.201.8.1", Limits) + "Bootstrap=false\n";
  if (Server.Role_ == "entry")
    Lines += "Bind.Frontend=" + Ip + ":8161\nBind.Readiness=" + Ip + ":8167\n";
  else
    Lines += "Bind.Control=" + Ip + ":8166\n";
  if (Server.Role_ == "agent")
    Lines += "app=127.201.8.2:9000\n";
  if (Server.HasDisk_)
    Lines += "DataDir={folder}/disk\n";
  return Lines;
}

} // namespace

std::vector<Target> httpServers() {
  return {{"callers", "entry", 8161},
          {"readiness", "entry", 8167},
          {"metrics", "entry", 9465},
          {"operators of a relay", "control", 8166},
          {"operators of a replica", "control", 8166, true},
          {"members", "control", 7721, true},
          {"workers", "agent", 8166},
          {"callers of our own program", "dragonfly-entry", 8080},
          {"operators of our own program", "dragonfly-control", 7001, true},
          {"status of our own program", "dragonfly-agent", 7101}};
}

std::vector<Target> frameServers() {
  return {{"frames of a relay", "control", 7720},
          {"frames of a replica", "control", 7720, true},
          {"frames of our own replica", "dragonfly-control", 7000, true},
          {"frames of our own agent", "dragonfly-agent", 7100}};
}

std::string sharedSettings(const std::string &Ip, const std::string &SeedIp,
                           const Machine &Limits) {
  return "Node=n-" + Ip + "\nIp=" + Ip +
         "\nZone=z\nInternalPorts=7720,7735\nSeeds=" + SeedIp +
         ":8166\nFaultTolerance.Machines=1\nBounds.GraceS=6\n"
         "Limits.MemoryMb=" +
         std::to_string(Limits.MemoryMb_) +
         "\nLimits.MaxFds=" + std::to_string(Limits.MaxFds_) +
         "\nLimits.DiskMb=" + std::to_string(Limits.DiskMb_) + "\n";
}

std::string chunkedHead() {
  return "POST /checks/0123456789abcdef HTTP/1.1\r\nHost: a.example\r\n"
         "X-Dragonflyproxy-Deadline-Ms: 1500\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string chunk(std::size_t Bytes) {
  constexpr char Digits[] = "0123456789abcdef";
  std::string Size;
  for (std::size_t Rest = Bytes; Rest > 0; Rest /= 16)
    Size.insert(Size.begin(), Digits[Rest % 16]);
  return Size + "\r\n" + std::string(Bytes, 'x') + "\r\n";
}

std::string ordinaryRequest() {
  return "GET /checks/0123456789abcdef HTTP/1.1\r\n"
         "Host: a.example\r\nX-Dragonflyproxy-Deadline-Ms: 1500\r\n"
         "Content-Length: 0\r\n\r\n";
}

std::string ask(const Peer &Caller) {
  Caller.send(ordinaryRequest());
  const std::string Answer = Caller.readAnswer();
  const std::size_t BodyAt = Answer.find("\r\n\r\n");
  const std::string StatusLine = Answer.substr(0, Answer.find("\r\n"));
  const bool IsText = Answer.find("text/plain") < BodyAt;
  return BodyAt == std::string::npos || IsText
             ? StatusLine
             : StatusLine + Answer.substr(BodyAt);
}

std::string probe(const Peer &Caller) {
  constexpr std::size_t HeaderBytes = 32;
  constexpr std::size_t KindAt = 3;
  Caller.send(wire::encodeFrame({.Kind_ = wire::FrameKind::Probe,
                                 .Sender_ = {1},
                                 .Sequence_ = 1,
                                 .Message_ = {}}));
  const std::string Answer = Caller.readBytes(HeaderBytes);
  return Answer.size() < HeaderBytes
             ? "nothing"
             : "kind " + std::to_string(static_cast<int>(Answer[KindAt]));
}

void checkMemory(const RealProcess &Program, const Machine &Limits) {
  REQUIRE(Program.isRunning());
  if (MemoryIsMeasured)
    CHECK(Program.peakMemoryKib() < Limits.MemoryMb_ * KibPerMb);
}

void checkDescriptors(const RealProcess &Program, const Machine &Limits,
                      std::size_t Callers) {
  const std::size_t Descriptors = Program.openDescriptors();
  CHECK(Descriptors <= Callers + OwnDescriptors);
  CHECK(Descriptors <= Limits.MaxFds_ - ReservedFds);
}

Crowd::Crowd(Target Server, Machine Limits, Question Ordinary)
    : Server_(std::move(Server)), Limits_(Limits),
      Ordinary_(std::move(Ordinary)), Ip_(nextIp()),
      Program_(Server_.Role_, settingsOf(Server_, Ip_, Limits_)),
      CalmAnswer_(Ordinary_(Peer(Ip_, Server_.Port_))) {}

const Peer &Crowd::connect() {
  return *Open_.emplace_back(std::make_unique<Peer>(Ip_, Server_.Port_));
}

void Crowd::awaitRead() const {
  INFO(Server_.Name_);
  CHECK(platform::waitUntilRead(Ip_, Server_.Port_));
}

void Crowd::setHalted(bool IsHalted) const {
  Program_.signal(IsHalted ? SIGSTOP : SIGCONT);
}

void Crowd::awaitClosed() const {
  constexpr int MaxTries = 1000;
  int Try = 0;
  // Connections are accepted in the order they were made: before the first
  // answer, those that are gone may still wait in the system's queue.
  do
    Ordinary_(Peer(Ip_, Server_.Port_));
  while (++Try < MaxTries && Program_.isRunning() &&
         Program_.openDescriptors() > Open_.size() + OwnDescriptors);
}

void Crowd::check() const {
  INFO(Server_.Name_);
  checkMemory(Program_, Limits_);
  checkDescriptors(Program_, Limits_, Open_.size());
  REQUIRE_FALSE(CalmAnswer_.empty());
  CHECK(Ordinary_(Peer(Ip_, Server_.Port_)) == CalmAnswer_);
  CHECK(Program_.isRunning());
}

} // namespace dragonfly::untrusted
