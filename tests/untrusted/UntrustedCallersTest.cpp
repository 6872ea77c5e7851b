/// Load: callers that nobody controls send requests which never end. Guards
/// against a process that runs out of memory. Nothing here depends on how fast
/// the machine is.
#include "untrusted/Crowd.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <cstddef>
#include <string>
#include <vector>

using namespace dragonfly::untrusted;
using dragonfly::platform::Peer;

namespace {

/// A server and a crowd that its limits on each single caller admit.
struct Row {
  Target Server_;
  std::size_t Callers_ = 60;
  /// Bytes of each caller's body, below the limit for one body.
  std::size_t BodyBytes_ = 1'000'000;
};

std::vector<Row> rows() {
  std::vector<Row> Result;
  for (const Target &Each : httpServers())
    Result.push_back({.Server_ = Each});
  Result.front().Callers_ = 512;
  Result.front().BodyBytes_ = 200'000;
  return Result;
}

std::string oneByteChunks(std::size_t Bytes) {
  std::string Result;
  for (std::size_t I = 0; I < Bytes; ++I)
    Result += "1\r\nx\r\n";
  return Result;
}

} // namespace

// Guards against trailers that are kept until they end.
TEST_CASE("trailers without end do not use up a process's memory",
          "[untrusted]") {
  constexpr std::size_t Callers = 4;
  constexpr std::size_t Pieces = 256;
  const std::string Piece = "X-Trailer: " + std::string(65'000, 'x') + "\r\n";
  for (const Row &Each : rows()) {
    Crowd On(Each.Server_);
    for (std::size_t I = 0; I < Callers; ++I) {
      const Peer &Caller = On.connect();
      Caller.send(chunkedHead() + chunk(10) + "0\r\n");
      for (std::size_t Sent = 0; Sent < Pieces && Caller.send(Piece); ++Sent) {
      }
    }
    On.awaitRead();
    On.check();
  }
}

// Guards against chunk extensions that are kept until their line ends.
TEST_CASE("a chunk line without end does not use up a process's memory",
          "[untrusted]") {
  constexpr std::size_t Callers = 4;
  constexpr std::size_t Pieces = 256;
  const std::string Piece(65'000, 'x');
  for (const Row &Each : rows()) {
    Crowd On(Each.Server_);
    for (std::size_t I = 0; I < Callers; ++I) {
      const Peer &Caller = On.connect();
      Caller.send(chunkedHead() + "1;name=");
      for (std::size_t Sent = 0; Sent < Pieces && Caller.send(Piece); ++Sent) {
      }
    }
    On.awaitRead();
    On.check();
  }
}

// Guards against limits on single bodies that many callers reach together.
TEST_CASE("many bodies that stop before their end do not use up a process's "
          "memory",
          "[untrusted]") {
  for (const Row &Each : rows()) {
    Crowd On(Each.Server_);
    for (std::size_t I = 0; I < Each.Callers_; ++I)
      On.connect().send(chunkedHead() + chunk(Each.BodyBytes_));
    On.awaitRead();
    On.check();
  }
}

// Guards against bytes that are counted as sent, not as held.
TEST_CASE("many bodies in chunks of one byte do not use up a process's memory",
          "[untrusted]") {
  constexpr std::size_t BodyBytes = 140'000;
  const std::string Body = oneByteChunks(BodyBytes);
  const Row Callers = rows().front();
  Crowd On(Callers.Server_);
  for (std::size_t I = 0; I < Callers.Callers_; ++I)
    On.connect().send(chunkedHead() + Body);
  On.awaitRead();
  On.check();
}

// Guards against fields whose memory is counted as the bytes of their text.
TEST_CASE("many heads of tiny fields do not use up a process's memory",
          "[untrusted]") {
  constexpr std::size_t HeadBytes = 15'600;
  constexpr std::size_t LeastBytesPerField = 64;
  constexpr std::string_view Field = "a:\r\n";
  const Machine Limits;
  std::string Fields;
  while (Fields.size() < HeadBytes)
    Fields += Field;
  const std::size_t Held = HeadBytes / Field.size() * LeastBytesPerField;
  const std::size_t Callers = 2 * Limits.MemoryMb_ * BytesPerMb / Held;
  std::string Start = chunkedHead();
  SECTION("in the head, and a body that does not come") {
    Start.insert(Start.size() - 2, Fields);
  }
  SECTION("in trailers that do not end") {
    Start += chunk(10) + "0\r\n" + Fields;
  }
  for (const Target &Server : httpServers()) {
    Crowd On(Server, Limits);
    for (std::size_t I = 0; I < Callers; ++I)
      On.connect().send(Start);
    On.awaitRead();
    On.check();
  }
}

// A refusal of a caller must not reach those that stay inside the limits.
TEST_CASE("a single body inside the limits is served in calm", "[untrusted]") {
  constexpr std::size_t BodyBytes = 262'144;
  Crowd On(rows().front().Server_);
  const Peer &Caller = On.connect();
  Caller.send(chunkedHead() + chunk(BodyBytes) + "0\r\n\r\n");
  // Its body is no job, which is found out only once it has been read whole.
  CHECK(Caller.readAnswer().starts_with("HTTP/1.1 400"));
  On.awaitRead();
  On.check();
}
