/// Load: callers that nobody controls send requests which never end. Guards
/// against a process that runs out of memory. Nothing here depends on how fast
/// the machine is.
#include "platform/RealProcess.h"

#include <catch2/catch.hpp>

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

using namespace dragonfly::platform;

namespace {

/// What the settings of each process allow it, and the bound on what it uses.
constexpr std::size_t MemoryMb = 48;
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

/// A server of one program and a crowd of callers that its limits on each
/// single caller admit.
struct ServerRow {
  std::string Name_;
  std::string Role_;
  std::uint16_t Port_;
  std::size_t Callers_;
  /// Bytes of each caller's body, below the limit for one body.
  std::size_t BodyBytes_;
  bool HasDisk_ = false;
};

std::vector<ServerRow> servers() {
  return {{"callers", "entry", 8161, 512, 200'000},
          {"readiness", "entry", 8167, 60, 1'000'000},
          {"metrics", "entry", 9465, 60, 1'000'000},
          {"operators of a relay", "control", 8166, 60, 1'000'000},
          {"operators of a replica", "control", 8166, 60, 1'000'000, true},
          {"workers", "agent", 8166, 60, 1'000'000}};
}

std::string settingsOf(const ServerRow &Row, const std::string &Ip) {
  std::string Lines =
      "Node=n\nIp=" + Ip +
      "\nZone=z\nInternalPorts=7720,7735\nSeeds=127.201.8.1:8166\n"
      "Bootstrap=false\nFaultTolerance.Machines=1\nBounds.GraceS=6\n"
      "Limits.MemoryMb=" +
      std::to_string(MemoryMb) + "\n";
  if (Row.Role_ == "entry")
    Lines += "Bind.Frontend=" + Ip + ":8161\nBind.Readiness=" + Ip + ":8167\n";
  else
    Lines += "Bind.Control=" + Ip + ":8166\n";
  if (Row.Role_ == "agent")
    Lines += "app=127.201.8.2:9000\n";
  if (Row.HasDisk_)
    Lines += "DataDir={folder}/disk\n";
  return Lines;
}

std::string chunkedHead() {
  return "POST /checks/0123456789abcdef HTTP/1.1\r\nHost: a.example\r\n"
         "X-Dragonflyproxy-Deadline-Ms: 1500\r\n"
         "Transfer-Encoding: chunked\r\n\r\n";
}

std::string largeChunk(std::size_t Bytes) {
  constexpr char Digits[] = "0123456789abcdef";
  std::string Size;
  for (std::size_t Rest = Bytes; Rest > 0; Rest /= 16)
    Size.insert(Size.begin(), Digits[Rest % 16]);
  return Size + "\r\n" + std::string(Bytes, 'x') + "\r\n";
}

std::string oneByteChunks(std::size_t Bytes) {
  std::string Result;
  for (std::size_t I = 0; I < Bytes; ++I)
    Result += "1\r\nx\r\n";
  return Result;
}

/// A process and connections that stay open beside it.
class Crowd {
public:
  explicit Crowd(const ServerRow &Row)
      : Row_(Row), Ip_("127.201.9." + std::to_string(nextNumber())),
        Program_(Row.Role_, settingsOf(Row, Ip_)) {}

  /// Opens a connection that stays open.
  const Peer &connect() {
    return *Open_.emplace_back(std::make_unique<Peer>(Ip_, Row_.Port_));
  }

  void check() const {
    INFO(Row_.Name_);
    CHECK(waitUntilRead(Ip_, Row_.Port_));
    REQUIRE(Program_.isRunning());
    if (MemoryIsMeasured)
      CHECK(Program_.peakMemoryKib() < MemoryMb * KibPerMb);
    CHECK(Program_.openDescriptors() <= Open_.size() + OwnDescriptors);
    const Peer Ordinary(Ip_, Row_.Port_);
    Ordinary.send("GET /checks/0123456789abcdef HTTP/1.1\r\n"
                  "Host: a.example\r\nX-Dragonflyproxy-Deadline-Ms: 1500\r\n"
                  "Content-Length: 0\r\n\r\n");
    CHECK(Ordinary.readUntil("\r\n\r\n").starts_with("HTTP/1.1 "));
    CHECK(Program_.isRunning());
  }

private:
  static int nextNumber() {
    static int Number = 0;
    return ++Number;
  }

  ServerRow Row_;
  std::string Ip_;
  RealProcess Program_;
  std::vector<std::unique_ptr<Peer>> Open_;
};

} // namespace

// Guards against trailers that are kept until they end.
TEST_CASE("trailers without end do not use up a process's memory",
          "[untrusted]") {
  constexpr std::size_t Callers = 4;
  constexpr std::size_t Pieces = 256;
  const std::string Piece = "X-Trailer: " + std::string(65'000, 'x') + "\r\n";
  for (const ServerRow &Row : servers()) {
    Crowd Crowd(Row);
    for (std::size_t I = 0; I < Callers; ++I) {
      const Peer &Caller = Crowd.connect();
      Caller.send(chunkedHead() + largeChunk(10) + "0\r\n");
      for (std::size_t Sent = 0; Sent < Pieces && Caller.send(Piece); ++Sent) {
      }
    }
    Crowd.check();
  }
}

// Guards against chunk extensions that are kept until their line ends.
TEST_CASE("a chunk line without end does not use up a process's memory",
          "[untrusted]") {
  constexpr std::size_t Callers = 4;
  constexpr std::size_t Pieces = 256;
  const std::string Piece(65'000, 'x');
  for (const ServerRow &Row : servers()) {
    Crowd Crowd(Row);
    for (std::size_t I = 0; I < Callers; ++I) {
      const Peer &Caller = Crowd.connect();
      Caller.send(chunkedHead() + "1;name=");
      for (std::size_t Sent = 0; Sent < Pieces && Caller.send(Piece); ++Sent) {
      }
    }
    Crowd.check();
  }
}

// Guards against limits on single bodies that many callers reach together.
TEST_CASE("many bodies that stop before their end do not use up a process's "
          "memory",
          "[untrusted]") {
  for (const ServerRow &Row : servers()) {
    Crowd Crowd(Row);
    for (std::size_t I = 0; I < Row.Callers_; ++I)
      Crowd.connect().send(chunkedHead() + largeChunk(Row.BodyBytes_));
    Crowd.check();
  }
}

// Guards against bytes that are counted as sent, not as held.
TEST_CASE("many bodies in chunks of one byte do not use up a process's memory",
          "[untrusted]") {
  constexpr std::size_t BodyBytes = 140'000;
  const std::string Body = oneByteChunks(BodyBytes);
  const ServerRow Row = servers().front();
  Crowd Crowd(Row);
  for (std::size_t I = 0; I < Row.Callers_; ++I)
    Crowd.connect().send(chunkedHead() + Body);
  Crowd.check();
}

// A refusal of a caller must not reach those that stay inside the limits.
TEST_CASE("a single body inside the limits is served in calm", "[untrusted]") {
  constexpr std::size_t BodyBytes = 262'144;
  const ServerRow Row = servers().front();
  Crowd Crowd(Row);
  const Peer &Caller = Crowd.connect();
  Caller.send(chunkedHead() + largeChunk(BodyBytes) + "0\r\n\r\n");
  const std::string Answer = Caller.readUntil("\r\n\r\n");
  // Its body is no job, which is found out only once it has been read whole.
  CHECK(Answer.starts_with("HTTP/1.1 400"));
  Crowd.check();
}
